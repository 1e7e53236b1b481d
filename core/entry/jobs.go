package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

type claimState uint8

const (
	claimNone    claimState = iota // no claim is needed, or it was lost
	claimPending                   // requested; no task may start
	claimWon                       // held by this submission
)

// step is a group of similar tasks of a job. The scheduler treats each step as
// a job of its own.
type step struct {
	schedJob  policy.Job
	dependsOn []int
	firstTask int  // index of its first task in the job
	remaining int  // tasks that have not succeeded
	enqueued  bool // its tasks were given to the scheduler
	// occurrence is the occurrence of a recurring job that the step belongs to,
	// and index the position of the step in it.
	occurrence int
	index      int
	notBefore  time.Duration // when its occurrence is due
	gang       *gang         // nil if the tasks are not a gang
}

// job is one submission in progress.
type job struct {
	schedJob      policy.Job // that of the first step
	steps         []step
	name          string // the caller's name for the job, may be empty
	maxAttempts   int    // failed runs of one task that fail the job
	payloads      [][]byte
	payloadBytes  int64 // total payload size
	tasks         []task
	claim         claimState
	ending        bool   // aborted; waits for its attempts and its claim
	closed        bool   // nothing more of it is started, see Machine.closeJobs
	pastDeadline  bool   // its deadline has passed
	reason        string // why the job is ending
	openTasks     int    // tasks neither done nor dropped
	startedTasks  int
	unknownTasks  int
	stored        bool   // see Submit.Stored
	longRunning   bool   // runs until it is cancelled
	startReported bool   // the start of its first task was reported
	taskFailed    bool   // a task ran and failed
	failure       string // describes that task for the log, see describeFailure
	runRepeated   bool   // a run ended and its task is to run again
	answerBytes   int64  // size of the results so far
	longestRun    time.Duration
	totalRun      time.Duration
	// lastStartAfter is the time from arrival to the last start, and
	// longestWait the longest time that a task was queued at an agent.
	lastStartAfter     time.Duration
	longestWait        time.Duration
	nextDeadline       time.Duration // key in the deadline queue
	deadlinePos        int           // position in the deadline queue
	arrived            time.Duration
	stepsPerOccurrence int           // number of steps of each occurrence
	nextOccurrence     time.Duration // when the next occurrence is due
	recurringPos       int           // position in the queue of recurring jobs
}

// noDeadline is the deadline of stored jobs, which have none, where a value is
// needed.
const noDeadline = 30 * 24 * time.Hour

func newJob(now time.Duration, e Submit) *job {
	if e.Stored {
		e.Deadline = noDeadline
	}
	arrived := now
	if e.ReceivedAt > 0 {
		arrived = min(now, e.ReceivedAt)
	}
	j := &job{
		schedJob: policy.Job{
			Submission: e.Submission, Class: e.Class, Team: e.Team,
			Tasks: len(e.Payloads), Need: e.Need, DeclaredRunTime: e.DeclaredRunTime,
			LongRunning: e.LongRunning,
			Arrived:     arrived, Deadline: arrived + e.Deadline,
		},
		name:         e.Job,
		stored:       e.Stored,
		longRunning:  e.LongRunning,
		maxAttempts:  max(1, e.MaxFailedRuns),
		payloads:     e.Payloads,
		openTasks:    len(e.Payloads),
		nextDeadline: arrived + e.Deadline,
		arrived:      arrived,
	}
	for i, p := range e.Payloads {
		j.payloadBytes += int64(len(p))
		if i == 0 || !wire.SamePayload(p, e.Payloads[i-1]) {
			j.schedJob.PayloadBytes += len(p)
		}
	}
	j.addSteps(e)
	return j
}

