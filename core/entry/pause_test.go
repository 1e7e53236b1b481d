package entry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	resendDelay = 1300 * time.Millisecond
	pauseBegin  = time.Second
)

// gatedScheduler queues tasks until it is opened, as if no agent had room before.
type gatedScheduler struct {
	delayedRetryScheduler
	open bool
}

func (s *gatedScheduler) Next(now time.Duration) (p placement, ok bool) {
	if !s.open {
		return p, false
	}
	return s.delayedRetryScheduler.Next(now)
}

func (s *gatedScheduler) Remove(_ time.Duration, t *policy.Task) {
	s.queue = slices.DeleteFunc(s.queue, func(queued *policy.Task) bool { return queued == t })
}

// pausedEntry drives a machine with one agent through a pause of its process.
type pausedEntry struct {
	m         *entry.Machine
	scheduler *gatedScheduler
	now       time.Duration
	starts    int
	answers   []entry.JobAnswer
	pauses    []entry.Paused
}

func newPausedEntry() *pausedEntry {
	s := &gatedScheduler{open: true}
	x := &pausedEntry{scheduler: s, m: entry.New(entry.Options{Incarnation: 1, Scheduler: s, ResendDelay: resendDelay})}
	x.step(linkUp(1, 0))
	return x
}

func (x *pausedEntry) step(ev entry.Event) {
	actions := x.m.Step(x.now, ev)
	f, _ := mergeFrames(actions)
	x.starts += len(f.Starts)
	x.answers = append(x.answers, answersIn(actions)...)
	for _, a := range actions {
		if p, ok := a.(entry.Paused); ok {
			x.pauses = append(x.pauses, p)
		}
	}
}

// tick lets the process run until the given time.
func (x *pausedEntry) tick(until time.Duration) {
	for x.now+20*time.Millisecond <= until {
		x.now += 20 * time.Millisecond
		x.step(entry.Tick{})
	}
	x.now = until
}

func (x *pausedEntry) submit(receivedAt time.Duration) {
	x.step(entry.Submit{
		Submission: testJob, Deadline: time.Minute, ReceivedAt: receivedAt, MaxFailedRuns: 3, Payloads: make([][]byte, 1),
	})
}

func (x *pausedEntry) result(o wire.Outcome, r wire.Reason) {
	x.step(entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{{Seq: 1, Outcome: o, Reason: r}}}})
}

// A pausedJob is a job that needs a start right after a pause. before brings it into
// that state, wake is the first event after the pause.
type pausedJob struct {
	name         string
	before, wake func(*pausedEntry)
}

var pausedJobs = []pausedJob{
	{"run stopped by its agent", func(x *pausedEntry) { x.submit(0) }, func(x *pausedEntry) { x.result(wire.Failed, wire.ReasonRunEnded) }},
	{"start refused by its agent", func(x *pausedEntry) { x.submit(0) }, func(x *pausedEntry) { x.result(wire.NotRun, wire.ReasonExpired) }},
	{"task in the queue", func(x *pausedEntry) {
		x.scheduler.open = false
		x.submit(0)
	}, func(x *pausedEntry) {
		x.scheduler.open = true
		x.step(linkUp(2, 0))
	}},
	{"due retry", func(x *pausedEntry) {
		x.submit(0)
		x.result(wire.NotRun, wire.ReasonBusy)
	}, func(x *pausedEntry) { x.step(entry.Tick{}) }},
	{"submission in the event queue", func(*pausedEntry) {}, func(x *pausedEntry) { x.submit(pauseBegin) }},
}

// begin brings the job into its state before the pause and lets the process wake after
// it. It returns the number of starts up to the end of the pause.
func (j *pausedJob) begin(x *pausedEntry, pause time.Duration) (before int) {
	x.tick(pauseBegin)
	j.before(x)
	before = x.starts
	x.now += pause
	j.wake(x)
	return before
}

