package policy

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against long-running tasks that do not come back after a restart of everything:
// an agent in slow start gets one task until one succeeds, and these never do.
func TestLongRunningTasksEndSlowStart(t *testing.T) {
	const (
		tasks = 12
		limit = 6 * time.Second // a long-running task has to run again by then
	)
	s := New(Options{})
	s.Configure(0, Settings{Classes: []Class{{Name: "c", ResponseTarget: time.Second}}})
	for id := wire.Incarnation(1); id <= 3; id++ {
		s.AgentUp(0, AgentInfo{Agent: id, Zone: "z", Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
	}
	job, list := newTestJob("c", 0, tasks)
	job.LongRunning = true
	for _, task := range list {
		s.Enqueue(0, task)
	}
	running := map[wire.Incarnation]int{}
	placed := 0
	now := time.Duration(0)
	for ; now < limit; now += 100 * time.Millisecond {
		for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
			running[p.Agent]++
			placed++
		}
		for id := wire.Incarnation(1); id <= 3; id++ {
			s.Observe(now, id, wire.Load{Slots: 8, Limit: 8, Running: running[id]})
		}
	}
	assert.Equal(t, placed, tasks)
}

// Guards against an agent that is taken for sound because of tasks that it has only just
// been sent, and against a count that drifts as tasks end.
func TestLongRunningTasksAreCountedOnce(t *testing.T) {
	var l longRunningTasks
	l.add(1, false)
	l.add(2, true)
	for _, step := range []struct {
		now    time.Duration
		proven longRunningTasks
	}{
		{longRunningProofTime, nil}, {longRunningProofTime + 1, longRunningTasks{{sentAt: 1, proven: true}}},
		{longRunningProofTime + 2, longRunningTasks{{sentAt: 2, retried: true, proven: true}}}, {time.Hour, nil},
	} {
		assert.Assert(t, slices.Equal(l.prove(step.now), step.proven), "%v", step.now)
	}
	l.remove(1)
	l.remove(2)
	l.remove(2)
	assert.Equal(t, len(l), 0)
}
