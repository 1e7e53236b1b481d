package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const storedLeaseEnd = time.Minute

// startStoredJob starts a machine with one agent and one stored job of two
// tasks, the first of which is already done.
func startStoredJob(t *testing.T, longRunning bool) *entry.Machine {
	return startStoredJobWith(t, &oneAgentScheduler{}, longRunning)
}

func startStoredJobWith(t *testing.T, s policy.Scheduler, longRunning bool) *entry.Machine {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: s, LostAgentTimeout: 400 * time.Millisecond})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	actions := m.Step(0, entry.Submit{
		Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 2), RunBase: 1000,
		Stored: true, LongRunning: longRunning, Progress: []entry.TaskProgress{{Done: true}, {Failures: 1}},
	})
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Index, 1)
	assert.Equal(t, f.Starts[0].Run, 1001)
	assert.Equal(t, f.Starts[0].RetainFinishedRun, !longRunning)
	return m
}

func finishedRunsIn(actions []entry.Action) (out []entry.RunFinished) {
	for _, a := range actions {
		if x, ok := a.(entry.RunFinished); ok {
			out = append(out, x)
		}
	}
	return out
}

// Guards against finished runs that are not recorded, and against recorded
// failures that are not counted.
func TestStoredJobReportsFinishedRuns(t *testing.T) {
	m := startStoredJob(t, false)
	actions := deliverResult(m, 1, wire.Failed, wire.ReasonUpstreamError)
	finished := finishedRunsIn(actions)
	assert.Equal(t, len(finished), 1)
	assert.DeepEqual(t, finished[0].Run, wire.FinishedRun{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}, Failed: true})
	assert.Equal(t, answersIn(actions)[0].Reason, entry.ReasonTaskFailed, "the second failure, counting the recorded one")
}

// Guards against an entry that was frozen beyond its lease and starts a task
// that another entry runs by then.
func TestStoredJobIsNotStartedAfterLeaseExpires(t *testing.T) {
	m := startStoredJob(t, false)
	actions := m.Step(storedLeaseEnd, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonRunEnded}},
	}})
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, len(answersIn(actions)), 1)
	refused := m.Step(storedLeaseEnd, entry.Submit{
		Submission: wire.SubmissionID{2}, Job: "k", Payloads: make([][]byte, 1), Stored: true,
	})
	assert.Equal(t, answersIn(refused)[0].Outcome, entry.Refused)
}

// Guards against a stored job that ends, as failed or otherwise, although none of its tasks
// has run: no worker takes them, for whatever reason, or their runs are lost.
func TestStoredJobThatIsNotRunGoesOn(t *testing.T) {
	for _, outcome := range []wire.Outcome{wire.NotRun, wire.Unknown} {
		for reason := wire.ReasonNone; reason <= wire.ReasonWorkerCrashed; reason++ {
			m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
			m.Step(0, linkUp(1, 0))
			m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
			m.Step(0, entry.Submit{Submission: testJob, MaxFailedRuns: 1, Job: "j", Payloads: make([][]byte, 1), Stored: true})
			now := time.Duration(0)
			for seq := wire.Seq(1); seq <= 5; seq++ {
				now += 2 * time.Second // a lost run has ended by then
				m.Step(now, entry.Tick{})
				assert.Equal(t, int(m.Stats().Starts), int(seq), "%v %v", outcome, reason)
				actions := m.Step(now, resultEvent(seq, outcome, reason))
				assert.Equal(t, len(answersIn(actions)), 0, "%v %v", outcome, reason)
			}
		}
	}
}

// Guards against repeating a task while its run at a lost agent may continue,
// and against ending the job because of the lost run.
func TestLostRunOfStoredJobIsRepeatedAfterItsLease(t *testing.T) {
	for _, lost := range []entry.Event{entry.LinkDown{Agent: 1, Epoch: 1}, entry.AgentReplaced{Agent: 1}} {
		checkLostRunIsRepeated(t, lost)
	}
}

func checkLostRunIsRepeated(t *testing.T, lost entry.Event) {
	m := startStoredJobWith(t, new(newestAgentScheduler), false)
	m.Step(1, lost)
	starts := func(now time.Duration) int {
		actions := m.Step(now, entry.Tick{})
		assert.Equal(t, len(answersIn(actions)), 0)
		return int(m.Stats().Starts)
	}
	assert.Equal(t, starts(time.Second), 1)
	m.Step(time.Second, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "v", Slots: 8}})
	// An agent stops the runs of an entry that it has not heard from for 0.5 s. If
	// the agent is lost as well, they end with the worker's lease 0.72 s later.
	assert.Equal(t, starts(1270*time.Millisecond), 1)
	assert.Equal(t, starts(1500*time.Millisecond), 2)
}

