package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

func newLeasedMachine(t *testing.T, opts Options) *Machine {
	m := New(opts)
	m.Step(0, LinkUp{Entry: 7, Epoch: 1})
	return m
}

// receive delivers a frame of entry 7.
func receive(m *Machine, now time.Duration, f *wire.ToAgent) []Action {
	return m.Step(now, Received{Entry: 7, Epoch: 1, Frame: f})
}

// countActions returns the number of actions of type T.
func countActions[T Action](actions []Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func startWithCPU(seq wire.Seq, cpu int64) wire.Start {
	return wire.Start{
		Seq: seq, Deadline: wire.MaxMicros, MaxWait: wire.MaxMicros, Need: wire.Capacity{MilliCores: cpu},
	}
}

// Guards against runs that continue after their entry was lost: its caller may
// have another entry run the job again.
func TestRunsOfUnresponsiveEntryAreStopped(t *testing.T) {
	m := newLeasedMachine(t, Options{Slots: 4, RunLease: 500 * time.Millisecond})
	assert.Equal(t, countActions[*Run](receive(m, 1, &wire.ToAgent{Starts: []wire.Start{startWithCPU(1, 0)}})), 1)
	echo := 300 * time.Millisecond
	receive(m, 400*time.Millisecond, &wire.ToAgent{ClockEcho: wire.MicrosOf(echo)})
	assert.Equal(t, countActions[Stop](m.Step(echo+500*time.Millisecond, Tick{})), 0)
	actions := m.Step(echo+501*time.Millisecond, Tick{})
	assert.Equal(t, countActions[Stop](actions), 1)
	assert.Equal(t, countActions[Stop](m.Step(echo+600*time.Millisecond, Tick{})), 0, "each run is stopped once")
	m.Step(echo+610*time.Millisecond, Finished{
		Attempt: AttemptID{Entry: 7, Seq: 1}, Outcome: wire.Failed, Reason: wire.ReasonRunEnded,
	})
	assert.Equal(t, m.Load(echo+610*time.Millisecond).Failures, uint64(0), "the run does not count as a failure of the worker")
}

// Guards against a start that was delayed in transit, for instance while this
// process was suspended, and takes effect after its entry gave up the attempt.
func TestDelayedStartIsRefused(t *testing.T) {
	m := newLeasedMachine(t, Options{Slots: 4, RunLease: 500 * time.Millisecond})
	actions := receive(m, 5*time.Second, &wire.ToAgent{Starts: []wire.Start{startWithCPU(1, 0)}, ClockEcho: 1000})
	assert.Equal(t, countActions[*Run](actions), 0)
}

// Guards against tasks that together exceed the worker's capacity, and against
// unused capacity because tasks are counted regardless of their need.
func TestTasksTakeSlotsByTheirShareOfTheWorker(t *testing.T) {
	m := newLeasedMachine(t, Options{Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
	var starts []wire.Start
	for seq := wire.Seq(1); seq <= 12; seq++ {
		starts = append(starts, startWithCPU(seq, 6200))
	}
	assert.Equal(t, countActions[*Run](receive(m, 1, &wire.ToAgent{Starts: starts})), 10)
	actions := m.Step(2, Finished{Attempt: AttemptID{Entry: 7, Seq: 1}, Outcome: wire.Succeeded})
	assert.Equal(t, countActions[*Run](actions), 1)
	big := receive(m, 3, &wire.ToAgent{Starts: []wire.Start{startWithCPU(20, 70000)}})
	assert.Equal(t, countActions[*Run](big), 0)
}
