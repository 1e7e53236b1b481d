package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	entryA = wire.Incarnation(10)
	entryB = wire.Incarnation(11)
)

// script delivers events to a machine and records its actions.
type script struct {
	machine *Machine
	now     time.Duration
	nextSeq wire.Seq
	running []*Run
	results []wire.Result
	frames  []*wire.ToEntry
	entries []wire.Incarnation // receiver of each frame
	stops   int
	probes  int
	retired int
	drained bool
}

func newScript(opts Options) *script {
	s := &script{machine: New(opts), now: time.Second, nextSeq: 1}
	s.step(LinkUp{Entry: entryA, Epoch: 1})
	return s
}

func (s *script) step(ev Event) {
	for _, action := range s.machine.Step(s.now, ev) {
		switch x := action.(type) {
		case *Run:
			s.running = append(s.running, x)
		case *Send:
			s.frames = append(s.frames, x.Frame)
			s.entries = append(s.entries, x.Entry)
			s.results = append(s.results, x.Frame.Results...)
		case Stop:
			s.stops++
		case Probe:
			s.probes++
		case Retired:
			s.retired++
		case Drained:
			s.drained = true
		}
	}
}

// receive delivers a frame of entry A on its newest link.
func (s *script) receive(f wire.ToAgent) {
	s.step(Received{Entry: entryA, Epoch: s.machine.entries[entryA].epoch, Frame: &f})
}

// start sends a start of the submission with the given MaxWait.
func (s *script) start(submission byte, maxWait time.Duration) wire.Seq {
	seq := s.nextSeq
	s.nextSeq++
	s.receive(wire.ToAgent{Starts: []wire.Start{{
		Seq: seq, Submission: wire.SubmissionID{submission}, Class: "c",
		MaxWait: wire.MicrosOf(maxWait), Deadline: 10_000_000,
	}}})
	return seq
}

// finishFirst ends the run that started first.
func (s *script) finishFirst(f Finished) {
	f.Attempt = s.running[0].Attempt
	s.running = s.running[1:]
	s.step(f)
}

// finishAll ends the runs that are running now, in the order of their starts.
func (s *script) finishAll(f Finished) {
	for n := len(s.running); n > 0; n-- {
		s.finishFirst(f)
	}
}

func (s *script) advance(d time.Duration) {
	s.now += d
	s.step(Tick{})
}

func (s *script) result(t *testing.T, seq wire.Seq) wire.Result {
	t.Helper()
	for _, r := range s.results {
		if r.Seq == seq {
			return r
		}
	}
	t.Fatalf("attempt %d has no result", seq)
	return wire.Result{}
}

var (
	succeeded = Finished{Outcome: wire.Succeeded, RunTime: 10 * time.Millisecond}
	failed    = Finished{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500}
)

// Guards against an upstream that fails every task immediately and consumes tasks
// faster than three entries, which send whenever they believe a slot is free, can
// notice. The count covers three seconds without any ejection by entries.
func TestUpstreamThatFailsEverythingCostsFewTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		// submission returns the submission of the n-th task.
		submission func(n int) byte
	}{
		{"a submission for each task", func(n int) byte { return byte(n) }},
		{"first eight of one submission", func(n int) byte { return byte(max(0, n-7)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(Options{Slots: 8})
			cost, sent := 0, 0
			for s.now < 4*time.Second {
				for range 3 * 8 {
					s.start(c.submission(sent), 10*time.Second)
					sent++
				}
				cost += len(s.running)
				s.finishAll(failed)
				for len(s.running) > 0 {
					cost++
					s.finishFirst(failed)
				}
				s.advance(time.Millisecond)
			}
			t.Logf("%d of %d tasks failed", cost, sent)
			assert.Assert(t, cost <= 10, "%d tasks failed", cost)
		})
	}
}

