package agent

import (
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// BenchmarkStartToResult measures one task from its start to its settled result.
func BenchmarkStartToResult(b *testing.B) {
	m := New(Options{Incarnation: 1, Slots: 8})
	m.Step(0, LinkUp{Entry: entryA, Epoch: 1})
	frame := &wire.ToAgent{Starts: make([]wire.Start, 1)}
	b.ReportAllocs()
	now := time.Duration(0)
	i := 0
	for b.Loop() {
		i++
		now += time.Millisecond
		frame.LowestOpenSeq = wire.Seq(i)
		frame.Starts[0] = wire.Start{Seq: wire.Seq(i), Class: "quote", Deadline: 1e6}
		m.Step(now, Received{Entry: entryA, Epoch: 1, Frame: frame})
		m.Step(now, Finished{
			Attempt: AttemptID{Entry: entryA, Seq: wire.Seq(i)}, Outcome: wire.Succeeded, RunTime: time.Millisecond,
		})
	}
	if m.successes != uint64(i) {
		b.Fatalf("%d of %d tasks ran", m.successes, i)
	}
}

// BenchmarkRefusal measures the refusal of a start while all slots are busy.
func BenchmarkRefusal(b *testing.B) {
	m := New(Options{Incarnation: 1, Slots: 8})
	m.Step(0, LinkUp{Entry: entryA, Epoch: 1})
	for i := range 24 {
		start := wire.Start{Seq: wire.Seq(i + 1), Class: "quote", Deadline: 1e6, MaxWait: 1e6}
		m.Step(0, Received{Entry: entryA, Epoch: 1, Frame: &wire.ToAgent{Starts: []wire.Start{start}}})
	}
	rec := m.entries[entryA]
	start := wire.Start{Seq: 100, Class: "quote", Deadline: 1e6, MaxWait: 1}
	b.ReportAllocs()
	for b.Loop() {
		if m.refusal(time.Millisecond, rec, &start, 0) != wire.ReasonBusy {
			b.Fatal("the start was not refused as busy")
		}
	}
}
