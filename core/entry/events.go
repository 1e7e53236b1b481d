package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Submit offers a new job. The answer is one Answer action.
type Submit struct {
	Submission wire.SubmissionID
	Class      string
	Team       string
	// Deadline is the time left until the caller gives up.
	Deadline time.Duration
	// Claimed says that the caller of the machine must obtain a claim for the
	// request before any task may start: the machine emits Claim and waits.
	Claimed  bool
	Need     wire.Capacity
	Declared time.Duration
	Payloads [][]byte // one for each task
	// Steps divides the tasks, in their order, into groups of like tasks that may
	// depend on each other. Empty means one step with Need and Declared.
	Steps []Step
	// Job is the caller's name of the job, handed on to the upstreams. Empty if
	// the caller gave none.
	Job string
	// Attempts is how many runs of one task may end as failed before the job
	// does. A task runs again only after its earlier run is known to have ended.
	// 0 and 1 both allow a single run, whatever becomes of it.
	Attempts int
	// Stored jobs were accepted and recorded before: they are not refused, have no
	// deadline, and their tasks are repeated until they succeed or fail Attempts
	// times. Job must be set.
	Stored bool
	// Lasting jobs are stored ones that run until they are cancelled: each task is
	// started again however its run ends.
	Lasting bool
	// Occurrences are the times, on the machine's clock, before which no task of
	// each occurrence of a recurring job may start. Every occurrence has all Steps;
	// Payloads and Progress hold the tasks of one occurrence after the other. Empty
	// means one occurrence that is due now. Steps must be set.
	Occurrences []time.Duration
	// Progress is what earlier owners of a stored job recorded of its tasks, in
	// their order; empty for none.
	Progress []TaskProgress
	// RunBase is added to the numbers of the runs, which must rise across owners.
	RunBase int
}

// TaskProgress is what is recorded of one task of a stored job.
type TaskProgress struct {
	Done       bool
	Failures   int    // runs that ended as failed
	Checkpoint string // newest progress that a worker saved, see wire.Start.Checkpoint
}

// Step is a group of like tasks of a job.
type Step struct {
	Tasks    int
	Need     wire.Capacity // of each task
	Declared time.Duration // run time of the longest task, 0 if not known
	// After lists the earlier steps, from 0, all of whose tasks must have
	// succeeded before a task of this step may start.
	After []int
	// Label is what the worker must be labelled with, empty for any.
	Label string
	// PerWorker bounds the step's tasks that run on one worker at a time, 0 for
	// no bound.
	PerWorker int
	// Gang says that the tasks work only together: they run at the same time or
	// not at all, and the success of one is that of all.
	Gang bool
	// SameRack says that the tasks are slower if they run in more than one rack.
	SameRack bool
	// DataRack is the rack near the data, empty for none.
	DataRack string
}

// Claimed tells the machine how the claim of a submission ended. It is
// delivered exactly once for each Claim action.
type Claimed struct {
	Submission wire.SubmissionID
	Won        bool
	// Reason is the caller-visible reason if the claim was not won.
	Reason string
	// RunBefore says that the key's work may have run under another submission,
	// so the answer must be unknown, not refused.
	RunBefore  bool
	RetryAfter time.Duration
}

// CancelJob abandons a submission.
type CancelJob struct{ Submission wire.SubmissionID }

// LinkUp says that an agent's connection is established.
type LinkUp struct{ Hello wire.AgentHello }

// LinkDown says that the connection with this epoch is closed.
type LinkDown struct {
	Agent wire.Incarnation
	Epoch wire.Epoch
}

// Received delivers one frame from an agent.
type Received struct {
	Agent wire.Incarnation
	Epoch wire.Epoch
	Frame *wire.ToEntry
}

// Replaced says that the agent incarnation is gone for good, for instance
// because the same worker announced a new incarnation.
type Replaced struct{ Agent wire.Incarnation }

// Configured replaces the published targets. A lower Version than the one in
// force has no effect.
type Configured struct {
	Settings policy.Settings
	Version  int64
	// State is the encoded configuration for agents, empty if there is none.
	State []byte
	// Delta is the part of State that changed after version Since. Agents with
	// that version or a later one are sent only it. Empty if it is not known.
	Delta []byte
	Since int64
}

// StoredLease says until when the entry may start tasks of stored jobs. Those in
// progress are ended once it is over: another entry may own them by then.
type StoredLease struct{ Until time.Duration }

