package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a task that runs again after its run was recorded and acknowledged: an agent
// reports the finished run before its result arrives, and the connection is lost in between.
func TestFinishedRunReportedBeforeItsResultEndsTask(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	m.Step(1, entry.Submit{Submission: testJob, Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 3, Stored: true})
	actions := m.Step(2, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{FinishedRuns: []wire.FinishedRun{{Run: wire.RunRef{Job: "j", Run: 1}}}}})
	answers := answersIn(actions)
	m.Step(3, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(4, linkUp(2, 0))
	f, _ := mergeFrames(m.Step(3*time.Second, entry.Tick{}))
	assert.Equal(t, len(f.Starts), 0, "the task is started again")
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Outcome, entry.Complete)
}
