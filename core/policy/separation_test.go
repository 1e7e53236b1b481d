package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// withPair returns a scheduler of two agents in which c is slowed down by d.
func withPair(mode Interference) *Adaptive {
	s := newTest(2, Options{Seed: 1, Zone: "z", Interference: mode})
	x := s.interference
	x.pairs = 1
	x.slowedBy, x.slows = make([][]pairEffect, 2), make([][]pairEffect, 2)
	c, d := x.estimator.Index("c"), x.estimator.Index("d")
	x.slowedBy[c] = []pairEffect{{other: d, effect: 0.2}}
	x.slows[d] = []pairEffect{{other: c, effect: 0.2}}
	return s
}

// Guards against a placement that leaves out one side of a pair, runs of this or of other
// entries, and against one that uses the pair while it is only observed.
func TestBothSidesOfAPairAreKeptApart(t *testing.T) {
	for _, c := range []struct {
		present, task string
		apart         bool
	}{{"c", "d", true}, {"d", "c", true}, {"c", "c", false}, {"d", "d", false}} {
		for _, mode := range []Interference{InterferenceObserve, InterferenceSeparate} {
			for _, own := range []bool{true, false} {
				s := withPair(mode)
				at := s.connected[0]
				if own {
					enqueue(s, time.Second, c.present, 1)
					p, ok := s.Next(time.Second)
					assert.Assert(t, ok)
					at = s.agents[p.Agent]
				} else {
					s.Observe(time.Second, at.info.Agent, wire.Load{Slots: 8, Limit: 8, Running: 1, Successes: 100, Classes: []wire.Neighbour{{Class: c.present, Slots: 1000}}})
				}
				j, _ := newTestJob(c.task, time.Second, 1)
				search := s.newSearch(time.Second, s.newJob(j))
				p := &search
				p.run = 200 * time.Millisecond
				want := 0.0
				if c.apart && mode == InterferenceSeparate {
					want = 0.2 * 0.2
				}
				assert.Assert(t, math.Abs(s.interferenceCost(p, at)-want) < 1e-9, "%+v %v own %v: %v", c, mode, own, s.interferenceCost(p, at))
			}
		}
	}
}