// Guards against two runs of a task at the same time: the agent of a run in doubt
// connects again before its lease has expired, so that the run goes on.
func TestRunInDoubtGoesOnWhenItsAgentReconnects(t *testing.T) {
	m := startStoredJobWith(t, new(newestAgentScheduler), false)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(2, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "v", Slots: 8}})
	m.Step(430*time.Millisecond, entry.Tick{})
	f, _ := mergeFrames(m.Step(450*time.Millisecond, linkUp(2, 0)))
	assert.DeepEqual(t, f.Queries, []wire.Seq{1})
	m.Step(10*time.Second, entry.Tick{})
	assert.Equal(t, m.Stats().Starts, uint64(1))
	actions := m.Step(11*time.Second, entry.Received{Agent: 1, Epoch: 2, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.Succeeded}},
	}})
	assert.Equal(t, answersIn(actions)[0].Outcome, entry.Complete)
}

// Guards against a run that goes on although its job was answered as unknown: its agent
// connects again before its lease has expired.
func TestRunIsCancelledWhenAgentThatWasGivenUpReconnects(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}, LostAgentTimeout: 400 * time.Millisecond})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.Submit{Submission: testJob, Deadline: time.Minute, MaxFailedRuns: 3, Payloads: make([][]byte, 1)})
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	answers := answersIn(m.Step(401*time.Millisecond, entry.Tick{}))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Outcome, entry.Unknown)
	f, _ := mergeFrames(m.Step(450*time.Millisecond, linkUp(2, 0)))
	assert.DeepEqual(t, f.Cancels, []wire.Seq{1})
}

// Guards against running a task again although a new agent found at the worker
// that its run had finished.
func TestFinishedRunReportedByNewAgentEndsAttempt(t *testing.T) {
	m := startStoredJob(t, false)
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	actions := m.Step(2, entry.LinkUp{Hello: wire.AgentHello{
		Agent: 2, Epoch: 1, Name: "w", Slots: 8, NoLeftoverRuns: true,
		FinishedRuns: []wire.FinishedRun{{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}}},
	}})
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 0)
	assert.Equal(t, answersIn(actions)[0].Outcome, entry.Complete)
	assert.Assert(t, len(finishedRunsIn(actions)) > 0)
}

// Guards against a long-running job that ends with its task, or whose task is
// restarted without a delay.
func TestTaskOfLongRunningJobIsRestarted(t *testing.T) {
	m := startStoredJob(t, true)
	actions := deliverResult(m, 1, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, len(answersIn(actions))+len(finishedRunsIn(actions)), 0)
	f, _ := mergeFrames(actions)
	assert.Equal(t, len(f.Starts), 0)
	f, _ = mergeFrames(m.Step(time.Second, entry.Tick{}))
	assert.Equal(t, len(f.Starts), 1)
	assert.Equal(t, f.Starts[0].Run, 1002)
}

// Guards against running a task again although a new agent found its finished
// run, when the previous agent had been removed before; and against counting a
// finished run whose task was already started again.
func TestFinishedRunReportedAfterAgentWasRemoved(t *testing.T) {
	linkDown, replaced := entry.LinkDown{Agent: 1, Epoch: 1}, entry.AgentReplaced{Agent: 1}
	for _, tc := range []struct {
		lost       entry.Event
		reportedAt time.Duration
		complete   bool
	}{
		{linkDown, 600 * time.Millisecond, true}, {linkDown, 3 * time.Second, false},
		{replaced, 600 * time.Millisecond, true}, {replaced, 3 * time.Second, false},
	} {
		m := startStoredJobWith(t, new(newestAgentScheduler), false)
		m.Step(1, tc.lost)
		m.Step(500*time.Millisecond, entry.Tick{})
		// Another agent takes the tasks that are repeated in the meantime.
		m.Step(550*time.Millisecond, entry.LinkUp{Hello: wire.AgentHello{Agent: 3, Epoch: 1, Name: "other", Slots: 8}})
		m.Step(tc.reportedAt-1, entry.Tick{})
		actions := m.Step(tc.reportedAt, entry.LinkUp{Hello: wire.AgentHello{
			Agent: 2, Epoch: 1, Name: "w", Slots: 8, NoLeftoverRuns: true,
			FinishedRuns: []wire.FinishedRun{{Run: wire.RunRef{Job: "j", Index: 1, Run: 1001}}},
		}})
		assert.Equal(t, len(answersIn(actions)) == 1, tc.complete)
		finished := finishedRunsIn(actions)
		assert.Equal(t, finished[len(finished)-1].Superseded, !tc.complete)
		m.Step(5*time.Second, entry.Tick{})
		assert.Equal(t, m.Stats().Starts == 1, tc.complete)
	}
}

// Guards against occurrences that start early, all at once, or with their steps
// out of order, and against runs that are reported for another occurrence.
func TestOccurrencesStartWhenDue(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	const period = 10 * time.Second
	var refs []wire.RunRef
	recordStarts := func(actions []entry.Action) {
		f, _ := mergeFrames(actions)
		for i := range f.Starts {
			refs = append(refs, f.Starts[i].Ref())
		}
	}
	recordStarts(m.Step(0, entry.Submit{
		Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 6), Stored: true,
		Steps:       []entry.Step{{Tasks: 2}, {Tasks: 1, DependsOn: []int{0}}},
		Occurrences: []time.Duration{0, period},
		Progress:    []entry.TaskProgress{{Done: true}},
	}))
	assert.DeepEqual(t, refs, []wire.RunRef{{Job: "j", Index: 1, Run: 1}})
	recordStarts(deliverResult(m, 1, wire.Succeeded, wire.ReasonNone))
	assert.DeepEqual(t, refs[1:], []wire.RunRef{{Job: "j", Step: 1, Run: 1}})
	actions := deliverResult(m, 2, wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, len(answersIn(actions)), 0, "one occurrence has not started")
	recordStarts(m.Step(period-1, entry.Tick{}))
	assert.Equal(t, len(refs), 2)
	recordStarts(m.Step(period, entry.Tick{}))
	assert.DeepEqual(t, refs[2:], []wire.RunRef{{Job: "j", Occurrence: 1, Run: 1}, {Job: "j", Occurrence: 1, Index: 1, Run: 1}})
}

