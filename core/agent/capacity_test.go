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

// shrunkBesideLastingRun returns a script of an agent with 8 slots on 64 cores: a run of 24
// cores lasts for 10 s already, and the worker has 40 cores left.
func shrunkBesideLastingRun(t *testing.T) *script {
	s := newScript(Options{Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
	s.startNeeding(24000, 0)
	assert.Equal(t, len(s.running), 1)
	s.advance(10 * time.Second)
	s.step(CapacityChanged{Capacity: wire.Capacity{MilliCores: 40000}, Sequence: 1})
	return s
}

// startNeeding sends a start that needs the given thousandths of a core.
func (s *script) startNeeding(milliCores int64, maxWait time.Duration) wire.Seq {
	seq := s.nextSeq
	s.nextSeq++
	s.receive(wire.ToAgent{Starts: []wire.Start{{
		Seq: seq, Submission: wire.SubmissionID{byte(seq)}, Class: "c", Need: wire.Capacity{MilliCores: milliCores},
		MaxWait: wire.MicrosOf(maxWait), Deadline: wire.MicrosOf(time.Hour),
	}}})
	return seq
}

// Guards against a task that waits for good at a worker whose capacity has shrunk, beside
// idle workers: entries took the capacity of the hello, and the agent admitted by it.
func TestShrunkenCapacityIsReportedAndBoundsAdmission(t *testing.T) {
	s := shrunkBesideLastingRun(t)
	assert.Equal(t, s.frames[len(s.frames)-1].Load.Limit, 5, "slots that can be used: 3 that are, and 16 of 64 cores")
	refused := s.startNeeding(24000, time.Second)
	assert.Equal(t, s.result(t, refused).Outcome, wire.NotRun)
	s.startNeeding(16000, 0)
	assert.Equal(t, len(s.running), 2, "a task that fits is not run")
	s.step(CapacityChanged{Capacity: wire.Capacity{MilliCores: 64000}, Sequence: 2})
	assert.Equal(t, s.machine.Load(s.now).Limit, 8)
}

// Guards against an attempt that waits in the queue of an agent for good, and holds up those
// behind it, because the runs that it waits for last.
func TestQueuedAttemptIsReturnedAfterItsWait(t *testing.T) {
	s := newScript(Options{Slots: 1})
	const maxWait = time.Second
	s.start(1, 0)
	queued := s.start(2, maxWait)
	s.advance(maxWait + queueGrace)
	assert.Equal(t, s.result(t, queued).Outcome, wire.NotRun)
	s.finishFirst(succeeded)
	assert.Equal(t, len(s.running), 0)
}

// Guards against slots that are counted by a capacity that the worker had before it grew.
func TestGrownCapacityChangesSlotsOfRuns(t *testing.T) {
	s := newScript(Options{Slots: 8, Capacity: wire.Capacity{MilliCores: 16000}})
	for range 4 {
		s.startNeeding(4000, 0) // 2 slots
	}
	assert.Equal(t, len(s.running), 4)
	refused := s.startNeeding(20000, time.Minute)
	assert.Equal(t, s.result(t, refused).Reason, wire.ReasonNoRoom)
	grown := 0
	for _, a := range s.machine.Step(s.now, CapacityChanged{Capacity: wire.Capacity{MilliCores: 64000}, Sequence: 1}) {
		if x, ok := a.(CapacityGrown); ok {
			grown++
			assert.Equal(t, x.Capacity.MilliCores, int64(64000))
		}
	}
	assert.Equal(t, grown, 1)
	assert.Equal(t, s.machine.Load(s.now).Occupied, 2000)
	s.startNeeding(40000, 0)
	assert.Equal(t, len(s.running), 5)
	s.finishAll(succeeded)
	assert.Equal(t, s.machine.occupied, 0.0)
}
