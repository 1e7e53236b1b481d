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

// Guards against a task that runs twice: an agent that was paused after it had sent its
// hello finds the entry's answer and a start behind it when it wakes. The entry has given
// the start up meanwhile, so neither the answer nor the start may count as a sign of life
// from the time at which it is handled.
func TestPausedAgentRefusesStartBehindOldHello(t *testing.T) {
	const lease = 500 * time.Millisecond
	for _, pause := range []time.Duration{lease / 2, lease + 1, 1300 * time.Millisecond} {
		s := newScript(Options{Slots: 1, RunLease: lease})
		s.step(LinkDown{Entry: entryA, Epoch: 1})
		s.now += time.Minute
		helloSentAt := s.now
		s.now += pause
		s.step(LinkUp{Entry: entryA, Epoch: 2, HelloSentAt: helloSentAt})
		seq := s.nextSeq
		s.receive(wire.ToAgent{Starts: []wire.Start{{Seq: seq, Class: "c", Deadline: 10_000_000}}})
		if pause <= lease {
			assert.Equal(t, len(s.running), 1, "pause of %v", pause)
			continue
		}
		assert.Equal(t, len(s.running), 0, "pause of %v", pause)
		assert.Equal(t, s.result(t, seq).Outcome, wire.NotRun)
		assert.Equal(t, s.result(t, seq).Reason, wire.ReasonExpired)
		s.nextSeq = seq + 1
		s.receive(wire.ToAgent{ClockEcho: wire.MicrosOf(s.now), Starts: []wire.Start{{Seq: s.nextSeq, Class: "c", Deadline: 10_000_000}}})
		assert.Equal(t, len(s.running), 1, "the entry has shown that it is alive")
	}
}

// Guards against a start without a limit: the process may be frozen between the agent's
// decision and the start, so the start has to state until when its entry permits it. The
// time counts from the newest proof that the entry is alive, not from the decision.
func TestRunStatesUntilWhenItIsPermitted(t *testing.T) {
	const lease = 500 * time.Millisecond
	for _, c := range []struct {
		lease, echoAge, want time.Duration
	}{
		{lease, 0, lease},
		{lease, 400 * time.Millisecond, lease - 400*time.Millisecond},
	} {
		s := newScript(Options{Slots: 1, RunLease: c.lease})
		s.now += c.echoAge
		s.start(1, 0)
		assert.Equal(t, s.running[0].PermittedUntil, s.now+c.want, "echo of %v", c.echoAge)
	}
	s := newScript(Options{Slots: 1})
	s.start(1, 0)
	assert.Equal(t, s.running[0].PermittedUntil, time.Duration(0), "without a lease there is no limit")
}

// Guards against runs whose lease ends although their entry is alive, because its
// permission is not reported, and against needless reports: one in each tick would cost
// an idle agent more than its polls.
func TestChangedPermissionsOfEntriesWithRunsAreReported(t *testing.T) {
	const lease = 500 * time.Millisecond
	s := newScript(Options{Slots: 2, RunLease: lease})
	s.step(LinkUp{Entry: entryB, Epoch: 2, HelloSentAt: s.now})
	tick := func() []Permission {
		s.now += 50 * time.Millisecond
		for _, a := range s.machine.Step(s.now, Tick{}) {
			if x, ok := a.(Permissions); ok {
				return x.List
			}
		}
		return nil
	}
	echo := s.now
	assert.Equal(t, len(tick()), 0, "no runs")
	s.start(1, 0)
	s.start(1, 0)
	assert.DeepEqual(t, tick(), []Permission{{Entry: entryA, Until: echo + lease}})
	assert.Equal(t, len(tick()), 0, "no change")
	echo = s.now
	s.receive(wire.ToAgent{ClockEcho: wire.MicrosOf(echo)})
	s.step(Received{Entry: entryB, Epoch: 2, Frame: &wire.ToAgent{ClockEcho: wire.MicrosOf(echo)}})
	assert.DeepEqual(t, tick(), []Permission{{Entry: entryA, Until: echo + lease}})
	s.finishAll(succeeded)
	s.receive(wire.ToAgent{ClockEcho: wire.MicrosOf(s.now)})
	assert.Equal(t, len(tick()), 0, "no runs any more")

	s = newScript(Options{Slots: 1})
	s.start(1, 0)
	assert.Equal(t, len(tick()), 0, "without a lease")
}

// Guards against a cancelled run that is renewed: its caller may send the job again 1.3 s
// after its connection broke, and the worker may leave the stop unanswered. The process may
// have been frozen while the cancel waited in its socket, so that neither the time at which
// it is handled nor a later sign of life counts.
func TestCancelEndsThePermissionOfTheRun(t *testing.T) {
	const lease = 500 * time.Millisecond
	for _, c := range []struct {
		name    string
		lease   time.Duration
		echoAge time.Duration // of the frame with the cancel
		want    time.Duration // from the time at which the cancel is handled
	}{
		{"calm", lease, 200 * time.Millisecond, 0},
		{"frozen for 0.3 s", lease, 300 * time.Millisecond, 0},
		{"frozen for 2 s", lease, 2 * time.Second, lease - 2*time.Second},
		{"without a lease", 0, 0, -2 * time.Second},
	} {
		s := newScript(Options{Slots: 1, RunLease: c.lease})
		seq := s.start(1, 0)
		s.now++
		echo := wire.MicrosOf(s.now)
		s.now += c.echoAge
		var stop Stop
		frame := wire.ToAgent{ClockEcho: echo, Cancels: []wire.Seq{seq}}
		for _, a := range s.machine.Step(s.now, Received{Entry: entryA, Epoch: 1, Frame: &frame}) {
			if x, ok := a.(Stop); ok {
				stop = x
			}
		}
		want := s.now + c.want
		if c.lease == 0 {
			want = 0
		}
		assert.Equal(t, stop.PermittedUntil.Round(10*time.Microsecond), want.Round(10*time.Microsecond), c.name)
	}
}
