package policy

import (
	"slices"
	"time"
)

// lastingProofTime is how long a task of a long-running job must be at work until it
// counts as a success of its agent. Such a task never succeeds, so without that an agent
// in slow start would get no second one.
const lastingProofTime = time.Second

// lastingTask is a task of a long-running job in flight at an agent.
type lastingTask struct {
	sentAt time.Duration
	proven bool // it was at work for lastingProofTime
}

// lastingTasks holds the long-running tasks in flight at one agent.
type lastingTasks []lastingTask

func (l *lastingTasks) add(now time.Duration) { *l = append(*l, lastingTask{sentAt: now}) }

// remove removes the task that was sent at sentAt.
func (l *lastingTasks) remove(sentAt time.Duration) {
	if i := slices.IndexFunc(*l, func(t lastingTask) bool { return t.sentAt == sentAt }); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// prove marks the tasks that have been at work for lastingProofTime and returns how many
// there are that were not marked before.
func (l lastingTasks) prove(now time.Duration) (n int) {
	for i := range l {
		if t := &l[i]; !t.proven && now-t.sentAt >= lastingProofTime {
			t.proven = true
			n++
		}
	}
	return n
}

// proveLasting counts long-running tasks at work as successes of the agent.
func (a *agentState) proveLasting(now time.Duration) {
	if n := a.lasting.prove(now); n > 0 && !a.health.limited {
		a.health.ramp = min(a.health.ramp+n, rampSuccesses)
	}
}
