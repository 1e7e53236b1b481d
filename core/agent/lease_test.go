package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

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
