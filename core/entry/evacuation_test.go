package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

func evacuations(asOf int64, zones ...string) *wire.Evacuations {
	return &wire.Evacuations{AsOf: asOf, Zones: zones}
}

// evacuationsSent returns the states in the frames to an agent.
func evacuationsSent(actions []entry.Action, to wire.Incarnation) (out []*wire.Evacuations) {
	for _, a := range actions {
		if s, ok := a.(entry.Send); ok && s.Agent == to && s.Frame.Evacuations != nil {
			out = append(out, s.Frame.Evacuations)
		}
	}
	return out
}

// Guards against an entry and an agent that go on with different zones after their link has
// come up, whichever knows more, and against frames that they then exchange for ever. Both may
// have states as of one offset that differ, from listings of several pages. The entry may have read its state before or after that, and may be refused by the store.
func TestBothEndsOfALinkConverge(t *testing.T) {
	states := []*wire.Evacuations{
		evacuations(0), evacuations(4), evacuations(5, "a"), evacuations(5, "a", "c"), evacuations(6, "b"), evacuations(7), evacuations(8, "a", "b"), evacuations(9, "a"),
	}
	for _, ofEntry := range states {
		for _, ofAgent := range states {
			for _, readLater := range []bool{false, true} {
				t.Run(fmt.Sprint(ofEntry, ofAgent, readLater), func(t *testing.T) {
					e := entry.New(entry.Options{Incarnation: 1000, Scheduler: policy.New(policy.Options{})})
					a := agent.New(agent.Options{Incarnation: 1, Slots: 1, Zone: "a", Evacuations: *ofAgent, HeartbeatInterval: time.Hour})
					read := entry.EvacuationsRead{Evacuations: ofEntry, RequestedAt: 1}
					if !readLater {
						e.Step(1, read)
					}
					toAgent, toEntry := e.Step(1, linkUp(1, 0)), a.Step(1, agent.LinkUp{Entry: 1000, Epoch: 1})
					if readLater {
						toAgent = append(toAgent, e.Step(1, read)...)
					}
					for rounds := 0; len(toAgent)+len(toEntry) > 0; rounds++ {
						assert.Assert(t, rounds < 10, "frames do not cease")
						var fromEntry []entry.Action
						for _, x := range append([]agent.Action(nil), toEntry...) {
							if s, ok := x.(*agent.Send); ok {
								fromEntry = append(fromEntry, e.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: s.Frame})...)
							}
						}
						var fromAgent []agent.Action
						for _, x := range toAgent {
							if s, ok := x.(entry.Send); ok {
								fromAgent = append(fromAgent, a.Step(1, agent.Received{Entry: 1000, Epoch: 1, Frame: s.Frame})...)
							}
						}
						toAgent, toEntry = fromEntry, fromAgent
					}
					newest := ofEntry
					if ofAgent.AsOf > ofEntry.AsOf || ofAgent.AsOf == ofEntry.AsOf && len(ofAgent.Zones) > len(ofEntry.Zones) {
						newest = ofAgent
					}
					assert.DeepEqual(t, append([]string{}, e.Evacuations().Zones...), append([]string{}, newest.Zones...))
					assert.DeepEqual(t, append([]string{}, a.Evacuations().Zones...), append([]string{}, newest.Zones...))
				})
			}
		}
	}
}

