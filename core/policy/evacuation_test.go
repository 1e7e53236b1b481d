package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/wire"
)

// newZones returns a scheduler with n agents of 8 slots, of which number i is in zone i%3.
func newZones(n int, o Options) *Adaptive {
	s := newTest(0, o)
	for i := range n {
		id := wire.Incarnation(i + 1)
		s.AgentUp(0, AgentInfo{Agent: id, Name: fmt.Sprint(i), Zone: zoneOf(i), Rack: fmt.Sprint(i), Pool: "pool-" + zoneOf(i), Slots: 8})
		s.Observe(0, id, wire.Load{Slots: 8, Limit: 8, Successes: 100})
	}
	return s
}

func zoneOf(i int) string { return string(rune('a' + i%3)) }

// placeWaiting places the waiting tasks and returns the placements.
func placeWaiting(s *Adaptive, now time.Duration) (out []Placement) {
	for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
		out = append(out, p)
	}
	return out
}

// Guards against a search that still finds agents in an evacuated zone, also among more agents
// than one search examines, and against searches that find none of the few others.
func TestNoSearchFindsAgentsInEvacuatedZones(t *testing.T) {
	for name, change := range map[string]func(s *Adaptive, j *Job){
		"tasks":        func(*Adaptive, *Job) {},
		"gang":         func(_ *Adaptive, j *Job) { j.Gang = true },
		"long-running": func(_ *Adaptive, j *Job) { j.LongRunning = true },
		"contained": func(s *Adaptive, _ *Job) {
			s.contain(0, s.classes["c"])
			s.classes["c"].containedUntil, s.containedUntil = time.Minute, time.Minute
			s.containedClasses = append(s.containedClasses, s.classes["c"])
			s.quarantine("")
		},
		"trial": func(s *Adaptive, _ *Job) {
			for _, a := range s.agents {
				a.health.eject(0, 0)
				a.health.trialAt = 0
			}
		},
	} {
		for _, agents := range []int{9, 120} {
			t.Run(fmt.Sprint(name, " ", agents), func(t *testing.T) {
				s := newZones(agents, Options{Seed: 1})
				j, tasks := newTestJob("c", 0, 3)
				change(s, j)
				s.SetEvacuatedZones(0, []string{"a", "b"})
				for _, x := range tasks {
					s.Enqueue(0, x)
				}
				placed := placeWaiting(s, time.Millisecond)
				assert.Equal(t, len(placed), 3)
				for _, p := range placed {
					assert.Equal(t, s.agents[p.Agent].info.Zone, "c")
				}
			})
		}
	}
	t.Run("alone", func(t *testing.T) {
		s := newZones(9, Options{})
		s.SetEvacuatedZones(0, []string{"a", "b"})
		_, tasks := newTestJob("c", 0, 1)
		p, ok := s.PlaceAlone(0, tasks[0])
		assert.Assert(t, ok)
		assert.Equal(t, s.agents[p.Agent].info.Zone, "c")
	})
	t.Run("least busy", func(t *testing.T) {
		s := NewLeastBusy()
		for i := range 3 {
			s.AgentUp(0, AgentInfo{Agent: wire.Incarnation(i + 1), Zone: zoneOf(i), Slots: 1})
		}
		s.SetEvacuatedZones(0, []string{"a"})
		s.Observe(0, 2, wire.Load{Slots: 1, Evacuated: true})
		_, tasks := newTestJob("c", 0, 2)
		s.Enqueue(0, tasks[0])
		s.Enqueue(0, tasks[1])
		p, ok := s.Next(0)
		assert.Assert(t, ok)
		assert.Equal(t, p.Agent, wire.Incarnation(3))
		_, ok = s.Next(0)
		assert.Assert(t, !ok)
	})
}

