package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// startRepeatableJob starts a machine with one agent and one job of one task,
// which may run three times.
func startRepeatableJob(t *testing.T) *entry.Machine {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	f, _ := mergeFrames(m.Step(0, entry.Submit{
		Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Job: "j", Payloads: make([][]byte, 1),
	}))
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Run, 1)
	assert.Equal(t, f.Starts[0].Job, "j")
	return m
}

func deliverResult(m *entry.Machine, seq wire.Seq, o wire.Outcome, r wire.Reason) []entry.Action {
	return m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: seq, Outcome: o, Reason: r}},
	}})
}

func answersIn(actions []entry.Action) (out []entry.JobAnswer) {
	for _, a := range actions {
		if x, ok := a.(entry.Answer); ok {
			out = append(out, x.Answer)
		}
	}
	return out
}

// Guards against a failed task that fails its job although further runs are
// allowed, and against more runs than that.
func TestFailedTaskIsRetriedUpToMaxAttempts(t *testing.T) {
	m := startRepeatableJob(t)
	for seq := wire.Seq(1); seq <= 2; seq++ {
		actions := deliverResult(m, seq, wire.Failed, wire.ReasonUpstreamError)
		f, _ := mergeFrames(actions)
		assert.Equal(t, len(f.Starts), 1)
		assert.Equal(t, f.Starts[0].Run, int(seq)+1)
		assert.Equal(t, len(answersIn(actions)), 0)
	}
	got := answersIn(deliverResult(m, 3, wire.Failed, wire.ReasonUpstreamError))
	assert.Equal(t, got[0].Outcome, entry.Failed)
	assert.Equal(t, got[0].Reason, entry.ReasonTaskFailed)
}

// Guards against counting a run that ended with its worker as a failure of the
// task.
func TestRunEndedWithWorkerIsNotCountedAsFailure(t *testing.T) {
	m := startRepeatableJob(t)
	for seq := wire.Seq(1); seq <= 5; seq++ {
		f, _ := mergeFrames(deliverResult(m, seq, wire.Failed, wire.ReasonRunEnded))
		assert.Equal(t, len(f.Starts), 1)
	}
	assert.Equal(t, answersIn(deliverResult(m, 6, wire.Succeeded, wire.ReasonNone))[0].Outcome, entry.Complete)
}

// Guards against a refusal, which claims that nothing ran, of a job whose task
// ran and was waiting to run again when the deadline passed.
func TestJobWithEndedRunIsNotRefused(t *testing.T) {
	m := startRepeatableJob(t)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(2, linkUp(2, 0))
	actions := m.Step(3, entry.Received{Agent: 1, Epoch: 2, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonRunEnded}},
	}})
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 1)
	m.Step(time.Second, entry.Tick{})
	got := answersIn(m.Step(time.Second, entry.Received{Agent: 1, Epoch: 2, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 2, Outcome: wire.NotRun, Reason: wire.ReasonCancelled}},
	}}))
	assert.Equal(t, got[0].Outcome, entry.Failed)
}

// Guards against a second run of a task while the first may continue: the
// worker's new agent proves the end of earlier runs only if it reports that
// none is left.
func TestOnlyAgentWithoutLeftoverRunsEndsRunsOfPredecessor(t *testing.T) {
	for _, noLeftoverRuns := range []bool{false, true} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
		m.Step(0, linkUp(1, 0))
		m.Step(0, entry.Submit{
			Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1),
		})
		hello := wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8, NoLeftoverRuns: noLeftoverRuns}
		m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
		actions := m.Step(1, entry.LinkUp{Hello: hello})
		if noLeftoverRuns {
			assert.Equal(t, len(answersIn(actions)), 0, "the task is to run again")
			continue
		}
		assert.Equal(t, answersIn(actions)[0].Outcome, entry.Unknown)
	}
}

// newestAgentScheduler places every task on the agent that connected last.
type newestAgentScheduler struct {
	fifoScheduler
	newest wire.Incarnation
}

func (s *newestAgentScheduler) AgentUp(_ time.Duration, info policy.AgentInfo) { s.newest = info.Agent }

