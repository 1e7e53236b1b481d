package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against starts that bring a worker over a capacity that has shrunk while it
// runs, and against a worker that stays limited after its capacity has grown again.
func TestStartsStayWithinShrunkenCapacity(t *testing.T) {
	full, half := wire.Capacity{MilliCores: 8000, MemoryMB: 800}, wire.Capacity{MilliCores: 4000, MemoryMB: 800}
	need := wire.Capacity{MilliCores: 1000, MemoryMB: 10}
	m := New(Options{Incarnation: 1, Slots: 8, Capacity: full})
	now := time.Second
	m.Step(now, LinkUp{Entry: 7, Epoch: 1})
	seq := wire.Seq(0)
	var running []AttemptID
	count := func(actions []Action) {
		for _, a := range actions {
			if r, ok := a.(*Run); ok {
				running = append(running, r.Attempt)
			}
		}
	}
	start := func(need wire.Capacity) {
		seq++
		count(m.Step(now, Received{Entry: 7, Epoch: 1, Frame: &wire.ToAgent{
			LowestOpenSeq: 1, ClockEcho: wire.MicrosOf(now),
			Starts: []wire.Start{{Seq: seq, Class: "c", Need: need, Deadline: wire.MicrosOf(time.Minute), MaxWait: wire.MicrosOf(time.Minute)}},
		}}))
	}
	end := func() {
		first := running[0]
		running = running[1:]
		count(m.Step(now, Finished{Attempt: first, Outcome: wire.Succeeded, RunTime: time.Millisecond}))
	}
	for range 6 {
		start(need)
	}
	assert.Equal(t, len(running), 6)

	m.Step(now, CapacityChanged{Capacity: half, Sequence: 5})
	start(need)
	assert.Equal(t, len(running), 6, "started beyond the capacity")
	end()
	end()
	assert.Equal(t, len(running), 4, "what runs still counts")
	end()
	assert.Equal(t, len(running), 4, "the queued task starts once there is room")
	start(wire.Capacity{MilliCores: 5000})
	assert.Equal(t, len(running), 4, "a task that exceeds the capacity was started")
	m.Step(now, CapacityChanged{Capacity: full, Sequence: 4}) // delayed
	start(need)
	assert.Equal(t, len(running), 4)

	count(m.Step(now, CapacityChanged{Capacity: full, Sequence: 6}))
	start(need)
	assert.Equal(t, len(running), 6, "the queued and the new task")
	m.Step(now, CapacityChanged{Capacity: wire.Capacity{MemoryMB: 800}, Sequence: 7})
	for len(running) > 0 {
		end()
	}
	start(need)
	assert.Equal(t, len(running), 0, "the worker has no capacity left")
}
