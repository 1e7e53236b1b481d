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

// Guards against a worker that is not used any more, or tasks that wait at an agent that is
// gone, after such a hello: tasks go to the agent that states the later takeover while it is
// connected, and to the other one afterwards, whose results count all the time.
func TestAgentIsUsedAgainAfterLateHelloOfReplacedOne(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
	hello := func(a wire.Incarnation, epoch wire.Epoch, worker int64) entry.LinkUp {
		return entry.LinkUp{Hello: wire.AgentHello{Agent: a, Epoch: epoch, Name: "w", Slots: 8, NoLeftoverRuns: true, WorkerIncarnation: worker}}
	}
	submit := func(now time.Duration, id byte) []entry.Action {
		return m.Step(now, entry.Submit{Submission: wire.SubmissionID{id}, Deadline: time.Minute, MaxFailedRuns: 3, Payloads: make([][]byte, 1)})
	}
	m.Step(0, hello(2, 1, 50))
	assert.DeepEqual(t, startedAt(submit(1, 1)), []wire.Incarnation{2})
	m.Step(2, hello(1, 1, 100))
	assert.DeepEqual(t, startedAt(submit(3, 2)), []wire.Incarnation{1})
	m.Step(4, hello(2, 2, 50)) // closed without frames
	answers := answersIn(m.Step(5, entry.Received{Agent: 2, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{{Seq: 1, Outcome: wire.Succeeded}}}}))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Outcome, entry.Complete)
	assert.Equal(t, len(answersIn(m.Step(6, entry.LinkDown{Agent: 1, Epoch: 1}))), 0, "its runs may go on")
	assert.DeepEqual(t, startedAt(submit(7, 3)), []wire.Incarnation{2})
}

// Guards against two runs of one task: a worker has restarted with its time of day set back,
// and the hello of the agent of the earlier incarnation arrives while the connection of the
// newer agent, whose run goes on, is interrupted.
func TestLateHelloOfReplacedAgentEndsNoRunsAtAgentThatIsDown(t *testing.T) {
	s := newLostAgentScript(true)
	s.now += 40 * time.Millisecond
	f, _ := mergeFrames(s.step(s.hello(3, "w", workerIncarnation+1)))
	assert.Equal(t, len(f.Starts), 0, "the task is started again while its run goes on")
	after := 40*time.Millisecond + s.startAfter(5*time.Second)
	assert.Assert(t, after >= 1400*time.Millisecond && after < 1500*time.Millisecond, "started again after %v", after)
}
