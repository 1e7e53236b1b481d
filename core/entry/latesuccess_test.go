package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a long-running job that ends because the end of a run of its task is
// reported while the task waits for its next start.
func TestLateSuccessRestartsTaskOfLongRunningJob(t *testing.T) {
	for _, outcome := range []wire.Outcome{wire.Failed, wire.Unknown} {
		s := &closableScheduler{}
		m := startStoredJobWith(t, s, true)
		s.closed = true
		deliverResult(m, 1, outcome, wire.ReasonRunEnded)
		finished := []wire.FinishedRun{{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}}}
		actions := m.Step(2, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8, FinishedRuns: finished}})
		assert.Equal(t, len(answersIn(actions)), 0, "the job has ended, told %v", outcome)
		s.closed = false
		f, _ := mergeFrames(m.Step(3*time.Second, entry.Tick{}))
		assert.Equal(t, len(f.Starts), 1, "told %v", outcome)
	}
}
