// Package entry is the state machine of an entry, the process that accepts
// jobs from callers, has their tasks started by agents and assembles answers.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order.
//
// Invariants:
//   - Each Submit yields exactly one Answer.
//   - A task has at most one attempt that is not known to be NotRun. A task
//     whose attempt was sent is placed again only after the agent said NotRun.
//   - An answer is Complete only if every task of the job succeeded.
//   - An answer is Refused only if no attempt of the job is in flight and none
//     started, and no claim of it is pending.
//   - Release is emitted only for a claim that was won and whose submission
//     started nothing and never will.
package entry

import (
	"cmp"
	"time"

	"github.com/limpettrail/limpettrail/core/internal/indexheap"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configure a Machine. Zero values take the defaults.
type Options struct {
	Incarnation wire.Incarnation
	Scheduler   policy.Scheduler
	// Observer is told of task-level events. It may be nil.
	Observer Observer
	// MaxJobs bounds the submissions in progress. Default 10,000.
	MaxJobs int
	// MaxTasks bounds the tasks of the submissions in progress. Default 400,000.
	MaxTasks int
	// MaxPayloadBytes bounds the payloads of the submissions in progress.
	// Default 256 MiB.
	MaxPayloadBytes int64
	// MaxAnswerBytes bounds the sum of the results of one job. A job whose
	// results exceed it ends as failed. Default 16 MiB.
	MaxAnswerBytes int64
	// HeartbeatInterval is the longest silence on a healthy link. Default 500 ms.
	HeartbeatInterval time.Duration
	// AgentLease is how long attempts on an agent without a link stay in doubt
	// before they are given up as unknown. Default 10 s.
	AgentLease time.Duration
	// SettleBound is how long after its deadline a job waits for its attempts
	// and its claim before it is answered as unknown. Default 1 s.
	SettleBound time.Duration
}

// Defaults of Options.
const (
	DefaultMaxJobs           = 10_000
	DefaultMaxTasks          = 400_000
	DefaultMaxPayloadBytes   = 256 << 20
	DefaultMaxAnswerBytes    = 16 << 20
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultAgentLease        = 10 * time.Second
	DefaultSettleBound       = time.Second
	overloadRetryAfter       = time.Second
)

// Reasons of job answers that the machine itself gives.
const (
	ReasonDraining       = "draining"
	ReasonTooManyJobs    = "too_many_jobs"
	ReasonDeadline       = "deadline"
	ReasonCancelled      = "cancelled"
	ReasonNoTasks        = "no_tasks"
	ReasonBadSteps       = "bad_steps"
	ReasonNoRetry        = "retries_exhausted"
	ReasonTaskFailed     = "task_failed"
	ReasonTaskUnknown    = "task_outcome_unknown"
	ReasonAnswerTooLarge = "answer_too_large"
	ReasonClaimPending   = "claim_pending"
)

// Machine is the entry's state machine. It is not safe for concurrent use.
type Machine struct {
	opts      Options
	sched     policy.Scheduler
	stuck     policy.StuckDetector // nil if the scheduler is none
	stuckAt   time.Duration        // next search for stuck runs
	nextSeq   wire.Seq
	jobs      map[wire.SubmissionID]*job
	tasks     int   // tasks of jobs
	payload   int64 // bytes of payloads of jobs
	agents    map[wire.Incarnation]*agentLink
	agentList []*agentLink // in order of first contact
	dirty     []*agentLink // links with content for the next frame
	retries   indexheap.Heap[*task]
	deadlines indexheap.Heap[*job]
	recurring indexheap.Heap[*job] // with occurrences that are not due
	// abandoned holds the submissions that were answered while their claim was
	// pending. A claim that is won after that is released.
	abandoned map[wire.SubmissionID]struct{}
	config    configState
	entries   []wire.EntryAddr
	draining  bool
	drained   bool
	// storedJobs are the stored jobs in progress, by name, which may run until
	// storedUntil.
	storedJobs  map[string]*job
	storedUntil time.Duration
	actions     []Action
	stats       Stats
}

// Stats counts messages by kind since the machine was created.
type Stats struct {
	Starts     uint64 // starts sent
	Results    uint64 // successful results that were used
	Refused    uint64 // starts answered NotRun by an agent
	Cancels    uint64 // cancels sent
	Queries    uint64 // queries sent
	Late       uint64 // results for attempts no longer known
	Heartbeats uint64 // frames sent without content
}

func (o Options) withDefaults() Options {
	o.MaxJobs = cmp.Or(o.MaxJobs, DefaultMaxJobs)
	o.MaxTasks = cmp.Or(o.MaxTasks, DefaultMaxTasks)
	o.MaxPayloadBytes = cmp.Or(o.MaxPayloadBytes, DefaultMaxPayloadBytes)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.AgentLease = cmp.Or(o.AgentLease, DefaultAgentLease)
	o.SettleBound = cmp.Or(o.SettleBound, DefaultSettleBound)
	return o
}

// New returns a machine without links or jobs.
func New(opts Options) *Machine {
	stuck, _ := opts.Scheduler.(policy.StuckDetector)
	return &Machine{
		opts:      opts.withDefaults(),
		stuck:     stuck,
		sched:     opts.Scheduler,
		nextSeq:   1,
		jobs:      make(map[wire.SubmissionID]*job),
		retries:   newRetryQueue(),
		deadlines: newDeadlineQueue(),
		recurring: newRecurringQueue(),
		agents:    make(map[wire.Incarnation]*agentLink),
		abandoned: make(map[wire.SubmissionID]struct{}), storedJobs: make(map[string]*job),
	}
}

// Stats returns the message counters.
func (m *Machine) Stats() Stats { return m.stats }

// Jobs returns the number of submissions in progress.
func (m *Machine) Jobs() int { return len(m.jobs) }

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = m.actions[:0]
	m.endUnleased(now)
	switch e := ev.(type) {
	case Submit:
		m.submit(now, e)
	case Claimed:
		m.claimed(now, e)
	case CancelJob:
		m.cancelJob(now, m.jobs[e.Submission], ReasonCancelled)
	case LinkUp:
		m.linkUp(now, e.Hello)
	case LinkDown:
		m.linkDown(now, e)
	case Received:
		m.received(now, e)
	case Replaced:
		m.agentGone(now, m.agents[e.Agent])
	case Configured:
		m.configured(now, e)
	case StoredLease:
		m.storedUntil = max(m.storedUntil, e.Until)
	case Settled:
		m.settled(e)
	case Entries:
		m.setEntries(e.List)
	case Drain:
		m.draining = true
	case Tick:
		m.tickLinks(now)
		m.giveUpStuck(now)
	}
	m.dueRetries(now)
	m.dueOccurrences(now)
	m.dueDeadlines(now)
	m.place(now)
	m.flush(now)
	m.reportDrained()
	return m.actions
}

