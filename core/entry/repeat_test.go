package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// repeatable starts a machine with one agent and one job of a task that may
// fail twice.
func repeatable(t *testing.T) *entry.Machine {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	f, _ := frames(m.Step(0, entry.Submit{
		Submission: testJob, Deadline: time.Second, Attempts: 3, Job: "j", Payloads: make([][]byte, 1),
	}))
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Run, 1)
	assert.Equal(t, f.Starts[0].Job, "j")
	return m
}

func runEnded(m *entry.Machine, seq wire.Seq, o wire.Outcome, r wire.Reason) []entry.Action {
	return m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: seq, Outcome: o, Reason: r}},
	}})
}

func answers(actions []entry.Action) (out []entry.JobAnswer) {
	for _, a := range actions {
		if x, ok := a.(entry.Answer); ok {
			out = append(out, x.Answer)
		}
	}
	return out
}

// Guards against a failed task that ends its job although its class allows
// further runs, and against runs beyond those.
func TestFailedTaskRunsAgainUpToItsAttempts(t *testing.T) {
	m := repeatable(t)
	for seq := wire.Seq(1); seq <= 2; seq++ {
		actions := runEnded(m, seq, wire.Failed, wire.ReasonUpstreamError)
		f, _ := frames(actions)
		assert.Equal(t, len(f.Starts), 1)
		assert.Equal(t, f.Starts[0].Run, int(seq)+1)
		assert.Equal(t, len(answers(actions)), 0)
	}
	got := answers(runEnded(m, 3, wire.Failed, wire.ReasonUpstreamError))
	assert.Equal(t, got[0].Outcome, entry.Failed)
	assert.Equal(t, got[0].Reason, entry.ReasonTaskFailed)
}

// Guards against runs that ended with their worker and count as failures of
// the task.
func TestRunThatEndedWithItsWorkerIsNoFailure(t *testing.T) {
	m := repeatable(t)
	for seq := wire.Seq(1); seq <= 5; seq++ {
		f, _ := frames(runEnded(m, seq, wire.Failed, wire.ReasonRunEnded))
		assert.Equal(t, len(f.Starts), 1)
	}
	assert.Equal(t, answers(runEnded(m, 6, wire.Succeeded, wire.ReasonNone))[0].Outcome, entry.Complete)
}

// Guards against a refusal, which says "not run", of a job whose task ran and
// was to be repeated when the deadline passed.
func TestJobWhoseRunEndedIsNotRefused(t *testing.T) {
	m := repeatable(t)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(2, up(2, 0))
	actions := m.Step(3, entry.Received{Agent: 1, Epoch: 2, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonRunEnded}},
	}})
	f, _ := frames(actions)
	assert.Equal(t, len(f.Starts), 1)
	m.Step(time.Second, entry.Tick{})
	got := answers(m.Step(time.Second, entry.Received{Agent: 1, Epoch: 2, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 2, Outcome: wire.NotRun, Reason: wire.ReasonCancelled}},
	}}))
	assert.Equal(t, got[0].Outcome, entry.Failed)
}

// Guards against a second run of a task while the first may go on: a worker's
// new agent proves its end only if it says that nothing is left there.
func TestOnlyACleanAgentEndsTheRunsOfItsPredecessor(t *testing.T) {
	for _, clean := range []bool{false, true} {
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgent)})
		m.Step(0, up(1, 0))
		m.Step(0, entry.Submit{
			Submission: testJob, Deadline: time.Second, Attempts: 3, Payloads: make([][]byte, 1),
		})
		hello := wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8, Clean: clean}
		m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
		actions := m.Step(1, entry.LinkUp{Hello: hello})
		if clean {
			assert.Equal(t, len(answers(actions)), 0, "the task is to run again")
			continue
		}
		assert.Equal(t, answers(actions)[0].Outcome, entry.Unknown)
	}
}

// newestAgent places every task on the agent that connected last.
type newestAgent struct {
	fifo
	agent wire.Incarnation
}

func (s *newestAgent) AgentUp(_ time.Duration, info policy.AgentInfo) { s.agent = info.Agent }

func (s *newestAgent) Next(now time.Duration) (p placement, ok bool) {
	p, ok = s.fifo.Next(now)
	p.Agent = s.agent
	return p, ok
}

