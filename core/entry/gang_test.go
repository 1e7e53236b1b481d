package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// gang starts a machine with one agent and one stored job of a gang of two, whose
// members are attempts 1 and 2.
func gang(t *testing.T, progress []entry.TaskProgress) (*entry.Machine, []entry.Action) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLease})
	return m, m.Step(0, entry.Submit{
		Submission: testJob, Attempts: 2, Job: "j", Payloads: make([][]byte, 2), Stored: true,
		Steps: []entry.Step{{Tasks: 2, Gang: true}}, Progress: progress,
	})
}

func runs(actions []entry.Action) (out []int) {
	f, _ := frames(actions)
	for i := range f.Starts {
		out = append(out, f.Starts[i].Run)
	}
	return out
}

func cancelled(actions []entry.Action) []wire.Seq {
	f, _ := frames(actions)
	return f.Cancels
}

// Guards against a member that waits in vain for one that was not started, and
// against members that are started again one by one or under numbers of their own.
func TestGangIsStartedAgainAsAWhole(t *testing.T) {
	m, started := gang(t, nil)
	assert.DeepEqual(t, runs(started), []int{1, 1})
	actions := runEnded(m, 1, wire.NotRun, wire.ReasonStaleRun)
	assert.DeepEqual(t, cancelled(actions), []wire.Seq{2})
	assert.Equal(t, len(runs(m.Step(time.Second, entry.Tick{}))), 0, "the other member has not ended")
	actions = m.Step(time.Second, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 2, Outcome: wire.Failed, Reason: wire.ReasonStopped}},
	}})
	again := append(runs(actions), runs(m.Step(2*time.Second, entry.Tick{}))...)
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0], again[1])
	assert.Assert(t, again[0] > 16, "above the run that the worker knows")
}

// Guards against a gang that is done and whose other members are run again.
func TestEndOfOneMemberStandsForTheGang(t *testing.T) {
	m, _ := gang(t, nil)
	actions := runEnded(m, 2, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, answers(actions)[0].Outcome, entry.Complete)
	late := runEnded(m, 1, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, len(taskEnds(late)), 1, "its agent keeps the end until it is settled")
	_, resumed := gang(t, []entry.TaskProgress{{Done: true}, {}})
	assert.Equal(t, answers(resumed)[0].Outcome, entry.Complete)
}

// Guards against runs beyond the attempts, and against two failed members of one
// run that count as two failures.
func TestGangFailsAfterItsAttempts(t *testing.T) {
	m, _ := gang(t, nil)
	assert.Equal(t, len(answers(runEnded(m, 1, wire.Failed, wire.ReasonUpstreamError))), 0)
	actions := runEnded(m, 2, wire.Failed, wire.ReasonUpstreamError)
	assert.Equal(t, len(answers(actions)), 0, "one run has failed")
	assert.DeepEqual(t, runs(actions), []int{2, 2})
	assert.Equal(t, len(answers(runEnded(m, 3, wire.Failed, wire.ReasonUpstreamError))), 0)
	actions = runEnded(m, 4, wire.Failed, wire.ReasonStopped)
	assert.Equal(t, answers(actions)[0].Reason, entry.ReasonTaskFailed)
}

// Guards against a gang that is started again while a member that was lost may
// still work, and against one whose lost member's success is not taken.
func TestLostMemberOfAGang(t *testing.T) {
	m, _ := gang(t, nil)
	m.Step(1, entry.Replaced{Agent: 1})
	end := wire.RunEnd{Run: wire.RunRef{Job: "j", Index: 1, Run: 1}}
	actions := m.Step(2, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 2, Name: "x", Slots: 8, Ends: []wire.RunEnd{end}}})
	assert.Equal(t, len(runs(actions)), 0)
	assert.Equal(t, answers(actions)[0].Outcome, entry.Complete)
}

// Guards against members of one run that go on from different progress.
func TestMembersOfAGangGoOnFromOneProgress(t *testing.T) {
	m, started := gang(t, []entry.TaskProgress{{Checkpoint: "a"}, {}})
	first, _ := frames(started)
	assert.Equal(t, first.Starts[0].Checkpoint, "a")
	assert.Equal(t, first.Starts[1].Checkpoint, "a")
	runEnded(m, 1, wire.Failed, wire.ReasonRunEnded)
	f, _ := frames(m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 2, Outcome: wire.Failed, Reason: wire.ReasonRunEnded, Checkpoint: "b"}},
	}}))
	assert.Equal(t, len(f.Starts), 2)
	for i := range f.Starts {
		assert.Equal(t, f.Starts[i].Checkpoint, "b")
	}
}
