package durable_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// failedRun reports a failed run of the only task of job j.
func failedRun(number int, superseded bool) durable.RunFinished {
	return durable.RunFinished{Agent: 9, Run: wire.FinishedRun{Run: wire.RunRef{Job: "j", Run: number}, Failed: true}, Superseded: superseded}
}

// Guards against a worker that is lost for good after lost answers of the log: a failed
// run waits for its record for so long that its agent reports it again, after its task
// was started again. A run that was counted must not be called superseded, because its
// agent could not release it then.
func TestReportedAgainAfterItWasCountedIsNotSuperseded(t *testing.T) {
	machine := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 7, Name: "vm"}})
	now := time.Second
	var inFlight []durable.Record
	var offset int64
	var acks []durable.Acknowledge
	deliver := func(ev durable.Event) {
		for _, a := range machine.Step(now, ev) {
			switch x := a.(type) {
			case durable.Append:
				inFlight = slices.Clone(x.Records)
			case durable.Acknowledge:
				acks = append(acks, x)
			}
		}
	}
	// step delivers an event and, if answered is set, answers the append in flight.
	step := func(ev durable.Event, answered bool) {
		now += 30 * time.Millisecond // longer than the least time between two appends
		deliver(ev)
		if !answered || inFlight == nil {
			return
		}
		records := inFlight
		inFlight = nil
		for i := range records {
			records[i].Offset = offset
			offset++
		}
		deliver(durable.Appended{Outcome: durable.Recorded, SentAt: now})
		deliver(durable.Read{Records: records, RequestedAt: now})
	}
	step(durable.Read{Snapshot: true, RequestedAt: now}, true)
	step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 9, Steps: []entry.Step{{Tasks: 1}}}}, true)
	for range 3 {
		step(durable.Tick{}, true)
	}
	step(failedRun(1, false), false) // the answer to its append is lost
	step(failedRun(2, false), false)
	step(failedRun(1, true), false)
	for range 3 {
		step(durable.Tick{}, true)
	}
	acked := make(map[int]bool)
	for _, a := range acks {
		assert.Assert(t, !a.Superseded, "%v", a.Runs)
		for _, run := range a.Runs {
			acked[run.Run] = true
		}
	}
	assert.DeepEqual(t, acked, map[int]bool{1: true, 2: true})

	// A run that was never counted is superseded by a later one that was.
	acks = nil
	step(failedRun(5, false), true)
	step(failedRun(4, true), true)
	for range 3 {
		step(durable.Tick{}, true)
	}
	assert.Equal(t, len(acks), 2)
	for _, a := range acks {
		assert.Equal(t, a.Superseded, a.Runs[0].Run == 4)
	}
}
