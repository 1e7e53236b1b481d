package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

var heldRun = wire.RunRef{Job: "j", Step: 1, Index: 2, Run: 3}

// runStored runs a task of a stored job until it succeeds.
func runStored(s *script) {
	s.frame(wire.ToAgent{ClockEcho: wire.MicrosOf(s.now), Starts: []wire.Start{{
		Seq: 1, Class: "c", Deadline: 10_000_000, Job: heldRun.Job, Step: heldRun.Step, Index: heldRun.Index, Run: heldRun.Run,
		RetainResult: true,
	}}})
	s.step(Finished{Attempt: s.running[0].Attempt, Outcome: wire.Succeeded})
}

// ends returns the held ends that the agent sent since the last call.
func (s *script) ends() (out []wire.FinishedRun) {
	for _, f := range s.frames {
		out = append(out, f.FinishedRuns...)
	}
	s.frames = nil
	return out
}

// Guards against the end of a stored job's run that only a lost entry knows, so
// that the entry which takes over the job repeats its task.
func TestUnsettledEndsAreSentToOtherEntries(t *testing.T) {
	s := newScript(Options{Slots: 2, RunLease: 500 * time.Millisecond})
	s.step(LinkUp{Entry: entryB, Epoch: 2})
	runStored(s)
	s.step(Tick{})
	assert.Equal(t, len(s.ends()), 0, "the entry of the run is given time to settle the end")
	s.now += time.Second
	s.step(Tick{})
	told := s.ends()
	assert.Equal(t, len(told), 2, "the end is sent to both entries")
	assert.DeepEqual(t, told[0], wire.FinishedRun{Run: heldRun})
	s.step(LinkUp{Entry: entryB, Epoch: 3})
	assert.Equal(t, len(s.ends()), 1, "the end is sent again over a new connection")
}

// Guards against ends that are released at the worker although they arrived too
// late to count, and against settled ends that are never released.
func TestSettledEndsAreReleasedAndVoidedOnesAreNot(t *testing.T) {
	for _, void := range []bool{false, true} {
		s := newScript(Options{Slots: 2})
		runStored(s)
		frame := &wire.ToAgent{AcknowledgedRuns: []wire.RunRef{heldRun}}
		if void {
			frame = &wire.ToAgent{SupersededRuns: []wire.RunRef{heldRun}}
		}
		released := 0
		for _, a := range s.machine.Step(s.now, Received{Entry: entryA, Epoch: 1, Frame: frame}) {
			if x, ok := a.(Settle); ok {
				assert.DeepEqual(t, x.Run, heldRun)
				released++
			}
		}
		assert.Equal(t, released == 1, !void)
		assert.Equal(t, len(s.machine.held.list), 0)
	}
}

// Guards against an unbounded number of held ends: starts are refused while too
// many are held.
func TestStartsAreRefusedWhileTooManyEndsAreHeld(t *testing.T) {
	held := make([]wire.FinishedRun, wire.MaxFinishedRuns)
	for i := range held {
		held[i].Run = wire.RunRef{Job: "j", Run: i + 1}
	}
	s := newScript(Options{Slots: 2, HeldEnds: held})
	s.start(1, time.Second)
	assert.Equal(t, s.results[0].Reason, wire.ReasonBusy)
}