func (s *newestAgentScheduler) Next(now time.Duration) (p placement, ok bool) {
	p, ok = s.fifoScheduler.Next(now)
	p.Agent = s.newest
	return p, ok
}

// Guards against an agent whose lease on this entry's runs is not renewed, or
// is renewed by a clock reading that the agent never sent.
func TestFramesEchoLatestAgentClock(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{AgentClock: 700}})
	m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{AgentClock: 600}})
	for _, a := range m.Step(time.Minute, entry.Tick{}) {
		if s, ok := a.(entry.Send); ok {
			assert.Equal(t, s.Frame.ClockEcho, wire.Micros(700))
			return
		}
	}
	t.Fatal("no frame was sent")
}

// stuckScheduler reports every run as stuck once the time is beyond 100 ms.
type stuckScheduler struct {
	oneAgentScheduler
	doneReasons []wire.Reason
}

func (s *stuckScheduler) Stuck(now time.Duration, _ *policy.Task) bool {
	return now > 100*time.Millisecond
}

func (s *stuckScheduler) AttemptDone(_ time.Duration, _ wire.Incarnation, _ *policy.Task, r *wire.Result) {
	s.doneReasons = append(s.doneReasons, r.Reason)
}

// Guards against a task that makes no progress on its worker until its
// deadline, against a second run before the first has ended, and against
// repeating a task that may run only once.
func TestStuckRunIsCancelledAndRepeated(t *testing.T) {
	for _, attempts := range []int{1, 3} {
		s := new(stuckScheduler)
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
		m.Step(0, linkUp(1, 0))
		m.Step(0, entry.Submit{
			Submission: testJob, Deadline: time.Second, MaxFailedRuns: attempts, Payloads: make([][]byte, 1),
		})
		f, _ := mergeFrames(m.Step(200*time.Millisecond, entry.Tick{}))
		if attempts == 1 {
			assert.Equal(t, len(f.Cancels), 0)
			continue
		}
		assert.DeepEqual(t, f.Cancels, []wire.Seq{1})
		assert.Equal(t, len(f.Starts), 0)
		f, _ = mergeFrames(m.Step(210*time.Millisecond, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
			Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonStopped}},
		}}))
		assert.Equal(t, len(f.Starts), 1)
		assert.Equal(t, f.Starts[0].Run, 2)
		assert.DeepEqual(t, s.doneReasons, []wire.Reason{wire.ReasonStuck})
	}
}

// Guards against a job that waits for ever: the cancel of its stuck run was lost with the
// connection, or could not be sent without one.
func TestCancelOfStuckRunIsRepeatedAfterReconnect(t *testing.T) {
	for _, stuckAt := range []time.Duration{200 * time.Millisecond, 220 * time.Millisecond} { // before and after the loss
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(stuckScheduler)})
		m.Step(0, linkUp(1, 0))
		m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, MaxFailedRuns: 3, Payloads: make([][]byte, 1)})
		if stuckAt < 210*time.Millisecond {
			assert.Equal(t, len(cancelledSeqs(m.Step(stuckAt, entry.Tick{}))), 1)
		}
		m.Step(210*time.Millisecond, entry.LinkDown{Agent: 1, Epoch: 1})
		if stuckAt > 210*time.Millisecond {
			assert.Equal(t, len(cancelledSeqs(m.Step(stuckAt, entry.Tick{}))), 0)
		}
		f, _ := mergeFrames(m.Step(300*time.Millisecond, linkUp(2, 0)))
		assert.DeepEqual(t, f.Cancels, []wire.Seq{1})
		assert.DeepEqual(t, f.Queries, []wire.Seq{1})
	}
}

