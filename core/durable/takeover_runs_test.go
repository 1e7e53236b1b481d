package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a task that is started again after its success was acknowledged: a process
// was told of a run that succeeded and of a later one that failed before it took the job
// over. That the later one was started shows that the earlier one does not count.
func TestSuccessBeforeAnotherReportedRunDoesNotCountAfterTakeover(t *testing.T) {
	owner := newScriptedLog(7, nil)
	owner.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 3, Steps: []entry.Step{{Tasks: 1}}}})
	next := newScriptedLog(8, nil)
	next.machine = durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 8, Name: "other"}})
	next.records = owner.records
	next.step(durable.Read{Snapshot: true, RequestedAt: next.now, Records: owner.records})
	run := func(n int) wire.RunRef { return wire.RunRef{Job: "j", Run: n} }
	next.step(durable.RunFinished{Agent: 3, Run: wire.FinishedRun{Run: run(1)}})
	next.step(durable.RunFinished{Agent: 3, Run: wire.FinishedRun{Run: run(2), Failed: true}})
	for next.now < 20*time.Second {
		next.step(durable.Read{RequestedAt: next.now})
		next.step(durable.Tick{})
	}
	assert.Equal(t, len(next.drives), 1, "the job was not taken over")
	assert.Assert(t, !next.drives[0].Progress[0].Done)
	assert.Equal(t, next.drives[0].Progress[0].Failures, 1)
	acked := map[int]bool{}
	for _, a := range next.acknowledged {
		acked[a.Runs[0].Run] = a.Superseded
	}
	assert.DeepEqual(t, acked, map[int]bool{1: true, 2: false})

	// A failed run that is reported after a success has counted does not undo it.
	next.step(durable.RunFinished{Agent: 3, Run: wire.FinishedRun{Run: run(200_001)}})
	next.step(durable.RunFinished{Agent: 3, Run: wire.FinishedRun{Run: run(200_002), Failed: true}})
	next.step(durable.DriveEnded{Job: "j", Outcome: entry.Failed, Reason: entry.ReasonCancelled})
	for range 100 {
		next.step(durable.Tick{})
	}
	assert.Equal(t, len(next.drives), 2)
	assert.Assert(t, next.drives[1].Progress[0].Done)
}
