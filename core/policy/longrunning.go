package policy

import (
	"slices"
	"time"
)

// longRunningProofTime is how long a task of a long-running job must be at work until it
// counts as a success of its agent. Such a task never succeeds, so without that an agent
// in slow start would get no second one.
const longRunningProofTime = time.Second

// longRunningTask is a task of a long-running job in flight at an agent.
type longRunningTask struct {
	sentAt time.Duration
	proven bool // it was at work for longRunningProofTime
}

// longRunningTasks holds the long-running tasks in flight at one agent.
type longRunningTasks []longRunningTask

func (l *longRunningTasks) add(now time.Duration) { *l = append(*l, longRunningTask{sentAt: now}) }

// remove removes the task that was sent at sentAt.
func (l *longRunningTasks) remove(sentAt time.Duration) {
	if i := slices.IndexFunc(*l, func(t longRunningTask) bool { return t.sentAt == sentAt }); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// prove marks the tasks that have been at work for longRunningProofTime. It returns how many
// there are that were not marked before, and when the last of these was sent.
func (l longRunningTasks) prove(now time.Duration) (n int, sentAt time.Duration) {
	for i := range l {
		if t := &l[i]; !t.proven && now-t.sentAt >= longRunningProofTime {
			t.proven = true
			n++
			sentAt = max(sentAt, t.sentAt)
		}
	}
	return n, sentAt
}

// creditLongRunning counts long-running tasks at work as successes of the agent. One that
// was sent after the agent's last failure shows that the agent is healthy, as the success of
// another task would.
func (s *Adaptive) creditLongRunning(now time.Duration, a *agentState) {
	n, sentAt := a.longRunning.prove(now)
	if n == 0 {
		return
	}
	s.recordHealthy(a, sentAt)
	if !a.health.limited {
		a.health.ramp = min(a.health.ramp+n, rampSuccesses)
	}
}
