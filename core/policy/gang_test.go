package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// enqueueGang adds a gang of the class "d", whose jobs are less urgent than those
// of "c".
func enqueueGang(s *Adaptive, now time.Duration, tasks int, sameRack bool) *Job {
	j, list := newTestJob("d", now, tasks)
	j.Gang, j.SameRack = true, sameRack
	for _, t := range list {
		s.Enqueue(now, t)
	}
	return j
}

// placeAll places what can be placed and returns the agents of the job's tasks.
func placeAll(s *Adaptive, now time.Duration, j *Job) (at []wire.Incarnation, placed []Placement) {
	for {
		p, ok := s.Next(now)
		if !ok {
			return at, placed
		}
		placed = append(placed, p)
		if p.Task.Job == j {
			at = append(at, p.Agent)
		}
	}
}

// inFlight is a placement with the time at which it was made.
type inFlight struct {
	Placement
	at time.Duration
}

// end ends placements as succeeded.
func end(s *Adaptive, now time.Duration, list []inFlight) {
	for _, p := range list {
		s.Done(now, p.Agent, p.Task, &wire.Result{Outcome: wire.Succeeded, Run: wire.MicrosOf(now - p.at)})
	}
}

// Guards against a gang of which some tasks are placed.
func TestGangIsPlacedAllAtOnceOrNotAtAll(t *testing.T) {
	s := newTest(3, Options{Seed: 1})
	enqueue(s, 0, "c", 14)
	_, small := placeAll(s, 0, nil)
	assert.Equal(t, len(small), 14)
	first := []inFlight{{small[0], 0}, {small[1], 0}}
	g := enqueueGang(s, 0, 12, false)
	at, _ := placeAll(s, 0, g)
	assert.Equal(t, len(at), 0, "10 slots are free")
	end(s, time.Millisecond, first)
	at, _ = placeAll(s, time.Millisecond, g)
	assert.Equal(t, len(at), 12)
}

// Replays small jobs that take each slot as it becomes free. Guards against a gang
// that waits beyond its target beside them, and against one for which all workers
// together are too small and that keeps them waiting.
func TestGangFindsRoomBesideSmallTasks(t *testing.T) {
	for _, c := range []struct{ tasks, placed int }{{16, 16}, {25, 0}} {
		s := newTest(3, Options{Seed: 1})
		enqueue(s, 0, "c", 24)
		_, first := placeAll(s, 0, nil)
		var small []inFlight
		for _, p := range first {
			small = append(small, inFlight{p, 0})
		}
		g := enqueueGang(s, 0, c.tasks, false)
		placed, smallTasks := 0, 0
		for now := 10 * time.Millisecond; now < 12*time.Second; now += 10 * time.Millisecond {
			enqueue(s, now, "c", 2)
			n := min(2, len(small))
			end(s, now, small[:n])
			small = small[n:]
			at, all := placeAll(s, now, g)
			placed += len(at)
			for _, p := range all {
				if p.Task.Job != g {
					small = append(small, inFlight{p, now})
					smallTasks++
				}
			}
		}
		assert.Equal(t, placed, c.placed)
		assert.Assert(t, smallTasks > 2000, "%d small tasks were placed beside a gang of %d", smallTasks, c.tasks)
	}
}

// Guards against a gang that is spread over racks although one has room for it.
func TestGangStaysInOneRack(t *testing.T) {
	s := newTest(6, Options{Seed: 1})
	at, _ := placeAll(s, 0, enqueueGang(s, 0, 20, true))
	assert.Equal(t, len(at), 20)
	for _, a := range at {
		assert.Equal(t, (a-1)/3, (at[0]-1)/3)
	}
	// 28 slots are left, 24 of them in one rack.
	late := enqueueGang(s, 0, 26, true)
	at, _ = placeAll(s, 0, late)
	assert.Equal(t, len(at), 0, "a rack may become free")
	at, _ = placeAll(s, gangPatience+time.Millisecond, late)
	assert.Equal(t, len(at), 26)
}

// Guards against work that is placed away from its data although its rack is free.
func TestTasksRunNearTheirData(t *testing.T) {
	s := newTest(9, Options{Seed: 1})
	j, list := newTestJob("d", 0, 12)
	j.DataRack = "1"
	for _, task := range list {
		s.Enqueue(0, task)
	}
	at, _ := placeAll(s, 0, j)
	for _, a := range at {
		assert.Equal(t, (a-1)/3, wire.Incarnation(1))
	}
}

// Guards against gangs that never start where no agent has had a task before, or
// where all of them failed one.
func TestGangStartsOnUnprovenAgents(t *testing.T) {
	for _, down := range []bool{false, true} {
		s := New(Options{Seed: 1})
		s.Configure(0, Settings{Classes: []Class{{Name: "d", Within: time.Second}}})
		for i := range 2 {
			s.AgentUp(0, AgentInfo{Agent: wire.Incarnation(i + 1), Slots: 8})
			if down {
				s.agents[wire.Incarnation(i+1)].health.markDown(0, 0)
			}
		}
		g := enqueueGang(s, 0, 12, false)
		at, _ := placeAll(s, 0, g)
		if down {
			assert.Equal(t, len(at), 0, "they are down")
			at, _ = placeAll(s, time.Minute, g)
		}
		assert.Equal(t, len(at), 12)
	}
}
