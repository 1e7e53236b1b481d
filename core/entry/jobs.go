package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

type claimState uint8

const (
	claimNone    claimState = iota // not needed, or lost
	claimPending                   // asked for; no task may start
	claimWon                       // held by this submission
)

// step is a group of like tasks of a job, which is one job to the scheduler.
type step struct {
	info    policy.Job
	after   []int
	first   int  // index of its first task
	left    int  // tasks that have not succeeded
	started bool // its tasks were given to the scheduler
	// occurrence and number name the step: the occurrence of a recurring job that
	// it belongs to and its position there.
	occurrence int
	number     int
	dueAt      time.Duration // of the occurrence
	gang       *gang         // nil if the tasks work by themselves
}

// job is one submission in progress.
type job struct {
	info     policy.Job // of the first step
	steps    []step
	name     string // the caller's, may be empty
	attempts int    // failed runs of one task that end the job
	payloads [][]byte
	bytes    int64 // sum of payloads
	tasks    []task
	claim    claimState
	ending   bool // failed or cancelled; waits for its attempts and its claim
	overdue  bool // its deadline passed
	reason   string
	open     int // tasks neither done nor dropped
	started  int
	unknown  int
	stored   bool  // see Submit.Stored
	lasting  bool  // see Submit.Lasting
	began    bool  // a task was sent
	failed   bool  // a task ran and failed
	ran      bool  // a run of a task ended that is to be repeated
	answer   int64 // bytes of results so far
	longest  time.Duration
	total    time.Duration
	// lastStart is since the arrival; longestWait is that of a task at an agent.
	lastStart   time.Duration
	longestWait time.Duration
	dueAt       time.Duration
	duePos      int // in the deadline queue
	arrived     time.Duration
	// perOccurrence is the number of steps of each occurrence.
	perOccurrence int
	nextDue       time.Duration // of the occurrences that are not due
	nextPos       int           // in the queue of recurring jobs
}

// storedDeadline stands for no deadline in the places that need one.
const storedDeadline = 30 * 24 * time.Hour

func newJob(now time.Duration, e Submit) *job {
	if e.Stored {
		e.Deadline = storedDeadline
	}
	j := &job{
		info: policy.Job{
			Submission: e.Submission, Class: e.Class, Team: e.Team,
			Tasks: len(e.Payloads), Need: e.Need, Declared: e.Declared,
			Arrived: now, Deadline: now + e.Deadline,
		},
		name:     e.Job,
		stored:   e.Stored,
		lasting:  e.Lasting,
		attempts: max(1, e.Attempts),
		payloads: e.Payloads,
		open:     len(e.Payloads),
		dueAt:    now + e.Deadline,
		arrived:  now,
	}
	for i, p := range e.Payloads {
		j.bytes += int64(len(p))
		if i == 0 || !wire.SamePayload(p, e.Payloads[i-1]) {
			j.info.PayloadBytes += len(p)
		}
	}
	j.addSteps(e)
	return j
}

// addSteps divides the tasks. A submission without steps has one.
func (j *job) addSteps(e Submit) {
	j.perOccurrence = max(1, len(e.Steps))
	if len(e.Steps) == 0 {
		j.steps = []step{{info: j.info, left: len(e.Payloads)}}
		return
	}
	occurrences := e.Occurrences
	if len(occurrences) == 0 {
		occurrences = []time.Duration{j.info.Arrived}
	}
	first := 0
	j.steps = make([]step, 0, len(e.Steps)*len(occurrences))
	for k, dueAt := range occurrences {
		for i, s := range e.Steps {
			info := j.info
			info.Tasks, info.Need, info.Declared = s.Tasks, s.Need, s.Declared
			info.Label, info.PerWorker = s.Label, s.PerWorker
			info.Gang, info.SameRack, info.DataRack = s.Gang, s.SameRack, s.DataRack
			added := step{
				info: info, after: s.After, first: first, left: s.Tasks,
				occurrence: k, number: i, dueAt: dueAt,
			}
			if s.Gang {
				added.gang = new(gang)
			}
			j.steps = append(j.steps, added)
			first += s.Tasks
		}
	}
	j.info = j.steps[0].info
}

// validSteps reports whether the steps divide the tasks and depend on earlier
// steps only, so that every step's turn comes.
func (e *Submit) validSteps() bool {
	tasks := 0
	for i, s := range e.Steps {
		tasks += s.Tasks
		for _, d := range s.After {
			if d < 0 || d >= i {
				return false
			}
		}
		if s.Tasks < 1 {
			return false
		}
	}
	if len(e.Steps) == 0 {
		return len(e.Occurrences) == 0
	}
	return tasks*max(1, len(e.Occurrences)) == len(e.Payloads)
}