// Guards against a state that reverts, and against agents and operators that are not told of
// a change.
func TestEntryAppliesNewerStatesOnlyAndPassesThemOn(t *testing.T) {
	read := func(e *wire.Evacuations) entry.Event { return entry.EvacuationsRead{Evacuations: e} }
	from := func(e *wire.Evacuations) entry.Event {
		return entry.Received{Agent: 2, Epoch: 1, Frame: &wire.ToEntry{Evacuations: e}}
	}
	for name, c := range map[string]struct {
		event    entry.Event
		changed  bool
		passedOn *wire.Evacuations
	}{
		"newer read":                 {read(evacuations(6)), true, evacuations(6)},
		"older read":                 {read(evacuations(4)), false, nil},
		"read as of the same offset": {read(evacuations(5)), false, nil},
		"newer read, same zones":     {read(evacuations(6, "a")), false, evacuations(6, "a")},
		"read without a change":      {read(nil), false, nil},
		"newer from an agent":        {from(evacuations(6)), true, evacuations(6)},
		"older from an agent":        {from(evacuations(4, "b")), false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
			m.Step(0, read(evacuations(5, "a")))
			for agent := range wire.Incarnation(3) {
				up := m.Step(0, entry.LinkUp{Hello: wire.AgentHello{Agent: agent + 1, Epoch: 1, Slots: 1}})
				assert.DeepEqual(t, evacuationsSent(up, agent+1), []*wire.Evacuations{evacuations(5, "a")})
			}
			actions := m.Step(time.Second, c.event)
			reports := 0
			for _, a := range actions {
				if x, ok := a.(entry.EvacuationsChanged); ok {
					reports++
					assert.DeepEqual(t, x.Before, []string{"a"})
					assert.Equal(t, x.ReadAge, time.Second)
				}
			}
			assert.Equal(t, reports, map[bool]int{true: 1}[c.changed])
			for agent := range wire.Incarnation(3) {
				sent := evacuationsSent(actions, agent+1)
				_, fromAgent := c.event.(entry.Received)
				switch {
				case fromAgent && agent+1 == 2 && !c.changed:
					assert.DeepEqual(t, sent, []*wire.Evacuations{evacuations(5, "a")}) // it is behind
				case c.passedOn != nil && !(fromAgent && agent+1 == 2):
					assert.DeepEqual(t, sent, []*wire.Evacuations{c.passedOn})
				default:
					assert.Equal(t, len(sent), 0)
				}
			}
		})
	}
}

// Guards against frames that make agents take an old state for a new one: the age counts from
// the beginning of the last read that reached the end of the topic.
func TestFramesStateTheAgeOfTheLastRead(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
	m.Step(0, linkUp(1, 0))
	ageAt := func(now time.Duration) time.Duration {
		for _, a := range m.Step(now, entry.Tick{}) {
			if s, ok := a.(entry.Send); ok {
				return s.Frame.EvacuationsAge.Duration()
			}
		}
		t.Fatal("no heartbeat")
		return 0
	}
	assert.Equal(t, ageAt(time.Second), time.Duration(0)) // it has not read them
	m.Step(3*time.Second, entry.EvacuationsRead{RequestedAt: 2 * time.Second})
	assert.Equal(t, ageAt(4*time.Second), 2*time.Second)
	m.Step(5*time.Second, entry.EvacuationsRead{Evacuations: evacuations(5), Partial: true, RequestedAt: 5 * time.Second})
	m.Step(5*time.Second, entry.EvacuationsRead{RequestedAt: time.Second}) // overtaken by a later one
	assert.Equal(t, ageAt(6*time.Second), 4*time.Second)
}

// Guards against a job that fails, is delayed or uses up its retries because its tasks were
// sent to a zone just before the entry learned of its evacuation, and against members of a
// gang that wait for one that was refused.
func TestRefusedTasksArePlacedElsewhereInTheSameStep(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			m := entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: 1})})
			m.Step(0, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Second}}}})
			connect := func(id wire.Incarnation, zone string) {
				m.Step(0, entry.LinkUp{Hello: wire.AgentHello{Agent: id, Epoch: 1, Name: zone, Zone: zone, Slots: 64}})
				m.Step(0, entry.Received{Agent: id, Epoch: 1, Frame: &wire.ToEntry{Load: wire.Load{Slots: 64, Limit: 64, Successes: 100}}})
			}
			connect(1, "a")
			const tasks = 40 // more than the burst of the retry budget
			f, _ := mergeFrames(m.Step(0, entry.Submit{
				Submission: testJob, Class: "c", Deadline: time.Minute, Payloads: make([][]byte, tasks),
				Steps: []entry.Step{{Tasks: tasks, Gang: gang}},
			}))
			assert.Equal(t, len(f.Starts), tasks)
			connect(2, "b")
			refusal := &wire.ToEntry{Load: wire.Load{Slots: 64, Limit: 64, Evacuated: true}}
			for _, s := range f.Starts {
				refusal.Results = append(refusal.Results, wire.Result{Seq: s.Seq, Outcome: wire.NotRun, Reason: wire.ReasonEvacuated})
			}
			sent := map[wire.Incarnation]int{}
			for _, a := range m.Step(time.Millisecond, entry.Received{Agent: 1, Epoch: 1, Frame: refusal}) {
				switch x := a.(type) {
				case entry.Send:
					if len(x.Frame.Starts) > 0 {
						sent[x.Agent] += len(x.Frame.Starts)
					}
				case entry.Answer:
					t.Fatalf("answered: %+v", x.Answer)
				}
			}
			assert.DeepEqual(t, sent, map[wire.Incarnation]int{2: tasks})
		})
	}
}