// Guards against agents that are lost to all searches, or found although they are evacuated,
// and against sums of attempts that differ from those of the agents, after any sequence of
// events.
func TestUsableAgentsAreTheConnectedOnesThatAreNotEvacuated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newZones(0, Options{})
		zones := []string{}
		reported := map[wire.Incarnation]bool{}
		connected := map[wire.Incarnation]bool{}
		now := time.Duration(0)
		var placed []Placement
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := wire.Incarnation(rapid.IntRange(1, 7).Draw(t, "agent"))
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.AgentUp(now, AgentInfo{Agent: id, Zone: zoneOf(int(id)), Slots: 8})
				connected[id] = true // what it reported last holds until its next report
			case 1:
				s.AgentDown(now, id)
				connected[id] = false
			case 2:
				if s.agents[id] != nil {
					reported[id] = rapid.Bool().Draw(t, "evacuated")
					s.Observe(now, id, wire.Load{Slots: 8, Limit: 8, Evacuated: reported[id]})
				}
			case 3:
				zones = nil
				for _, z := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(t, z) {
						zones = append(zones, z)
					}
				}
				s.SetEvacuatedZones(now, zones)
			case 4:
				enqueue(s, now, "c", 3)
				placed = append(placed, placeWaiting(s, now)...)
			case 5:
				if len(placed) > 0 {
					s.AttemptDone(now, placed[0].Agent, placed[0].Task, &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
					placed = placed[1:]
				}
			}
			inFlight, due, inService := 0, 0, 0.0
			for _, a := range s.agents {
				inFlight += a.inFlight
				inService += float64(a.inFlight) * a.capacityShare(now)
				if !a.evacuated {
					due += a.answersDue()
				}
			}
			assert.Equal(t, s.inFlight, inFlight)
			assert.Assert(t, math.Abs(s.inService(now)-inService) < 1e-6, "in service %v, want %v", s.inService(now), inService)
			s.window.size = float64(max(1, due))
			assert.Equal(t, s.windowFull(), due > 0)
			s.window.size = float64(due + 1)
			assert.Assert(t, !s.windowFull())
			s.window.size = windowMaximum
			want := 0
			for id, up := range connected {
				usable := up && !reported[id] && !slices.Contains(zones, zoneOf(int(id)))
				if usable {
					want++
				}
				if a := s.agents[id]; a != nil && a.acceptsStarts() != usable {
					t.Fatalf("agent %d: accepts starts %v, want %v", id, a.acceptsStarts(), usable)
				}
			}
			if s.usableCount != want {
				t.Fatalf("%d agents are usable, want %d", s.usableCount, want)
			}
			for i, a := range s.connected {
				if a.index != i || a.acceptsStarts() != (i < s.usableCount) {
					t.Fatalf("agent at %d of %d: index %d, evacuated %v", i, s.usableCount, a.index, a.evacuated)
				}
			}
		}
	})
}

// Guards against refusals for good of jobs that run once the zone returns, and against jobs
// that are accepted although no worker may start them.
func TestJobsOfEvacuatedZonesAreRefusedForNow(t *testing.T) {
	all := []string{"a", "b", "c"}
	for name, c := range map[string]struct {
		zones []string
		job   func(j *Job)
		want  Refusal
	}{
		"no zone":                     {nil, func(*Job) {}, Admitted},
		"one zone":                    {[]string{"a"}, func(*Job) {}, Admitted},
		"zone without workers":        {[]string{"x"}, func(*Job) {}, Admitted},
		"all zones":                   {all, func(*Job) {}, RefusedNoUpstream},
		"all zones and a large need":  {all, func(j *Job) { j.RequiredLabel = "none" }, RefusedNoUpstream},
		"pool of the zone":            {[]string{"a"}, func(j *Job) { j.Class = "only-a" }, RefusedNoUpstream},
		"pool of another zone":        {[]string{"b"}, func(j *Job) { j.Class = "only-a" }, Admitted},
		"gang that needs the zone":    {[]string{"a"}, func(j *Job) { j.Gang, j.Tasks = true, 60 }, RefusedNoUpstream},
		"gang that fits without it":   {[]string{"a"}, func(j *Job) { j.Gang, j.Tasks = true, 40 }, Admitted},
		"gang that never fits":        {[]string{"a"}, func(j *Job) { j.Gang, j.Tasks = true, 80 }, RefusedNeverFits},
		"label that no worker has":    {[]string{"a"}, func(j *Job) { j.RequiredLabel = "none" }, RefusedNeverFits},
		"label, nothing is evacuated": {nil, func(j *Job) { j.RequiredLabel = "none" }, RefusedNeverFits},
	} {
		t.Run(name, func(t *testing.T) {
			s := newZones(9, Options{})
			s.Configure(0, Settings{Classes: []Class{{Name: "c", ResponseTarget: time.Second}, {Name: "only-a", ResponseTarget: time.Second, Pool: "pool-a"}}})
			s.SetEvacuatedZones(0, c.zones)
			j, _ := newTestJob("c", 0, 1)
			c.job(j)
			got := s.Admit(0, j)
			assert.Equal(t, got.Refusal.String(), c.want.String())
			assert.Equal(t, got.RetryAfter > 0, c.want == RefusedNoUpstream)
		})
	}
}

