package durable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against an entry that takes its view for complete although it is far behind the
// log: it denied a job that another entry had accepted, and acknowledged a finished run of
// such a job, whose task was then started again.
func TestNothingIsConcludedFromReadThatIsCutOff(t *testing.T) {
	owner := newScriptedLog(7, nil)
	owner.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}})
	owner.step(durable.Tick{})

	m := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 8, Name: "other"}})
	var replies []durable.Reply
	acks := 0
	step := func(at time.Duration, ev durable.Event) {
		for _, a := range m.Step(at, ev) {
			switch x := a.(type) {
			case durable.Reply:
				replies = append(replies, x)
			case durable.Acknowledge:
				acks++
			}
		}
	}
	step(1, durable.Read{Snapshot: true, RequestedAt: 1})
	step(time.Second, durable.Cancel{Token: 2, Job: "j"})
	step(time.Second, durable.RunFinished{Agent: 9, Run: wire.FinishedRun{Run: wire.RunRef{Job: "j", Run: 1}}})
	step(2*time.Second, durable.Read{RequestedAt: 1500 * time.Millisecond, CutOff: true})
	assert.Equal(t, len(replies), 0, "the job is denied")
	assert.Equal(t, acks, 0)
	assert.Assert(t, m.ViewAge(2*time.Second) > time.Second)
	step(3*time.Second, durable.Read{Records: owner.records, RequestedAt: 2500 * time.Millisecond})
	assert.Equal(t, len(replies), 0, "the cancellation has to be recorded first")
	assert.Equal(t, acks, 0, "the owner acknowledges the run")
	state, known := m.State("j")
	assert.Assert(t, known)
	assert.Equal(t, state, durable.Queued)
}
