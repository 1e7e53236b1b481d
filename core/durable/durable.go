// Package durable is the state machine for stored jobs: it records accepted jobs
// in a shared log, decides which process owns each job, and takes over the jobs
// of processes that have failed or left.
//
// The machine does no I/O and reads no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order. Every process
// reads the same log and resolves conflicts by its order: the first acceptance of
// a job counts, and the first takeover of a process.
//
// The owner of a job drives it: it has the entry of its process run the job's
// tasks. A run is one execution of a task on a worker; an attempt that ends as not
// run is no run. Agents retain the result of a finished run until it is
// acknowledged. The view is the state of all jobs as read from the log so far.
//
// Invariants:
//   - A caller is told Stored only after the record is in the log, and Full or
//     Unavailable only if the log does not hold it and never will.
//   - A process drives a job only while it owns the job according to the log and
//     its newest recorded append that shows it as the writer was sent less than
//     Options.Lease ago. Removals show no writer, and records of kinds that earlier
//     builds do not know show none to them.
//   - Jobs are taken over only after their owner was fenced off in the log. They
//     are driven only once no run of that owner can still be going on: unless the
//     owner has left or has the same name, Options.Lease plus
//     Options.OrphanRunTime after its last record was read.
//   - A finished run is acknowledged only after it is recorded with its job, or if
//     its job has ended or was never recorded.
package durable

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configures a Machine. Zero durations and counts take the defaults.
type Options struct {
	Self ProcessID
	// Lease is how long a process may drive its jobs after it sent its newest
	// append that shows it. Default 2.5 s.
	Lease time.Duration
	// OrphanRunTime is how long runs may go on after their process has ended.
	// Default 1.4 s.
	OrphanRunTime time.Duration
	// Retention is how long the state of an ended job is kept. Default 120 s.
	Retention time.Duration
	// MaxJobs bounds the jobs that this process owns and that have not ended.
	// Default 4000.
	MaxJobs int
}

// Defaults of Options.
const (
	DefaultLease = 2500 * time.Millisecond
	// DefaultOrphanRunTime covers a lease of 0.5 s at the agent, one of 0.72 s at the
	// worker, and the time to stop a run.
	DefaultOrphanRunTime = 1400 * time.Millisecond
	DefaultRetention     = 120 * time.Second
	DefaultMaxJobs       = 4000
)

// MaxTasks is the largest number of tasks of a stored job over all its
// occurrences.
const MaxTasks = 8 * wire.MaxTasksPerJob

const (
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 3
	// appendInterval is the shortest time between two appends. Records that become
	// ready in between share the next one.
	appendInterval = 25 * time.Millisecond
	// maxAppendBytes bounds the total size of the values of one append.
	maxAppendBytes = 1 << 20
	// unresponsiveAfter is how long an append may go unanswered before new requests, and
	// those that wait behind it, are refused.
	unresponsiveAfter = 700 * time.Millisecond
	// refusalBackoff is how long new jobs are refused after the log has rejected an
	// append.
	refusalBackoff = 200 * time.Millisecond
	// runsPerDrive is the distance between the run numbers of two drives of a job,
	// and runsPerOwner between those of two owners: the earlier owner may have
	// driven the job without having recorded it.
	runsPerDrive = 1000
	runsPerOwner = 100 * runsPerDrive
	// redriveDelay is how long a job waits after a drive that was halted or
	// refused.
	redriveDelay = 300 * time.Millisecond
	// refusalsBeforeReport is how many drives of a job must be refused in a row before
	// that is reported: some are while a process starts or renews its lease.
	refusalsBeforeReport = 10
	// scanInterval is the time between two scans for jobs of lost processes and for
	// records that are no longer needed.
	scanInterval = 200 * time.Millisecond
	// takeoverJitterMs is the range, in milliseconds, over which the processes that
	// could take over the same jobs are spread, so that usually only one of them
	// does it.
	takeoverJitterMs = 500
	// cleanupDelay is how long takeover and lease records are kept. By then their
	// content is recorded with each job.
	cleanupDelay = 60 * time.Second
)

func (o Options) withDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.OrphanRunTime = cmp.Or(o.OrphanRunTime, DefaultOrphanRunTime)
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MaxJobs = cmp.Or(o.MaxJobs, DefaultMaxJobs)
	return o
}