// Settled names runs of stored jobs whose ends were recorded, or need not be.
type Settled struct {
	Agent wire.Incarnation
	Runs  []wire.RunRef
	// Void says that the ends came too late to count, see wire.ToAgent.Voided.
	Void bool
}

// Entries replaces the list of entries that agents are told of.
type Entries struct{ List []wire.EntryAddr }

// Tick lets time-driven work happen. Deliver it every 10 ms or so.
type Tick struct{}

// Drain begins the graceful shutdown: new jobs are refused as not run.
type Drain struct{}

func (Submit) isEvent()      {}
func (Claimed) isEvent()     {}
func (CancelJob) isEvent()   {}
func (LinkUp) isEvent()      {}
func (LinkDown) isEvent()    {}
func (Received) isEvent()    {}
func (Replaced) isEvent()    {}
func (Configured) isEvent()  {}
func (StoredLease) isEvent() {}
func (Settled) isEvent()     {}
func (Entries) isEvent()     {}
func (Tick) isEvent()        {}
func (Drain) isEvent()       {}

// Observer is told of task-level events as they happen, for a time line. It
// must not call the machine. The agent is given by its name.
type Observer interface {
	Placed(s wire.SubmissionID, index int, agent string)
	Result(s wire.SubmissionID, index int, agent string, o wire.Outcome, r wire.Reason)
	Queried(s wire.SubmissionID, index int, agent string)
}

// Action is an output of the machine.
type Action interface{ isAction() }

// Send asks the caller to send a frame to an agent on the link with this epoch.
type Send struct {
	Agent wire.Incarnation
	Epoch wire.Epoch
	Frame *wire.ToAgent
}

// Claim asks the caller to obtain the claim of a submission and to deliver Claimed.
type Claim struct{ Submission wire.SubmissionID }

// Release says that no task of a claimed submission started or will start, so
// that its claim may be given up.
type Release struct{ Submission wire.SubmissionID }

// Answer ends a submission. It is emitted exactly once for each Submit.
type Answer struct {
	Submission wire.SubmissionID
	Answer     JobAnswer
}

// Began says that the first task of a stored job was sent to an agent.
type Began struct{ Job string }

// TaskEnded tells of an end that is to be recorded with its stored job. The
// agent keeps it until Settled.
type TaskEnded struct {
	Agent wire.Incarnation
	End   wire.RunEnd
	// Late says that the task was started again before the end was told of.
	Late bool
}

// LearnedConfig says that an agent has a newer configuration. The caller
// decodes it and delivers Configured.
type LearnedConfig struct {
	Agent wire.Incarnation
	State wire.ConfigState
}

// Drained says that the graceful shutdown is complete. It is emitted once.
type Drained struct{}

func (Send) isAction()          {}
func (Claim) isAction()         {}
func (Release) isAction()       {}
func (Answer) isAction()        {}
func (Began) isAction()         {}
func (TaskEnded) isAction()     {}
func (LearnedConfig) isAction() {}
func (Drained) isAction()       {}

// JobOutcome is how a submission ended.
type JobOutcome uint8

// Outcomes of a submission.
const (
	// Complete: every task succeeded and every result is in the answer.
	Complete JobOutcome = iota + 1
	// Failed: at least one task started; no result is returned.
	Failed
	// Refused: no task started and none will.
	Refused
	// Unknown: the outcome of at least one task is not known.
	Unknown
)

// String returns the outcome's name in replies and logs.
func (o JobOutcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// JobAnswer is the whole answer to one submission.
type JobAnswer struct {
	Outcome JobOutcome
	// Reason is a machine-readable word, empty for Complete.
	Reason string
	// Detail gives the figures that decided a refusal, for the log.
	Detail string
	// RetryAfter is set on Refused if a retry is safe and may succeed.
	RetryAfter time.Duration
	// Results holds one body for each task, in order, for Complete only.
	Results [][]byte
	// Started counts the tasks that are known to have started and ended.
	Started int
	// Unknown counts the tasks whose outcome is not known.
	Unknown int
	// LastStart is when the last run was sent, since the submission arrived, and
	// LongestWait the longest time that one of its tasks was queued at an agent.
	LastStart   time.Duration
	LongestWait time.Duration
	// LongestRun and TotalRun describe the observed run times of the tasks.
	LongestRun time.Duration
	TotalRun   time.Duration
}