// Guards against a faulty job that makes a healthy upstream suspect.
func TestOneFaultySubmissionDoesNotMakeUpstreamSuspect(t *testing.T) {
	s := newScript(Options{Slots: 8})
	for range 20 {
		s.start(1, 0)
		s.finishFirst(failed)
	}
	s.start(2, 0)
	s.finishFirst(succeeded)
	for range 8 {
		s.start(2, 0)
	}
	assert.Equal(t, len(s.running), 8)
	for _, r := range s.results {
		assert.Assert(t, r.Reason != wire.ReasonSuspect)
	}
}

// Guards against an upstream that stays suspect after it has recovered.
func TestOneSuccessEndsSuspectState(t *testing.T) {
	s := newScript(Options{Slots: 8})
	old := s.start(9, 0)
	s.now++
	for range suspectRuns / 2 {
		s.start(1, 0)
		s.start(2, 0)
	}
	for len(s.running) > 1 {
		last := s.running[1]
		s.running = append(s.running[:1], s.running[2:]...)
		f := failed
		f.Attempt = last.Attempt
		s.step(f)
	}
	assert.Equal(t, s.running[0].Attempt.Seq, old)
	s.finishFirst(succeeded) // started before the failures, so it does not end the streak
	refused := s.start(3, time.Hour)
	assert.Equal(t, s.result(t, refused).Reason, wire.ReasonSuspect)
	s.advance(suspectDelay)
	s.start(4, 0)
	refused = s.start(5, time.Hour)
	assert.Equal(t, s.result(t, refused).Reason, wire.ReasonSuspect)
	s.finishFirst(succeeded)
	for range 8 {
		s.start(6, 0)
	}
	assert.Equal(t, len(s.running), 8)
}

// Guards against starts that are accepted for an unreachable upstream, and against
// an agent that does not detect that the upstream is reachable again.
func TestUnreachableUpstreamIsReportedAndProbed(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.finishFirst(Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonUpstreamDown)
	assert.Assert(t, s.frames[len(s.frames)-1].Load.Down)
	refused := s.start(1, time.Minute)
	assert.Equal(t, s.result(t, refused).Reason, wire.ReasonUpstreamDown)
	assert.Equal(t, s.probes, 1)
	s.step(Probed{Reachable: false})
	s.advance(10 * time.Millisecond)
	assert.Equal(t, s.probes, 1)
	s.advance(probeDelay)
	assert.Equal(t, s.probes, 2)
	s.step(Probed{Reachable: true})
	assert.Assert(t, !s.frames[len(s.frames)-1].Load.Down)
	s.start(1, 0)
	assert.Equal(t, len(s.running), 1)
}

// Guards against a limit that ignores overload signals of the upstream, falls
// below one, exceeds the slots or does not recover.
func TestLimitFollowsOverloadOfUpstream(t *testing.T) {
	s := newScript(Options{Slots: 8})
	busy := Finished{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Status: 503}
	for range 8 {
		s.start(1, 0)
	}
	s.finishAll(busy)
	assert.Equal(t, s.machine.limiter.limit(), 5) // one burst lowers the limit once
	for range 20 {
		s.advance(2 * time.Second)
		s.start(1, time.Minute)
		s.finishAll(busy)
	}
	assert.Equal(t, s.machine.limiter.limit(), 1)
	for range 100 {
		s.advance(2 * time.Second)
		s.start(1, time.Minute)
		s.finishAll(succeeded)
	}
	assert.Equal(t, s.machine.limiter.limit(), 8)
}

// Guards against a limit that stays high while run times increase several times.
func TestLimitFollowsInflatedRunTimes(t *testing.T) {
	s := newScript(Options{Slots: 8})
	run := func(n int, d time.Duration) {
		for range n {
			s.now += d
			s.start(1, time.Minute)
			s.finishAll(Finished{Outcome: wire.Succeeded, RunTime: d})
		}
	}
	run(300, 10*time.Millisecond)
	assert.Equal(t, s.machine.limiter.limit(), 8)
	run(50, 60*time.Millisecond)
	assert.Equal(t, s.machine.limiter.limit(), 4) // not below half of the slots, because inflation is only an estimate
	run(300, 10*time.Millisecond)
	assert.Equal(t, s.machine.limiter.limit(), 8)
}

