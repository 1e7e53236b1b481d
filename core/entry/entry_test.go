package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

var testJob = wire.SubmissionID{1}

func up(epoch wire.Epoch, version int64) entry.LinkUp {
	return entry.LinkUp{Hello: wire.AgentHello{Agent: 1, Epoch: epoch, Name: "w", Slots: 8, ConfigVersion: version}}
}

// frames merges the frames among the actions and returns their number.
func frames(actions []entry.Action) (all wire.ToAgent, n int) {
	for _, a := range actions {
		if s, ok := a.(entry.Send); ok {
			n++
			all.Starts = append(all.Starts, s.Frame.Starts...)
			all.Cancels = append(all.Cancels, s.Frame.Cancels...)
			all.Queries = append(all.Queries, s.Frame.Queries...)
			if s.Frame.Config != nil {
				all.Config = s.Frame.Config
			}
			all.Entries = append(all.Entries, s.Frame.Entries...)
		}
	}
	return all, n
}

// Guards against an agent that starts a queued task of a cancelled job because
// the cancel was lost with its link.
func TestCancelIsRepeatedWhenTheLinkReturns(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2)})
	m.Step(0, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(0, entry.CancelJob{Submission: testJob})
	f, _ := frames(m.Step(0, up(2, 0)))
	assert.DeepEqual(t, f.Cancels, []wire.Seq{1, 2})
	assert.DeepEqual(t, f.Queries, []wire.Seq{1, 2})
}

// Guards against a batch of starts that exceeds the frame limit and so closes
// the link, which leaves every attempt on it in doubt.
func TestLargeBatchIsSplit(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	payloads := make([][]byte, 16)
	for i := range payloads {
		payloads[i] = make([]byte, 512<<10)
	}
	actions := m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: payloads})
	all, n := frames(actions)
	assert.Equal(t, len(all.Starts), len(payloads))
	assert.Equal(t, n, 8)
}

// oneAgent places every task on agent 1.
type oneAgent struct{ fifo }

func (s *oneAgent) Next(now time.Duration) (p placement, ok bool) {
	p, ok = s.fifo.Next(now)
	p.Agent = 1
	return p, ok
}

// Guards against an answer of unbounded size, and against one that is cut.
func TestResultsAboveTheBoundFailTheJob(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}, MaxAnswerBytes: 10})
	m.Step(0, up(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2)})
	result := func(seq wire.Seq) wire.Result {
		return wire.Result{Seq: seq, Outcome: wire.Succeeded, Body: make([]byte, 6)}
	}
	actions := m.Step(0, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{result(1), result(2)},
	}})
	a := actions[0].(entry.Answer).Answer
	assert.Equal(t, a.Outcome, entry.Failed)
	assert.Equal(t, a.Reason, entry.ReasonAnswerTooLarge)
	assert.Equal(t, len(a.Results), 0)
}

// Guards against agents left on an old configuration, and against a
// configuration that reverts (P8).
func TestConfigurationSpreadsAndNeverReverts(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifo{}})
	m.Step(0, entry.Configured{Version: 5, State: []byte("five")})
	f, _ := frames(m.Step(0, up(1, 3)))
	assert.Equal(t, f.Config.Version, int64(5))
	f, _ = frames(m.Step(0, entry.Configured{Version: 4, State: []byte("four")}))
	assert.Assert(t, f.Config == nil)

	newer := wire.ConfigState{Version: 7, State: []byte("seven")}
	actions := m.Step(0, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Config: &newer}})
	assert.DeepEqual(t, actions[0].(entry.LearnedConfig).State.State, newer.State)
	f, _ = frames(m.Step(0, up(2, 5)))
	assert.Assert(t, f.Config == nil)
}

// Guards against whole configurations sent for each change, which at the target
// scale exceed an agent's bytes a second, and against a delta sent to an agent
// that lacks what it builds on.
func TestOnlyAgentsThatAreUpToDateGetADelta(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifo{}})
	whole := entry.Configured{Version: 5, State: []byte("five")}
	m.Step(0, whole)
	m.Step(0, up(1, 5))
	f, _ := frames(m.Step(0, entry.Configured{Version: 7, State: []byte("seven"), Delta: []byte("7"), Since: 5}))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("7"), Since: 5})
	f, _ = frames(m.Step(0, up(2, 4)))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("seven")})
	f, _ = frames(m.Step(0, up(3, 6)))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("7"), Since: 5})

	// An agent that could not use a delta says what it has and gets the whole.
	has := &wire.ToEntry{Config: &wire.ConfigState{Version: 4, State: []byte("four")}}
	f, _ = frames(m.Step(0, entry.Received{Agent: 1, Epoch: 3, Frame: has}))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("seven")})
}

// Guards against agents that are not told of a changed entry list.
func TestEntryListIsSentWhenItChanges(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifo{}})
	m.Step(0, up(1, 0))
	list := []wire.EntryAddr{{Incarnation: 9, Peer: "10.0.0.9:7000"}}
	f, _ := frames(m.Step(0, entry.Entries{List: list}))
	assert.Equal(t, len(f.Entries), 1)
	f, _ = frames(m.Step(0, entry.Entries{List: list}))
	assert.Equal(t, len(f.Entries), 0)
}

// Guards against memory that grows without bound: a job beyond a bound of the
// machine is refused as not run, and accepted again once there is room.
func TestJobsBeyondTheBoundsAreRefused(t *testing.T) {
	for _, o := range []entry.Options{{MaxJobs: 1}, {MaxTasks: 3}, {MaxPayloadBytes: 3}} {
		o.Scheduler = &held{}
		m := entry.New(o)
		submit := func(id byte) []entry.Action {
			return m.Step(0, entry.Submit{
				Submission: wire.SubmissionID{id}, Deadline: time.Minute, Payloads: [][]byte{{1}, {2}},
			})
		}
		assert.Equal(t, len(submit(1)), 0)
		a := submit(2)[0].(entry.Answer).Answer
		assert.Equal(t, a.Outcome, entry.Refused)
		assert.Equal(t, a.Reason, entry.ReasonTooManyJobs)
		assert.Assert(t, a.RetryAfter > 0)
		m.Step(0, entry.CancelJob{Submission: wire.SubmissionID{1}})
		assert.Equal(t, len(submit(3)), 0)
	}
}

// Guards against a refused task that waits for the next tick although its
// retry delay has ended.
func TestRefusedTaskIsPlacedWhenItsDelayEnds(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &delayed{}})
	m.Step(0, up(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 1)})
	m.Step(0, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.NotRun, Reason: wire.ReasonBusy}},
	}})
	at, ok := m.NextRetry()
	assert.Assert(t, ok)
	f, _ := frames(m.Step(at-1, entry.Tick{}))
	assert.Equal(t, len(f.Starts), 0)
	f, _ = frames(m.Step(at, entry.Tick{}))
	assert.Equal(t, f.Starts[0].Seq, wire.Seq(2))
}

// delayed has tasks retried after 2 ms.
type delayed struct{ oneAgent }

func (*delayed) Retry(time.Duration, *policy.Task, wire.Reason) (time.Duration, bool) {
	return 2 * time.Millisecond, true
}
