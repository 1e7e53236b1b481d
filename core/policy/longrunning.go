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

// prove marks the tasks that have been at work for longRunningProofTime and returns how many
// there are that were not marked before.
func (l longRunningTasks) prove(now time.Duration) (n int) {
	for i := range l {
		if t := &l[i]; !t.proven && now-t.sentAt >= longRunningProofTime {
			t.proven = true
			n++
		}
	}
	return n
}

// creditLongRunning counts long-running tasks at work as successes of the agent.
func (a *agentState) creditLongRunning(now time.Duration) {
	if n := a.longRunning.prove(now); n > 0 && !a.health.limited {
		a.health.ramp = min(a.health.ramp+n, rampSuccesses)
	}
}