// Guards against slots by class that are counted twice, or remain after the attempts, the
// link or the class have gone.
func TestSlotsByClassFollowAttemptsAndReports(t *testing.T) {
	s := withPair(InterferenceSeparate)
	_, tasks := enqueue(s, time.Second, "c", 1)
	p, _ := s.Next(time.Second)
	a := s.agents[p.Agent]
	c, d := s.interference.estimator.Index("c"), s.interference.estimator.Index("d")
	report := wire.Load{Slots: 8, Limit: 8, Running: 4, Successes: 100, Classes: []wire.Neighbour{{Class: "c", Slots: 3000}, {Class: "d", Slots: 500}, {Class: "unknown", Slots: 500}}}
	s.Observe(2*time.Second, p.Agent, report)
	assert.Equal(t, a.classSlots.present(c), 3.0)
	assert.Equal(t, a.classSlots.present(d), 0.5)
	s.AttemptDone(3*time.Second, p.Agent, tasks[0], &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
	assert.Equal(t, a.classSlots.present(c), 2.0)
	s.Configure(0, Settings{Classes: []Class{{Name: "d", ResponseTarget: time.Second}}})
	assert.Equal(t, a.classSlots.present(c), 0.0)
	s.AgentUp(4*time.Second, a.info)
	assert.Equal(t, a.classSlots.present(d), 0.0)
}

// Guards against a task that goes back to the agent on which its job failed, or to a
// quarantined one, because of interference elsewhere, and against a bound that makes all
// agents with interference equal.
func TestInterferenceIsOutweighedByFailures(t *testing.T) {
	for _, run := range []time.Duration{time.Second, time.Hour} {
		s := withPair(InterferenceSeparate)
		for id := range wire.Incarnation(2) {
			s.Observe(time.Second, id+1, wire.Load{Slots: 8, Limit: 8, Running: int(id) * 6, Successes: 100, Classes: []wire.Neighbour{{Class: "d", Slots: 6000 * int(id)}}})
		}
		for range 100 {
			s.classes["c"].runs.observe(run)
		}
		j, tasks := newTestJob("c", time.Second, 1)
		s.Enqueue(time.Second, tasks[0])
		s.queue.jobs[j].addFailure(s.agents[1])
		p, ok := s.Next(time.Second)
		assert.Assert(t, ok)
		assert.Equal(t, p.Agent, wire.Incarnation(2))
	}
	last := 0.0
	for seconds := 0.01; seconds < 1e6; seconds *= 2 {
		cost := boundedInterference(seconds)
		assert.Assert(t, cost > last && cost <= seconds && cost < min(failedAgentCost, quarantineCost).Seconds()/2+1e-9)
		last = cost
	}
}

// Guards against a task that queues at a full worker, to be apart from another class on
// a worker with free slots.
func TestNoTaskQueuesToBeSeparated(t *testing.T) {
	s := withPair(InterferenceSeparate)
	s.Observe(time.Second, 1, wire.Load{Slots: 8, Limit: 8, Running: 8, Successes: 100})
	s.Observe(time.Second, 2, wire.Load{Slots: 8, Limit: 8, Running: 1, Successes: 100, Classes: []wire.Neighbour{{Class: "d", Slots: 1000}}})
	for i := range 100 {
		s.classes["c"].runs.observe(time.Second)
		s.allRuns.observe(time.Duration(100+i) * time.Millisecond)
	}
	enqueue(s, time.Second, "c", 1)
	p, ok := s.Next(time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, p.Agent, wire.Incarnation(2))
}

// Guards against runs of other entries that are hidden by own starts of their class which
// the agent cannot have reported yet.
func TestStartsInTransitHideNoRunsOfOthers(t *testing.T) {
	s := withPair(InterferenceSeparate)
	enqueue(s, time.Second, "c", 1)
	p, _ := s.Next(time.Second)
	a := s.agents[p.Agent]
	a.rtt = 10 * time.Millisecond
	c := s.interference.estimator.Index("c")
	report := wire.Load{Slots: 8, Limit: 8, Running: 2, Successes: 100, Classes: []wire.Neighbour{{Class: "c", Slots: 2000}}}
	s.Observe(time.Second+5*time.Millisecond, p.Agent, report)
	assert.Equal(t, a.classSlots.present(c), 3.0) // two of others, one in transit
	s.Observe(time.Second+20*time.Millisecond, p.Agent, report)
	assert.Equal(t, a.classSlots.present(c), 2.0)
}

// Guards against indexes that still mean another class after a class that runs took the
// place of an idle one.
func TestIndexesFollowClassesThatTakePlaces(t *testing.T) {
	s := newTest(1, Options{Seed: 1, Zone: "z", Interference: InterferenceSeparate})
	var classes []Class
	for i := range 100 {
		classes = append(classes, Class{Name: fmt.Sprint("c", i), ResponseTarget: time.Second})
	}
	s.Configure(0, Settings{Classes: classes})
	for range 100 {
		s.classes["c90"].runs.observe(time.Second)
	}
	_, tasks := enqueue(s, 0, "c90", 1)
	_, ok := s.Next(time.Second)
	assert.Assert(t, ok)
	slots := &s.connected[0].classSlots
	slots.resize(64)
	for i := range 64 {
		slots.own[i] = 3 // in flight, but no run has ended
	}
	s.AttemptDone(2*time.Second, 1, tasks[0], &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
	x, i := s.interference, s.classIndex(tasks[0].Job)
	assert.Assert(t, i >= 0 && x.classes[i] == s.classes["c90"])
	assert.Equal(t, slots.present(i), 0.0)
	assert.Equal(t, slots.present((i+1)%64), 3.0)
}