// Guards against unbounded memory for the results of disconnected entries, and
// against a discarded result that is reported as not run.
func TestResultsOfDisconnectedEntryAreBounded(t *testing.T) {
	s := newScript(Options{Slots: 4, MaxRetainedBytes: 100})
	var seqs []wire.Seq
	for range 4 {
		seqs = append(seqs, s.start(1, 0))
	}
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	big := succeeded
	big.Body = make([]byte, 60)
	s.finishAll(big)
	assert.Assert(t, s.machine.retainedBytes <= 100)
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.receive(wire.ToAgent{Queries: seqs})
	assert.Equal(t, s.result(t, seqs[0]).Outcome, wire.Unknown)
	assert.Equal(t, s.result(t, seqs[0]).Reason, wire.ReasonResultLost)
}

// Guards against a false "not run" for attempts of an entry whose record was
// removed.
func TestQueryAfterEntryRemovalIsUnknown(t *testing.T) {
	s := newScript(Options{Slots: 1})
	ran := s.start(1, 0)
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	s.finishFirst(succeeded)
	s.advance(DefaultEntryRetention)
	assert.Equal(t, len(s.machine.entries), 0)
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.receive(wire.ToAgent{Queries: []wire.Seq{ran}})
	assert.Equal(t, s.result(t, ran).Outcome, wire.Unknown)
}

// Guards against a replaced connection that is accepted after the record of its
// entry was removed: its delayed start would run after it was reported as not run.
func TestReplacedConnectionStaysRejectedAfterEntryRemoval(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.receive(wire.ToAgent{Queries: []wire.Seq{1}})
	assert.Equal(t, s.result(t, 1).Outcome, wire.NotRun)
	s.step(LinkDown{Entry: entryA, Epoch: 2})
	s.advance(DefaultEntryRetention)
	s.step(LinkUp{Entry: entryA, Epoch: 1})
	s.step(Received{Entry: entryA, Epoch: 1, Frame: &wire.ToAgent{Starts: []wire.Start{{Seq: 1, Deadline: 1e6}}}})
	assert.Equal(t, len(s.running), 0)
}

// Guards against a configuration that reverts to an older version, or that does
// not reach an entry which started during an outage of the log.
func TestNewestConfigurationReachesEntriesWithoutIt(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.step(LinkUp{Entry: entryB, Epoch: 2}) // has no configuration
	s.step(LinkUp{Entry: entryA, Epoch: 3, ConfigVersion: 7})
	s.frames = nil
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 7}})
	assert.Equal(t, len(s.frames), 1)
	assert.Equal(t, s.frames[0].Config.Version, int64(7))
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 6}})
	assert.Equal(t, s.machine.ConfigVersion(), int64(7))
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 8, State: make([]byte, wire.MaxConfigBytes+1)}})
	assert.Equal(t, s.machine.ConfigVersion(), int64(7))
	assert.Equal(t, len(s.frames), 1)
	s.step(LinkUp{Entry: 12, Epoch: 4, ConfigVersion: 6})
	assert.Equal(t, s.frames[1].Config.Version, int64(7))
	s.step(LinkUp{Entry: 13, Epoch: 5, ConfigVersion: 8})
	assert.Assert(t, s.frames[2].Config == nil)
}

// Guards against an entry that keeps an older version because the log refuses it,
// although its agents have the newer one, and against agents that send the
// configuration to entries which have it.
func TestEntryWithOldConfigurationGetsItFromAgents(t *testing.T) {
	s := newScript(Options{Slots: 1, HeartbeatInterval: time.Minute})
	s.step(LinkUp{Entry: entryB, Epoch: 2, ConfigVersion: 6})
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 7}})
	s.frames = nil
	s.advance(configForwardDelay / 2)
	assert.Equal(t, len(s.frames), 0, "the entry is given time to read the log itself")
	s.advance(configForwardDelay + configForwardSpread)
	assert.Equal(t, len(s.frames), 1)
	assert.Equal(t, s.frames[0].Config.Version, int64(7))
	s.advance(configForwardDelay + configForwardSpread)
	assert.Equal(t, len(s.frames), 1, "the configuration is sent once")
}