// addSteps divides the tasks into steps. A submission without steps gets a
// single one.
func (j *job) addSteps(e Submit) {
	j.stepsPerOccurrence = max(1, len(e.Steps))
	if len(e.Steps) == 0 {
		j.steps = []step{{schedJob: j.schedJob, remaining: len(e.Payloads)}}
		return
	}
	occurrences := e.Occurrences
	if len(occurrences) == 0 {
		occurrences = []time.Duration{j.schedJob.Arrived}
	}
	first := 0
	j.steps = make([]step, 0, len(e.Steps)*len(occurrences))
	for occurrence, dueAt := range occurrences {
		for i, s := range e.Steps {
			stepJob := j.schedJob
			stepJob.Tasks, stepJob.Need, stepJob.DeclaredRunTime = s.Tasks, s.Need, s.DeclaredRunTime
			stepJob.RequiredLabel, stepJob.MaxPerWorker = s.RequiredLabel, s.MaxPerWorker
			stepJob.Gang, stepJob.SameRack, stepJob.DataRack = s.Gang, s.SameRack, s.DataRack
			newStep := step{
				schedJob: stepJob, dependsOn: s.DependsOn, firstTask: first, remaining: s.Tasks,
				occurrence: occurrence, index: i, notBefore: dueAt,
			}
			if s.Gang {
				newStep.gang = new(gang)
			}
			j.steps = append(j.steps, newStep)
			first += s.Tasks
		}
	}
	j.schedJob = j.steps[0].schedJob
}

// validSteps reports whether the steps cover the tasks exactly and each depends
// on earlier steps only, so that every step can eventually start.
func (e *Submit) validSteps() bool {
	tasks := 0
	for i, s := range e.Steps {
		tasks += s.Tasks
		for _, dependency := range s.DependsOn {
			if dependency < 0 || dependency >= i {
				return false
			}
		}
		if s.Tasks < 1 || s.Tasks > len(e.Payloads) {
			return false
		}
	}
	if len(e.Steps) == 0 {
		return len(e.Occurrences) == 0
	}
	return tasks*max(1, len(e.Occurrences)) == len(e.Payloads)
}

func (m *Machine) submit(now time.Duration, e Submit) {
	if _, exists := m.jobs[e.Submission]; exists {
		panic("entry: duplicate submission id")
	}
	if !e.validSteps() {
		m.emit(Answer{Submission: e.Submission, Answer: JobAnswer{Outcome: Refused, Reason: ReasonBadSteps}})
		return
	}
	j := newJob(now, e)
	if answer, refused := m.checkAdmission(now, j); refused {
		m.emit(Answer{Submission: e.Submission, Answer: answer})
		return
	}
	if e.StoredClass.Name != "" {
		m.scheduler.Retain(now, e.StoredClass)
	}
	m.jobs[e.Submission] = j
	m.taskCount += len(j.payloads)
	m.payloadBytes += j.payloadBytes
	m.deadlines.Put(j)
	if j.stored {
		m.storedJobs[j.name] = j
	}
	j.tasks = make([]task, len(e.Payloads))
	for i := range j.steps {
		s := &j.steps[i]
		for n := range s.remaining {
			j.tasks[s.firstTask+n] = task{job: j, step: i, runNumber: e.RunBase, schedTask: policy.Task{Job: &s.schedJob, Index: s.firstTask + n}}
		}
	}
	j.restoreProgress(e.Progress)
	if e.NeedsClaim {
		j.claim = claimPending
		m.emit(RequestClaim{Submission: e.Submission})
		return
	}
	m.failExhaustedJob(now, j)
	if !j.ending {
		m.enqueueReadySteps(now, j)
	}
	m.finishIfSettled(now, j)
}

// restoreProgress restores the recorded progress of the tasks.
func (j *job) restoreProgress(progress []TaskProgress) {
	for i, p := range progress[:min(len(progress), len(j.tasks))] {
		t := &j.tasks[i]
		t.failures = p.Failures
		t.crashes = p.Crashes
		t.checkpoint = p.Checkpoint
		if p.Done {
			t.state = taskDone
			j.openTasks--
			j.steps[t.step].remaining--
		}
	}
	for i := range j.steps {
		if s := &j.steps[i]; s.gang != nil {
			j.restoreGang(s)
		}
	}
}