// Guards against two runs of a task at the same time: while the entry was paused, its
// caller left and sent the job again, and the entry starts the task before it notices.
func TestPausedEntryStartsNothingForCallerThatLeft(t *testing.T) {
	for _, pause := range []time.Duration{entry.MinPause, 900 * time.Millisecond, resendDelay, 5 * time.Second} {
		for _, job := range pausedJobs {
			x := newPausedEntry()
			before := job.begin(x, pause)
			x.tick(x.now + 60*time.Millisecond)
			x.step(entry.CancelJob{Submission: testJob})
			x.tick(x.now + time.Second)
			assert.Equal(t, x.starts, before, "%s, pause of %v: a task started", job.name, pause)
			assert.Equal(t, len(x.answers), 1, job.name)
		}
	}
}

// Guards against two runs of a task at the same time: the entry runs only for some
// milliseconds between gaps, each too short for a pause, does not notice that its caller
// has left and repeats the task.
func TestEntryThatRunsBetweenGapsStartsNothingForCallerThatLeft(t *testing.T) {
	const gap = entry.MinPause - 10*time.Millisecond
	for _, job := range pausedJobs[:3] {
		for ticks := range entry.SettleTicks + 1 { // between two gaps
			x := newPausedEntry()
			x.tick(pauseBegin)
			job.before(x)
			before := x.starts
			for range 2 {
				x.now += gap
				x.step(entry.Tick{})
				x.tick(x.now + time.Duration(ticks)*20*time.Millisecond)
			}
			assert.Equal(t, len(x.pauses) == 0, ticks == entry.SettleTicks, "%s, %d ticks", job.name, ticks)
			if ticks == entry.SettleTicks {
				continue
			}
			assert.Equal(t, x.pauses[0].Duration, 2*gap+time.Duration(ticks)*20*time.Millisecond)
			job.wake(x)
			x.step(entry.CancelJob{Submission: testJob})
			x.tick(x.now + time.Second)
			assert.Equal(t, x.starts, before, "%s, %d ticks: a task started", job.name, ticks)
			assert.Equal(t, len(x.answers), 1, job.name)
		}
	}
}

// Guards against jobs that are given up although their callers cannot have sent them again:
// they were received while the entry ran only between gaps.
func TestJobReceivedBetweenGapsIsKept(t *testing.T) {
	const gap = entry.MinPause - 10*time.Millisecond
	for gaps := range 8 {
		x := newPausedEntry()
		x.scheduler.open = false
		x.tick(pauseBegin)
		for range 5 {
			x.now += gap
			x.step(entry.Tick{})
		}
		x.submit(0)
		for range gaps {
			x.now += gap
			x.step(entry.Tick{})
		}
		// A caller that left right after it had sent the job sends it again after 1.3 s.
		assert.Equal(t, len(x.answers) == 0, time.Duration(gaps)*gap <= time.Second, "%d gaps", gaps)
		if len(x.answers) > 0 {
			assert.Equal(t, x.answers[0].Reason, entry.ReasonEntryPaused)
		}
	}
}

// Guards against jobs that are lost or wait for long because of a pause that is too
// short for their callers to have sent them again.
func TestJobsContinueAfterShortPause(t *testing.T) {
	for _, pause := range []time.Duration{entry.MinPause, 900 * time.Millisecond} {
		for _, job := range pausedJobs {
			x := newPausedEntry()
			before := job.begin(x, pause)
			x.tick(x.now + 120*time.Millisecond)
			assert.Equal(t, x.starts, before+1, "%s, pause of %v", job.name, pause)
			assert.Equal(t, len(x.answers), 0, job.name)
			assert.Equal(t, x.pauses[0].Duration, pause)
		}
	}
}

// Guards against a delay without a pause.
func TestStartsAreNotDelayedWithoutPause(t *testing.T) {
	for _, job := range pausedJobs {
		x := newPausedEntry()
		before := job.begin(x, 40*time.Millisecond)
		x.tick(x.now + 20*time.Millisecond)
		assert.Equal(t, x.starts, before+1, job.name)
		assert.Equal(t, len(x.pauses), 0, job.name)
	}
}