// job is a stored job in the view.
type job struct {
	id         string
	class      string
	spec       *Spec              // nil if only the job's end is known
	owner      ProcessID          // zero if only the record of its end was read
	acceptedBy []wire.Incarnation // writers of acceptance records for it
	state      State
	stepSizes  []int  // tasks of each step in one occurrence
	gangs      []bool // whether the tasks of each step form a gang; nil if only the job's end is known
	// occurrences is how many times the steps run.
	occurrences int
	tasks       []task
	runBase     int // no run so far has a higher number
	cancelled   bool
	endedAt     time.Duration // when the record of its end was read
	// driveAfter is the earliest time of the next drive: no run of a former owner is
	// still going on then.
	driveAfter time.Duration

	// The following fields are used for jobs that this process owns.
	driving      bool          // a drive is in progress
	halting      bool          // that drive was told to stop
	driveBase    int           // the run numbers of the drive in progress are higher
	nextState    State         // state to record with the next status if it is later than state
	dirty        bool          // whether the job is in Machine.dirty
	inDriveQueue bool          // whether the job is in Machine.driveQueue
	hasCrashes   bool          // a crash record of the job was written or read
	hasRepeats   bool          // a record of its repeated runs was written or read
	hasClass     bool          // a record of its class was written or read
	refusals     int           // drives refused one after the other
	unrecorded   []RunFinished // counted runs that are not in an append yet
	reported     []RunFinished // reported while another process owned the job
}

// task is the progress of one task.
type task struct {
	entry.TaskProgress
	lastRun int // number of the newest run that is counted
	// repeatedRun is the number of the newest lost run that was repeated, 0 if none.
	repeatedRun int
	// countedRuns are the numbers of the failed runs that this process has counted.
	// There are fewer than the failures that the task is allowed.
	countedRuns []int
}

// process is what the view holds of a process that writes to the log.
type process struct {
	owner      ProcessID
	lastSeenAt time.Duration // when its newest record was read
	left       bool          // its newest lease record says that it has left and runs nothing
	fencing    bool          // a fence was requested and has not failed
	jobs       int           // jobs that it owns and that have not ended
}

// batch is an append in flight.
type batch struct {
	sentAt      time.Duration
	records     []Record
	requests    []callerRequest // requests whose records are in records
	jobs        []*job          // jobs whose statuses are in records
	maintenance []Record        // the maintenance records in records
	countedRuns []RunFinished   // runs that the statuses count
	leaving     bool            // records includes the handover
}

// callerRequest is a request of a caller whose records wait to be appended.
type callerRequest struct {
	token   uint64
	request Event // Submit or Cancel
	records []Record
}

// job returns the ID of the job.
func (r *callerRequest) job() string { return jobOfKey(r.records[0].Key) }

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	opts      Options
	jobs      map[string]*job
	processes map[wire.Incarnation]*process
	classes   map[string]policy.Class // recorded classes of jobs that are not in the view yet, by job
	loaded    bool                    // the whole log has been read
	viewAt    time.Duration           // the view contains all records up to this time
	startedAt time.Duration           // time of the first step
	started   bool

	requests     []callerRequest     // requests that wait to be appended
	pending      map[string]uint64   // tokens of acceptances that are waiting or in flight, by job
	duplicates   map[uint64][]uint64 // tokens of repeated submissions, by the token of the first
	unresolved   []unresolvedRequest // requests whose outcome a later read decides
	maintenance  []Record            // takeover records and removals that wait to be appended
	dirty        []*job              // jobs whose status waits to be appended
	inFlight     *batch
	nextAppendAt time.Duration // earliest time of the next append
	leaseSentAt  time.Duration // when the newest recorded append that renews the lease was sent
	leaseGranted bool          // whether leaseSentAt is valid
	refuseUntil  time.Duration // new jobs are refused until then
	fencedOff    bool          // another process has taken over this one's jobs

	driveQueue     []*job // owned jobs that are not being driven
	driveCount     int    // jobs that are being driven
	allHalted      bool   // whether all driven jobs were told to stop
	ownedCount     int    // jobs that this process owns and that have not ended
	pendingCancels []pendingCancel
	unknownRuns    []unknownRun
	nextScanAt     time.Duration
	cleanups       []cleanup
	leaving        bool // Leave was requested
	left           bool // Left was emitted
	actions        []Action
}

// unknownRun is a finished run of a job that is not in the view yet.
type unknownRun struct {
	at    time.Duration // when it was reported
	event RunFinished
}

// pendingCancel is a cancellation request with the time of its arrival.
type pendingCancel struct {
	Cancel
	at time.Duration
}

// cleanup is the removal of a record that is due at a later time.
type cleanup struct {
	at  time.Duration
	key string
}

