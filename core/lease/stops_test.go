package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against the end of all runs at a worker that leaves some stops unanswered: the
// lease is not renewed until one is answered.
func TestUnansweredStopIsRepeatedSoon(t *testing.T) {
	w := newPermissionWorker()
	w.request(liveEntry, w.now+time.Hour)
	w.step(Stop{Attempt: agent.AttemptID{Entry: liveEntry, Seq: 1}, PermittedUntil: w.now})
	assert.Equal(t, len(w.stops), 1)
	for range 20 { // calls time out after 25 ms
		w.now += 25 * time.Millisecond
		w.step(Stopped{Run: w.stops[0].Run})
		w.step(Tick{})
	}
	assert.Assert(t, len(w.stops) >= 10, "%d stops", len(w.stops))
	sent := len(w.stops)
	w.step(Stopped{Run: w.stops[0].Run, Acknowledged: true})
	w.now += 25 * time.Millisecond
	w.step(Tick{})
	assert.Equal(t, len(w.stops), sent, "an answered stop is repeated after StopRetry")
}

// Guards against the end of all runs at a worker that leaves a few stops of a run without
// record unanswered, as TestUnansweredStopIsRepeatedSoon does for recorded ones.
func TestUnansweredStopOfForeignRunIsRepeatedSoon(t *testing.T) {
	s := newPermissionScript()
	own := s.startAccepted("j", 1, s.now+time.Hour)
	foreign := wire.RunRef{Job: "foreign", Run: 1}
	s.now += 10 * time.Millisecond
	s.answerPoll(own, foreign)
	assert.Equal(t, len(s.stops), 1)
	for range 20 { // calls time out after 25 ms
		s.now += 25 * time.Millisecond
		s.step(Stopped{Run: foreign})
		s.step(Tick{})
	}
	assert.Assert(t, len(s.stops) >= 10, "%d stops in 0.5 s", len(s.stops))
}

// Guards against a task that counts as failed because its unanswered start was carried out
// after all, and stopped by the agent itself.
func TestRunStoppedByAgentItselfIsNotReportedAsStopped(t *testing.T) {
	s := newPermissionScript()
	run := s.start("j", 1, 0)
	for range maxStartAttempts {
		s.now += 25 * time.Millisecond
		s.step(Started{Run: run, Result: StartUnanswered})
	}
	for range 2 { // lists without the run, the second made after the last start call
		s.now += time.Millisecond
		s.answerPoll()
	}
	assert.Equal(t, len(s.stops), 1)
	s.step(Stopped{Run: run, Acknowledged: true})
	s.now += time.Millisecond
	s.answerPollWithEnds(EndedRun{Number: 1, Run: run, Kind: EndedStopped})
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Reason, wire.ReasonRunEnded)
}
