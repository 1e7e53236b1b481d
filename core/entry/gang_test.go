package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// startGangJob starts a machine with one agent and one stored job, whose gang
// of two members has attempts 1 and 2.
func startGangJob(t *testing.T, progress []entry.TaskProgress) (*entry.Machine, []entry.Action) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	return m, m.Step(0, entry.Submit{
		Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 2), Stored: true,
		Steps: []entry.Step{{Tasks: 2, Gang: true}}, Progress: progress,
	})
}

func startedRuns(actions []entry.Action) (out []int) {
	f, _ := mergeFrames(actions)
	for i := range f.Starts {
		out = append(out, f.Starts[i].Run)
	}
	return out
}

func cancelledSeqs(actions []entry.Action) []wire.Seq {
	f, _ := mergeFrames(actions)
	return f.Cancels
}

// Guards against a member that waits for one that was not started, and against
// members that are restarted one by one or with different run numbers.
func TestGangIsRestartedAsAWhole(t *testing.T) {
	m, started := startGangJob(t, nil)
	assert.DeepEqual(t, startedRuns(started), []int{1, 1})
	actions := deliverResult(m, 1, wire.NotRun, wire.ReasonStaleRun)
	assert.DeepEqual(t, cancelledSeqs(actions), []wire.Seq{2})
	assert.Equal(t, len(startedRuns(m.Step(time.Second, entry.Tick{}))), 0, "the other member has not ended")
	actions = m.Step(time.Second, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 2, Outcome: wire.Failed, Reason: wire.ReasonStopped}},
	}})
	again := append(startedRuns(actions), startedRuns(m.Step(2*time.Second, entry.Tick{}))...)
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0], again[1])
	assert.Assert(t, again[0] > 16, "must be above the run that the worker knows")
}

// Guards against a gang that waits for a member whose cancel was lost with the connection.
func TestCancelOfGangMemberIsRepeatedAfterReconnect(t *testing.T) {
	m, _ := startGangJob(t, nil)
	assert.DeepEqual(t, cancelledSeqs(deliverResult(m, 1, wire.NotRun, wire.ReasonBusy)), []wire.Seq{2})
	m.Step(10*time.Millisecond, entry.LinkDown{Agent: 1, Epoch: 1})
	assert.DeepEqual(t, cancelledSeqs(m.Step(20*time.Millisecond, linkUp(2, 0))), []wire.Seq{2})
}

// Guards against running the other members of a gang again after one has
// succeeded.
func TestSuccessOfOneMemberCompletesGang(t *testing.T) {
	m, _ := startGangJob(t, nil)
	actions := deliverResult(m, 2, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, answersIn(actions)[0].Outcome, entry.Complete)
	late := deliverResult(m, 1, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, len(finishedRunsIn(late)), 1, "the agent retains the finished run until it is acknowledged")
	_, resumed := startGangJob(t, []entry.TaskProgress{{Done: true}, {}})
	assert.Equal(t, answersIn(resumed)[0].Outcome, entry.Complete)
}

// Guards against more runs than the job allows, and against counting two failed
// members of one run as two failures.
func TestGangFailsAfterMaxAttempts(t *testing.T) {
	m, _ := startGangJob(t, nil)
	assert.Equal(t, len(answersIn(deliverResult(m, 1, wire.Failed, wire.ReasonUpstreamError))), 0)
	actions := deliverResult(m, 2, wire.Failed, wire.ReasonUpstreamError)
	assert.Equal(t, len(answersIn(actions)), 0, "only one run has failed")
	assert.DeepEqual(t, startedRuns(actions), []int{2, 2})
	assert.Equal(t, len(answersIn(deliverResult(m, 3, wire.Failed, wire.ReasonUpstreamError))), 0)
	actions = deliverResult(m, 4, wire.Failed, wire.ReasonStopped)
	assert.Equal(t, answersIn(actions)[0].Reason, entry.ReasonTaskFailed)
	assert.Equal(t, answersIn(actions)[0].Detail, "task 0.0.0 after run 2: failed runs 2 of 2, worker crashes 0 of 3, last run upstream_error")
}

// Guards against restarting a gang while a lost member may still run, and
// against ignoring the success of a lost member.
func TestFinishedRunOfLostMemberCompletesGang(t *testing.T) {
	m, _ := startGangJob(t, nil)
	m.Step(1, entry.AgentReplaced{Agent: 1})
	finished := wire.FinishedRun{Run: wire.RunRef{Job: "j", Index: 1, Run: 1}}
	actions := m.Step(2, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 2, Name: "x", Slots: 8, FinishedRuns: []wire.FinishedRun{finished}}})
	assert.Equal(t, len(startedRuns(actions)), 0)
	assert.Equal(t, answersIn(actions)[0].Outcome, entry.Complete)
}

// Guards against members of one run that resume from different checkpoints.
func TestGangMembersResumeFromSameCheckpoint(t *testing.T) {
	m, started := startGangJob(t, []entry.TaskProgress{{Checkpoint: "a"}, {}})
	first, _ := mergeFrames(started)
	assert.Equal(t, first.Starts[0].Checkpoint, "a")
	assert.Equal(t, first.Starts[1].Checkpoint, "a")
	deliverResult(m, 1, wire.Failed, wire.ReasonRunEnded)
	f, _ := mergeFrames(m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 2, Outcome: wire.Failed, Reason: wire.ReasonRunEnded, Checkpoint: "b"}},
	}}))
	assert.Equal(t, len(f.Starts), 2)
	for i := range f.Starts {
		assert.Equal(t, f.Starts[i].Checkpoint, "b")
	}
}