// busyZones returns a scheduler of 9 agents with full slots and a backlog, whose learned
// capacity is all slots.
func busyZones(waiting int) *Adaptive {
	s := newZones(9, Options{Seed: 1, Disable: PartLookAhead})
	for range estimateMinimum {
		s.classes["c"].runs.observe(100 * time.Millisecond)
		s.allRuns.observe(100 * time.Millisecond)
	}
	enqueue(s, 0, "c", 72+waiting)
	placeWaiting(s, 0)
	s.observeInService()
	return s
}

// Guards against jobs that are admitted to the capacity before an evacuation and are late, and
// against a RetryAfter that does not reflect what is left.
func TestCapacityShrinksWithTheRequest(t *testing.T) {
	s := busyZones(260)
	s.window.size = 300
	job, _ := newTestJob("c", 0, 1)
	before := s.expectedWait(s.classes["c"], "")
	assert.Equal(t, s.Admit(0, job).Refusal, Admitted)
	assert.Equal(t, s.serviceSlots(), 72.0)

	s.SetEvacuatedZones(0, []string{"a"})
	assert.Equal(t, s.serviceSlots(), 48.0)
	assert.Equal(t, s.window.size, 200.0)
	after := s.expectedWait(s.classes["c"], "")
	assert.Assert(t, after > before*14/10, "%v, %v before", after, before)
	refused := s.Admit(0, job)
	assert.Equal(t, refused.Refusal.String(), RefusedOverload.String())
	assert.Assert(t, refused.RetryAfter > 0)

	for i := range 9 { // the agents' reports are no further loss, and their running tasks no capacity
		s.Observe(1, wire.Incarnation(i+1), wire.Load{Slots: 8, Limit: 8, Running: 8, Evacuated: zoneOf(i) == "a"})
	}
	placeWaiting(s, 1)
	assert.Equal(t, s.serviceSlots(), 48.0)
	s.SetEvacuatedZones(1, []string{"a", "b"})
	assert.Equal(t, s.serviceSlots(), 24.0)
	s.SetEvacuatedZones(1, []string{"a", "b", "c"})
	assert.Equal(t, s.serviceSlots(), 1.0)
}

// Guards against an agent that knows of the request before this entry and whose capacity is
// still counted on.
func TestCapacityShrinksWithTheAgentsReport(t *testing.T) {
	s := busyZones(100)
	for _, id := range []wire.Incarnation{1, 4, 7} {
		s.Observe(1, id, wire.Load{Slots: 8, Limit: 8, Running: 8, Evacuated: true})
	}
	assert.Equal(t, s.serviceSlots(), 48.0)
	s.SetEvacuatedZones(2, []string{"a"})
	assert.Equal(t, s.serviceSlots(), 48.0)
}

// Guards against a learned window that the running tasks of an evacuated zone use up, so that
// nothing is started elsewhere.
func TestAttemptsInEvacuatedZonesDoNotUseUpTheWindow(t *testing.T) {
	s := busyZones(0)
	s.window.size = 73
	s.SetEvacuatedZones(0, []string{"a"})
	assert.Assert(t, !s.windowFull())
}

