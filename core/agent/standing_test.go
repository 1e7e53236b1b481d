package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// lastingRun starts a run that never ends and lets it be at work for a while.
func (s *script) lastingRun(t *testing.T) {
	s.start(200, 0)
	assert.Equal(t, len(s.running), 1)
	s.running = nil
	s.advance(10 * time.Second)
}

// Guards against an upstream that gets no start any more after it failed some runs: the
// runs that are allowed at once fall with each failure and rise with a success only, and a
// run that lasts is the one that is still allowed.
func TestLastingRunDoesNotFillAllowedRunsAfterFailures(t *testing.T) {
	for _, c := range []struct {
		name        string
		submissions byte // of the runs that fail
		failures    int
	}{
		{"failures of one submission", 1, 7},
		{"suspect", 4, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(Options{Slots: 8})
			s.lastingRun(t)
			for i := range c.failures {
				s.start(byte(i)%c.submissions, 0)
				s.finishAll(failed)
			}
			assert.Equal(t, s.machine.suspect(), c.submissions > 1)
			s.advance(2 * suspectDelay)
			seq := s.start(100, 0)
			assert.Equal(t, len(s.running), 1, "the start is not run: %+v", s.results)
			other := s.start(101, 0)
			assert.Equal(t, s.result(t, other).Outcome, wire.NotRun, "a second run beside the trial")
			s.finishFirst(succeeded)
			assert.Equal(t, s.result(t, seq).Outcome, wire.Succeeded)
			assert.Equal(t, s.machine.allowedRuns(s.now), 8)
		})
	}
}

// Guards against a suspect upstream that gets one trial and then none any more, because the
// trial lasts.
func TestTrialThatLastsIsFollowedByAnother(t *testing.T) {
	s := newScript(Options{Slots: 8})
	for i := range suspectRuns {
		s.start(byte(i), 0)
		s.finishAll(failed)
	}
	for i := range 3 {
		s.advance(maxSuspectDelay)
		s.start(byte(100+i), 0)
		assert.Equal(t, len(s.running), i+1, "%+v", s.results)
	}
}

// Guards against a limit that stays low for good after overload, because runs that last
// succeed never.
func TestLimitRecoversWithoutSuccess(t *testing.T) {
	const slots = 8
	s := newScript(Options{Slots: slots})
	for range 3 {
		s.advance(time.Second)
		s.start(1, 0)
		s.finishFirst(Finished{Outcome: wire.NotRun, Reason: wire.ReasonBusy})
	}
	low := s.machine.limiter.limit()
	assert.Assert(t, low < slots/2, "limit %d", low)
	for range 4 * (slots + 1) {
		s.advance(limitRecoveryTime / 4)
	}
	assert.Equal(t, s.machine.limiter.limit(), slots)
}

// Guards against a task that is never started at the only worker that may run it: after
// failures fewer slots are allowed than it takes, and only a success would raise them.
func TestFailuresAreForgottenWithTime(t *testing.T) {
	s := newScript(Options{Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
	s.startNeeding(6200, 0) // lasts
	s.running = nil
	for i := range 3 * suspectRuns {
		s.advance(maxSuspectDelay / 2)
		s.start(byte(i), 0)
		s.finishAll(failed)
	}
	assert.Assert(t, s.machine.suspect())
	refused := s.startNeeding(24000, 0)
	assert.Equal(t, s.result(t, refused).Outcome, wire.NotRun)
	for range 8 {
		s.advance(limitRecoveryTime)
	}
	assert.Equal(t, s.machine.allowedRuns(s.now), 8)
	s.startNeeding(24000, 0)
	assert.Equal(t, len(s.running), 1)
}