// attemptCounter records the attempts that count as not run at each refusal.
type attemptCounter struct {
	oneAgentScheduler
	counts []int
}

func (s *attemptCounter) Retry(_ time.Duration, t *policy.Task, _ wire.Reason) (time.Duration, bool) {
	s.counts = append(s.counts, t.NotRunAttempts)
	return 0, true
}

// Guards against longer retry delays, and retries out of the budget, of a task that was
// refused as evacuated before.
func TestRefusalAsEvacuatedIsNotAnAttempt(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			s := &attemptCounter{}
			m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
			m.Step(0, linkUp(1, 0))
			m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 1), Steps: []entry.Step{{Tasks: 1, Gang: gang}}})
			for i, reason := range []wire.Reason{wire.ReasonEvacuated, wire.ReasonEvacuated, wire.ReasonBusy} {
				m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
					Results: []wire.Result{{Seq: wire.Seq(i + 1), Outcome: wire.NotRun, Reason: reason}},
				}})
			}
			assert.DeepEqual(t, s.counts, []int{0, 0, 1})
		})
	}
}

// Guards against members of a gang that run without one that was refused.
func TestGangWithARefusedMemberIsPlacedAgainAsAWhole(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 3), Steps: []entry.Step{{Tasks: 3, Gang: true}}})
	notRun := func(seq wire.Seq, reason wire.Reason) wire.Result {
		return wire.Result{Seq: seq, Outcome: wire.NotRun, Reason: reason}
	}
	f, _ := mergeFrames(m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{notRun(2, wire.ReasonEvacuated)}}}))
	assert.DeepEqual(t, f.Cancels, []wire.Seq{1, 3})
	assert.Equal(t, len(f.Starts), 0)
	f, _ = mergeFrames(m.Step(2, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{notRun(1, wire.ReasonCancelled), notRun(3, wire.ReasonCancelled)},
	}}))
	assert.Equal(t, len(f.Starts), 3)
}

