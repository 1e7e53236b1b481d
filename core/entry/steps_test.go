package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// stepsDependingOn returns one step of one task for each list of dependencies.
func stepsDependingOn(after ...[]int) (out []entry.Step) {
	for _, a := range after {
		out = append(out, entry.Step{Tasks: 1, DependsOn: a})
	}
	return out
}

// Guards against a task that starts before the steps that it depends on have
// succeeded, and against one that never starts.
func TestStepStartsAfterItsDependencies(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	f, _ := mergeFrames(m.Step(0, entry.Submit{
		Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 3),
		Steps: stepsDependingOn(nil, nil, []int{0, 1}),
	}))
	assert.Equal(t, len(f.Starts), 2)
	assert.Equal(t, f.Starts[1].Step, 1)
	assert.Equal(t, f.Starts[1].Index, 0)
	f, _ = mergeFrames(deliverResult(m, 1, wire.Succeeded, wire.ReasonNone))
	assert.Equal(t, len(f.Starts), 0)
	f, _ = mergeFrames(deliverResult(m, 2, wire.Succeeded, wire.ReasonNone))
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Step, 2)
	assert.Equal(t, answersIn(deliverResult(m, 3, wire.Succeeded, wire.ReasonNone))[0].Outcome, entry.Complete)
}

// Guards against a step that starts after a step that it depends on has failed.
func TestFailedStepFailsJob(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{
		Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2), Steps: stepsDependingOn(nil, []int{0}),
	})
	actions := deliverResult(m, 1, wire.Failed, wire.ReasonUpstreamError)
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, answersIn(actions)[0].Outcome, entry.Failed)
}

// Guards against jobs that can never end because their steps wait for each
// other or do not cover the tasks.
func TestInvalidStepsAreRefused(t *testing.T) {
	for _, bad := range [][]entry.Step{stepsDependingOn([]int{0}), stepsDependingOn([]int{1}, nil), stepsDependingOn(nil), stepsDependingOn(nil, nil, nil)} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
		got := answersIn(m.Step(0, entry.Submit{
			Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2), Steps: bad,
		}))
		assert.Equal(t, got[0].Reason, entry.ReasonBadSteps)
	}
}
