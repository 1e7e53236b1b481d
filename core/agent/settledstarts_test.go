package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// takeSettledStarts returns the settled starts that the agent sent since the last call.
func (s *script) takeSettledStarts() (out []wire.Seq) {
	for _, f := range s.frames {
		out = append(out, f.SettledStarts...)
	}
	s.frames = nil
	return out
}

// Guards against runs that their entry repeats late after this agent was lost, because it does
// not know that their starts were settled, also if it has lost the connection on which it was
// told. Starts of runs that have ended are not reported.
func TestSettledStartsAreReported(t *testing.T) {
	s := newScript(Options{Slots: 4})
	first, second, third := s.start(1, 0), s.start(2, 0), s.start(3, 0)
	for _, seq := range []wire.Seq{first, second, 99} {
		s.step(StartSettled{Attempt: AttemptID{Entry: entryA, Seq: seq}})
	}
	s.step(StartSettled{Attempt: AttemptID{Entry: entryB, Seq: 1}})
	assert.Equal(t, len(s.takeSettledStarts()), 0, "reported with a frame that is sent anyway")
	s.finishFirst(Finished{Outcome: wire.Succeeded})
	assert.DeepEqual(t, s.takeSettledStarts(), []wire.Seq{second})
	s.receive(wire.ToAgent{})
	s.now += DefaultHeartbeatInterval
	s.receive(wire.ToAgent{})
	assert.Equal(t, len(s.takeSettledStarts()), 0, "reported once on each connection")
	s.step(LinkDown{Entry: entryA, Epoch: 1})
	s.step(StartSettled{Attempt: AttemptID{Entry: entryA, Seq: third}})
	s.step(LinkUp{Entry: entryA, Epoch: 2})
	assert.DeepEqual(t, s.takeSettledStarts(), []wire.Seq{second, third})
}