// Guards against a task that is started again after the success of its lost run was
// reported: the task had left the retry queue, but no worker had room for it yet.
func TestSuccessOfLostRunEndsQueuedTask(t *testing.T) {
	s := &closableScheduler{}
	m := startStoredJobWith(t, s, false)
	s.closed = true
	m.Step(1, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(1500*time.Millisecond, entry.Tick{})
	run := wire.RunRef{Job: "j", Index: 1, Run: 1001}
	actions := m.Step(1600*time.Millisecond, entry.LinkUp{Hello: wire.AgentHello{
		Agent: 2, Epoch: 1, Name: "v", Slots: 8, FinishedRuns: []wire.FinishedRun{{Run: run}},
	}})
	s.closed = false
	m.Step(1700*time.Millisecond, entry.Tick{})
	assert.Equal(t, int(m.Stats().Starts), 1, "the task is started again")
	answers := answersIn(actions)
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].Outcome, entry.Complete)
}

// Guards against a task that is started again after the success of its run was reported and
// acknowledged: the entry had been told before that the run had ended or had not run, and
// the task waits for its next start.
func TestSuccessReportedAfterEndOfRunEndsWaitingTask(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, told := range []wire.Result{
			{Outcome: wire.Failed, Reason: wire.ReasonRunEnded},
			{Outcome: wire.Failed, Reason: wire.ReasonWorkerCrashed},
			{Outcome: wire.Failed, Reason: wire.ReasonStopped},
			{Outcome: wire.NotRun, Reason: wire.ReasonNotReceived},
			{Outcome: wire.NotRun, Reason: wire.ReasonBusy},
		} {
			s := &closableScheduler{}
			m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
			m.Step(0, linkUp(1, 0))
			m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
			m.Step(0, entry.Submit{
				Submission: testJob, Job: "j", Payloads: make([][]byte, 1), Stored: true, MaxFailedRuns: 2,
				Steps: []entry.Step{{Tasks: 1, Gang: gang}},
			})
			assert.Equal(t, int(m.Stats().Starts), 1)
			s.closed = true
			told.Seq = 1
			m.Step(1, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{told}}})
			finished := []wire.FinishedRun{{Run: wire.RunRef{Job: "j", Run: 1}}}
			actions := m.Step(2, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "w", Slots: 8, FinishedRuns: finished}})
			reported, answers := finishedRunsIn(actions), answersIn(actions)
			assert.Equal(t, len(reported), 1)
			assert.Assert(t, !reported[0].Superseded)
			s.closed = false
			m.Step(3*time.Second, entry.Tick{})
			assert.Equal(t, int(m.Stats().Starts), 1, "gang %v, told %v %v: the task is started again", gang, told.Outcome, told.Reason)
			assert.Equal(t, len(answers), 1, "gang %v, told %v %v", gang, told.Outcome, told.Reason)
			assert.Equal(t, answers[0].Outcome, entry.Complete)
		}
	}
}

// Guards against a job that fails before its task has failed often enough: the agent
// reports the failed run again, because nobody has acknowledged it, while the task is
// queued for its next run.
func TestFailedRunThatIsReportedAgainCountsOnce(t *testing.T) {
	s := &closableScheduler{}
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: s})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: storedLeaseEnd})
	m.Step(0, entry.Submit{Submission: testJob, Job: "j", Payloads: make([][]byte, 1), Stored: true, MaxFailedRuns: 2})
	s.closed = true
	m.Step(1, resultEvent(1, wire.Failed, wire.ReasonUpstreamError))
	again := []wire.FinishedRun{{Run: wire.RunRef{Job: "j", Run: 1}, Failed: true}}
	actions := m.Step(2, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{FinishedRuns: again}})
	assert.Equal(t, len(answersIn(actions)), 0, "the job has ended")
	s.closed = false
	m.Step(3, entry.Tick{})
	assert.Equal(t, int(m.Stats().Starts), 2)
}

// closableScheduler places no task while it is closed.
type closableScheduler struct {
	newestAgentScheduler
	closed  bool
	removed *policy.Task
}

func (s *closableScheduler) Remove(_ time.Duration, t *policy.Task) { s.removed = t }

func (s *closableScheduler) Next(now time.Duration) (placement, bool) {
	if s.closed {
		return placement{}, false
	}
	p, ok := s.newestAgentScheduler.Next(now)
	return p, ok && p.Task != s.removed
}
