package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const storedLease = time.Minute

// stored starts a machine with one agent and one stored job, whose first task
// was done before.
func stored(t *testing.T, lasting bool) *entry.Machine {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}, AgentLease: 400 * time.Millisecond})
	m.Step(0, up(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLease})
	actions := m.Step(0, entry.Submit{
		Submission: testJob, Attempts: 2, Job: "j", Payloads: make([][]byte, 2), RunBase: 1000,
		Stored: true, Lasting: lasting, Progress: []entry.TaskProgress{{Done: true}, {Failures: 1}},
	})
	f, _ := frames(actions)
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Index, 1)
	assert.Equal(t, f.Starts[0].Run, 1001)
	assert.Equal(t, f.Starts[0].Stored, !lasting)
	return m
}

func taskEnds(actions []entry.Action) (out []entry.TaskEnded) {
	for _, a := range actions {
		if x, ok := a.(entry.TaskEnded); ok {
			out = append(out, x)
		}
	}
	return out
}

// Guards against ends that are not recorded, and against recorded failures that
// do not count.
func TestStoredJobTellsOfItsEnds(t *testing.T) {
	m := stored(t, false)
	actions := runEnded(m, 1, wire.Failed, wire.ReasonUpstreamError)
	ends := taskEnds(actions)
	assert.Equal(t, len(ends), 1)
	assert.DeepEqual(t, ends[0].End, wire.RunEnd{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}, Failed: true})
	assert.Equal(t, answers(actions)[0].Reason, entry.ReasonTaskFailed, "the second failure in all")
}

// Guards against an entry that wakes after its lease and starts a task that
// another entry runs by then.
func TestStoredJobIsNotStartedAfterTheLease(t *testing.T) {
	m := stored(t, false)
	actions := m.Step(storedLease, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonRunEnded}},
	}})
	f, _ := frames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, len(answers(actions)), 1)
	refused := m.Step(storedLease, entry.Submit{
		Submission: wire.SubmissionID{2}, Job: "k", Payloads: make([][]byte, 1), Stored: true,
	})
	assert.Equal(t, answers(refused)[0].Outcome, entry.Refused)
}

// Guards against a task that is repeated while its run at a lost agent may go on,
// and against a job that ends because of it.
func TestLostRunOfAStoredJobIsRepeatedOnceItMustHaveEnded(t *testing.T) {
	m := stored(t, false)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	starts := func(now time.Duration) int {
		actions := m.Step(now, entry.Tick{})
		assert.Equal(t, len(answers(actions)), 0)
		return int(m.Stats().Starts)
	}
	assert.Equal(t, starts(time.Second), 1)
	m.Step(time.Second, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "v", Slots: 8}})
	// The agent stops the runs of a silent entry after 0.5 s; if it is lost as
	// well, they end with the worker's lease 0.72 s later.
	assert.Equal(t, starts(1220*time.Millisecond), 1)
	m.Step(2*time.Second, up(2, 0))
	assert.Equal(t, starts(3*time.Second), 2)
}

// Guards against a task that runs again although a new agent found its run's end
// at the worker.
func TestEndFoundByANewAgentEndsTheAttempt(t *testing.T) {
	m := stored(t, false)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	actions := m.Step(2, entry.LinkUp{Hello: wire.AgentHello{
		Agent: 2, Epoch: 1, Name: "w", Slots: 8, Clean: true,
		Ends: []wire.RunEnd{{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}}},
	}})
	f, _ := frames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, answers(actions)[0].Outcome, entry.Complete)
	assert.Assert(t, len(taskEnds(actions)) > 0)
}

// Guards against a lasting job whose task ends it, or is started without pause.
func TestTaskOfALastingJobIsStartedAgain(t *testing.T) {
	m := stored(t, true)
	actions := runEnded(m, 1, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, len(answers(actions))+len(taskEnds(actions)), 0)
	f, _ := frames(actions)
	assert.Equal(t, len(f.Starts), 0)
	f, _ = frames(m.Step(time.Second, entry.Tick{}))
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Run, 1002)
}

// Guards against a task that runs again although a new agent found its run's end,
// when the earlier agent was given up before the new one came; and against an end
// that counts although its task was started again.
func TestEndFoundAfterTheAgentWasGivenUp(t *testing.T) {
	for _, tc := range []struct {
		found    time.Duration
		complete bool
	}{{600 * time.Millisecond, true}, {3 * time.Second, false}} {
		m := stored(t, false)
		m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
		m.Step(500*time.Millisecond, entry.Tick{})
		// Another agent takes what is repeated in the meantime.
		m.Step(550*time.Millisecond, entry.LinkUp{Hello: wire.AgentHello{Agent: 1, Epoch: 5, Name: "other", Slots: 8}})
		m.Step(tc.found-1, entry.Tick{})
		actions := m.Step(tc.found, entry.LinkUp{Hello: wire.AgentHello{
			Agent: 2, Epoch: 1, Name: "w", Slots: 8, Clean: true,
			Ends: []wire.RunEnd{{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}}},
		}})
		assert.Equal(t, len(answers(actions)) == 1, tc.complete)
		ends := taskEnds(actions)
		assert.Equal(t, ends[len(ends)-1].Late, !tc.complete)
		m.Step(5*time.Second, entry.Tick{})
		assert.Equal(t, m.Stats().Starts == 1, tc.complete)
	}
}

// Guards against occurrences that start before their time, all at once, or out of
// the order of their own steps, and against runs named after another occurrence.
func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgent{}})
	m.Step(0, up(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLease})
	const period = 10 * time.Second
	var refs []wire.RunRef
	started := func(actions []entry.Action) {
		f, _ := frames(actions)
		for i := range f.Starts {
			refs = append(refs, f.Starts[i].Ref())
		}
	}
	started(m.Step(0, entry.Submit{
		Submission: testJob, Attempts: 2, Job: "j", Payloads: make([][]byte, 6), Stored: true,
		Steps:       []entry.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}},
		Occurrences: []time.Duration{0, period},
		Progress:    []entry.TaskProgress{{Done: true}},
	}))
	assert.DeepEqual(t, refs, []wire.RunRef{{Job: "j", Index: 1, Run: 1}})
	started(runEnded(m, 1, wire.Succeeded, wire.ReasonNone))
	assert.DeepEqual(t, refs[1:], []wire.RunRef{{Job: "j", Step: 1, Run: 1}})
	ended := runEnded(m, 2, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, len(answers(ended)), 0, "an occurrence is left")
	started(m.Step(period-1, entry.Tick{}))
	assert.Equal(t, len(refs), 2)
	started(m.Step(period, entry.Tick{}))
	assert.DeepEqual(t, refs[2:], []wire.RunRef{{Job: "j", Occurrence: 1, Run: 1}, {Job: "j", Occurrence: 1, Index: 1, Run: 1}})
}
