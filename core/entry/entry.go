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
//     started.
package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configure a Machine. Zero values take the defaults.
type Options struct {
	Incarnation wire.Incarnation
	Scheduler   policy.Scheduler
	// MaxJobs bounds the submissions in progress. Default 10,000.
	MaxJobs int
	// HeartbeatInterval is the longest silence on a healthy link. Default 500 ms.
	HeartbeatInterval time.Duration
	// AgentLease is how long attempts on an agent without a link stay in doubt
	// before they are given up as unknown. Default 10 s.
	AgentLease time.Duration
	// SettleBound is how long after its deadline a job waits for its attempts
	// to report before it is answered as unknown. Default 1 s.
	SettleBound time.Duration
}

// Defaults of Options.
const (
	DefaultMaxJobs           = 10_000
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultAgentLease        = 10 * time.Second
	DefaultSettleBound       = time.Second
	overloadRetryAfter       = time.Second
)

// Reasons of job answers that the machine itself gives.
const (
	ReasonDraining    = "draining"
	ReasonTooManyJobs = "too_many_jobs"
	ReasonDeadline    = "deadline"
	ReasonCancelled   = "cancelled"
	ReasonNoRetry     = "retries_exhausted"
	ReasonTaskFailed  = "task_failed"
	ReasonTaskUnknown = "task_outcome_unknown"
)

// Machine is the entry's state machine. It is not safe for concurrent use.
type Machine struct {
	opts      Options
	sched     policy.Scheduler
	nextSeq   wire.Seq
	jobs      map[wire.SubmissionID]*job
	agents    map[wire.Incarnation]*agentLink
	agentList []*agentLink // in order of first contact
	retries   []retry
	deadlines deadlineQueue
	draining  bool
	drained   bool
	actions   []Action
	stats     Stats
}

// Stats counts messages by kind since the machine was created.
type Stats struct {
	Starts     uint64 // starts sent
	Results    uint64 // results that were used
	Refused    uint64 // starts answered NotRun by an agent
	Cancels    uint64 // cancels sent
	Queries    uint64 // queries sent
	Late       uint64 // results for attempts no longer known
	Heartbeats uint64 // frames sent without content
}

// New returns a machine without links or jobs.
func New(opts Options) *Machine {
	if opts.MaxJobs <= 0 {
		opts.MaxJobs = DefaultMaxJobs
	}
	if opts.HeartbeatInterval <= 0 {
		opts.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if opts.AgentLease <= 0 {
		opts.AgentLease = DefaultAgentLease
	}
	if opts.SettleBound <= 0 {
		opts.SettleBound = DefaultSettleBound
	}
	return &Machine{
		opts:    opts,
		sched:   opts.Scheduler,
		nextSeq: 1,
		jobs:    make(map[wire.SubmissionID]*job),
		agents:  make(map[wire.Incarnation]*agentLink),
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
	switch e := ev.(type) {
	case Submit:
		m.submit(now, e)
	case Claimed:
		m.claimed(now, e)
	case CancelJob:
		m.cancelJob(now, e.Submission, ReasonCancelled)
	case LinkUp:
		m.linkUp(now, e.Hello)
	case LinkDown:
		m.linkDown(now, e)
	case Received:
		m.received(now, e)
	case Replaced:
		m.agentGone(now, e.Agent)
	case Configured:
		m.sched.Configure(now, e.Settings)
	case Drain:
		m.draining = true
	case Tick:
		m.tick(now)
	}
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
	link.attempts[seq] = t
	link.out.Starts = append(link.out.Starts, wire.Start{
		Seq:        seq,
		Submission: j.info.Submission,
		Index:      p.Task.Index,
		Class:      j.info.Class,
		Slack:      wire.MicrosOf(p.Slack),
		MaxWait:    wire.MicrosOf(p.MaxWait),
		Deadline:   wire.MicrosOf(j.info.Deadline - now),
		Payload:    j.payloads[p.Task.Index],
	})
	m.stats.Starts++
}

func (m *Machine) tick(now time.Duration) {
	m.dueRetries(now)
	m.dueDeadlines(now)
	for _, link := range m.agentList {
		if !link.up && len(link.attempts) > 0 && now-link.downAt >= m.opts.AgentLease {
			m.giveUp(now, link)
		}
	}
}

func (m *Machine) reportDrained() {
	if !m.draining || m.drained || len(m.jobs) > 0 {
		return
	}
	m.drained = true
	m.emit(Drained{})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
