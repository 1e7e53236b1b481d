package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// enqueueGang enqueues a gang of class "d", whose jobs are less urgent than those of
// class "c".
func enqueueGang(s *Adaptive, now time.Duration, tasks int, sameRack bool) *Job {
	j, list := newTestJob("d", now, tasks)
	j.Gang, j.SameRack = true, sameRack
	for _, t := range list {
		s.Enqueue(now, t)
	}
	return j
}

// placeAll calls Next until nothing can be placed. It returns the agents on which the
// tasks of j were placed, and all placements.
func placeAll(s *Adaptive, now time.Duration, j *Job) (agents []wire.Incarnation, placed []Placement) {
	for {
		p, ok := s.Next(now)
		if !ok {
			return agents, placed
		}
		placed = append(placed, p)
		if p.Task.Job == j {
			agents = append(agents, p.Agent)
		}
	}
}

// inFlight is a placement and its time.
type inFlight struct {
	Placement
	at time.Duration
}

// succeed reports the success of placed tasks.
func succeed(s *Adaptive, now time.Duration, list []inFlight) {
	for _, p := range list {
		s.AttemptDone(now, p.Agent, p.Task, &wire.Result{Outcome: wire.Succeeded, RunTime: wire.MicrosOf(now - p.at)})
	}
}

// Guards against a gang of which only some tasks are placed.
func TestGangIsPlacedAllAtOnceOrNotAtAll(t *testing.T) {
	s := newTest(3, Options{Seed: 1})
	enqueue(s, 0, "c", 14)
	_, small := placeAll(s, 0, nil)
	assert.Equal(t, len(small), 14)
	first := []inFlight{{small[0], 0}, {small[1], 0}}
	g := enqueueGang(s, 0, 12, false)
	agents, _ := placeAll(s, 0, g)
	assert.Equal(t, len(agents), 0, "10 slots are free")
	succeed(s, time.Millisecond, first)
	agents, _ = placeAll(s, time.Millisecond, g)
	assert.Equal(t, len(agents), 12)
}

// Guards against a gang that misses its target because small jobs take each slot as it
// becomes free, and against a gang that does not fit on all workers together and holds
// back the small jobs.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
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
			succeed(s, now, small[:n])
			small = small[n:]
			agents, all := placeAll(s, now, g)
			placed += len(agents)
			for _, p := range all {
				if p.Task.Job != g {
					small = append(small, inFlight{p, now})
					smallTasks++
				}
			}
		}
		assert.Equal(t, placed, c.placed)
		assert.Assert(t, smallTasks > 2000, "%d small tasks placed beside a gang of %d", smallTasks, c.tasks)
	}
}

// Guards against a gang that is spread over racks although one rack has enough free
// slots.
func TestGangStaysInOneRack(t *testing.T) {
	s := newTest(6, Options{Seed: 1})
	agents, _ := placeAll(s, 0, enqueueGang(s, 0, 20, true))
	assert.Equal(t, len(agents), 20)
	for _, a := range agents {
		assert.Equal(t, (a-1)/3, (agents[0]-1)/3)
	}
	// 28 slots are left, 24 of them in one rack.
	late := enqueueGang(s, 0, 26, true)
	agents, _ = placeAll(s, 0, late)
	assert.Equal(t, len(agents), 0, "must wait for a rack to become free")
	agents, _ = placeAll(s, gangHoldBackDelay+time.Millisecond, late)
	assert.Equal(t, len(agents), 26)
}

// Guards against tasks placed in other racks although the rack of their data is free.
func TestTasksRunNearTheirData(t *testing.T) {
	s := newTest(9, Options{Seed: 1})
	j, list := newTestJob("d", 0, 12)
	j.DataRack = "1"
	for _, task := range list {
		s.Enqueue(0, task)
	}
	agents, _ := placeAll(s, 0, j)
	for _, a := range agents {
		assert.Equal(t, (a-1)/3, wire.Incarnation(1))
	}
}

// Guards against gangs that never start because no agent has run a task before, or
// because all agents were marked down.
func TestGangStartsOnUnprovenAgents(t *testing.T) {
	for _, down := range []bool{false, true} {
		s := New(Options{Seed: 1})
		s.Configure(0, Settings{Classes: []Class{{Name: "d", ResponseTarget: time.Second}}})
		for i := range 2 {
			s.AgentUp(0, AgentInfo{Agent: wire.Incarnation(i + 1), Slots: 8})
			if down {
				s.agents[wire.Incarnation(i+1)].health.markDown(0, 0)
			}
		}
		g := enqueueGang(s, 0, 12, false)
		agents, _ := placeAll(s, 0, g)
		if down {
			assert.Equal(t, len(agents), 0, "all agents are down")
			agents, _ = placeAll(s, time.Minute, g)
		}
		assert.Equal(t, len(agents), 12)
	}
}
