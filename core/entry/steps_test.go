package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

func steps(after ...[]int) (out []entry.Step) {
	for _, a := range after {
		out = append(out, entry.Step{Tasks: 1, After: a})
	}
	return out
}

// Guards against a task that starts before the steps that it depends on have
// succeeded, and against one whose turn never comes.
func TestStepsStartInTheirOrder(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	f, _ := frames(m.Step(0, entry.Submit{
		Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 3),
		Steps: steps(nil, nil, []int{0, 1}),
	}))
	assert.Equal(t, len(f.Starts), 2)
	assert.Equal(t, f.Starts[1].Step, 1)
	assert.Equal(t, f.Starts[1].Index, 0)
	f, _ = frames(runEnded(m, 1, wire.Succeeded, wire.ReasonNone))
	assert.Equal(t, len(f.Starts), 0)
	f, _ = frames(runEnded(m, 2, wire.Succeeded, wire.ReasonNone))
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Step, 2)
	assert.Equal(t, answers(runEnded(m, 3, wire.Succeeded, wire.ReasonNone))[0].Outcome, entry.Complete)
}

// Guards against a step that starts after an earlier one has failed.
func TestFailedStepEndsTheJob(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	m.Step(0, entry.Submit{
		Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2), Steps: steps(nil, []int{0}),
	})
	actions := runEnded(m, 1, wire.Failed, wire.ReasonUpstreamError)
	f, _ := frames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, answers(actions)[0].Outcome, entry.Failed)
}

// Guards against jobs that can never end because their steps wait for each other.
func TestStepsThatWaitForEachOtherAreRefused(t *testing.T) {
	for _, bad := range [][]entry.Step{steps([]int{0}), steps([]int{1}, nil), steps(nil), steps(nil, nil, nil)} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
		got := answers(m.Step(0, entry.Submit{
			Submission: testJob, Deadline: time.Minute, Payloads: make([][]byte, 2), Steps: bad,
		}))
		assert.Equal(t, got[0].Reason, entry.ReasonBadSteps)
	}
}