// Guards against two runs of a task at the same time when the end of the caller's
// connection is noticed late or never: after a pause in which the caller may have sent
// the job again, nothing more of it may start. The answer must say whether it ran.
func TestJobStartsNothingAfterLongPause(t *testing.T) {
	for _, job := range pausedJobs {
		x := newPausedEntry()
		before := job.begin(x, resendDelay)
		x.tick(x.now + time.Second)
		assert.Equal(t, x.starts, before, "%s: a task started", job.name)
		assert.Equal(t, len(x.answers), 1, job.name)
		a := x.answers[0]
		assert.Equal(t, a.Reason, entry.ReasonEntryPaused, job.name)
		if job.name == "run stopped by its agent" {
			assert.Equal(t, a.Outcome, entry.Failed)
			continue
		}
		assert.Equal(t, a.Outcome, entry.Refused, job.name)
		assert.Assert(t, a.RetryAfter > 0, job.name)
	}
}

// Guards against jobs that are given up after a pause although their runs succeeded, and
// against jobs received after the pause that are refused.
func TestLongPauseKeepsResultsAndLaterJobs(t *testing.T) {
	x := newPausedEntry()
	x.tick(pauseBegin)
	x.submit(0)
	x.now += resendDelay
	x.result(wire.Succeeded, wire.ReasonNone)
	assert.Equal(t, x.answers[0].Outcome, entry.Complete)
	x.submit(x.now)
	x.tick(x.now + 120*time.Millisecond)
	assert.Equal(t, x.starts, 2)
}

// Guards against the members of a gang, or the next step of a job, that start after a
// long pause.
func TestStepsAndGangsStartNothingAfterLongPause(t *testing.T) {
	for _, steps := range [][]entry.Step{{{Tasks: 1}, {Tasks: 1, DependsOn: []int{0}}}, {{Tasks: 2, Gang: true}}} {
		for _, outcome := range []wire.Outcome{wire.Succeeded, wire.Failed, wire.NotRun} {
			if steps[0].Gang && outcome == wire.Succeeded {
				continue // ends the job
			}
			x := newPausedEntry()
			x.tick(pauseBegin)
			x.step(entry.Submit{Submission: testJob, Deadline: time.Minute, MaxFailedRuns: 3, Payloads: make([][]byte, 2), Steps: steps})
			before := x.starts
			x.now += resendDelay
			x.step(entry.Tick{})
			for seq := range wire.Seq(before) {
				x.step(entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{Results: []wire.Result{{Seq: seq + 1, Outcome: outcome, Reason: wire.ReasonRunEnded}}}})
			}
			x.tick(x.now + time.Second)
			assert.Equal(t, x.starts, before, "outcome %v", outcome)
			assert.Equal(t, len(x.answers), 1)
			assert.Equal(t, x.answers[0].Reason, entry.ReasonEntryPaused)
			assert.Equal(t, x.answers[0].Outcome == entry.Refused, outcome == wire.NotRun)
		}
	}
}

// Guards against a job that is started after its caller's deadline because the event
// with the submission waited.
func TestDeadlineCountsFromReceiptOfJob(t *testing.T) {
	x := newPausedEntry()
	x.tick(time.Second)
	x.step(entry.Submit{Submission: testJob, Deadline: 100 * time.Millisecond, ReceivedAt: 800 * time.Millisecond, Payloads: make([][]byte, 1)})
	assert.Equal(t, x.starts, 0)
	assert.Equal(t, x.answers[0].Reason, entry.ReasonDeadline)
	assert.Equal(t, x.answers[0].Outcome, entry.Refused)
}