func (m *Machine) submit(now time.Duration, e Submit) {
	if _, dup := m.jobs[e.Submission]; dup {
		panic("entry: submission id used twice")
	}
	if !e.validSteps() {
		m.emit(Answer{Submission: e.Submission, Answer: JobAnswer{Outcome: Refused, Reason: ReasonBadSteps}})
		return
	}
	j := newJob(now, e)
	if answer, refused := m.refusal(now, j); refused {
		m.emit(Answer{Submission: e.Submission, Answer: answer})
		return
	}
	m.jobs[e.Submission] = j
	m.tasks += len(j.payloads)
	m.payload += j.bytes
	m.deadlines.Put(j)
	if j.stored {
		m.storedJobs[j.name] = j
	}
	j.tasks = make([]task, len(e.Payloads))
	for i := range j.steps {
		s := &j.steps[i]
		for n := range s.left {
			j.tasks[s.first+n] = task{job: j, step: i, run: e.RunBase, sched: policy.Task{Job: &s.info, Index: s.first + n}}
		}
	}
	j.resume(e.Progress)
	if e.Claimed {
		j.claim = claimPending
		m.emit(Claim{Submission: e.Submission})
		return
	}
	m.enqueueAll(now, j)
	m.settle(now, j)
}

// resume takes over what is recorded of the tasks.
func (j *job) resume(progress []TaskProgress) {
	for i, p := range progress[:min(len(progress), len(j.tasks))] {
		t := &j.tasks[i]
		t.failures = p.Failures
		t.checkpoint = p.Checkpoint
		if p.Done {
			t.state = taskDone
			j.open--
			j.steps[t.step].left--
		}
	}
	for i := range j.steps {
		if s := &j.steps[i]; s.gang != nil {
			j.resumeGang(s)
		}
	}
}

// refusal decides whether a new job is turned away before anything is done.
func (m *Machine) refusal(now time.Duration, j *job) (JobAnswer, bool) {
	switch {
	case len(j.payloads) == 0:
		return JobAnswer{Outcome: Refused, Reason: ReasonNoTasks}, true
	case j.stored && (m.draining || now >= m.storedUntil):
		return JobAnswer{Outcome: Refused, Reason: ReasonDraining}, true
	case j.stored: // was accepted before
		return JobAnswer{}, false
	case j.info.Deadline <= now:
		return JobAnswer{Outcome: Refused, Reason: ReasonDeadline}, true
	case m.draining:
		return JobAnswer{Outcome: Refused, Reason: ReasonDraining, RetryAfter: overloadRetryAfter}, true
	case m.full(j):
		return JobAnswer{Outcome: Refused, Reason: ReasonTooManyJobs, RetryAfter: overloadRetryAfter}, true
	}
	v := m.sched.Admit(now, &j.info)
	if v.Refusal != policy.Admitted {
		return JobAnswer{Outcome: Refused, Reason: v.Refusal.String(), Detail: v.Detail, RetryAfter: v.RetryAfter}, true
	}
	return JobAnswer{}, false
}

// full reports whether the job would exceed a bound of the machine's memory.
func (m *Machine) full(j *job) bool {
	return len(m.jobs) >= m.opts.MaxJobs ||
		m.tasks+len(j.payloads) > m.opts.MaxTasks ||
		m.payload+j.bytes > m.opts.MaxPayloadBytes
}

// enqueueAll gives the tasks of every step whose turn has come to the scheduler,
// and notes when the next occurrence is due.
func (m *Machine) enqueueAll(now time.Duration, j *job) {
	m.recurring.Drop(j)
	for i := range j.steps {
		s := &j.steps[i]
		if s.dueAt > now {
			j.nextDue = s.dueAt // occurrences are in the order of their times
			m.recurring.Put(j)
			return
		}
		if s.started || !j.due(s) {
			continue
		}
		s.started = true
		s.info.Arrived = now
		for n := s.first; n < s.first+s.info.Tasks; n++ {
			if j.tasks[n].state == taskHeld {
				j.tasks[n].state = taskQueued
				m.sched.Enqueue(now, &j.tasks[n].sched)
			}
		}
	}
}

// due reports whether every step that s comes after has succeeded.
func (j *job) due(s *step) bool {
	for _, d := range s.after {
		if j.steps[s.occurrence*j.perOccurrence+d].left > 0 {
			return false
		}
	}
	return true
}

