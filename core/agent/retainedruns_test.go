package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

var storedRun = wire.RunRef{Job: "j", Step: 1, Index: 2, Run: 3}

// runStored runs a task of a stored job until it succeeds.
func runStored(s *script) {
	s.receive(wire.ToAgent{ClockEcho: wire.MicrosOf(s.now), Starts: []wire.Start{{
		Seq: 1, Class: "c", Deadline: 10_000_000, Job: storedRun.Job, Step: storedRun.Step, Index: storedRun.Index, Run: storedRun.Run,
		RetainFinishedRun: true,
	}}})
	s.step(Finished{Attempt: s.running[0].Attempt, Outcome: wire.Succeeded})
}

// takeFinishedRuns returns the finished runs that the agent sent since the last
// call.
func (s *script) takeFinishedRuns() (out []wire.FinishedRun) {
	for _, f := range s.frames {
		out = append(out, f.FinishedRuns...)
	}
	s.frames = nil
	return out
}

// Guards against a finished run of a stored job that only a lost entry knows, so
// that the entry which takes over the job repeats its task.
func TestUnacknowledgedRunsAreSentToOtherEntries(t *testing.T) {
	s := newScript(Options{Slots: 2, RunLease: 500 * time.Millisecond})
	s.step(LinkUp{Entry: entryB, Epoch: 2})
	runStored(s)
	s.step(Tick{})
	assert.Equal(t, len(s.takeFinishedRuns()), 0, "the entry of the run is given time to acknowledge it")
	s.now += time.Second
	s.step(Tick{})
	sent := s.takeFinishedRuns()
	assert.Equal(t, len(sent), 2, "the finished run is sent to both entries")
	assert.DeepEqual(t, sent[0], wire.FinishedRun{Run: storedRun})
	s.step(LinkUp{Entry: entryB, Epoch: 3})
	assert.Equal(t, len(s.takeFinishedRuns()), 1, "the finished run is sent again over a new connection")
}

// Guards against superseded runs that are released at the worker, and against
// acknowledged runs that are never released.
func TestAcknowledgedRunsAreReleasedAndSupersededOnesAreNot(t *testing.T) {
	for _, superseded := range []bool{false, true} {
		s := newScript(Options{Slots: 2})
		runStored(s)
		frame := &wire.ToAgent{AcknowledgedRuns: []wire.RunRef{storedRun}}
		if superseded {
			frame = &wire.ToAgent{SupersededRuns: []wire.RunRef{storedRun}}
		}
		released := 0
		for _, a := range s.machine.Step(s.now, Received{Entry: entryA, Epoch: 1, Frame: frame}) {
			if x, ok := a.(AcknowledgeRun); ok {
				assert.DeepEqual(t, x.Run, storedRun)
				released++
			}
		}
		assert.Equal(t, released == 1, !superseded)
		assert.Equal(t, len(s.machine.retainedRuns.list), 0)
	}
}

// Guards against an unbounded number of retained runs: starts are refused while
// too many finished runs are unacknowledged.
func TestStartsAreRefusedWhileTooManyRunsAreRetained(t *testing.T) {
	runs := make([]wire.FinishedRun, wire.MaxFinishedRuns)
	for i := range runs {
		runs[i].Run = wire.RunRef{Job: "j", Run: i + 1}
	}
	s := newScript(Options{Slots: 2, RetainedRuns: runs})
	s.start(1, time.Second)
	assert.Equal(t, s.results[0].Reason, wire.ReasonBusy)
}

// Guards against a superseded run that the worker lists for good: whoever keeps the
// worker's lease has to know that the run waits for its expiry.
func TestSupersededRunIsReportedToLease(t *testing.T) {
	s := newScript(Options{Slots: 2})
	runStored(s)
	frame := &wire.ToAgent{SupersededRuns: []wire.RunRef{storedRun, {Job: "unknown"}}}
	var superseded []wire.RunRef
	for _, a := range s.machine.Step(s.now, Received{Entry: entryA, Epoch: 1, Frame: frame}) {
		if x, ok := a.(SupersedeRun); ok {
			superseded = append(superseded, x.Run)
		}
	}
	assert.DeepEqual(t, superseded, []wire.RunRef{storedRun})
}

// Guards against starts at a worker whose list of ended runs is full, and against entries
// that go on sending them there: queued tasks are returned at once, new ones are refused,
// and entries see no free slot.
func TestNothingStartsWhileAdmissionIsClosed(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.start(1, time.Second)
	queued := s.start(2, time.Second)
	assert.Equal(t, len(s.running), 1)
	s.frames = nil
	s.step(AdmissionChanged{Closed: true})
	assert.Equal(t, len(s.frames), 1, "entries are told at once")
	assert.Equal(t, s.frames[0].Load.Occupied, 2000)
	assert.Equal(t, s.result(t, queued).Reason, wire.ReasonBusy)
	s.step(Finished{Attempt: s.running[0].Attempt, Outcome: wire.Succeeded})
	s.start(3, time.Second)
	assert.Equal(t, s.results[len(s.results)-1].Reason, wire.ReasonBusy)
	assert.Equal(t, len(s.running), 1)
	s.step(AdmissionChanged{})
	s.start(4, time.Second)
	assert.Equal(t, len(s.running), 2)
}
