package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// permissionScript delivers events to a machine whose worker has answered a poll at the
// start, and records its actions.
type permissionScript struct {
	m        *Machine
	now      time.Duration
	starts   []CallStart
	stops    []CallStop
	polls    []CallPoll
	finished []Finished
	expired  []StartExpired
}

func newPermissionScript() *permissionScript {
	s := &permissionScript{m: New(Options{}), now: time.Minute}
	s.step(Tick{})
	s.answerPoll()
	return s
}

func (s *permissionScript) step(ev Event) {
	for _, a := range s.m.Step(s.now, ev) {
		switch x := a.(type) {
		case CallStart:
			s.starts = append(s.starts, x)
		case CallStop:
			s.stops = append(s.stops, x)
		case CallPoll:
			s.polls = append(s.polls, x)
		case Finished:
			s.finished = append(s.finished, x)
		case StartExpired:
			s.expired = append(s.expired, x)
		}
	}
}

// answerPoll answers a poll now. The worker's clock is 10 s behind the machine's.
func (s *permissionScript) answerPoll(running ...wire.RunRef) {
	s.step(Polled{Status: &WorkerStatus{Incarnation: 1, Clock: s.workerClock(s.now), Running: running}})
}

func (s *permissionScript) workerClock(t time.Duration) time.Duration { return t - 10*time.Second }

// start requests the run of a task whose entry permits it until the given time.
func (s *permissionScript) start(job string, seq wire.Seq, permittedUntil time.Duration) wire.RunRef {
	run := wire.RunRef{Job: job, Run: 1}
	s.step(Start{Attempt: agent.AttemptID{Entry: 1, Seq: seq}, Run: run, PermittedUntil: permittedUntil})
	return run
}

// Guards against a task that runs twice: the process is frozen between the agent's
// decision to start it and the start, and starts it on waking although its entry has
// given it up and started it elsewhere.
func TestStartIsRefusedAfterItsPermissionExpired(t *testing.T) {
	const permission = 500 * time.Millisecond
	for _, c := range []struct {
		frozen  time.Duration
		started bool
	}{
		{0, true},
		{permission, true},
		{permission + 1, false},
		{3 * time.Second, false},
	} {
		s := newPermissionScript()
		permittedUntil := s.now + permission
		s.now += c.frozen
		s.start("j", 1, permittedUntil)
		if c.started {
			assert.Equal(t, len(s.starts), 1, "frozen for %v", c.frozen)
			continue
		}
		assert.Equal(t, len(s.starts), 0, "frozen for %v", c.frozen)
		assert.Equal(t, len(s.finished), 1)
		assert.Equal(t, s.finished[0].Outcome, wire.NotRun)
		assert.Equal(t, s.finished[0].Reason, wire.ReasonExpired)
		assert.Equal(t, len(s.expired), 1, "the refusal can be told from others in the log")
		assert.Equal(t, s.expired[0].Age, c.frozen-permission)
	}
}

// Guards against a task that runs twice: the process is frozen while a start call is in
// flight, finds it unanswered on waking and sends it again with a new deadline.
func TestUnansweredStartIsNotRepeatedAfterItsPermissionExpired(t *testing.T) {
	const permission = 500 * time.Millisecond
	for _, c := range []struct {
		frozen time.Duration
		starts int
		// outcome is that of the unanswered call once it can no longer take effect: a
		// list shows that it did not, or its lease has expired.
		outcome wire.Outcome
	}{
		{25 * time.Millisecond, 2, wire.NotRun},
		{permission, 2, wire.NotRun},
		{permission + 1, 1, wire.NotRun},
		{3 * time.Second, 1, wire.Failed},
	} {
		s := newPermissionScript()
		run := s.start("j", 1, s.now+permission)
		s.now += c.frozen
		s.step(Started{Run: run, Result: StartUnanswered})
		assert.Equal(t, len(s.starts), c.starts, "frozen for %v", c.frozen)
		for range maxStartAttempts - 1 { // has no effect on a start that is not repeated
			s.step(Started{Run: run, Result: StartUnanswered})
		}
		for range 3 {
			s.now += 10 * time.Millisecond
			s.step(Stopped{Run: run, Acknowledged: true})
			s.answerPoll()
		}
		assert.Equal(t, len(s.finished), 1)
		assert.Equal(t, s.finished[0].Outcome, c.outcome, "frozen for %v", c.frozen)
	}
}
