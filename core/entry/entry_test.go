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

func linkUp(epoch wire.Epoch, version int64) entry.LinkUp {
	return entry.LinkUp{Hello: wire.AgentHello{Agent: 1, Epoch: epoch, Name: "w", Slots: 8, ConfigVersion: version}}
}

// mergeFrames merges the frames among the actions and returns their number.
func mergeFrames(actions []entry.Action) (all wire.ToAgent, n int) {
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
// the cancel was lost when the link went down.
func TestCancelIsResentAfterReconnect(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2)})
	m.Step(0, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(0, entry.CancelJob{Submission: testJob})
	f, _ := mergeFrames(m.Step(0, linkUp(2, 0)))
	assert.DeepEqual(t, f.Cancels, []wire.Seq{1, 2})
	assert.DeepEqual(t, f.Queries, []wire.Seq{1, 2})
}

// Guards against a batch of starts that exceeds the frame limit: this closes
// the link, which leaves all its attempts in doubt.
func TestLargeBatchIsSplitIntoFrames(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	payloads := make([][]byte, 16)
	for i := range payloads {
		payloads[i] = make([]byte, 512<<10)
	}
	actions := m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: payloads})
	all, n := mergeFrames(actions)
	assert.Equal(t, len(all.Starts), len(payloads))
	assert.Equal(t, n, 8)
}

// oneAgentScheduler places every task on agent 1.
type oneAgentScheduler struct{ fifoScheduler }

func (s *oneAgentScheduler) Next(now time.Duration) (p placement, ok bool) {
	p, ok = s.fifoScheduler.Next(now)
	p.Agent = 1
	return p, ok
}

// Guards against answers of unbounded size and against truncated answers.
func TestResultsAboveMaxAnswerBytesFailJob(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}, MaxAnswerBytes: 10})
	m.Step(0, linkUp(1, 0))
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

// Guards against agents that keep an old configuration and against a
// configuration that reverts (promise P8).
func TestConfigIsPropagatedAndNeverReverts(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
	m.Step(0, entry.Configured{Version: 5, State: []byte("five")})
	f, _ := mergeFrames(m.Step(0, linkUp(1, 3)))
	assert.Equal(t, f.Config.Version, int64(5))
	f, _ = mergeFrames(m.Step(0, entry.Configured{Version: 4, State: []byte("four")}))
	assert.Assert(t, f.Config == nil)

	newer := wire.ConfigState{Version: 7, State: []byte("seven")}
	actions := m.Step(0, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Config: &newer}})
	assert.DeepEqual(t, actions[0].(entry.NewerConfig).State.State, newer.State)
	f, _ = mergeFrames(m.Step(0, linkUp(2, 5)))
	assert.Assert(t, f.Config == nil)
}

// Guards against an entry that stays behind without a trace of when it could have known
// of a newer version.
func TestNewerVersionIsReportedOnce(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
	m.Step(0, entry.Configured{Version: 5, State: []byte("five")})
	reported := func(actions []entry.Action) (out []int64) {
		for _, a := range actions {
			if x, ok := a.(entry.VersionAnnounced); ok {
				assert.Equal(t, x.Current, int64(5))
				out = append(out, x.Version)
			}
		}
		return out
	}
	announce := func(v int64) []entry.Action {
		return m.Step(0, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Config: wire.AnnounceConfig(v)}})
	}
	assert.DeepEqual(t, reported(m.Step(0, linkUp(1, 7))), []int64{7})
	assert.Equal(t, len(reported(announce(7))), 0)
	assert.DeepEqual(t, reported(announce(8)), []int64{8})
	assert.Equal(t, len(reported(m.Step(0, linkUp(2, 4)))), 0)
}