// Guards against a configuration that every agent of an entry sends although the
// entry has it, and against a series of versions that postpones the sending to an
// entry which the log refuses.
func TestSeriesOfVersionsIsForwardedOnlyToEntriesThatFallBehind(t *testing.T) {
	const interval = 80 * time.Millisecond
	s := newScript(Options{Slots: 1, HeartbeatInterval: time.Minute})
	s.step(LinkUp{Entry: entryB, Epoch: 2, ConfigVersion: 6}) // refused by the log
	s.step(LinkUp{Entry: 12, Epoch: 3, ConfigVersion: 6})     // one version behind
	s.frames, s.entries = nil, nil
	state := make([]byte, 2*smallConfigBytes)
	sentTo := func(entry wire.Incarnation) (n int) {
		for i, f := range s.frames {
			if s.entries[i] == entry && f.Config != nil && !f.Config.Announcement() {
				n++
			}
		}
		return n
	}
	for version := int64(7); version < 37; version++ {
		s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: version, State: state}})
		s.step(Received{Entry: 12, Epoch: 3, Frame: &wire.ToAgent{Config: wire.AnnounceConfig(version - 1)}})
		s.advance(interval)
	}
	assert.Equal(t, sentTo(12), 0)
	series := 30 * interval
	assert.Assert(t, sentTo(entryB) > 0)
	assert.Assert(t, sentTo(entryB) <= int(series/configForwardDelay), "sent %d times", sentTo(entryB))
	s.advance(configForwardDelay + configForwardSpread)
	s.advance(configForwardDelay + configForwardSpread)
	last := s.frames[len(s.frames)-1].Config
	assert.Equal(t, last.Version, int64(36))
}

// Guards against an agent that was paused and then starts a queued task whose entry
// has given it up meanwhile: the caller may have sent the job to another entry. The
// end of a run may be handled before the first tick after the pause.
func TestPausedAgentStartsNoTaskOfAnExpiredLease(t *testing.T) {
	const lease = 500 * time.Millisecond
	for _, pause := range []time.Duration{lease / 2, lease, lease + 1, 3 * time.Second} {
		s := newScript(Options{Slots: 1, RunLease: lease})
		s.start(1, time.Minute)
		queued := s.start(2, time.Minute)
		s.now += pause
		s.finishFirst(succeeded)
		if pause <= lease {
			assert.Equal(t, len(s.running), 1, "pause of %v", pause)
			continue
		}
		assert.Equal(t, len(s.running), 0, "pause of %v", pause)
		assert.Equal(t, s.result(t, queued).Outcome, wire.NotRun)
	}
}

// Guards against runs that end by an expired lease although entry and agent are both
// calm: the lease must be renewed well before it ends.
func TestLeaseOfCalmEntryIsRenewedInTime(t *testing.T) {
	const (
		interval = 200 * time.Millisecond
		oneWay   = 5 * time.Millisecond
		lease    = 500 * time.Millisecond
	)
	s := newScript(Options{Slots: 1, HeartbeatInterval: interval, RunLease: lease})
	s.start(1, 0)
	rec := s.machine.entries[entryA]
	var clock time.Duration // newest clock reading that the entry has received
	oldest := time.Duration(0)
	for range 50 {
		s.now += interval - 10*time.Millisecond // the entry's timer, which reads clock now
		echo := clock
		for range 2 { // ticks of the agent until the heartbeat arrives
			s.now += oneWay
			s.step(Tick{})
		}
		oldest = max(oldest, s.now-rec.aliveAt)
		s.receive(wire.ToAgent{ClockEcho: wire.MicrosOf(echo)})
		clock = s.frames[len(s.frames)-1].AgentClock.Duration()
	}
	assert.Assert(t, oldest <= 2*interval+2*oneWay, "lease %v old", oldest)
	assert.Equal(t, s.stops, 0)
}