// Guards against a gang that spans zones and fails, waits for the retry budget or is refused as
// retries_exhausted, because some members are refused as evacuated and the others, which are
// more than the burst of the budget, are cancelled; against an evacuation that counts as a run
// of the job; and against a second run of a job that allows one.
func TestEvacuationOfSomeMembersOfAGangCountsAgainstNothing(t *testing.T) {
	notRun := wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonCancelled}
	stopped := wire.Result{Outcome: wire.Failed, Reason: wire.ReasonStopped}
	failed := wire.Result{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError}
	for name, c := range map[string]struct {
		attempts int
		result   wire.Result // of each cancelled member
		reason   string      // of the answer; placed again if empty
	}{
		"not run, one run":        {1, notRun, ""},
		"not run, several runs":   {2, notRun, ""},
		"stopped, several runs":   {2, stopped, ""},
		"stopped, one run":        {1, stopped, entry.ReasonEvacuated},
		"failed itself, one run":  {1, failed, entry.ReasonTaskFailed},
		"failed itself, two runs": {2, failed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := entry.New(entry.Options{Incarnation: 1, Scheduler: policy.New(policy.Options{Seed: 1})})
			m.Step(0, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Second}}}})
			connect := func(id wire.Incarnation, zone string, slots int) {
				m.Step(0, entry.LinkUp{Hello: wire.AgentHello{Agent: id, Epoch: 1, Name: zone, Zone: zone, Slots: slots}})
				m.Step(0, entry.Received{Agent: id, Epoch: 1, Frame: &wire.ToEntry{Load: wire.Load{Slots: slots, Limit: slots, Successes: 100}}})
			}
			connect(1, "a", 20)
			connect(2, "b", 40)
			starts := func(actions []entry.Action) map[wire.Incarnation][]wire.Seq {
				out := map[wire.Incarnation][]wire.Seq{}
				for _, a := range actions {
					if x, ok := a.(entry.Send); ok {
						for _, s := range x.Frame.Starts {
							out[x.Agent] = append(out[x.Agent], s.Seq)
						}
					}
				}
				return out
			}
			receive := func(id wire.Incarnation, seqs []wire.Seq, r wire.Result, load wire.Load) []entry.Action {
				frame := &wire.ToEntry{Load: load}
				for _, seq := range seqs {
					r.Seq = seq
					frame.Results = append(frame.Results, r)
				}
				return m.Step(time.Millisecond, entry.Received{Agent: id, Epoch: 1, Frame: frame})
			}
			first := starts(m.Step(0, entry.Submit{
				Submission: testJob, Class: "c", Deadline: 3 * time.Second, MaxFailedRuns: c.attempts, Payloads: make([][]byte, 60),
				Steps: []entry.Step{{Tasks: 60, Gang: true}},
			}))
			assert.Equal(t, len(first[1]), 20)
			assert.Equal(t, len(first[2]), 40)
			connect(3, "c", 64)
			refusal := wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonEvacuated}
			assert.Equal(t, len(starts(receive(1, first[1], refusal, wire.Load{Slots: 20, Limit: 20, Evacuated: true}))), 0)
			actions := receive(2, first[2], c.result, wire.Load{Slots: 40, Limit: 40, Successes: 100})
			again := starts(actions)
			if c.reason != "" {
				assert.Equal(t, answersIn(actions)[0].Reason, c.reason)
				assert.Equal(t, answersIn(actions)[0].Outcome, entry.Failed)
				assert.Equal(t, len(again), 0)
				return
			}
			assert.Equal(t, len(again[2])+len(again[3]), 60, "placed again at once: %v", answersIn(actions))
		})
	}
}

// Guards against an exemption that lasts beyond the run in which a member was evacuated.
func TestLaterRefusalsOfAnEvacuatedGangCount(t *testing.T) {
	s := &attemptCounter{}
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2), Steps: []entry.Step{{Tasks: 2, Gang: true}}})
	for i, reason := range []wire.Reason{wire.ReasonEvacuated, wire.ReasonCancelled, wire.ReasonBusy, wire.ReasonCancelled} {
		deliverResult(m, wire.Seq(i+1), wire.NotRun, reason)
	}
	assert.DeepEqual(t, s.counts, []int{0, 0, 1, 1})
}

// Guards against an entry that resumes with what it read before a pause and thereby reverts the
// state of an agent: another entry, which has read further, stated a fresh age for its state,
// whose zones are those that the agent had already.
func TestStateOfPausedEntryDoesNotReplaceNewerOne(t *testing.T) {
	a := agent.New(agent.Options{Incarnation: 1, Slots: 1, Zone: "a", EvacuationBound: time.Minute})
	e := entry.New(entry.Options{Incarnation: 1000, Scheduler: policy.New(policy.Options{})})
	a.Step(1, agent.LinkUp{Entry: 1000, Epoch: 1})
	a.Step(1, agent.LinkUp{Entry: 2000, Epoch: 2})
	deliver := func(actions []entry.Action) {
		for _, x := range actions {
			if s, ok := x.(entry.Send); ok {
				a.Step(2, agent.Received{Entry: 1000, Epoch: 1, Frame: s.Frame})
			}
		}
	}
	deliver(e.Step(1, linkUp(1, 0)))
	deliver(e.Step(2, entry.EvacuationsRead{Evacuations: evacuations(2, "a"), RequestedAt: 1}))
	deliver(e.Step(2, entry.EvacuationsRead{Evacuations: evacuations(7, "a"), RequestedAt: 2})) // withdrawn at 5, requested at 6
	a.Step(3, agent.Received{Entry: 2000, Epoch: 2, Frame: &wire.ToAgent{Evacuations: evacuations(6)}})
	assert.Assert(t, a.Load(3).Evacuated)
}