// Guards against jobs that are admitted to workers that have just returned and are still slow,
// and against workers that never count again.
func TestReturnedCapacityCountsGradually(t *testing.T) {
	s := busyZones(0)
	idle := func(now time.Duration) {
		for i := range 9 {
			s.Observe(now, wire.Incarnation(i+1), wire.Load{Slots: 8, Limit: 8})
		}
		s.now = now
	}
	s.SetEvacuatedZones(0, []string{"a"})
	for _, a := range s.agents {
		a.inFlight, a.ownSlots = 0, 0
	}
	s.inFlight, s.evacuatedInFlight, s.meanInService = 0, 0, 0
	idle(1)
	left := s.freeSlots()
	s.SetEvacuatedZones(time.Second, nil)
	previous := left
	for _, share := range []float64{0, 0.5, 1} {
		idle(time.Second + time.Duration(share*float64(returnPeriod)))
		free := s.freeSlots()
		assert.Equal(t, free, left*(1+share/2))
		assert.Assert(t, free >= previous)
		previous = free
	}
}

// Guards against a task that waits for the retry budget, or is given up, because it was refused
// as evacuated, and against further starts at that agent before its next report.
func TestRefusalAsEvacuatedCostsNothing(t *testing.T) {
	s := newZones(3, Options{Seed: 1})
	j, _ := enqueue(s, 0, "c", 1)
	j.Deadline = time.Second
	p, ok := s.Next(0)
	assert.Assert(t, ok)
	tokens := s.budget.tokens
	refused := &wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonEvacuated}
	s.AttemptDone(1, p.Agent, p.Task, refused)
	a := s.agents[p.Agent]
	assert.Assert(t, !a.acceptsStarts())
	assert.Assert(t, !a.health.ejected && !a.health.suspended && !a.health.down)
	for range 100 {
		delay, ok := s.Retry(1, p.Task, wire.ReasonEvacuated)
		assert.Assert(t, ok)
		assert.Equal(t, delay, time.Duration(0))
	}
	assert.Equal(t, s.budget.tokens, tokens)
	_, ok = s.Retry(time.Second, p.Task, wire.ReasonEvacuated)
	assert.Assert(t, !ok)
}

// Guards against a gang that needs evacuated workers and holds back all jobs behind it, and
// against jobs that wait on although the zone has returned.
func TestJobsThatNeedTheZoneWaitAndHoldUpNoOthers(t *testing.T) {
	s := newZones(9, Options{Seed: 1})
	s.SetEvacuatedZones(0, []string{"a"})
	gang, tasks := newTestJob("c", 0, 60)
	gang.Gang = true
	for _, x := range tasks {
		s.Enqueue(0, x)
	}
	assert.Equal(t, len(placeWaiting(s, 0)), 0)
	now := 2 * gangHoldBackDelay
	enqueue(s, now, "d", 5)
	assert.Equal(t, len(placeWaiting(s, now)), 5)
	s.SetEvacuatedZones(now, nil)
	assert.Equal(t, len(placeWaiting(s, now)), 60)
}

// Guards against a contained class whose only workers are evacuated.
func TestQuarantineIsChosenAmongTheOtherZones(t *testing.T) {
	s := newZones(9, Options{})
	s.contain(0, s.classes["c"])
	s.classes["c"].containedUntil, s.containedUntil = time.Minute, time.Minute
	s.containedClasses = append(s.containedClasses, s.classes["c"])
	s.quarantine("")
	for _, zones := range [][]string{{"a"}, {"a", "b"}, {"b", "c"}, nil} {
		s.SetEvacuatedZones(0, zones)
		n := 0
		for _, a := range s.agents {
			if a.quarantined {
				n++
				assert.Assert(t, !a.evacuated)
			}
		}
		assert.Equal(t, n, (9-3*len(zones)+quarantineDivisor-1)/quarantineDivisor)
	}
}

