package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a task that starts after its deadline, starts twice or gets no
// answer because the process was paused (a time jump) at any step.
func TestPauseAtEachStep(t *testing.T) {
	const pause = time.Minute // longer than the deadline and the link lease
	for _, c := range []struct {
		name    string
		before  func(s *script) // events before the pause
		after   func(s *script) // events after the pause, before the next tick
		reason  wire.Reason     // of the outcome NotRun or Unknown
		outcome wire.Outcome
	}{
		{
			name:    "before the start is read",
			before:  func(s *script) {},
			after:   func(s *script) { s.start(1, time.Minute); s.finishFirst(succeeded) },
			outcome: wire.Succeeded, // durations count from the receipt of the frame
		},
		{
			name:    "while queued",
			before:  func(s *script) { s.occupy(); s.start(1, time.Minute) },
			after:   func(s *script) { s.finishAll(succeeded) },
			outcome: wire.NotRun, reason: wire.ReasonExpired,
		},
		{
			name:    "while running",
			before:  func(s *script) { s.start(1, 0) },
			after:   func(s *script) { s.finishFirst(succeeded) },
			outcome: wire.Succeeded,
		},
		{
			name:    "while running, stopped at the deadline",
			before:  func(s *script) { s.start(1, 0) },
			after:   func(s *script) { s.finishFirst(Finished{Outcome: wire.Unknown, Reason: wire.ReasonRunLimit}) },
			outcome: wire.Unknown, reason: wire.ReasonRunLimit,
		},
		{
			name: "queued with the link lost",
			before: func(s *script) {
				s.occupy()
				s.start(1, time.Minute)
				s.step(LinkDown{Entry: entryA, Epoch: 1})
			},
			after: func(s *script) {
				s.step(LinkUp{Entry: entryA, Epoch: 2})
				s.finishAll(succeeded) // the task that occupied the slot
				s.receive(wire.ToAgent{Queries: []wire.Seq{s.nextSeq - 1}})
			},
			outcome: wire.NotRun, reason: wire.ReasonExpired,
		},
		{
			name: "ended with the link lost",
			before: func(s *script) {
				s.start(1, 0)
				s.step(LinkDown{Entry: entryA, Epoch: 1})
				s.finishFirst(succeeded)
			},
			after: func(s *script) {
				s.step(LinkUp{Entry: entryA, Epoch: 2})
				s.receive(wire.ToAgent{Queries: []wire.Seq{s.nextSeq - 1}})
			},
			outcome: wire.Succeeded,
		},
		{
			name:    "draining",
			before:  func(s *script) { s.start(1, 0); s.step(Drain{}) },
			after:   func(s *script) { s.finishFirst(succeeded) },
			outcome: wire.Succeeded,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(Options{Slots: 1})
			c.before(s)
			s.now += pause
			c.after(s)
			s.advance(50 * time.Millisecond)
			r := s.result(t, s.nextSeq-1)
			assert.Equal(t, r.Outcome, c.outcome)
			assert.Equal(t, r.Reason, c.reason)
			assert.Equal(t, len(s.running), 0)
		})
	}
}

// occupy starts a task that takes the only slot.
func (s *script) occupy() { s.start(9, 0) }

// Guards against queued tasks that run after their entry was lost.
func TestQueuedTasksOfLostEntryAreNotRun(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	for range 2 {
		s.start(1, time.Minute)
	}
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	s.advance(DefaultLostLinkTimeout)
	assert.Equal(t, s.machine.queue.Len(), 0)
	s.finishFirst(succeeded)
	assert.Equal(t, len(s.running), 0)
}

// Guards against a run of an attempt that its entry has given up.
func TestLowestOpenSeqDropsQueuedAttempt(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	s.start(1, time.Minute)
	s.receive(wire.ToAgent{LowestOpenSeq: s.nextSeq})
	s.finishFirst(succeeded)
	assert.Equal(t, len(s.running), 0)
	assert.Equal(t, len(s.machine.entries[entryA].attempts), 0)
}

// Guards against a cancel that leaves a queued task in the queue or waits for
// the next tick.
func TestCancelIsAnsweredInTheSameStep(t *testing.T) {
	s := newScript(Options{Slots: 1})
	ran := s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.receive(wire.ToAgent{Cancels: []wire.Seq{ran, queued}})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonCancelled)
	assert.Equal(t, s.stops, 1)
}

