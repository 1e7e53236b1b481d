package entry

import (
	"cmp"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

type taskState uint8

const (
	taskHeld     taskState = iota // not yet at the scheduler: the claim is pending
	taskQueued                    // at the scheduler
	taskBackoff                   // in the retry queue
	taskSent                      // an attempt is in flight
	taskDone                      // succeeded, failed or unknown
	taskDropped                   // never started and never will
	taskGathered                  // of a gang: its attempt has ended, it waits for the others
)

// task is one task of a job and its current attempt.
type task struct {
	job        *job
	step       int
	sched      policy.Task
	state      taskState
	seq        wire.Seq
	run        int    // number of the current or last run
	failures   int    // runs that ended as failed
	lost       bool   // waits until a run that was lost must have ended
	stuck      bool   // the current run was told to stop because it stands still
	checkpoint string // newest progress that a worker saved, see wire.Start.Checkpoint
	agent      *agentLink
	retryAt    time.Duration
	retryPos   int // in the retry queue
	result     []byte
}

// result applies one outcome. A result for an attempt that is not open (late,
// repeated, crossed, or of a job already answered) changes no answer.
func (m *Machine) result(now time.Duration, link *agentLink, r *wire.Result) {
	t := link.attempts.take(r.Seq)
	if t == nil {
		m.stats.Late++
		return
	}
	m.observeResult(t, link, r)
	if t.stuck {
		r = stuckResult(t, r)
	}
	m.sched.Done(now, link.agent, &t.sched, r)
	if t.state != taskSent || t.seq != r.Seq {
		m.stats.Late++
		m.tellGangEnd(link, t, r)
		return // the job was answered without waiting for this attempt
	}
	t.agent = nil
	if t.job.stored {
		m.storedResult(now, link, t, r)
		return
	}
	m.apply(now, t, r)
}

// apply takes the outcome of the task's current attempt.
func (m *Machine) apply(now time.Duration, t *task, r *wire.Result) {
	j := t.job
	t.checkpoint = cmp.Or(r.Checkpoint, t.checkpoint)
	if j.steps[t.step].gang != nil && !j.ending && (r.Outcome != wire.Unknown || j.stored) {
		m.applyGang(now, t, r)
		return
	}
	switch r.Outcome {
	case wire.Succeeded:
		m.succeeded(now, t, r)
	case wire.NotRun:
		m.notRun(now, t, r.Reason)
	case wire.Failed:
		m.failed(now, t, r)
	default:
		t.state = taskDone
		j.open--
		j.unknown++
		m.endJob(now, j, ReasonTaskUnknown)
	}
	m.settle(now, j)
}

func (m *Machine) observeResult(t *task, link *agentLink, r *wire.Result) {
	if m.opts.Observer != nil {
		m.opts.Observer.Result(t.job.info.Submission, t.sched.Index, link.name, r.Outcome, r.Reason)
	}
}

// ran records a task that is known to have started and ended.
func (t *task) ran(r *wire.Result) {
	j := t.job
	t.state = taskDone
	j.open--
	j.started++
	run := r.Run.Duration()
	j.longest = max(j.longest, run)
	j.longestWait = max(j.longestWait, r.Wait.Duration())
	j.total += run
}

func (m *Machine) succeeded(now time.Duration, t *task, r *wire.Result) {
	m.stats.Results++
	t.ran(r)
	j := t.job
	if j.ending {
		return
	}
	j.steps[t.step].left--
	if j.steps[t.step].left == 0 && len(j.steps) > 1 {
		m.enqueueAll(now, j)
	}
	t.result = r.Body
	j.answer += int64(len(r.Body))
	if j.answer > m.opts.MaxAnswerBytes {
		m.endJob(now, j, ReasonAnswerTooLarge)
	}
}

// stuckInterval separates the searches for runs that stand still.
const stuckInterval = 50 * time.Millisecond

// giveUpStuck stops the runs that stand still, of tasks that may run again. The
// task is placed anew once its run is known to have ended.
func (m *Machine) giveUpStuck(now time.Duration) {
	if m.stuck == nil || now < m.stuckAt {
		return
	}
	m.stuckAt = now + stuckInterval
	for _, link := range m.agentList {
		link.attempts.each(func(seq wire.Seq, t *task) {
			if t.state != taskSent || t.stuck || t.job.ending || t.job.lasting || t.job.attempts < 2 || !m.stuck.Stuck(now, &t.sched) {
				return
			}
			t.stuck = true
			m.cancelAttempt(link, seq)
		})
	}
}

// stuckResult is what the scheduler and the job are told of a run that was
// stopped for standing still: the worker's fault, not the task's.
func stuckResult(t *task, r *wire.Result) *wire.Result {
	t.stuck = false
	if r.Outcome != wire.Failed || r.Reason != wire.ReasonStopped {
		return r
	}
	told := *r
	told.Reason = wire.ReasonStuck
	return &told
}

// failed runs the task again if its job allows that, and else ends the job. A
// run that ended with its worker is no failure of the task.
func (m *Machine) failed(now time.Duration, t *task, r *wire.Result) {
	j := t.job
	if r.Reason != wire.ReasonRunEnded && r.Reason != wire.ReasonStuck {
		t.failures++
	}
	if (j.attempts > 1 || j.stored) && t.failures < j.attempts && !j.ending {
		j.ran = true
		t.state = taskQueued
		m.sched.Enqueue(now, &t.sched)
		return
	}
	t.ran(r)
	j.failed = j.failed || !j.ending
	m.endJob(now, j, ReasonTaskFailed)
}

// notRun places the task again, unless its job is ending or the scheduler's
// retry rule forbids it.
func (m *Machine) notRun(now time.Duration, t *task, reason wire.Reason) {
	m.stats.Refused++
	t.sched.Attempts++
	if t.job.ending {
		m.drop(t)
		return
	}
	if reason == wire.ReasonStaleRun {
		t.run += staleRunStep
	}
	delay, ok := m.sched.Retry(now, &t.sched, reason)
	if !ok && t.job.stored {
		delay, ok = storedRetry, true
	}
	if !ok {
		m.drop(t)
		m.endJob(now, t.job, ReasonNoRetry)
		return
	}
	t.state = taskBackoff
	t.retryAt = now + delay
	m.retries.Put(t)
}

// staleRunStep is added to the run number when the worker knows a later run of
// the task: the job was sent before, to another entry, which started it up to
// that often.
const staleRunStep = 16

func (m *Machine) drop(t *task) {
	t.state = taskDropped
	t.job.open--
}