// checkAdmission decides whether a new job is refused before anything is done
// for it. If so, it returns the answer and true.
func (m *Machine) checkAdmission(now time.Duration, j *job) (JobAnswer, bool) {
	switch {
	case len(j.payloads) == 0:
		return JobAnswer{Outcome: Refused, Reason: ReasonNoTasks}, true
	case j.stored && (m.draining || now >= m.storedLeaseUntil):
		return JobAnswer{Outcome: Refused, Reason: ReasonDraining}, true
	case j.stored: // already accepted
		return JobAnswer{}, false
	case j.arrived < m.closedBefore:
		return JobAnswer{Outcome: Refused, Reason: ReasonEntryPaused, RetryAfter: refusalRetryAfter}, true
	case j.schedJob.Deadline <= now:
		return JobAnswer{Outcome: Refused, Reason: ReasonDeadline}, true
	case m.draining:
		return JobAnswer{Outcome: Refused, Reason: ReasonDraining, RetryAfter: refusalRetryAfter}, true
	case m.exceedsLimits(j):
		return JobAnswer{Outcome: Refused, Reason: ReasonTooManyJobs, RetryAfter: refusalRetryAfter}, true
	}
	result := m.scheduler.Admit(now, &j.schedJob)
	for i := range j.steps {
		j.steps[i].schedJob.Resubmitted = j.schedJob.Resubmitted
	}
	if result.Refusal != policy.Admitted {
		return JobAnswer{Outcome: Refused, Reason: result.Refusal.String(), Detail: result.Detail, RetryAfter: result.RetryAfter}, true
	}
	return JobAnswer{}, false
}

// exceedsLimits reports whether the job would exceed a limit on the machine's
// memory.
func (m *Machine) exceedsLimits(j *job) bool {
	return len(m.jobs) >= m.opts.MaxJobs ||
		m.taskCount+len(j.payloads) > m.opts.MaxTasks ||
		m.payloadBytes+j.payloadBytes > m.opts.MaxPayloadBytes
}

// enqueueReadySteps gives the tasks of every step that may start to the
// scheduler, and records when the next occurrence is due.
func (m *Machine) enqueueReadySteps(now time.Duration, j *job) {
	m.recurring.Remove(j)
	for i := range j.steps {
		s := &j.steps[i]
		if s.notBefore > now {
			j.nextOccurrence = s.notBefore // the steps are ordered by notBefore
			m.recurring.Put(j)
			return
		}
		if s.enqueued || !j.ready(s) {
			continue
		}
		s.enqueued = true
		s.schedJob.Arrived = now
		if j.startedTasks > 0 {
			s.schedJob.Resubmitted = false // completing the job wastes no work
		}
		for n := s.firstTask; n < s.firstTask+s.schedJob.Tasks; n++ {
			if j.tasks[n].state == taskPending {
				m.enqueueTask(now, &j.tasks[n])
			}
		}
	}
}

// ready reports whether every step that s depends on has succeeded.
func (j *job) ready(s *step) bool {
	for _, dependency := range s.dependsOn {
		if j.steps[s.occurrence*j.stepsPerOccurrence+dependency].remaining > 0 {
			return false
		}
	}
	return true
}