// claimed applies the outcome of a claim. Only the first outcome of a pending
// claim has an effect: a repeated one must not release a claim in use.
func (m *Machine) claimed(now time.Duration, e Claimed) {
	if _, ok := m.abandoned[e.Submission]; ok {
		delete(m.abandoned, e.Submission)
		if e.Won {
			m.emit(Release{Submission: e.Submission})
		}
		return
	}
	j := m.jobs[e.Submission]
	if j == nil || j.claim != claimPending {
		return
	}
	if !e.Won {
		j.claim = claimNone
		m.claimLost(now, j, e)
		return
	}
	j.claim = claimWon
	if !j.ending {
		m.enqueueAll(now, j)
	}
	m.settle(now, j)
}

func (m *Machine) claimLost(now time.Duration, j *job, e Claimed) {
	a := JobAnswer{Outcome: Refused, Reason: e.Reason, RetryAfter: e.RetryAfter}
	if e.RunBefore {
		a.Outcome = Unknown
		a.RetryAfter = 0
	}
	m.finish(now, j, a)
}

// endJob begins to end a job that cannot be complete: waiting tasks are
// dropped and attempts in flight are cancelled.
func (m *Machine) endJob(now time.Duration, j *job, reason string) {
	if j.ending {
		return
	}
	j.ending = true
	j.reason = reason
	for i := range j.tasks {
		t := &j.tasks[i]
		t.result = nil
		switch t.state {
		case taskHeld, taskGathered:
			m.drop(t)
		case taskBackoff:
			if t.lost {
				continue // dueRetries drops it once its run must have ended
			}
			m.retries.Drop(t)
			m.drop(t)
		case taskQueued:
			m.sched.Remove(now, &t.sched)
			m.drop(t)
		case taskSent:
			m.cancelAttempt(t.agent, t.seq)
		case taskDone, taskDropped:
		}
	}
}

// settle answers a job once nothing of it is open and its claim is decided.
func (m *Machine) settle(now time.Duration, j *job) {
	switch {
	case j.open > 0 || j.claim == claimPending:
	case j.ending:
		m.finish(now, j, incomplete(j))
	default:
		m.finish(now, j, complete(j))
	}
}

// incomplete gives the answer of a settled job that did not succeed. A task
// that failed makes the job failed for certain; the runs that were stopped for
// it count as unknown, but do not put the job's own outcome in doubt.
func incomplete(j *job) JobAnswer {
	a := JobAnswer{
		Outcome: Refused, Reason: j.reason, Started: j.started, Unknown: j.unknown,
		LastStart: j.lastStart, LongestWait: j.longestWait, LongestRun: j.longest, TotalRun: j.total,
	}
	switch {
	case j.failed:
		a.Outcome = Failed
	case j.unknown > 0:
		a.Outcome = Unknown
	case j.started > 0 || j.ran:
		a.Outcome = Failed
	case j.reason != ReasonCancelled: // a retry would undo the caller's cancel
		a.RetryAfter = overloadRetryAfter
	}
	return a
}

func complete(j *job) JobAnswer {
	a := JobAnswer{
		Outcome: Complete, Started: j.started,
		LastStart: j.lastStart, LongestWait: j.longestWait, LongestRun: j.longest, TotalRun: j.total,
		Results: make([][]byte, len(j.tasks)),
	}
	for i := range j.tasks {
		a.Results[i] = j.tasks[i].result
	}
	return a
}

func (m *Machine) finish(now time.Duration, j *job, a JobAnswer) {
	delete(m.jobs, j.info.Submission)
	if j.stored {
		delete(m.storedJobs, j.name)
	}
	m.deadlines.Drop(j)
	m.recurring.Drop(j)
	m.tasks -= len(j.tasks)
	m.payload -= j.bytes
	// Attempts in doubt keep the job reachable until their agent reports.
	j.payloads = nil
	for i := range j.steps {
		m.sched.JobDone(now, &j.steps[i].info, a.Outcome == Complete)
	}
	if j.claim == claimWon && a.Outcome == Refused {
		m.emit(Release{Submission: j.info.Submission})
	}
	m.emit(Answer{Submission: j.info.Submission, Answer: a})
}

func (m *Machine) cancelJob(now time.Duration, j *job, reason string) {
	if j == nil {
		return
	}
	m.endJob(now, j, reason)
	m.settle(now, j)
}

// abandon answers a job whose attempts or claim are still in doubt. The
// attempts stay in the link's window so that late results are recognised and
// the agent's floor does not pass them.
func (m *Machine) abandon(now time.Duration, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskSent {
			t.state = taskDone
			j.unknown++
			j.open--
		}
	}
	if j.claim == claimPending {
		m.abandoned[j.info.Submission] = struct{}{}
		m.finish(now, j, JobAnswer{Outcome: Unknown, Reason: ReasonClaimPending})
		return
	}
	m.settle(now, j)
}
