package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

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
		// outcome is that of the unanswered call once it can no longer take effect and a
		// list shows that it did not.
		outcome wire.Outcome
	}{
		{25 * time.Millisecond, 2, wire.NotRun},
		{permission, 2, wire.NotRun},
		{permission + 1, 1, wire.NotRun},
		{3 * time.Second, 1, wire.NotRun},
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
