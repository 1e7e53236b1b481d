package durable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a task that is started again after a run that had succeeded and then
// counts: an owner repeats a lost run and is itself lost, and the next owner is told of
// the success of the lost run. Guards as well against a record that is kept after the end
// of the job.
func TestRepeatedRunsDoNotCountAfterTakeover(t *testing.T) {
	run := func(n int) wire.RunRef { return wire.RunRef{Job: "j", Index: 1, Run: n} }
	first := newScriptedLog(7, nil)
	first.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 2}}}})
	first.step(durable.Tick{})
	assert.Equal(t, len(first.drives), 1)
	first.step(durable.RunRepeated{Run: run(1)})
	first.step(durable.Tick{})

	// The next process of the same VM takes the job over at once.
	second := newScriptedLog(9, first.newest())
	second.records = first.records
	second.step(durable.RunFinished{Agent: 3, Run: wire.FinishedRun{Run: run(1)}})
	for range 100 {
		second.step(durable.Tick{})
	}
	assert.Equal(t, len(second.drives), 1)
	assert.DeepEqual(t, second.drives[0].Progress, []entry.TaskProgress{{}, {}})
	assert.DeepEqual(t, second.acknowledged, []durable.Acknowledge{{Agent: 3, Runs: []wire.RunRef{run(1)}, Superseded: true}})

	second.step(durable.DriveEnded{Job: "j", Outcome: entry.Complete})
	for range 3 {
		second.step(durable.Tick{})
	}
	for _, r := range second.newest() {
		assert.Assert(t, r.Key[0] != 'r', "the record of repeated runs is kept")
	}
}