// Guards against a draining agent that stops with undelivered results, does not
// answer a start that crossed the announcement, or never stops because an entry
// is gone.
func TestDrainDeliversResultsWithinItsBound(t *testing.T) {
	s := newScript(Options{Slots: 1})
	ran := s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.step(Drain{})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonDraining)
	assert.Assert(t, s.frames[len(s.frames)-1].Load.Draining)
	s.advance(9 * time.Second)
	assert.Assert(t, !s.drained) // the run has not ended
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	s.finishFirst(succeeded)
	assert.Assert(t, !s.drained) // the result has not been delivered
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.receive(wire.ToAgent{Queries: []wire.Seq{ran}})
	assert.Equal(t, s.result(t, ran).Outcome, wire.Succeeded)
	assert.Assert(t, !s.drained) // the result has not been settled
	s.receive(wire.ToAgent{LowestOpenSeq: s.nextSeq})
	assert.Assert(t, s.drained)

	s = newScript(Options{Slots: 1})
	s.start(1, 0)
	s.step(Drain{})
	crossed := s.start(1, 0)
	assert.Equal(t, s.result(t, crossed).Reason, wire.ReasonDraining)
	s.finishFirst(succeeded)
	s.advance(DefaultDrainSettleTimeout - 1)
	assert.Assert(t, !s.drained)
	s.advance(1) // the entry never settles
	assert.Assert(t, s.drained)
}

// Guards against a link that is retired before its work is settled or while its
// entry may still send starts.
func TestLinkRetiresOnlyAfterItsWorkIsSettled(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.step(Retire{Entry: entryA})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonDraining)
	assert.Assert(t, s.frames[len(s.frames)-1].Load.Draining)
	s.advance(DefaultDrainLinger)
	s.finishFirst(succeeded)
	s.advance(DefaultDrainLinger)
	assert.Equal(t, s.retired, 0) // the result has not been settled
	s.receive(wire.ToAgent{LowestOpenSeq: s.nextSeq})
	s.advance(0)
	s.advance(0)
	assert.Equal(t, s.retired, 1)
	late := s.start(1, 0)
	assert.Equal(t, s.result(t, late).Reason, wire.ReasonDraining)
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.start(1, 0)
	assert.Equal(t, len(s.running), 1)
}

// Guards against an expected wait that makes the refusal decision wrong: under a
// simulated load its mean must be close to the mean of the real waits.
func TestExpectedWaitIsNearTheRealWait(t *testing.T) {
	for name, draw := range map[string]func(*rand.Rand) time.Duration{
		"constant":    func(*rand.Rand) time.Duration { return 100 * time.Millisecond },
		"exponential": func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * 1e8) },
	} {
		expected, real := simulateWaits(draw)
		ratio := float64(expected) / float64(real)
		t.Logf("%s: mean expected %v, mean real %v, ratio %.2f", name, expected, real, ratio)
		assert.Assert(t, ratio > 0.7 && ratio < 1.5, "%s: ratio %.2f", name, ratio)
	}
}

// simulateWaits offers 90% load to 8 slots and returns the mean expected wait and
// the mean real wait of the starts that had to wait. The seed is fixed.
func simulateWaits(draw func(*rand.Rand) time.Duration) (expected, real time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := newScript(Options{Slots: 8, QueueCapacity: 1000})
	var ends []time.Duration // parallel to s.running
	var waits int
	expectedWaits := make(map[wire.Seq]time.Duration)
	arrival := s.now
	for range 20000 {
		arrival += time.Duration(rng.ExpFloat64() * 1e8 / 8 / 0.9)
		for {
			for len(ends) < len(s.running) {
				r := s.running[len(ends)]
				ends = append(ends, s.now+draw(rng))
				if expectedWait := expectedWaits[r.Attempt.Seq]; expectedWait > 0 {
					waits++
					expected += expectedWait
					real += s.now - s.machine.entries[entryA].attempts[r.Attempt.Seq].arrived
				}
			}
			first := earliest(ends)
			if first < 0 || ends[first] > arrival {
				break
			}
			s.now = ends[first]
			r := s.running[first]
			began := s.machine.entries[entryA].attempts[r.Attempt.Seq].started
			ends = append(ends[:first], ends[first+1:]...)
			s.running = append(s.running[:first], s.running[first+1:]...)
			s.step(Finished{Attempt: r.Attempt, Outcome: wire.Succeeded, RunTime: s.now - began})
		}
		s.now = arrival
		expectedWaits[s.nextSeq] = s.machine.expectedWait(s.now, s.now, 1)
		s.receive(wire.ToAgent{LowestOpenSeq: 0})
		s.start(1, time.Hour)
	}
	return expected / time.Duration(max(1, waits)), real / time.Duration(max(1, waits))
}

func earliest(ends []time.Duration) int {
	best := -1
	for i, at := range ends {
		if best < 0 || at < ends[best] {
			best = i
		}
	}
	return best
}