// New returns a machine that has not read the log yet.
func New(opts Options) *Machine {
	return &Machine{
		opts: opts.withDefaults(), jobs: make(map[string]*job),
		processes: make(map[wire.Incarnation]*process), classes: make(map[string]policy.Class),
		pending: make(map[string]uint64), duplicates: make(map[uint64][]uint64),
	}
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	if !m.started {
		m.started, m.startedAt = true, now
	}
	switch e := ev.(type) {
	case Read:
		m.applyRead(now, e)
	case Submit:
		m.submit(now, e)
	case Cancel:
		m.pendingCancels = append(m.pendingCancels, pendingCancel{e, now})
		m.resolveCancels(now)
	case UnresolvedRequest:
		m.unresolved = append(m.unresolved, unresolvedRequest{e, now})
	case Appended:
		m.appended(now, e)
	case Fenced:
		m.fenceDone(e)
	case JobStarted:
		m.jobStarted(e.Job)
	case ClassFound:
		m.classFound(e)
	case RunFinished:
		m.runFinished(now, e)
	case RunCrashed:
		m.runCrashed(e)
	case RunRepeated:
		m.runRepeated(e)
	case DriveEnded:
		m.driveEnded(now, e)
	case Leave:
		m.leaving = true
	case Tick:
		m.scan(now)
		m.resolveCancels(now)
		if m.logUnresponsive(now) {
			m.refuseWaiting()
		}
	}
	m.driveDue(now)
	m.flush(now)
	m.reportLeft()
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Loaded reports whether the whole log has been read.
func (m *Machine) Loaded() bool { return m.loaded }

// FencedOff reports whether another process has taken over this one's jobs.
func (m *Machine) FencedOff() bool { return m.fencedOff }

// ViewAge returns the age of the view, which contains every record that was in the
// log that long ago.
func (m *Machine) ViewAge(now time.Duration) time.Duration { return now - m.viewAt }

// State returns the state of a job. ok is false if the job is not in the view.
func (m *Machine) State(id string) (s State, ok bool) {
	j := m.jobs[id]
	switch {
	case j == nil:
		return 0, false
	case j.cancelled && !j.state.Final():
		return Cancelled, true
	}
	return j.state, true
}

// Pending returns the number of the class's jobs of which no task has started. They may
// have been accepted when the class had another name.
func (m *Machine) Pending(class policy.Class) int {
	n := 0
	for _, j := range m.jobs {
		if j.state == Queued && !j.cancelled && j.inClass(class) {
			n++
		}
	}
	return n
}

func (j *job) inClass(c policy.Class) bool {
	if j.spec == nil {
		return j.class == c.Name
	}
	return j.spec.InClass(c)
}

// Owned returns the number of jobs that this process owns and that have not
// ended.
func (m *Machine) Owned() int { return m.ownedCount }

// mayDrive reports whether this process holds a valid lease.
func (m *Machine) mayDrive(now time.Duration) bool {
	return m.leaseGranted && !m.fencedOff && !m.leaving && now-m.leaseSentAt < m.opts.Lease
}

func (m *Machine) owns(j *job) bool { return j.owner.Incarnation == m.opts.Self.Incarnation }

// driveDue drives the owned jobs that are due, and halts all of them if the
// lease has expired.
func (m *Machine) driveDue(now time.Duration) {
	if !m.mayDrive(now) {
		m.haltAll()
		return
	}
	m.allHalted = false
	rest := m.driveQueue[:0]
	for _, j := range m.driveQueue {
		switch {
		case j.driving || j.state.Final() || j.nextState.Final() || !m.owns(j):
			j.inDriveQueue = false
		case j.cancelled:
			j.inDriveQueue = false
			m.finish(j, Cancelled)
		case now < j.driveAfter:
			rest = append(rest, j)
		default:
			j.inDriveQueue = false
			m.startDrive(j)
		}
	}
	clear(m.driveQueue[len(rest):])
	m.driveQueue = rest
}

func (m *Machine) startDrive(j *job) {
	j.driving = true
	m.driveCount++
	j.driveBase = j.runBase
	j.runBase += runsPerDrive
	m.markDirty(j) // records that the run numbers are used
	progress := make([]entry.TaskProgress, len(j.tasks))
	for i := range j.tasks {
		progress[i] = j.tasks[i].TaskProgress
	}
	m.emit(Drive{Spec: j.spec, Progress: progress, RunBase: j.driveBase})
}

// haltAll stops all driven jobs. A process without a valid lease must not run
// its jobs, because another process may own them by now.
func (m *Machine) haltAll() {
	if m.driveCount == 0 || m.allHalted {
		return
	}
	m.allHalted = true
	for _, j := range m.sortedJobs() {
		m.halt(j)
	}
}

func (m *Machine) halt(j *job) {
	if j.driving && !j.halting {
		j.halting = true
		m.emit(Halt{Job: j.id})
	}
}

// sortedJobs returns the jobs ordered by ID, so that iteration is
// deterministic.
func (m *Machine) sortedJobs() []*job {
	out := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