// Guards against a second run of a task that is still running: the agent of an
// earlier worker incarnation may, while it is ending, connect again after the agent
// of the later one.
func TestReconnectOfEarlierWorkerIncarnationKeepsLaterRuns(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
	hello := func(agent wire.Incarnation, epoch wire.Epoch, workerIncarnation int64) entry.LinkUp {
		return entry.LinkUp{Hello: wire.AgentHello{Agent: agent, Epoch: epoch, Name: "w", Slots: 8, NoLeftoverRuns: true, WorkerIncarnation: workerIncarnation}}
	}
	m.Step(0, hello(1, 1, 100))
	m.Step(1, hello(2, 1, 200))
	f, _ := mergeFrames(m.Step(1, entry.Submit{
		Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1),
	}))
	assert.Equal(t, len(f.Starts), 1)
	f, _ = mergeFrames(m.Step(2, hello(1, 2, 100)))
	assert.Equal(t, len(f.Starts), 0, "the run of the later worker incarnation continues")
}

// Guards against a second run of a task that is still running, when two agent
// incarnations belong to the same worker incarnation: an entry that was frozen
// handles their connections in any order.
func TestReconnectOfEarlierAgentIncarnationKeepsLaterRuns(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
	hello := func(agent wire.Incarnation, takeoverTime time.Duration) entry.LinkUp {
		return entry.LinkUp{Hello: wire.AgentHello{
			Agent: agent, Epoch: 1, Name: "w", Slots: 8, NoLeftoverRuns: true, WorkerIncarnation: 100, TakeoverTime: wire.MicrosOf(takeoverTime),
		}}
	}
	m.Step(0, hello(2, 5*time.Second))
	f, _ := mergeFrames(m.Step(1, entry.Submit{
		Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1),
	}))
	assert.Equal(t, len(f.Starts), 1)
	f, _ = mergeFrames(m.Step(2, hello(1, time.Second)))
	assert.Equal(t, len(f.Starts), 0, "the run of the later agent incarnation continues")
}

// Guards against a second run of a task that is still running: the connection of a
// worker's new agent breaks while the entry has not noticed that the old agent is gone.
// The old one must not be taken for its successor.
func TestAgentIsNotReplacedByEarlierIncarnation(t *testing.T) {
	for _, oldFirst := range []bool{true, false} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgentScheduler)})
		hello := func(agent wire.Incarnation, epoch wire.Epoch, takeoverTime time.Duration) entry.LinkUp {
			return entry.LinkUp{Hello: wire.AgentHello{
				Agent: agent, Epoch: epoch, Name: "w", Slots: 8, WorkerIncarnation: 100, TakeoverTime: wire.MicrosOf(takeoverTime),
			}}
		}
		if oldFirst {
			m.Step(0, hello(1, 1, time.Second))
		}
		m.Step(1, hello(2, 1, 5*time.Second))
		f, _ := mergeFrames(m.Step(2, entry.Submit{
			Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1),
		}))
		assert.Equal(t, len(f.Starts), 1)
		if !oldFirst {
			m.Step(3, hello(1, 1, time.Second))
		}
		assert.Equal(t, len(answersIn(m.Step(4, entry.LinkDown{Agent: 2, Epoch: 1}))), 0, "the agent may connect again")
		f, _ = mergeFrames(m.Step(5, hello(2, 2, 5*time.Second)))
		assert.DeepEqual(t, f.Queries, []wire.Seq{1})
	}
}

// Guards against a caller that waits for an agent that is gone for good: its successor
// is connected.
func TestAttemptsOfReplacedAgentEndWithItsConnection(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1)})
	successor := wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8, TakeoverTime: 1}
	assert.Equal(t, len(answersIn(m.Step(1, entry.LinkUp{Hello: successor}))), 0)
	answers := answersIn(m.Step(2, entry.LinkDown{Agent: 1, Epoch: 1}))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Outcome, entry.Unknown)
}

// Guards against repeating work for which the worker saved a checkpoint.
func TestRunResumesFromCheckpoint(t *testing.T) {
	m := startRepeatableJob(t)
	endRun := func(seq wire.Seq, checkpoint string) wire.Start {
		f, _ := mergeFrames(m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
			Results: []wire.Result{{Seq: seq, Outcome: wire.Failed, Reason: wire.ReasonRunEnded, Checkpoint: checkpoint}},
		}}))
		return f.Starts[0]
	}
	assert.Equal(t, endRun(1, "half").Checkpoint, "half")
	assert.Equal(t, endRun(2, "").Checkpoint, "half", "a run that saved nothing keeps the earlier checkpoint")
}
