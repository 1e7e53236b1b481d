// Package durable is the state machine that keeps accepted jobs: it records them
// in a shared log, decides which process drives which job, and takes over the
// jobs of processes that are gone.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order. Every process
// follows the same log, and what the log's order decides is decided alike
// everywhere: the first acceptance of a job and the first takeover of a process
// count.
//
// Invariants:
//   - A caller is told Stored only after the record is in the log.
//   - A process drives a job only while it owns it in the log's order and its
//     newest append was sent less than Options.Lease ago.
//   - Jobs are taken over only after their owner was fenced off in the log, and
//     driven only Lease and Options.RunsEnd after its last record was read, so
//     that no run of the earlier owner goes on.
//   - An end is settled only after it is recorded with its job, or if its job has
//     ended or was never recorded.
package durable

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configure a Machine. Zero durations and counts take the defaults.
type Options struct {
	Self Owner
	// Lease is how long after the send of its newest append a process may drive
	// its jobs. Default 2.5 s.
	Lease time.Duration
	// RunsEnd is how long runs may go on after their process has ended. Default
	// 1.4 s.
	RunsEnd time.Duration
	// Retention is how long the state of an ended job is kept. Default 120 s.
	Retention time.Duration
	// MaxJobs bounds the jobs that this process owns and that have not ended.
	// Default 4000.
	MaxJobs int
}

// Defaults of Options.
const (
	DefaultLease     = 2500 * time.Millisecond
	DefaultRunsEnd   = 1400 * time.Millisecond // 0.5 s at the agent, 0.72 s at the worker, the stop
	DefaultRetention = 120 * time.Second
	DefaultMaxJobs   = 4000
)

// MaxTasks is the largest number of tasks of a stored job over all its occurrences.
const MaxTasks = 8 * wire.MaxTasksPerJob

const (
	// renewals is how often a lease is renewed within its time.
	renewals = 3
	// appendGap separates two appends: what comes meanwhile shares one.
	appendGap = 25 * time.Millisecond
	// maxAppendBytes bounds the values of one append.
	maxAppendBytes = 1 << 20
	// silentLog is how long an append may be without an answer before new jobs
	// are refused.
	silentLog = 700 * time.Millisecond
	// refusalSpell is how long new jobs are refused after the log refused an
	// append.
	refusalSpell = 200 * time.Millisecond
	// runsPerDrive separates the run numbers of two drives of a job, and
	// runsPerOwner those of two owners: the earlier one may have driven it without
	// having recorded so.
	runsPerDrive = 1000
	runsPerOwner = 100 * runsPerDrive
	// redriveDelay is how long a job waits after a drive that was halted or refused.
	redriveDelay = 300 * time.Millisecond
	// surveyInterval separates the searches for jobs of processes that are gone
	// and for records that are no longer needed.
	surveyInterval = 200 * time.Millisecond
	// takeoverSpread is the range over which processes that could take over the
	// same jobs are spread, so that one of them usually does it alone.
	takeoverSpread = 500
	// recordCleanup is when records of moves and leases are removed: what they
	// say is recorded with each job by then.
	recordCleanup = 60 * time.Second
)

func (o Options) withDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.RunsEnd = cmp.Or(o.RunsEnd, DefaultRunsEnd)
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MaxJobs = cmp.Or(o.MaxJobs, DefaultMaxJobs)
	return o
}

// job is one job of the log.
type job struct {
	id      string
	class   string
	spec    *Spec // nil if only its end is known
	owner   Owner
	accepts []wire.Incarnation // writers of its acceptances
	state   State
	widths  []int  // tasks of each step of one occurrence
	gangs   []bool // steps whose tasks work only together; nil if only the end is known
	// occurrences is how often the steps run.
	occurrences int
	tasks       []task
	base        int // at or above the numbers of all runs so far
	cancelled   bool
	finalAt     time.Duration

	// What follows is kept for jobs that this process owns.
	freeAt   time.Duration // not driven before
	driving  bool
	halting  bool
	driven   int // run numbers of the drive in progress are above it
	next     State
	dirty    bool
	listed   bool // in Machine.waiting
	settles  []TaskEnded
	reported []TaskEnded // ends told of while another process owned it
}

// task is the progress of one task.
type task struct {
	entry.TaskProgress
	run int // newest run whose end is counted
}

// process is what is known of another process of the log.
type process struct {
	owner   Owner
	heardAt time.Duration // when its newest record was read
	left    bool
	fencing bool
	jobs    int // that it owns and that have not ended
}

// batch is an append in progress.
type batch struct {
	sentAt   time.Duration
	records  []Record
	requests []request // whose records come first in it
	jobs     []*job
	settles  []TaskEnded
	leaving  bool
}