// place starts waiting tasks for as long as the scheduler finds agents.
func (m *Machine) place(now time.Duration) {
	for {
		p, ok := m.sched.Next(now)
		if !ok {
			return
		}
		m.start(now, p)
	}
}

func (m *Machine) start(now time.Duration, p policy.Placement) {
	j := m.jobs[p.Task.Job.Submission]
	link := m.agents[p.Agent]
	t := &j.tasks[p.Task.Index]
	seq := m.nextSeq
	m.nextSeq++
	t.state = taskSent
	t.seq = seq
	t.agent = link
	t.run++
	j.lastStart = now - j.arrived
	link.attempts.add(seq, t)
	m.touch(link)
	ref := t.ref()
	link.out.Starts = append(link.out.Starts, wire.Start{
		Seq:        seq,
		Submission: j.info.Submission,
		Index:      ref.Index,
		Step:       ref.Step,
		Occurrence: ref.Occurrence,
		Checkpoint: t.checkpoint,
		Class:      j.info.Class,
		Slack:      wire.MicrosOf(p.Slack),
		MaxWait:    wire.MicrosOf(p.MaxWait),
		Deadline:   wire.MicrosOf(j.info.Deadline - now),
		Payload:    j.payloads[p.Task.Index],
		Job:        j.name,
		Run:        t.run,
		Need:       p.Task.Job.Need,
		Stored:     j.stored && !j.lasting,
	})
	if j.stored && !j.began {
		j.began = true
		m.emit(Began{Job: j.name})
	}
	m.stats.Starts++
	if m.opts.Observer != nil {
		m.opts.Observer.Placed(j.info.Submission, p.Task.Index, link.name)
	}
}

// reportDrained emits Drained once no job is left and no claim is pending
// that would have to be released.
func (m *Machine) reportDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 || len(m.abandoned) > 0 {
		return
	}
	m.drained = true
	m.emit(Drained{})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
