package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against two runs of one task: a worker has restarted with its time of day set back,
// and the hello of the agent of the earlier incarnation arrives while runs of the newer
// agent go on.
func TestLateHelloOfReplacedAgentEndsNoRuns(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
	hello := func(a wire.Incarnation, worker int64) entry.LinkUp {
		return entry.LinkUp{Hello: wire.AgentHello{Agent: a, Epoch: 1, Name: "w", Slots: 8, NoLeftoverRuns: true, WorkerIncarnation: worker}}
	}
	m.Step(0, hello(2, 50))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	actions := m.Step(1, entry.Submit{Submission: testJob, Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 3, Stored: true})
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 1)
	actions = m.Step(2, hello(1, 100))
	f, _ = mergeFrames(actions)
	g, _ := mergeFrames(m.Step(time.Second, entry.Tick{}))
	assert.Equal(t, len(f.Starts)+len(g.Starts), 0, "the task is started again while its run goes on")
}
