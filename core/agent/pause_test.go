package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a pause of the process (a time jump) at any step that makes a
// task start after its deadline, start twice or stay without an answer.
func TestPauseAtEachStep(t *testing.T) {
	const pause = time.Minute // longer than the deadline and the link lease
	for _, c := range []struct {
		name   string
		before func(s *script) // up to the pause
		after  func(s *script) // what arrives after it, before the next tick
		want   wire.Reason
		out    wire.Outcome
	}{
		{
			name:   "before the start is read",
			before: func(s *script) {},
			after:  func(s *script) { s.start(1, time.Minute); s.end(succeeded) },
			out:    wire.Succeeded, // durations count from the receipt
		},
		{
			name:   "while queued",
			before: func(s *script) { s.occupy(); s.start(1, time.Minute) },
			after:  func(s *script) { s.endAll(succeeded) },
			out:    wire.NotRun, want: wire.ReasonExpired,
		},
		{
			name:   "while running",
			before: func(s *script) { s.start(1, 0) },
			after:  func(s *script) { s.end(succeeded) },
			out:    wire.Succeeded,
		},
		{
			name:   "while running, stopped at the deadline",
			before: func(s *script) { s.start(1, 0) },
			after:  func(s *script) { s.end(Finished{Outcome: wire.Unknown, Reason: wire.ReasonRunLimit}) },
			out:    wire.Unknown, want: wire.ReasonRunLimit,
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
				s.endAll(succeeded) // of the task that occupied the slot
				s.frame(wire.ToAgent{Queries: []wire.Seq{s.nextSeq - 1}})
			},
			out: wire.NotRun, want: wire.ReasonExpired,
		},
		{
			name: "ended with the link lost",
			before: func(s *script) {
				s.start(1, 0)
				s.step(LinkDown{Entry: entryA, Epoch: 1})
				s.end(succeeded)
			},
			after: func(s *script) {
				s.step(LinkUp{Entry: entryA, Epoch: 2})
				s.frame(wire.ToAgent{Queries: []wire.Seq{s.nextSeq - 1}})
			},
			out: wire.Succeeded,
		},
		{
			name:   "draining",
			before: func(s *script) { s.start(1, 0); s.step(Drain{}) },
			after:  func(s *script) { s.end(succeeded) },
			out:    wire.Succeeded,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(Options{Slots: 1})
			c.before(s)
			s.now += pause
			c.after(s)
			s.pass(50 * time.Millisecond)
			r := s.result(t, s.nextSeq-1)
			assert.Equal(t, r.Outcome, c.out)
			assert.Equal(t, r.Reason, c.want)
			assert.Equal(t, len(s.running), 0)
		})
	}
}

func (s *script) occupy() { s.start(9, 0) }

// Guards against queued tasks that outlive their entry.
func TestQueuedTasksOfLostEntryAreNotRun(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	for range 2 {
		s.start(1, time.Minute)
	}
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	s.pass(DefaultLinkLease)
	assert.Equal(t, s.m.queue.Len(), 0)
	s.end(succeeded)
	assert.Equal(t, len(s.running), 0)
}

// Guards against a run for an attempt that its entry has given up.
func TestFloorDropsQueuedAttempt(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	s.start(1, time.Minute)
	s.frame(wire.ToAgent{Floor: s.nextSeq})
	s.end(succeeded)
	assert.Equal(t, len(s.running), 0)
	assert.Equal(t, len(s.m.peers[entryA].attempts), 0)
}

// Guards against a cancel that leaves a queued task in the queue or waits for
// the next tick.
func TestCancelIsAnsweredInTheSameStep(t *testing.T) {
	s := newScript(Options{Slots: 1})
	ran := s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.frame(wire.ToAgent{Cancels: []wire.Seq{ran, queued}})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonCancelled)
	assert.Equal(t, s.stops, 1)
}

// Guards against an agent that leaves with undelivered results, drops a start
// that crossed the announcement, or never leaves because an entry is gone.
func TestDrainDeliversResultsWithinItsBound(t *testing.T) {
	s := newScript(Options{Slots: 1})
	ran := s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.step(Drain{})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonDraining)
	assert.Assert(t, s.frames[len(s.frames)-1].Load.Draining)
	s.pass(9 * time.Second)
	assert.Assert(t, !s.drained) // the run goes on
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	s.end(succeeded)
	assert.Assert(t, !s.drained) // the result was not delivered
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.frame(wire.ToAgent{Queries: []wire.Seq{ran}})
	assert.Equal(t, s.result(t, ran).Outcome, wire.Succeeded)
	assert.Assert(t, !s.drained) // nor settled
	s.frame(wire.ToAgent{Floor: s.nextSeq})
	assert.Assert(t, s.drained)

	s = newScript(Options{Slots: 1})
	s.start(1, 0)
	s.step(Drain{})
	crossed := s.start(1, 0)
	assert.Equal(t, s.result(t, crossed).Reason, wire.ReasonDraining)
	s.end(succeeded)
	s.pass(DefaultDeliveryBound - 1)
	assert.Assert(t, !s.drained)
	s.pass(1) // the entry never settles
	assert.Assert(t, s.drained)
}

// Guards against a link that is given up with work on it, or while its entry
// may still send starts.
func TestRetiredLinkIsFinishedFirst(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	queued := s.start(1, time.Minute)
	s.step(Retire{Entry: entryA})
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonDraining)
	assert.Assert(t, s.frames[len(s.frames)-1].Load.Draining)
	s.pass(DefaultDrainLinger)
	s.end(succeeded)
	s.pass(DefaultDrainLinger)
	assert.Equal(t, s.retired, 0) // not settled
	s.frame(wire.ToAgent{Floor: s.nextSeq})
	s.pass(0)
	s.pass(0)
	assert.Equal(t, s.retired, 1)
	late := s.start(1, 0)
	assert.Equal(t, s.result(t, late).Reason, wire.ReasonDraining)
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	s.start(1, 0)
	assert.Equal(t, len(s.running), 1)
}

// Guards against an expected wait that misleads the refusal decision: over a
// simulated load its mean must be near the mean of the real waits.
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

// simulateWaits offers 90% load to 8 slots and returns the mean expected and
// real wait of the starts that had to wait. The simulation is seeded.
func simulateWaits(draw func(*rand.Rand) time.Duration) (expected, real time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := newScript(Options{Slots: 8, QueueCapacity: 1000})
	var ends []time.Duration // parallel to s.running
	var waits int
	guess := make(map[wire.Seq]time.Duration)
	arrival := s.now
	for range 20000 {
		arrival += time.Duration(rng.ExpFloat64() * 1e8 / 8 / 0.9)
		for {
			for len(ends) < len(s.running) {
				r := s.running[len(ends)]
				ends = append(ends, s.now+draw(rng))
				if g := guess[r.Attempt.Seq]; g > 0 {
					waits++
					expected += g
					real += s.now - s.m.peers[entryA].attempts[r.Attempt.Seq].arrived
				}
			}
			first := earliest(ends)
			if first < 0 || ends[first] > arrival {
				break
			}
			s.now = ends[first]
			r := s.running[first]
			began := s.m.peers[entryA].attempts[r.Attempt.Seq].started
			ends = append(ends[:first], ends[first+1:]...)
			s.running = append(s.running[:first], s.running[first+1:]...)
			s.step(Finished{Attempt: r.Attempt, Outcome: wire.Succeeded, Run: s.now - began})
		}
		s.now = arrival
		guess[s.nextSeq] = s.m.expectedWait(s.now, s.now, 1)
		s.frame(wire.ToAgent{Floor: 0})
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