// Guards against a timer that fires without end for a retry that is due while starts
// are held back.
func TestNoRetryIsDueWhileStartsAreHeldBack(t *testing.T) {
	job := pausedJobs[slices.IndexFunc(pausedJobs, func(j pausedJob) bool { return j.name == "start refused by its agent" })]
	x := newPausedEntry()
	job.begin(x, entry.MinPause)
	_, due := x.m.NextRetry()
	assert.Assert(t, !due)
	x.tick(x.now + 120*time.Millisecond)
	assert.Equal(t, x.starts, 2)
}

// Guards against starts right after a pause: ticks that were made before it (the core was
// behind by six, or a timer for a retry was set) are handled at once on waking, before lost callers can be noticed.
func TestTicksQueuedBeforeAPauseDoNotEndTheHold(t *testing.T) {
	m := entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}, ResendDelay: 1300 * time.Millisecond})
	m.Step(1, linkUp(1, 0))
	m.Step(2, entry.Tick{})
	f, _ := mergeFrames(m.Step(3, entry.Submit{Submission: testJob, Deadline: 10 * time.Second, MaxFailedRuns: 3, Payloads: make([][]byte, 1)}))
	assert.Equal(t, len(f.Starts), 1)
	wake := 900 * time.Millisecond
	m.Step(wake, entry.Received{Agent: 1, Epoch: 1, Frame: &wire.ToEntry{
		Results: []wire.Result{{Seq: 1, Outcome: wire.Failed, Reason: wire.ReasonRunEnded}},
	}})
	made := 10 * time.Millisecond
	for i := range 6 {
		m.Step(wake+time.Duration(i)*time.Microsecond, entry.Tick{MadeAt: made})
		made += 20 * time.Millisecond
	}
	m.Step(wake+6*time.Microsecond, entry.Tick{MadeAt: wake})
	assert.Equal(t, m.Stats().Starts, uint64(1), "started again 6 us after waking")
	for i := range time.Duration(entry.SettleTicks) {
		assert.Equal(t, m.Stats().Starts, uint64(1), "started again after %d ticks", i)
		made := wake + (i+1)*20*time.Millisecond
		m.Step(made+time.Millisecond, entry.Tick{MadeAt: made})
	}
	assert.Equal(t, m.Stats().Starts, uint64(2))
}

// Guards against two runs of a task at the same time: entryd answers a hello before the
// machine knows of it, which renews the lease of the runs at the agent. If the process is
// paused in between (here from 0.45 s to 1.42 s), a tick precedes the connection.
func TestAgentWhoseConnectionWasAcceptedBeforePauseIsNotRemoved(t *testing.T) {
	m := entry.New(entry.Options{
		Incarnation: 1, Scheduler: new(newestAgentScheduler), LostAgentTimeout: 400 * time.Millisecond, ResendDelay: resendDelay,
	})
	m.Step(0, linkUp(1, 0))
	m.Step(0, entry.StoredLease{Until: time.Hour})
	m.Step(0, entry.Submit{Submission: testJob, MaxFailedRuns: 2, Job: "j", Payloads: make([][]byte, 1), Stored: true})
	assert.Equal(t, m.Stats().Starts, uint64(1))
	m.Step(time.Millisecond, entry.LinkUp{Hello: wire.AgentHello{Agent: 2, Epoch: 1, Name: "v", Slots: 8}})
	m.Step(2*time.Millisecond, entry.LinkDown{Agent: 1, Epoch: 1})
	m.Step(440*time.Millisecond, entry.Tick{})
	// 0.45 s: hello of agent 1 answered; its runs are permitted until 0.95 s and end by 1.67 s.
	m.Step(1420*time.Millisecond, entry.Tick{})
	f, _ := mergeFrames(m.Step(1421*time.Millisecond, linkUp(2, 0)))
	assert.DeepEqual(t, f.Queries, []wire.Seq{1})
	for at := 1440 * time.Millisecond; at < 1700*time.Millisecond; at += 20 * time.Millisecond {
		m.Step(at, entry.Tick{})
	}
	assert.Equal(t, m.Stats().Starts, uint64(1))
}