// request is a caller's record that waits for an append.
type request struct {
	token  uint64
	record Record
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	opts      Options
	jobs      map[string]*job
	processes map[wire.Incarnation]*process
	loaded    bool
	asked     time.Duration // the view is at least as new
	startedAt time.Duration // of this process, the first step
	begun     bool

	requests   []request
	pending    map[string]uint64 // tokens of acceptances in requests or in flight
	followers  map[uint64][]uint64
	upkeep     []Record // takeovers, removals
	dirty      []*job
	inFlight   *batch
	appendAt   time.Duration // earliest time of the next append
	leaseSent  time.Duration // when the newest recorded append was sent
	leased     bool          // leaseSent is valid
	refusedTo  time.Duration // new jobs are refused until then
	superseded bool

	waiting  []*job // owned and not driven
	driving  int    // jobs that are driven
	halted   bool   // all of them were told to stop
	own      int    // jobs that this process owns and that have not ended
	cancels  []waitingCancel
	strays   []stray
	surveyAt time.Duration
	cleanups []cleanup
	leaving  bool
	left     bool
	actions  []Action
}

// stray is the end of a run of a job that is not in the view yet.
type stray struct {
	at    time.Duration
	event TaskEnded
}

// waitingCancel is a cancellation that arrived at a time.
type waitingCancel struct {
	Cancel
	at time.Duration
}

// cleanup removes a record some time after it was written.
type cleanup struct {
	at  time.Duration
	key string
}

// New returns a machine that has not read the log yet.
func New(opts Options) *Machine {
	return &Machine{
		opts: opts.withDefaults(), jobs: make(map[string]*job),
		processes: make(map[wire.Incarnation]*process),
		pending:   make(map[string]uint64), followers: make(map[uint64][]uint64),
	}
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	if !m.begun {
		m.begun, m.startedAt = true, now
	}
	switch e := ev.(type) {
	case Read:
		m.read(now, e)
	case Submit:
		m.submit(now, e)
	case Cancel:
		m.cancels = append(m.cancels, waitingCancel{e, now})
		m.answerCancels(now)
	case Appended:
		m.appended(now, e)
		m.reportLeft()
	case Fenced:
		m.fenced(e)
	case Began:
		m.taskBegan(e.Job)
	case TaskEnded:
		m.taskEnded(now, e)
	case Ended:
		m.ended(now, e)
	case Leave:
		m.leave()
	case Tick:
		m.survey(now)
		m.answerCancels(now)
	}
	m.drive(now)
	m.flush(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Loaded reports whether the log was read as a whole.
func (m *Machine) Loaded() bool { return m.loaded }

// Superseded reports whether another process has taken this one's jobs.
func (m *Machine) Superseded() bool { return m.superseded }

// Age returns how old the view may be.
func (m *Machine) Age(now time.Duration) time.Duration { return now - m.asked }

// State returns the state of a job, ok is false if it is not in the view.
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

// Pending returns the number of the class's jobs of which no task has started.
func (m *Machine) Pending(class string) int {
	n := 0
	for _, j := range m.jobs {
		if j.class == class && j.state == Queued && !j.cancelled {
			n++
		}
	}
	return n
}

// Owned returns the number of jobs that this process owns and that have not ended.
func (m *Machine) Owned() int { return m.own }

// mayDrive reports whether this process's lease holds.
func (m *Machine) mayDrive(now time.Duration) bool {
	return m.leased && !m.superseded && !m.leaving && now-m.leaseSent < m.opts.Lease
}

func (m *Machine) mine(j *job) bool { return j.owner.Incarnation == m.opts.Self.Incarnation }

// drive runs the owned jobs whose time has come, and halts all of them once the
// lease is over.
func (m *Machine) drive(now time.Duration) {
	if !m.mayDrive(now) {
		m.haltAll()
		return
	}
	m.halted = false
	rest := m.waiting[:0]
	for _, j := range m.waiting {
		switch {
		case j.driving || j.state.Final() || j.next.Final() || !m.mine(j):
			j.listed = false
		case j.cancelled:
			j.listed = false
			m.finish(j, Cancelled)
		case now < j.freeAt:
			rest = append(rest, j)
		default:
			j.listed = false
			m.start(j)
		}
	}
	clear(m.waiting[len(rest):])
	m.waiting = rest
}

func (m *Machine) start(j *job) {
	j.driving = true
	m.driving++
	j.driven = j.base
	j.base += runsPerDrive
	m.touch(j) // the run numbers are recorded as used
	progress := make([]entry.TaskProgress, len(j.tasks))
	for i := range j.tasks {
		progress[i] = j.tasks[i].TaskProgress
	}
	m.emit(Drive{Spec: j.spec, Progress: progress, RunBase: j.driven})
}

// haltAll stops what is driven. A process that is not known to live must not
// run its jobs, since another one may own them by now.
func (m *Machine) haltAll() {
	if m.driving == 0 || m.halted {
		return
	}
	m.halted = true
	for _, j := range m.sorted() {
		m.halt(j)
	}
}

func (m *Machine) halt(j *job) {
	if j.driving && !j.halting {
		j.halting = true
		m.emit(Halt{Job: j.id})
	}
}

// sorted returns the jobs by name, for an order that does not depend on chance.
func (m *Machine) sorted() []*job {
	out := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
