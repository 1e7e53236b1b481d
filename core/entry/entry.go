// Package entry implements the state machine of an entry: the process that accepts
// jobs from callers, has agents start their tasks and assembles the answers.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order.
//
// Invariants:
//   - Each Submit yields exactly one Answer.
//   - A task has at most one attempt that is not known to be NotRun. A task
//     whose attempt was sent is placed again only after the agent reported NotRun.
//   - An answer is Complete only if every task of the job succeeded.
//   - An answer is Refused only if no attempt of the job is in flight, none
//     started, and no claim of it is pending.
//   - A claim is released only if it was won and its submission started nothing
//     and never will.
package entry

import (
	"cmp"
	"time"

	"github.com/limpettrail/limpettrail/core/interference"
	"github.com/limpettrail/limpettrail/core/internal/indexheap"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configures a Machine. Zero fields take the defaults.
type Options struct {
	Incarnation wire.Incarnation
	Scheduler   policy.Scheduler
	// Observer is notified of task-level events. It may be nil.
	Observer Observer
	// MaxJobs bounds the submissions in progress. Default 10,000.
	MaxJobs int
	// MaxTasks bounds the total number of tasks of the submissions in progress.
	// Default 400,000.
	MaxTasks int
	// MaxPayloadBytes bounds the total payload size of the submissions in
	// progress. Default 256 MiB.
	MaxPayloadBytes int64
	// MaxAnswerBytes bounds the total result size of one job. A job whose
	// results exceed it ends as failed. Default 16 MiB.
	MaxAnswerBytes int64
	// HeartbeatInterval is the longest time without a frame on a healthy link.
	// Default 500 ms.
	HeartbeatInterval time.Duration
	// LostAgentTimeout is how long the attempts at an agent without a link may remain
	// in doubt before the jobs that are not stored are answered as unknown. Default 10 s.
	LostAgentTimeout time.Duration
	// SettleTimeout is how long after its deadline a job waits for its attempts
	// and its claim before it is answered as unknown. Default 1 s.
	SettleTimeout time.Duration
	// ResendDelay is how long after its connection broke a caller may send its job
	// again, to any entry. After a pause of the process the machine then starts nothing
	// until callers that have left are noticed, see pause.go, and renews the lease of runs
	// only with CallersChecked. 0 means that callers do not send their jobs again.
	ResendDelay time.Duration
}

// Defaults of Options.
const (
	DefaultMaxJobs           = 10_000
	DefaultMaxTasks          = 400_000
	DefaultMaxPayloadBytes   = 256 << 20
	DefaultMaxAnswerBytes    = 16 << 20
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultLostAgentTimeout  = 10 * time.Second
	DefaultSettleTimeout     = time.Second

	// refusalRetryAfter is the RetryAfter of refusals that the machine itself
	// decides.
	refusalRetryAfter = time.Second
)

// Reasons of job answers that originate in the machine itself.
const (
	ReasonDraining         = "draining"
	ReasonTooManyJobs      = "too_many_jobs"
	ReasonDeadline         = "deadline"
	ReasonCancelled        = "cancelled"
	ReasonNoTasks          = "no_tasks"
	ReasonBadSteps         = "bad_steps"
	ReasonRetriesExhausted = "retries_exhausted"
	ReasonTaskFailed       = "task_failed"
	ReasonWorkersCrashed   = "workers_crashed"
	ReasonTaskUnknown      = "task_outcome_unknown"
	ReasonAnswerTooLarge   = "answer_too_large"
	ReasonClaimPending     = "claim_pending"
	ReasonEntryPaused      = "entry_paused"
	// ReasonEvacuated: members of a gang of a job that allows a single run had started when
	// another member was refused, because its zone is evacuated.
	ReasonEvacuated = "evacuated"
)

// Machine is the entry's state machine. It is not safe for concurrent use.
type Machine struct {
	opts           Options
	scheduler      policy.Scheduler
	stuckDetector  policy.StuckDetector // nil if the scheduler does not implement it
	nextStuckCheck time.Duration        // time of the next search for stuck runs
	retryReleaser  policy.RetryReleaser // nil if the scheduler does not implement it
	pauseObserver  policy.PauseObserver // nil if the scheduler does not implement it
	// containment is nil if the scheduler does not implement it. containedClasses are
	// those that were reported last.
	containment      policy.ContainmentReporter
	interference     policy.InterferenceReporter // nil if the scheduler does not implement it
	alonePlacer      policy.AlonePlacer          // nil if the scheduler does not implement it
	alone            []aloneAttempt              // may include attempts that have ended
	containedClasses []string
	nextSeq          wire.Seq
	jobs             map[wire.SubmissionID]*job
	taskCount        int   // total tasks of jobs
	payloadBytes     int64 // total payload size of jobs
	agents           map[wire.Incarnation]*agentLink
	agentList        []*agentLink // in order of first connection
	dirtyLinks       []*agentLink // links on which a frame is sent at the end of the step
	retries          indexheap.Heap[*task]
	deadlines        indexheap.Heap[*job]
	recurring        indexheap.Heap[*job] // jobs with occurrences that are not yet due
	// orphanedClaims holds the submissions that were answered while their claim
	// was pending. A claim that is won later is released.
	orphanedClaims map[wire.SubmissionID]struct{}
	config         configState
	evacuations    evacuationState
	notedVersion   int64 // highest version of the configuration that an agent announced
	entries        []wire.EntryAddr
	draining       bool
	drained        bool
	steppedAt      time.Duration // time of the last step
	pauseBegan     time.Duration // when the last pause began
	resumedAt      time.Duration // end of the last gap of at least MinGap
	unsettledTicks int           // ticks until the pause is over
	held           bool          // starts are held back until then
	closedBefore   time.Duration // nothing is started of jobs received before, see closeJobs
	// storedJobs holds the stored jobs in progress by name. Their tasks may be
	// started until storedLeaseUntil.
	storedJobs       map[string]*job
	storedLeaseUntil time.Duration
	actions          []Action
	stats            Stats
}

// Stats counts messages by kind since the machine was created.
type Stats struct {
	Starts     uint64 // starts sent
	Results    uint64 // successful results that counted
	Refused    uint64 // starts that an agent answered with NotRun
	Cancels    uint64 // cancels sent
	Queries    uint64 // queries sent
	Late       uint64 // results for attempts that are no longer known
	Heartbeats uint64 // frames sent without content
}

func (o Options) withDefaults() Options {
	o.MaxJobs = cmp.Or(o.MaxJobs, DefaultMaxJobs)
	o.MaxTasks = cmp.Or(o.MaxTasks, DefaultMaxTasks)
	o.MaxPayloadBytes = cmp.Or(o.MaxPayloadBytes, DefaultMaxPayloadBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.LostAgentTimeout = cmp.Or(o.LostAgentTimeout, DefaultLostAgentTimeout)
	o.SettleTimeout = cmp.Or(o.SettleTimeout, DefaultSettleTimeout)
	return o
}

// New returns a machine without links or jobs.
func New(opts Options) *Machine {
	stuck, _ := opts.Scheduler.(policy.StuckDetector)
	containment, _ := opts.Scheduler.(policy.ContainmentReporter)
	reporter, _ := opts.Scheduler.(policy.InterferenceReporter)
	alonePlacer, _ := opts.Scheduler.(policy.AlonePlacer)
	retryReleaser, _ := opts.Scheduler.(policy.RetryReleaser)
	pauseObserver, _ := opts.Scheduler.(policy.PauseObserver)
	return &Machine{
		opts:           opts.withDefaults(),
		stuckDetector:  stuck,
		containment:    containment,
		interference:   reporter,
		alonePlacer:    alonePlacer,
		retryReleaser:  retryReleaser,
		pauseObserver:  pauseObserver,
		scheduler:      opts.Scheduler,
		nextSeq:        1,
		jobs:           make(map[wire.SubmissionID]*job),
		retries:        newRetryQueue(),
		deadlines:      newDeadlineQueue(),
		recurring:      newRecurringQueue(),
		agents:         make(map[wire.Incarnation]*agentLink),
		orphanedClaims: make(map[wire.SubmissionID]struct{}), storedJobs: make(map[string]*job),
	}
}

// Stats returns the message counters.
func (m *Machine) Stats() Stats { return m.stats }

// Jobs returns the number of submissions in progress.
func (m *Machine) Jobs() int { return len(m.jobs) }

// InterferencePairs returns the pairs of classes that the scheduler has found to slow each
// other down, sorted.
func (m *Machine) InterferencePairs() []interference.Pair {
	if m.interference == nil {
		return nil
	}
	return m.interference.InterferencePairs()
}

// reportInterference reports the pairs that were found, or are not found any more, since
// the last call.
func (m *Machine) reportInterference(now time.Duration) {
	if m.interference == nil {
		return
	}
	for _, c := range m.interference.InterferenceChanges(now) {
		m.emit(InterferenceChanged{c})
	}
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The returned slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = m.actions[:0]
	m.notePause(now, ev)
	m.cancelUnleasedJobs(now)
	switch e := ev.(type) {
	case Submit:
		m.submit(now, e)
	case ClaimResolved:
		m.resolveClaim(now, e)
	case CancelJob:
		m.cancelJob(now, m.jobs[e.Submission], ReasonCancelled)
	case LinkUp:
		m.linkUp(now, e.Hello)
	case LinkDown:
		m.linkDown(now, e)
	case Received:
		m.receiveFrame(now, e)
	case AgentReplaced:
		m.removeAgent(now, m.agents[e.Agent])
	case Configured:
		m.applyConfig(now, e)
	case EvacuationsRead:
		m.evacuationsRead(now, e)
	case StoredLease:
		m.storedLeaseUntil = max(m.storedLeaseUntil, e.Until)
	case AcknowledgedRuns:
		m.acknowledgeRuns(e)
	case EntriesChanged:
		m.updateEntries(e.List)
	case Drain:
		m.draining = true
	case CallersChecked:
		m.callersChecked()
	case Tick:
		m.checkLinks(now)
		m.cancelStuckRuns(now)
		m.reportContainment(now)
		m.reportInterference(now)
	}
	m.releaseRetries(now)
	m.enqueueDueRetries(now)
	m.enqueueDueOccurrences(now)
	m.enforceDeadlines(now)
	m.placeTasks(now)
	m.flush(now)
	m.reportDrained()
	return m.actions
}

// placeTasks starts queued tasks for as long as the scheduler returns
// placements.
func (m *Machine) placeTasks(now time.Duration) {
	for !m.startsHeld() {
		p, ok := m.scheduler.Next(now)
		if !ok {
			return
		}
		m.startTask(now, p)
	}
}

// startTask sends a new attempt of a placed task to its agent.
func (m *Machine) startTask(now time.Duration, p policy.Placement) {
	j := m.jobs[p.Task.Job.Submission]
	link := m.agents[p.Agent]
	t := &j.tasks[p.Task.Index]
	seq := m.nextSeq
	m.nextSeq++
	t.state = taskInFlight
	t.seq = seq
	t.startSettled = false
	t.link = link
	m.reportRepeated(t)
	t.runNumber++
	j.lastStartAfter = now - j.arrived
	link.attempts.add(seq, t)
	m.scheduleSend(link)
	ref := t.ref()
	link.outgoing.Starts = append(link.outgoing.Starts, wire.Start{
		Seq:               seq,
		Submission:        j.schedJob.Submission,
		Index:             ref.Index,
		Step:              ref.Step,
		Occurrence:        ref.Occurrence,
		Checkpoint:        t.checkpoint,
		Class:             j.schedJob.Class,
		Slack:             wire.MicrosOf(p.Slack),
		MaxWait:           wire.MicrosOf(p.MaxWait),
		Deadline:          wire.MicrosOf(j.schedJob.Deadline - now),
		Payload:           j.payloads[p.Task.Index],
		Job:               j.name,
		Run:               t.runNumber,
		Need:              m.needOf(t, link),
		RetainFinishedRun: j.stored && !j.longRunning,
	})
	if j.stored && !j.startReported {
		j.startReported = true
		m.emit(JobStarted{Job: j.name})
	}
	m.stats.Starts++
	if m.opts.Observer != nil {
		m.opts.Observer.Placed(j.schedJob.Submission, p.Task.Index, link.name)
	}
}

// reportDrained emits Drained once a draining machine has no jobs left and no
// pending claim that would have to be released.
func (m *Machine) reportDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 || len(m.orphanedClaims) > 0 {
		return
	}
	m.drained = true
	m.emit(Drained{})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