// Guards against a copy that differs from the entries' configuration after a
// delta, and against a delta that is applied to a state on which it does not build.
func TestConfigDeltaIsMergedOnlyIntoItsBase(t *testing.T) {
	m := config.New(config.Options{})
	states := []*wire.ConfigState{configOf(t, m, "a"), configOf(t, m, "b"), configOf(t, m, "c")}
	delta := func(since int) *wire.ConfigState {
		body, ok := config.Delta(states[2].State, states[since].Version)
		assert.Assert(t, ok)
		return &wire.ConfigState{Version: states[2].Version, State: body, BaseVersion: states[since].Version}
	}
	s := newScript(Options{Slots: 1})
	s.step(LinkUp{Entry: entryA, Epoch: 1, ConfigVersion: 3})
	s.receive(wire.ToAgent{Config: states[0]})
	s.frames = nil
	s.receive(wire.ToAgent{Config: delta(1)})
	assert.Equal(t, s.machine.ConfigVersion(), states[0].Version)
	assert.DeepEqual(t, s.frames[0].Config, states[0]) // the older state makes the entry send the full state
	broken := &wire.ConfigState{Version: 3, State: []byte("?"), BaseVersion: states[0].Version}
	s.receive(wire.ToAgent{Config: broken})
	assert.Equal(t, s.machine.ConfigVersion(), states[0].Version)
	s.receive(wire.ToAgent{Config: delta(0)})
	assert.DeepEqual(t, s.machine.config, states[2])
}

// configOf adds a class and returns the resulting configuration.
func configOf(t *testing.T, m *config.Machine, name string) *wire.ConfigState {
	c := config.Change{Kind: config.KindClass, Name: name, Value: config.Value{ResponseTargetMicros: 1000}}
	body, err := (&config.Record{ID: config.ID{1}, Change: &c}).Encode()
	assert.NilError(t, err)
	m.Apply(m.Next(), 0, body)
	return &wire.ConfigState{Version: m.Version(), State: m.State().Encode()}
}

// Guards against a frame that exceeds the size limit and breaks every link on
// which its results are sent.
func TestLargeResultsAreSplitOverFrames(t *testing.T) {
	s := newScript(Options{Slots: 8})
	var seqs []wire.Seq
	for range 8 {
		seqs = append(seqs, s.start(1, 0))
	}
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	big := succeeded
	big.Body = make([]byte, 1<<20)
	s.finishAll(big)
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.frames = nil
	s.receive(wire.ToAgent{Queries: seqs})
	assert.Equal(t, len(s.frames), 4)
	for _, f := range s.frames {
		assert.Equal(t, len(f.Results), 2)
	}
}

// Guards against one long task whose open attempt keeps LowestOpenSeq low, so that
// short tasks that have ended fill the window and the agent refuses starts although
// slots are free. Also guards against released records that are reported as not
// run.
func TestLongTaskDoesNotFillTheWindow(t *testing.T) {
	s := newScript(Options{Slots: 2, MaxUnsettled: 100})
	long := s.start(1, 0)
	ran := s.nextSeq
	for range 1000 {
		seq := s.start(2, 0)
		assert.Equal(t, len(s.running), 2, "attempt %d", seq)
		s.now += 100 * time.Millisecond
		s.step(Finished{Attempt: s.running[1].Attempt, Outcome: wire.Succeeded, RunTime: 100 * time.Millisecond})
		s.running = s.running[:1]
	}
	s.results = nil
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.receive(wire.ToAgent{Queries: []wire.Seq{long, ran}})
	assert.Equal(t, s.result(t, ran).Outcome, wire.Unknown)
	s.finishFirst(succeeded)
	assert.Equal(t, s.result(t, long).Outcome, wire.Succeeded)
	s.receive(wire.ToAgent{LowestOpenSeq: s.nextSeq})
	assert.Equal(t, len(s.machine.entries[entryA].releasedEarly), 0)
}