// resolveClaim applies the outcome of a claim. Only the first outcome of a
// pending claim has an effect: a repeated one must not release a claim that is
// in use.
func (m *Machine) resolveClaim(now time.Duration, e ClaimResolved) {
	if _, ok := m.orphanedClaims[e.Submission]; ok {
		delete(m.orphanedClaims, e.Submission)
		if e.Won {
			m.emit(ReleaseClaim{Submission: e.Submission})
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
		m.enqueueReadySteps(now, j)
	}
	m.finishIfSettled(now, j)
}

// claimLost answers a job whose claim was not won.
func (m *Machine) claimLost(now time.Duration, j *job, e ClaimResolved) {
	a := JobAnswer{Outcome: Refused, Reason: e.Reason, RetryAfter: e.RetryAfter}
	if e.MayHaveRun {
		a.Outcome = Unknown
		a.RetryAfter = 0
	}
	m.finishJob(now, j, a)
}

// abortJob begins to end a job that can no longer be complete: waiting tasks
// are dropped and attempts in flight are cancelled.
func (m *Machine) abortJob(now time.Duration, j *job, reason string) {
	if j.ending {
		return
	}
	j.ending = true
	j.reason = reason
	for i := range j.tasks {
		t := &j.tasks[i]
		t.resultBody = nil
		switch t.state {
		case taskPending, taskAwaitingGang:
			m.dropTask(t)
		case taskBackoff:
			if t.runLost {
				continue // enqueueDueRetries drops it when its run must have ended
			}
			m.retries.Remove(t)
			m.dropTask(t)
		case taskQueued:
			m.scheduler.Remove(now, &t.schedTask)
			m.dropTask(t)
		case taskInFlight:
			m.cancelAttempt(t.link, t.seq)
		case taskDone, taskDropped:
		}
	}
}

// finishIfSettled answers a job once none of its tasks is open and its claim is
// not pending.
func (m *Machine) finishIfSettled(now time.Duration, j *job) {
	switch {
	case j.openTasks > 0 || j.claim == claimPending:
	case j.ending:
		m.finishJob(now, j, incompleteAnswer(j))
	default:
		m.finishJob(now, j, completeAnswer(j))
	}
}

// incompleteAnswer returns the answer of a settled job that did not succeed. A
// task that failed makes the job Failed: the runs that were then stopped count
// as unknown, but do not put the outcome of the job in doubt.
func incompleteAnswer(j *job) JobAnswer {
	a := JobAnswer{
		Outcome: Refused, Reason: j.reason, Detail: j.failure, Started: j.startedTasks, Unknown: j.unknownTasks,
		LastStart: j.lastStartAfter, LongestWait: j.longestWait, LongestRun: j.longestRun, TotalRun: j.totalRun,
	}
	switch {
	case j.taskFailed:
		a.Outcome = Failed
	case j.unknownTasks > 0:
		a.Outcome = Unknown
	case j.startedTasks > 0 || j.runRepeated:
		a.Outcome = Failed
	case j.reason != ReasonCancelled: // a retry would undo the cancellation by the caller
		a.RetryAfter = refusalRetryAfter
	}
	return a
}

func completeAnswer(j *job) JobAnswer {
	a := JobAnswer{
		Outcome: Complete, Started: j.startedTasks,
		LastStart: j.lastStartAfter, LongestWait: j.longestWait, LongestRun: j.longestRun, TotalRun: j.totalRun,
		Results: make([][]byte, len(j.tasks)),
	}
	for i := range j.tasks {
		a.Results[i] = j.tasks[i].resultBody
	}
	return a
}

// finishJob removes the job and emits its answer.
func (m *Machine) finishJob(now time.Duration, j *job, a JobAnswer) {
	delete(m.jobs, j.schedJob.Submission)
	if j.stored {
		delete(m.storedJobs, j.name)
	}
	m.deadlines.Remove(j)
	m.recurring.Remove(j)
	m.taskCount -= len(j.tasks)
	m.payloadBytes -= j.payloadBytes
	// Release the payloads: attempts in doubt keep a reference to the job until
	// their agent reports.
	j.payloads = nil
	for i := range j.steps {
		m.scheduler.JobDone(now, &j.steps[i].schedJob, a.Outcome == Complete)
	}
	if j.claim == claimWon && a.Outcome == Refused {
		m.emit(ReleaseClaim{Submission: j.schedJob.Submission})
	}
	m.emit(Answer{Submission: j.schedJob.Submission, Answer: a})
}

func (m *Machine) cancelJob(now time.Duration, j *job, reason string) {
	if j == nil {
		return
	}
	m.abortJob(now, j, reason)
	m.finishIfSettled(now, j)
}

// answerUnsettled answers a job whose attempts or claim are still in doubt. The
// attempts stay in the link's window, so that late results are recognised and
// the lowest open Seq sent to the agent does not pass them.
func (m *Machine) answerUnsettled(now time.Duration, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskInFlight {
			t.state = taskDone
			j.unknownTasks++
			j.openTasks--
		}
	}
	if j.claim == claimPending {
		m.orphanedClaims[j.schedJob.Submission] = struct{}{}
		m.finishJob(now, j, JobAnswer{Outcome: Unknown, Reason: ReasonClaimPending})
		return
	}
	m.finishIfSettled(now, j)
}