// Guards against an agent whose lease on this entry's runs is not renewed, or
// is renewed by a reading that the entry made up.
func TestFramesEchoTheAgentsClock(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Clock: 700}})
	m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Clock: 600}})
	for _, a := range m.Step(time.Minute, entry.Tick{}) {
		if s, ok := a.(entry.Send); ok {
			assert.Equal(t, s.Frame.Echo, wire.Micros(700))
			return
		}
	}
	t.Fatal("no frame was sent")
}

// slowJudge takes every run that is older than a tenth of a second for stuck.
type slowJudge struct {
	oneAgent
	told []wire.Reason
}

func (s *slowJudge) Stuck(now time.Duration, _ *policy.Task) bool { return now > 100*time.Millisecond }

func (s *slowJudge) Done(_ time.Duration, _ wire.Incarnation, _ *policy.Task, r *wire.Result) {
	s.told = append(s.told, r.Reason)
}

// Guards against a task that waits for its deadline on a worker where it stands
// still, against a second run before the first has ended, and against repeating
// a task that may run only once.
func TestStuckRunIsStoppedAndRepeated(t *testing.T) {
	for _, attempts := range []int{1, 3} {
		s := new(slowJudge)
		m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
		m.Step(0, up(1, 0))
		m.Step(0, entry.Submit{
			Submission: testJob, Deadline: time.Second, Attempts: attempts, Payloads: make([][]byte, 1),
		})
		f, _ := frames(m.Step(200*time.Millisecond, entry.Tick{}))
		if attempts == 1 {
			assert.Equal(t, len(f.Cancels), 0)
			continue
		}
		assert.DeepEqual(t, f.Cancels, []wire.Seq{1})
		assert.Equal(t, len(f.Starts), 0)
		f, _ = frames(m.Step(210*time.Millisecond, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
			Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonStopped}},
		}}))
		assert.Equal(t, len(f.Starts), 1)
		assert.Equal(t, f.Starts[0].Run, 2)
		assert.DeepEqual(t, s.told, []wire.Reason{wire.ReasonStuck})
	}
}

// Guards against a second run of a task that goes on: the agent of a worker's
// earlier life connects again while it is ending, after that of the later life.
func TestReconnectOfAnEarlierLifeEndsNoRunOfALaterOne(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgent)})
	hello := func(agent wire.Incarnation, epoch wire.Epoch, life int64) entry.LinkUp {
		return entry.LinkUp{Hello: wire.AgentHello{Agent: agent, Epoch: epoch, Name: "w", Slots: 8, Clean: true, Life: life}}
	}
	m.Step(0, hello(1, 1, 100))
	m.Step(1, hello(2, 1, 200))
	f, _ := frames(m.Step(1, entry.Submit{
		Submission: testJob, Deadline: time.Second, Attempts: 3, Payloads: make([][]byte, 1),
	}))
	assert.Equal(t, len(f.Starts), 1)
	f, _ = frames(m.Step(2, hello(1, 2, 100)))
	assert.Equal(t, len(f.Starts), 0, "the run at the later life goes on")
}

// Guards against the same with two incarnations of an agent in one life of its
// worker: an entry that stood still takes up their connections in any order.
func TestReconnectOfAnEarlierIncarnationEndsNoRunOfALaterOne(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: new(newestAgent)})
	hello := func(agent wire.Incarnation, took time.Duration) entry.LinkUp {
		return entry.LinkUp{Hello: wire.AgentHello{
			Agent: agent, Epoch: 1, Name: "w", Slots: 8, Clean: true, Life: 100, Took: wire.MicrosOf(took),
		}}
	}
	m.Step(0, hello(2, 5*time.Second))
	f, _ := frames(m.Step(1, entry.Submit{
		Submission: testJob, Deadline: time.Second, Attempts: 3, Payloads: make([][]byte, 1),
	}))
	assert.Equal(t, len(f.Starts), 1)
	f, _ = frames(m.Step(2, hello(1, time.Second)))
	assert.Equal(t, len(f.Starts), 0, "the run at the later incarnation goes on")
}

// Guards against work that is done again although the worker saved its progress.
func TestRunGoesOnFromSavedProgress(t *testing.T) {
	m := repeatable(t)
	end := func(seq wire.Seq, saved string) wire.Start {
		f, _ := frames(m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
			Results: []wire.Result{{Seq: seq, Outcome: wire.Failed, Reason: wire.ReasonRunEnded, Checkpoint: saved}},
		}}))
		return f.Starts[0]
	}
	assert.Equal(t, end(1, "half").Checkpoint, "half")
	assert.Equal(t, end(2, "").Checkpoint, "half", "a run that saved nothing keeps what there was")
}