// Guards against sending the whole configuration for each change, which at the
// target scale exceeds an agent's bandwidth, and against sending a delta to an
// agent that lacks the version it builds on.
func TestConfigDeltaIsSentOnlyToAgentsWithItsBase(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
	whole := entry.Configured{Version: 5, State: []byte("five")}
	m.Step(0, whole)
	m.Step(0, linkUp(1, 5))
	f, _ := mergeFrames(m.Step(0, entry.Configured{Version: 7, State: []byte("seven"), Delta: []byte("7"), BaseVersion: 5}))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("7"), BaseVersion: 5})
	f, _ = mergeFrames(m.Step(0, linkUp(2, 4)))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("seven")})
	f, _ = mergeFrames(m.Step(0, linkUp(3, 6)))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("7"), BaseVersion: 5})

	// An agent that cannot apply a delta reports its version and gets the whole
	// configuration.
	has := &wire.ToEntry{Config: &wire.ConfigState{Version: 4, State: []byte("four")}}
	f, _ = mergeFrames(m.Step(0, entry.Received{Agent: 1, Epoch: 3, Frame: has}))
	assert.DeepEqual(t, *f.Config, wire.ConfigState{Version: 7, State: []byte("seven")})
}

// Guards against a large configuration that each of an agent's entries sends to it,
// and against a series of versions each of which is sent in full: the links of weak
// entries fill up and the leases on their runs expire.
func TestLargeConfigurationIsSentRarely(t *testing.T) {
	const interval = 80 * time.Millisecond
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
	for agent := wire.Incarnation(1); agent <= 2; agent++ {
		m.Step(0, entry.LinkUp{Hello: wire.AgentHello{Agent: agent, Epoch: 1, Slots: 8}})
	}
	sent := map[wire.Incarnation]int{}
	var last int64
	now := time.Duration(0)
	step := func(ev entry.Event) {
		for _, a := range m.Step(now, ev) {
			if send, ok := a.(entry.Send); ok && send.Frame.Config != nil && !send.Frame.Config.Announcement() {
				sent[send.Agent]++
				last = send.Frame.Config.Version
			}
		}
	}
	for version := int64(1); version <= 25; version++ {
		step(entry.Configured{Version: version, State: make([]byte, 64<<10)})
		// Agent 2 has got the version from another entry.
		step(entry.Received{Agent: 2, Epoch: 1, Frame: &wire.ToEntry{Config: wire.AnnounceConfig(version)}})
		now += interval
		step(entry.Tick{})
	}
	assert.Equal(t, sent[2], 0)
	assert.Assert(t, sent[1] > 0 && sent[1] <= 1+int(now/time.Second), "sent %d times in %v", sent[1], now)
	now += 2 * time.Second
	step(entry.Tick{})
	assert.Equal(t, last, int64(25), "the newest version arrives after the series")
}

// Guards against agents that miss a changed entry list.
func TestEntryListIsSentOnlyWhenItChanges(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &fifoScheduler{}})
	m.Step(0, linkUp(1, 0))
	list := []wire.EntryAddr{{Incarnation: 9, Peer: "10.0.0.9:7000"}}
	f, _ := mergeFrames(m.Step(0, entry.EntriesChanged{List: list}))
	assert.Equal(t, len(f.Entries), 1)
	f, _ = mergeFrames(m.Step(0, entry.EntriesChanged{List: list}))
	assert.Equal(t, len(f.Entries), 0)
}

// Guards against unbounded memory use: a job that exceeds a limit of the
// machine is refused as not run, and jobs are accepted again once there is
// room.
func TestJobsAboveLimitsAreRefused(t *testing.T) {
	for _, o := range []entry.Options{{MaxJobs: 1}, {MaxTasks: 3}, {MaxPayloadBytes: 3}} {
		o.Scheduler = &neverPlacesScheduler{}
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

// Guards against a refused task that waits for the next regular tick although
// its retry delay has ended.
func TestRefusedTaskIsPlacedWhenRetryDelayEnds(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &delayedRetryScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 1)})
	m.Step(0, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.NotRun, Reason: wire.ReasonBusy}},
	}})
	at, ok := m.NextRetry()
	assert.Assert(t, ok)
	f, _ := mergeFrames(m.Step(at-1, entry.Tick{}))
	assert.Equal(t, len(f.Starts), 0)
	f, _ = mergeFrames(m.Step(at, entry.Tick{}))
	assert.Equal(t, f.Starts[0].Seq, wire.Seq(2))
}

// delayedRetryScheduler retries tasks after 2 ms.
type delayedRetryScheduler struct{ oneAgentScheduler }

func (*delayedRetryScheduler) Retry(time.Duration, *policy.Task, wire.Reason) (time.Duration, bool) {
	return 2 * time.Millisecond, true
}
