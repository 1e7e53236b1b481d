package entry

import (
	"container/heap"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

type taskState uint8

const (
	taskWaiting taskState = iota // at the scheduler or in the retry list
	taskSent                     // an attempt is in flight
	taskDone                     // succeeded, failed or unknown
	taskDropped                  // never started and never will
)

// task is one task of a job and its current attempt.
type task struct {
	job    *job
	sched  policy.Task
	state  taskState
	seq    wire.Seq
	agent  *agentLink
	result []byte
}

// job is one submission in progress.
type job struct {
	info     policy.Job
	payloads [][]byte
	tasks    []task
	claimed  bool // needs a claim
	claiming bool // waits for the claim
	ending   bool // failed or cancelled; waits for its attempts to settle
	reason   string
	open     int // tasks neither done nor dropped
	inFlight int
	started  int
	unknown  int
	longest  time.Duration
	total    time.Duration
}

type retry struct {
	at   time.Duration
	task *task
}

func (m *Machine) submit(now time.Duration, e Submit) {
	if _, dup := m.jobs[e.Submission]; dup {
		panic("entry: submission id used twice")
	}
	j := &job{
		info: policy.Job{
			Submission: e.Submission, Class: e.Class, Team: e.Team,
			Tasks: len(e.Payloads), Need: e.Need, Declared: e.Declared,
			Arrived: now, Deadline: now + e.Deadline,
		},
		payloads: e.Payloads,
		claimed:  e.Claimed,
		open:     len(e.Payloads),
	}
	if answer, refused := m.refusal(now, j); refused {
		m.emit(Answer{Submission: e.Submission, Answer: answer})
		return
	}
	m.jobs[e.Submission] = j
	heap.Push(&m.deadlines, deadline{at: j.info.Deadline, job: j})
	j.tasks = make([]task, len(e.Payloads))
	for i := range j.tasks {
		j.tasks[i] = task{job: j, sched: policy.Task{Job: &j.info, Index: i}}
	}
	if j.claimed {
		j.claiming = true
		m.emit(Claim{Submission: e.Submission})
		return
	}
	m.enqueueAll(now, j)
}

// refusal decides whether a new job is turned away before anything is done.
func (m *Machine) refusal(now time.Duration, j *job) (JobAnswer, bool) {
	if m.draining {
		return JobAnswer{Outcome: Refused, Reason: ReasonDraining, RetryAfter: overloadRetryAfter}, true
	}
	if len(m.jobs) >= m.opts.MaxJobs {
		return JobAnswer{Outcome: Refused, Reason: ReasonTooManyJobs, RetryAfter: overloadRetryAfter}, true
	}
	v := m.sched.Admit(now, &j.info)
	if v.Refusal != policy.Admitted {
		return JobAnswer{Outcome: Refused, Reason: v.Refusal.String(), RetryAfter: v.RetryAfter}, true
	}
	return JobAnswer{}, false
}

func (m *Machine) enqueueAll(now time.Duration, j *job) {
	for i := range j.tasks {
		m.sched.Enqueue(now, &j.tasks[i].sched)
	}
}

func (m *Machine) claimed(now time.Duration, e Claimed) {
	j := m.jobs[e.Submission]
	if j == nil || !j.claiming {
		if e.Won {
			m.emit(Release{Submission: e.Submission}) // the job ended while the claim was on its way
		}
		return
	}
	j.claiming = false
	if e.Won {
		m.enqueueAll(now, j)
		return
	}
	j.claimed = false
	outcome := Refused
	if e.RunBefore {
		outcome = Unknown
	}
	m.finish(now, j, JobAnswer{Outcome: outcome, Reason: e.Reason, RetryAfter: e.RetryAfter})
}

// result applies one outcome. A result for an attempt that is not open (late,
// repeated, or of a job already answered) changes nothing.
func (m *Machine) result(now time.Duration, link *agentLink, r *wire.Result) {
	t := link.attempts[r.Seq]
	if t == nil {
		m.stats.Late++
		return
	}
	delete(link.attempts, r.Seq)
	m.sched.Done(now, link.agent, &t.sched, r)
	j := t.job
	if t.state != taskSent || t.seq != r.Seq {
		return // the job was answered without waiting for this attempt
	}
	j.inFlight--
	switch r.Outcome {
	case wire.Succeeded:
		m.succeeded(now, t, r)
	case wire.NotRun:
		m.stats.Refused++
		m.notRun(now, t, r.Reason)
	case wire.Failed:
		m.taskEnded(t, r)
		m.endJob(now, j, ReasonTaskFailed)
	default:
		j.unknown++
		m.taskEnded(t, r)
		m.endJob(now, j, ReasonTaskUnknown)
	}
	m.settle(now, j)
}

func (m *Machine) taskEnded(t *task, r *wire.Result) {
	j := t.job
	t.state = taskDone
	t.agent = nil
	j.open--
	j.started++
	run := r.Run.Duration()
	j.longest = max(j.longest, run)
	j.total += run
}

func (m *Machine) succeeded(_ time.Duration, t *task, r *wire.Result) {
	m.stats.Results++
	m.taskEnded(t, r)
	t.result = r.Body
}

// notRun places the task again, unless its job is ending or the scheduler's
// retry rule forbids it.
func (m *Machine) notRun(now time.Duration, t *task, reason wire.Reason) {
	t.agent = nil
	t.sched.Attempts++
	if t.job.ending {
		m.drop(t)
		return
	}
	delay, ok := m.sched.Retry(now, &t.sched, reason)
	if !ok {
		m.drop(t)
		m.endJob(now, t.job, ReasonNoRetry)
		return
	}
	t.state = taskWaiting
	m.retries = append(m.retries, retry{at: now + delay, task: t})
}

func (m *Machine) drop(t *task) {
	t.state = taskDropped
	t.job.open--
}

// endJob begins to end a job that cannot be complete: waiting tasks are
// dropped and attempts in flight are cancelled.
func (m *Machine) endJob(now time.Duration, j *job, reason string) {
	if j.ending {
		return
	}
	j.ending = true
	j.reason = reason
	m.dropRetries(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case taskWaiting:
			m.sched.Remove(now, &t.sched)
			m.drop(t)
		case taskSent:
			if t.agent.up {
				t.agent.out.Cancels = append(t.agent.out.Cancels, t.seq)
				m.stats.Cancels++
			}
		}
	}
}

