package entry

import (
	"cmp"
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

type taskState uint8

const (
	taskPending      taskState = iota // not yet enqueued: the claim, a dependency or the occurrence is pending
	taskQueued                        // in the scheduler's queue
	taskBackoff                       // in the retry queue
	taskInFlight                      // an attempt is in flight
	taskDone                          // succeeded, failed or unknown
	taskDropped                       // never started and never will
	taskAwaitingGang                  // its attempt has ended; waits for the other members of its gang
)

// task is one task of a job and its current attempt.
type task struct {
	job           *job
	step          int
	schedTask     policy.Task
	state         taskState
	seq           wire.Seq   // of the current or last attempt
	runNumber     int        // number of the current or last run
	failures      int        // runs that count as failures of the task
	crashes       int        // runs under which a worker crashed, see maxWorkerCrashes
	aloneRefused  bool       // a worker whose capacity has shrunk refused it with its whole capacity as the need
	refused       bool       // it waits in the retry queue because its last attempt was refused as not run
	startSettled  bool       // see wire.ToEntry.SettledStarts
	runLost       bool       // its run was lost; the task waits until that run must have ended
	lostRun       int        // number of the lost run that the next start repeats, 0 if none
	stopRequested bool       // the current run was cancelled because it is stuck
	cancelledSeq  wire.Seq   // the attempt that was cancelled last although its job goes on, 0 if none was
	checkpoint    string     // latest checkpoint that a worker saved, see wire.Start.Checkpoint
	link          *agentLink // agent of the current attempt, nil if none is in flight
	retryAt       time.Duration
	retryPos      int // position in the retry queue
	resultBody    []byte
}

// applyResult applies one result. A result for an attempt that is not open does
// not change any answer: it is late, repeated, from the wrong agent, or its job
// was already answered.
func (m *Machine) applyResult(now time.Duration, link *agentLink, r *wire.Result) {
	t := link.attempts.remove(r.Seq)
	if t == nil {
		m.stats.Late++
		return
	}
	m.observeResult(t, link, r)
	if t.stopRequested {
		r = stuckResult(t, r)
	}
	m.scheduler.AttemptDone(now, link.incarnation, &t.schedTask, r)
	if t.state != taskInFlight || t.seq != r.Seq {
		m.stats.Late++
		m.reportLateGangResult(link, t, r)
		return // the task was ended without waiting for this attempt
	}
	t.link = nil
	if t.job.stored {
		m.applyStoredResult(now, link, t, r)
		return
	}
	m.applyOutcome(now, t, r)
}

// applyOutcome applies the outcome of the task's current attempt.
func (m *Machine) applyOutcome(now time.Duration, t *task, r *wire.Result) {
	j := t.job
	t.checkpoint = cmp.Or(r.Checkpoint, t.checkpoint)
	// An unknown outcome ends a job that is not stored, even if the task belongs
	// to a gang.
	if j.steps[t.step].gang != nil && !j.ending && (r.Outcome != wire.Unknown || j.stored) {
		m.applyGangResult(now, t, r)
		return
	}
	switch r.Outcome {
	case wire.Succeeded:
		m.taskSucceeded(now, t, r)
	case wire.NotRun:
		m.taskNotRun(now, t, r.Reason)
	case wire.Failed:
		m.taskFailed(now, t, r)
	default:
		m.taskUnknown(now, t)
	}
	m.finishIfSettled(now, j)
}

// taskUnknown ends a task whose outcome is not known, and aborts its job.
func (m *Machine) taskUnknown(now time.Duration, t *task) {
	t.state = taskDone
	t.job.openTasks--
	t.job.unknownTasks++
	m.abortJob(now, t.job, ReasonTaskUnknown)
}

func (m *Machine) observeResult(t *task, link *agentLink, r *wire.Result) {
	if m.opts.Observer != nil {
		m.opts.Observer.Result(t.job.schedJob.Submission, t.schedTask.Index, link.name, r.Outcome, r.Reason)
	}
}

// markRan marks a task as done that is known to have started and ended.
func (t *task) markRan(r *wire.Result) {
	j := t.job
	t.state = taskDone
	j.openTasks--
	j.startedTasks++
	run := r.RunTime.Duration()
	j.longestRun = max(j.longestRun, run)
	j.longestWait = max(j.longestWait, r.QueueTime.Duration())
	j.totalRun += run
}

func (m *Machine) taskSucceeded(now time.Duration, t *task, r *wire.Result) {
	m.stats.Results++
	t.markRan(r)
	j := t.job
	if j.ending {
		return
	}
	j.steps[t.step].remaining--
	if j.steps[t.step].remaining == 0 && len(j.steps) > 1 {
		m.enqueueReadySteps(now, j)
	}
	t.resultBody = r.Body
	j.answerBytes += int64(len(r.Body))
	if j.answerBytes > m.opts.MaxAnswerBytes {
		m.abortJob(now, j, ReasonAnswerTooLarge)
	}
}

// stuckCheckInterval is the time between two searches for stuck runs.
const stuckCheckInterval = 50 * time.Millisecond

// cancelStuckRuns cancels the stuck runs of tasks that may run again. Such a
// task is placed again once its run is known to have ended.
func (m *Machine) cancelStuckRuns(now time.Duration) {
	if m.stuckDetector == nil || now < m.nextStuckCheck {
		return
	}
	m.nextStuckCheck = now + stuckCheckInterval
	for _, link := range m.agentList {
		link.attempts.forEach(func(seq wire.Seq, t *task) {
			if t.state != taskInFlight || t.stopRequested || t.job.ending || t.job.longRunning || t.job.maxAttempts < 2 || !m.stuckDetector.Stuck(now, &t.schedTask) {
				return
			}
			t.stopRequested = true
			t.cancelledSeq = seq
			m.cancelAttempt(link, seq)
		})
	}
}

// stuckResult returns the result that the scheduler and the job see of a run
// for which a stop was requested. If the run was stopped, the reason is
// ReasonStuck, which blames the worker and not the task.
func stuckResult(t *task, r *wire.Result) *wire.Result {
	t.stopRequested = false
	if r.Outcome != wire.Failed || r.Reason != wire.ReasonStopped {
		return r
	}
	adjusted := *r
	adjusted.Reason = wire.ReasonStuck
	return &adjusted
}

// failedByItself reports whether the task itself failed: its worker lists the run as
// failed. Only such runs count as failures of the task, in memory as in the record of a
// stored job. A run that was stopped, or ended with its worker or its lease, says nothing
// about the task.
func failedByItself(r *wire.Result) bool {
	return r.Outcome == wire.Failed && r.Reason == wire.ReasonUpstreamError
}

// taskFailed runs the task again if its job allows that, and otherwise aborts
// the job.
func (m *Machine) taskFailed(now time.Duration, t *task, r *wire.Result) {
	j := t.job
	switch {
	case failedByItself(r):
		t.failures++
	case r.Reason == wire.ReasonWorkerCrashed:
		m.countCrash(t, r)
	}
	reason := t.exhausted()
	if j.closed {
		reason = cmp.Or(reason, ReasonEntryPaused)
	}
	if (j.maxAttempts > 1 || j.stored) && reason == "" && !j.ending {
		j.runRepeated = true
		m.enqueueTask(now, t)
		return
	}
	t.markRan(r)
	if !j.ending {
		j.failBecauseOf(t, r.Reason)
	}
	m.abortJob(now, j, cmp.Or(reason, ReasonTaskFailed))
}

// failBecauseOf records that the job fails because of the task. lastEnd is the reason of
// its last run, ReasonNone if the limit was reached before the job was handed to this
// entry.
func (j *job) failBecauseOf(t *task, lastEnd wire.Reason) {
	j.taskFailed = true
	s := &j.steps[t.step]
	failures := t.failures
	if s.gang != nil {
		failures = s.gang.failures
	}
	j.failure = fmt.Sprintf("task %d.%d.%d after run %d: failed runs %d of %d, worker crashes %d of %d, last run %v",
		s.occurrence, s.index, t.schedTask.Index-s.firstTask, t.runNumber, failures, j.maxAttempts, t.crashes, maxWorkerCrashes, lastEnd)
}

// taskNotRun schedules a retry of the task, unless its job is ending or the
// scheduler allows no further retry.
func (m *Machine) taskNotRun(now time.Duration, t *task, reason wire.Reason) {
	m.stats.Refused++
	t.countNotRun(reason)
	if t.job.ending {
		m.dropTask(t)
		return
	}
	if t.job.closed {
		m.dropTask(t)
		m.abortJob(now, t.job, ReasonEntryPaused)
		return
	}
	if reason == wire.ReasonStaleRun {
		t.runNumber += staleRunSkip
	}
	t.aloneRefused = t.aloneRefused || reason == wire.ReasonNoRoom && t.runsAlone()
	delay, ok := m.scheduler.Retry(now, &t.schedTask, reason)
	if !ok && t.job.stored {
		delay, ok = storedRetryDelay, true
	}
	if !ok {
		m.dropTask(t)
		m.abortJob(now, t.job, ReasonRetriesExhausted)
		return
	}
	t.state = taskBackoff
	t.refused = true
	t.retryAt = now + delay
	m.retries.Put(t)
}

// staleRunSkip is added to the run number when the worker knows a later run of
// the task: the job was submitted to another entry before, which started the
// task up to that many times.
const staleRunSkip = 16

// countNotRun counts an attempt that did not run. One that was refused because its zone is
// evacuated does not count: however many zones are evacuated, the task is placed elsewhere at
// once, and the attempt there is no retry.
func (t *task) countNotRun(reason wire.Reason) {
	if reason != wire.ReasonEvacuated {
		t.schedTask.NotRunAttempts++
	}
}

func (m *Machine) dropTask(t *task) {
	t.state = taskDropped
	t.job.openTasks--
}
