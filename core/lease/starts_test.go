package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a run that is reported as not run while a call of its start may still be
// carried out: an answer of the worker that was read late, because the process was frozen,
// makes the deadline of the repeated call earlier than that of the first.
func TestStartIsRuledOutOnlyAfterItsLatestDeadline(t *testing.T) {
	s := newPermissionScript()
	s.m.Step(s.now, Tick{})
	read := s.workerClock(s.now)
	s.now += 100 * time.Millisecond
	run := s.start("j", 1, s.now+time.Second)
	s.now += 300 * time.Millisecond // frozen, with an answer to an earlier call in the socket
	s.step(Stopped{Run: run, Clock: read})
	for range maxStartAttempts {
		s.step(Started{Run: run, Result: StartUnanswered})
	}
	assert.Equal(t, len(s.starts), maxStartAttempts)
	first, last := s.starts[0].Deadline, s.starts[len(s.starts)-1].Deadline
	assert.Assert(t, last < first, "the case is not covered")
	list := func(clock time.Duration) {
		s.now += 10 * time.Millisecond
		s.step(Polled{Status: &WorkerStatus{Incarnation: 1, Clock: clock}})
		s.now += 10 * time.Millisecond
		s.step(Tick{})
	}
	list(last + 1)
	list(last + 2) // the poll was sent after the starts
	assert.Equal(t, len(s.finished), 0, "a call may still be carried out until its deadline")
	list(first + 1)
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Outcome, wire.NotRun)
}

// Guards against a task that runs twice: a poll finds the worker's process gone, the process
// of the agent is frozen, and on waking it handles a start that the restarted worker has
// accepted before the result of that poll. The poll proves nothing about this run.
func TestRunAcceptedAfterPollOutlivesGoneProcess(t *testing.T) {
	s := newPermissionScript()
	s.now += maxClockAge
	s.step(Tick{}) // sends a poll, which is refused
	s.now += time.Second
	run := s.start("j", 1, s.now+time.Second)
	s.now++
	s.step(Started{Run: run, Result: StartAccepted, Clock: s.workerClock(s.now)})
	s.now++
	s.step(Polled{ProcessGone: true})
	assert.Equal(t, len(s.finished), 0, "the run was accepted after the poll had been sent")
	s.now += pollRetry
	s.step(Tick{}) // sends the next poll
	s.now++
	s.step(Polled{ProcessGone: true})
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Reason, wire.ReasonWorkerCrashed)
}

// Guards against tasks of a recurring job that are refused while the same task of another
// occurrence runs at the worker: occurrences may overlap.
func TestTasksOfOverlappingOccurrencesRunAtOneWorker(t *testing.T) {
	s := newPermissionScript()
	for occurrence := range 2 {
		s.step(Start{
			Attempt: agent.AttemptID{Entry: 1, Seq: wire.Seq(occurrence + 1)},
			Run:     wire.RunRef{Job: "j", Occurrence: occurrence, Run: 1},
		})
	}
	assert.Equal(t, len(s.starts), 2)
	s.step(Start{Attempt: agent.AttemptID{Entry: 2, Seq: 1}, Run: wire.RunRef{Job: "j", Occurrence: 1, Run: 2}})
	assert.Equal(t, len(s.starts), 2, "a second run of the same task")
}

// Guards against a task that runs twice: a start gets no answer, its repetition is refused
// for want of room (or with 429 or 503, with which the worker has done nothing). The first
// call may still be carried out until its deadline, 0.7 s ahead: neither the refusal nor a
// list made before that proves anything, unless a stop was acknowledged before it.
func TestRefusedRepetitionDoesNotRuleOutTheFirstCall(t *testing.T) {
	for _, reason := range []wire.Reason{wire.ReasonNoRoom, wire.ReasonBusy, wire.ReasonUpstreamDown} {
		s := newPermissionScript()
		run := s.start("j", 1, s.now+500*time.Millisecond)
		began := s.now
		s.now += 25 * time.Millisecond
		s.step(Started{Run: run, Result: StartUnanswered})
		assert.Equal(t, len(s.starts), 2)
		s.now += time.Millisecond
		s.step(Started{Run: run, Result: StartRefused, Reason: reason, Clock: s.workerClock(s.now)})
		for range 5 {
			s.now += 10 * time.Millisecond
			s.answerPoll()
		}
		assert.Assert(t, s.workerClock(s.now) < s.starts[0].Deadline)
		assert.Assert(t, len(s.finished) == 0 || len(s.stops) > 0,
			"%v: reported as %v %v after the start, whose first call has a deadline in %v; no stop was sent",
			reason, s.finished, s.now-began, s.starts[0].Deadline-s.workerClock(s.now))
	}
}