// settle answers a job once nothing of it is open.
func (m *Machine) settle(now time.Duration, j *job) {
	if j.open > 0 {
		return
	}
	if !j.ending {
		m.complete(now, j)
		return
	}
	a := JobAnswer{Reason: j.reason, Started: j.started, Unknown: j.unknown}
	switch {
	case j.unknown > 0:
		a.Outcome = Unknown
	case j.started > 0:
		a.Outcome = Failed
	default:
		a.Outcome = Refused
		a.RetryAfter = overloadRetryAfter
	}
	m.finish(now, j, a)
}

func (m *Machine) complete(now time.Duration, j *job) {
	a := JobAnswer{
		Outcome: Complete, Started: j.started,
		LongestRun: j.longest, TotalRun: j.total,
		Results: make([][]byte, len(j.tasks)),
	}
	for i := range j.tasks {
		a.Results[i] = j.tasks[i].result
	}
	m.finish(now, j, a)
}

func (m *Machine) finish(now time.Duration, j *job, a JobAnswer) {
	delete(m.jobs, j.info.Submission)
	m.sched.JobDone(now, &j.info, a.Outcome == Complete)
	if j.claimed && a.Outcome == Refused {
		m.emit(Release{Submission: j.info.Submission})
	}
	m.emit(Answer{Submission: j.info.Submission, Answer: a})
}

func (m *Machine) cancelJob(now time.Duration, id wire.SubmissionID, reason string) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	m.endJob(now, j, reason)
	m.settle(now, j)
}

func (m *Machine) dueRetries(now time.Duration) {
	kept := m.retries[:0]
	for _, r := range m.retries {
		if r.at > now {
			kept = append(kept, r)
			continue
		}
		m.sched.Enqueue(now, &r.task.sched)
	}
	m.retries = kept
}

func (m *Machine) dropRetries(j *job) {
	m.retries = slices.DeleteFunc(m.retries, func(r retry) bool { return r.task.job == j })
}

// dueDeadlines ends jobs whose deadline passed, and answers those whose
// attempts did not settle within SettleBound after it.
func (m *Machine) dueDeadlines(now time.Duration) {
	for m.deadlines.Len() > 0 && m.deadlines[0].at <= now {
		d := heap.Pop(&m.deadlines).(deadline)
		if m.jobs[d.job.info.Submission] != d.job {
			continue
		}
		if d.final {
			m.abandon(now, d.job)
			continue
		}
		heap.Push(&m.deadlines, deadline{at: d.at + m.opts.SettleBound, job: d.job, final: true})
		m.cancelJob(now, d.job.info.Submission, ReasonDeadline)
	}
}

// abandon answers a job whose attempts are still in doubt. The attempts stay
// in the link's table so that late results are recognised.
func (m *Machine) abandon(now time.Duration, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskSent {
			t.state = taskDone
			j.unknown++
			j.open--
		}
	}
	m.settle(now, j)
}

type deadline struct {
	at    time.Duration
	job   *job
	final bool
}

type deadlineQueue []deadline

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q deadlineQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) { *q = append(*q, x.(deadline)) }

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	old := *q
	d := old[len(old)-1]
	*q = old[:len(old)-1]
	return d
}

func sortSeqs(s []wire.Seq) { slices.Sort(s) }
