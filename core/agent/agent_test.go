package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	s.step(LinkUp{Entry: entryA, Epoch: 1, HelloSentAt: s.now})
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