// Guards against failing workers that cannot be suspended because others in an evacuated zone
// are ejected, and against a zone that returns with all of its workers ejected.
func TestAgentsInEvacuatedZonesDoNotUseUpTheEjections(t *testing.T) {
	s := newZones(30, Options{})
	fail := func(now time.Duration, i int) {
		a := s.agents[wire.Incarnation(i+1)]
		a.health.attributed = 3
		s.Observe(now, a.info.Agent, wire.Load{Slots: 8, Limit: 8, Successes: 100, Failures: a.health.failures + 3, Evacuated: a.info.Load.Evacuated})
	}
	for _, i := range []int{0, 3, 6} {
		s.agents[wire.Incarnation(i+1)].health.eject(0, 0)
		s.unavailable++
	}
	s.SetEvacuatedZones(time.Second, []string{"a"})
	assert.Equal(t, s.unavailable, 0)
	for i := 9; i < 30; i += 3 { // of zone a
		fail(time.Second, i)
		assert.Assert(t, !s.agents[wire.Incarnation(i+1)].health.unavailable())
	}
	fail(2*time.Second, 1)
	assert.Assert(t, s.agents[2].health.suspended)
	assert.Equal(t, s.unavailable, 1)
	s.SetEvacuatedZones(3*time.Second, nil)
	assert.Equal(t, s.unavailable, 4)
}

// Guards against capacity that is lost anew, and starts that are refused anew, with each
// connection of an agent that knows of the evacuation before this entry, also if its worker
// restarts.
func TestReconnectsOfEvacuatedAgentsCostNoCapacity(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprint("restarts=", restarts), func(t *testing.T) {
			s := newZones(9, Options{})
			id := wire.Incarnation(1)
			info := s.agents[id].info
			s.Observe(0, id, wire.Load{Slots: 8, Limit: 8, Evacuated: true})
			s.meanInService, s.window.size = 40, 60
			for i := range 20 {
				s.AgentDown(0, info.Agent)
				if restarts {
					info.Agent = wire.Incarnation(100 + i)
				}
				s.AgentUp(0, info)
				assert.Equal(t, s.agents[info.Agent].evacuated, !restarts)
				s.Observe(0, info.Agent, wire.Load{Slots: 8, Limit: 8, Evacuated: true})
				assert.Assert(t, s.agents[info.Agent].evacuated)
			}
			assert.Equal(t, s.meanInService, 40.0)
			assert.Equal(t, s.window.size, 60.0)
		})
	}
}

// Guards against searches in vain: jobs that return from parking, and lose the delay that they
// have reached, for each result and each connection of workers that get no starts.
func TestEvacuatedAgentsReturnNoParkedJobs(t *testing.T) {
	s := newZones(9, Options{Seed: 1})
	running, tasks := newTestJob("c", 0, 72)
	for _, x := range tasks {
		s.Enqueue(0, x)
	}
	placed := placeWaiting(s, 0)
	assert.Equal(t, len(placed), 72, running)
	s.SetEvacuatedZones(0, []string{"a"})
	parked, waiting := newTestJob("c", 0, 1)
	s.Enqueue(0, waiting[0])
	j := s.queue.jobs[parked]
	s.queue.park(0, time.Second, j, false)
	for _, p := range placed {
		if a := s.agents[p.Agent]; a.info.Zone == "a" {
			s.AttemptDone(1, p.Agent, p.Task, &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
			s.AgentDown(1, p.Agent)
			s.AgentUp(1, a.info)
		}
	}
	assert.Assert(t, j.parked())
	s.SetEvacuatedZones(2, nil)
	assert.Assert(t, !j.parked())
}

// Guards against jobs that are admitted to workers that are still slow: those that were
// restarted during the maintenance, and connect after the zone has returned.
func TestAgentsThatConnectAfterTheReturnCountGradually(t *testing.T) {
	s := newZones(9, Options{})
	s.SetEvacuatedZones(0, []string{"a"})
	s.SetEvacuatedZones(time.Second, nil)
	for i, c := range []struct {
		zone  string
		at    time.Duration
		share float64
	}{
		{"a", time.Second + returnPeriod/2, 0.5},
		{"b", time.Second + returnPeriod/2, 1},
		{"a", time.Second + returnPeriod, 1},
	} {
		id := wire.Incarnation(100 + i)
		s.AgentUp(c.at, AgentInfo{Agent: id, Zone: c.zone, Slots: 8})
		assert.Equal(t, s.agents[id].capacityShare(c.at), c.share)
	}
	s.SetEvacuatedZones(time.Minute, []string{"c"})
	assert.Equal(t, len(s.zoneReturns), 0)
}
