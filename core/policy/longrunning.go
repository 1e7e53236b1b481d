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
	sentAt  time.Duration
	retried bool // it was refused before
	proven  bool // it was at work for longRunningProofTime
}

// longRunningTasks holds the long-running tasks in flight at one agent.
type longRunningTasks []longRunningTask

func (l *longRunningTasks) add(now time.Duration, retried bool) {
	*l = append(*l, longRunningTask{sentAt: now, retried: retried})
}

// remove removes the task that was sent at sentAt.
func (l *longRunningTasks) remove(sentAt time.Duration) {
	if i := slices.IndexFunc(*l, func(t longRunningTask) bool { return t.sentAt == sentAt }); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// prove marks the tasks that have been at work for longRunningProofTime, and returns those
// that were not marked before.
func (l longRunningTasks) prove(now time.Duration) (proven longRunningTasks) {
	for i := range l {
		if t := &l[i]; !t.proven && now-t.sentAt >= longRunningProofTime {
			t.proven = true
			proven = append(proven, *t)
		}
	}
	return proven
}

// creditLongRunning counts long-running tasks at work as successes of the agent. One that
// was sent after the agent's last failure shows that the agent is healthy, and one that was
// refused before releases further retries, as the success of another task would.
func (s *Adaptive) creditLongRunning(now time.Duration, a *agentState) {
	proven := a.longRunning.prove(now)
	if len(proven) == 0 {
		return
	}
	for _, t := range proven {
		s.recordHealthy(a, t.sentAt)
		if t.retried {
			s.budget.recordSuccess(now)
		}
	}
	if !a.health.limited {
		a.health.ramp = min(a.health.ramp+len(proven), rampSuccesses)
	}
}
