package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against urgent tasks that wait as long as the others, at the entry and in the
// queues of agents, and against other tasks that starve because urgent ones keep
// overtaking them.
func TestUrgentClassesOvertakeOthersWithinABound(t *testing.T) {
	s := New(Options{Seed: 1})
	s.Configure(0, Settings{Classes: []Class{
		{Name: "urgent", ResponseTarget: time.Second, Priority: 3},
		{Name: "usual", ResponseTarget: time.Second, Priority: 7},
	}})
	s.AgentUp(0, AgentInfo{Agent: 1, Slots: 8})
	s.Observe(0, 1, wire.Load{Slots: 8, Limit: 8, Successes: 100})
	first := func(now time.Duration) Placement {
		p, ok := s.Next(now)
		assert.Assert(t, ok)
		return p
	}
	enqueue(s, 0, "usual", 1)
	enqueue(s, delayPerPriority/2, "urgent", 1)
	urgent := first(delayPerPriority / 2)
	assert.Equal(t, urgent.Task.Job.Class, "urgent")
	usual := first(delayPerPriority / 2)
	assert.Assert(t, usual.Slack > urgent.Slack, "agents order their queues by slack")

	enqueue(s, time.Second, "usual", 1)
	enqueue(s, time.Second+delayPerPriority+2*minSlackInterval, "urgent", 1)
	assert.Equal(t, first(time.Second+delayPerPriority+2*minSlackInterval).Task.Job.Class, "usual", "the usual task arrived more than the priority delay earlier")
}
