package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/interference"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Submit offers a new job. The machine answers it with one Answer action.
type Submit struct {
	Submission wire.SubmissionID
	Class      string
	Team       string
	// Deadline is the time from ReceivedAt until the caller stops waiting.
	Deadline time.Duration
	// ReceivedAt is when the job was received, on the machine's clock. 0 means now.
	ReceivedAt time.Duration
	// NeedsClaim states that the submission needs a claim before any of its tasks
	// may start: the machine requests the claim and waits for its outcome.
	NeedsClaim      bool
	Need            wire.Capacity
	DeclaredRunTime time.Duration // run time of the longest task, 0 if not known
	Payloads        [][]byte      // one for each task
	// Steps divides the tasks, in their order, into steps of similar tasks that
	// may depend on each other. Empty means one step with the submission's own
	// need and declared run time.
	Steps []Step
	// Job is the caller's name for the job, which is passed on to the upstreams.
	// It is empty if the caller gave none.
	Job string
	// MaxFailedRuns is how many runs of one task may fail before the job fails. A
	// task runs again only after its previous run is known to have ended. 0 and
	// 1 both allow a single run, regardless of its outcome.
	MaxFailedRuns int
	// Stored states that the job was accepted and recorded before. A stored job
	// is not refused for load and has no deadline, and its tasks are repeated
	// until they succeed or have failed MaxFailedRuns times. Job must be set.
	Stored bool
	// StoredClass defines the class of a stored job if Class may not be published. Its name
	// must be Class.
	StoredClass policy.Class
	// LongRunning states that a stored job runs until it is cancelled: each task is
	// started again however its run ends.
	LongRunning bool
	// Occurrences are the times, on the machine's clock, before which no task
	// of each occurrence of a recurring job may start. Every occurrence has all
	// Steps; Payloads and Progress list the tasks of one occurrence after the
	// other. Empty means one occurrence that is due now. If it is set, so must
	// be Steps.
	Occurrences []time.Duration
	// Progress is the recorded progress of a stored job's tasks, in the order of
	// the tasks; empty if none is recorded.
	Progress []TaskProgress
	// RunBase is added to the run numbers, which must keep rising when another
	// entry becomes the owner of the job.
	RunBase int
}

// TaskProgress is the recorded progress of one task of a stored job.
type TaskProgress struct {
	Done       bool
	Failures   int    // runs that failed
	Crashes    int    // runs under which a worker crashed
	Checkpoint string // latest checkpoint that a worker saved, see wire.Start.Checkpoint
}

// Step is a group of similar tasks of a job.
type Step struct {
	Tasks           int
	Need            wire.Capacity // of each task
	DeclaredRunTime time.Duration // run time of the longest task, 0 if not known
	// DependsOn lists the earlier steps, numbered from 0, whose tasks must all have
	// succeeded before a task of this step may start.
	DependsOn []int
	// RequiredLabel is a label that the worker must have, empty for none.
	RequiredLabel string
	// MaxPerWorker bounds how many of the step's tasks run on one worker at a
	// time, 0 for no bound.
	MaxPerWorker int
	// Gang states that the tasks form a gang: they run at the same time or not
	// at all, and the success of one counts for all.
	Gang bool
	// SameRack states that the tasks are slower if they run in different racks.
	SameRack bool
	// DataRack is the rack closest to the data, empty for none.
	DataRack string
}

// ClaimResolved reports the outcome of a submission's claim. It is delivered
// exactly once for each requested claim.
type ClaimResolved struct {
	Submission wire.SubmissionID
	Won        bool
	// Reason is the caller-visible reason if the claim was not won.
	Reason string
	// MayHaveRun states that the work under the claimed key may have run for
	// another submission, so the answer must be Unknown instead of Refused.
	MayHaveRun bool
	RetryAfter time.Duration
}

// CancelJob cancels a submission.
type CancelJob struct{ Submission wire.SubmissionID }

// LinkUp reports that an agent's connection is established.
type LinkUp struct{ Hello wire.AgentHello }

// LinkDown reports that the connection with this epoch is closed.
type LinkDown struct {
	Agent wire.Incarnation
	Epoch wire.Epoch
}

// Received delivers one frame from an agent.
type Received struct {
	Agent wire.Incarnation
	Epoch wire.Epoch
	Frame *wire.ToEntry
	// CallersChecked states that the callers were looked at after the frame had arrived,
	// see the event CallersChecked.
	CallersChecked bool
}

// AgentReplaced reports that an agent incarnation is gone for good, for instance
// because its worker announced a new incarnation.
type AgentReplaced struct{ Agent wire.Incarnation }

// Configured replaces the scheduler's settings. It has no effect if Version is
// lower than the version of the current configuration.
type Configured struct {
	Settings policy.Settings
	Version  int64
	// State is the encoded configuration for agents, empty if there is none.
	State []byte
	// Delta is the part of State that changed after BaseVersion, empty if it is not
	// known. Agents that have that version or a later one are sent only Delta.
	Delta       []byte
	BaseVersion int64
}

// EvacuationsRead reports a successful read of the requests to evacuate zones.
type EvacuationsRead struct {
	// Evacuations is the state after the read, nil if it is the same as before. It has no
	// effect if it is not newer than the current one.
	Evacuations *wire.Evacuations
	// RequestedAt is when the read was requested, on the machine's clock. Every request to
	// evacuate a zone from before that is part of the state, unless Partial is set.
	RequestedAt time.Duration
	Partial     bool
}

// StoredLease extends the time until which the entry may start tasks of stored
// jobs. Those still in progress at that time are ended, because another entry
// may own them by then.
type StoredLease struct{ Until time.Duration }

// AcknowledgedRuns names finished runs of stored jobs that have been recorded or
// need not be. The agent that retains them may then release them.
type AcknowledgedRuns struct {
	Agent wire.Incarnation
	Runs  []wire.RunRef
	// Superseded states that the runs finished too late to count, see
	// wire.ToAgent.SupersededRuns.
	Superseded bool
}

// EntriesChanged replaces the list of entries that is sent to the agents.
type EntriesChanged struct{ List []wire.EntryAddr }

// Tick triggers time-driven work. It should be delivered about every 10 ms.
type Tick struct {
	// MadeAt is when the tick was made, on the machine's clock: a tick that waited in a
	// queue while the process was paused does not count towards SettleTicks. 0 means now.
	// A tick of a timer for NextRetry should state when the timer was set.
	MadeAt time.Duration
}

// Drain begins the graceful shutdown: new jobs are refused as not run.
type Drain struct{}

// CallersChecked reports that after all earlier events the connections of all callers of
// jobs that are not stored were looked at, and that the jobs whose callers had left were
// cancelled by earlier events. With Options.ResendDelay it should be delivered before each
// Tick: without it, the lease of the runs at the agents is not renewed.
type CallersChecked struct{}

func (Submit) isEvent()           {}
func (ClaimResolved) isEvent()    {}
func (CancelJob) isEvent()        {}
func (LinkUp) isEvent()           {}
func (LinkDown) isEvent()         {}
func (Received) isEvent()         {}
func (AgentReplaced) isEvent()    {}
func (Configured) isEvent()       {}
func (EvacuationsRead) isEvent()  {}
func (StoredLease) isEvent()      {}
func (AcknowledgedRuns) isEvent() {}
func (EntriesChanged) isEvent()   {}
func (Tick) isEvent()             {}
func (Drain) isEvent()            {}
func (CallersChecked) isEvent()   {}

// Observer is notified of task-level events as they happen, for the timeline.
// It must not call the machine. The agent is given by its name.
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

// RequestClaim asks the caller to obtain the claim of a submission and to deliver
// ClaimResolved.
type RequestClaim struct{ Submission wire.SubmissionID }

// ReleaseClaim asks the caller to release the claim of a submission, none of whose
// tasks started or will start.
type ReleaseClaim struct{ Submission wire.SubmissionID }

// Answer ends a submission. It is emitted exactly once for each Submit.
type Answer struct {
	Submission wire.SubmissionID
	Answer     JobAnswer
}

// JobStarted reports that the first task of a stored job was sent to an agent.
type JobStarted struct{ Job string }

// RunFinished reports a finished run that is to be recorded with its stored job.
// The agent retains it until it is acknowledged.
type RunFinished struct {
	Agent wire.Incarnation
	Run   wire.FinishedRun
	// Superseded states that the task was started again before the entry learned of
	// the finished run.
	Superseded bool
}

// RunCrashed reports that a worker crashed under a run of a stored job, which is to be
// recorded with the job.
type RunCrashed struct {
	Run     wire.RunRef
	Crashes int // runs of the task under which a worker crashed so far
}

// RunRepeated reports that the task of a lost run of a stored job was started again. This
// is to be recorded with the job: the lost run may have succeeded, and the next owner of
// the job must not count it.
type RunRepeated struct{ Run wire.RunRef }

// NewerConfig reports that an agent has a newer configuration. The caller
// decodes it and delivers Configured.
type NewerConfig struct {
	Agent wire.Incarnation
	State wire.ConfigState
}

// VersionAnnounced reports that an agent has a version of the configuration that is
// newer than this entry's and than all that were announced before.
type VersionAnnounced struct {
	Agent   string // name of the agent
	Version int64
	Current int64 // this entry's version
}

// EvacuationsChanged reports that the set of the evacuated zones has changed.
type EvacuationsChanged struct {
	Agent       string // name of the agent that the state came from, empty if it was read
	Before      []string
	Evacuations wire.Evacuations
	ReadAge     time.Duration // since the last read by this entry, 0 if there was none
}

// ContainmentChanged reports that the scheduler has contained a class, because its jobs
// make workers crash, or has released it.
type ContainmentChanged struct {
	Class     string
	Contained bool
}

// InterferenceChanged reports a pair of classes that the scheduler has found to slow each
// other down, or no longer finds.
type InterferenceChanged struct{ interference.Change }

// Paused reports that the process was paused, so that starts are held back for a short
// time.
type Paused struct {
	Duration time.Duration
	// Jobs is the number of jobs of which nothing more is started, because their callers
	// may have sent them again.
	Jobs int
}

// Drained reports that the graceful shutdown is complete. It is emitted once.
type Drained struct{}

func (Send) isAction()                {}
func (RequestClaim) isAction()        {}
func (ReleaseClaim) isAction()        {}
func (Answer) isAction()              {}
func (JobStarted) isAction()          {}
func (RunFinished) isAction()         {}
func (RunCrashed) isAction()          {}
func (RunRepeated) isAction()         {}
func (NewerConfig) isAction()         {}
func (VersionAnnounced) isAction()    {}
func (EvacuationsChanged) isAction()  {}
func (ContainmentChanged) isAction()  {}
func (InterferenceChanged) isAction() {}
func (Paused) isAction()              {}
func (Drained) isAction()             {}

// JobOutcome is how a submission ended.
type JobOutcome uint8

// Outcomes of a submission.
const (
	// Complete: every task succeeded and every result is in the answer.
	Complete JobOutcome = iota + 1
	// Failed: at least one task started; no results are returned.
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

// JobAnswer is the complete answer to one submission.
type JobAnswer struct {
	Outcome JobOutcome
	// Reason is a machine-readable name, empty for Complete.
	Reason string
	// Detail gives the figures behind a refusal or a failed task, for the log.
	Detail string
	// RetryAfter is set on Refused if a retry is safe and may succeed.
	RetryAfter time.Duration
	// Results holds the result of each task, in order. It is set for Complete
	// only.
	Results [][]byte
	// Started counts the tasks that are known to have started and ended.
	Started int
	// Unknown counts the tasks whose outcome is not known.
	Unknown int
	// LastStart is the time from the arrival of the submission to its last
	// start, and LongestWait the longest time that one of its tasks was queued
	// at an agent.
	LastStart   time.Duration
	LongestWait time.Duration
	// LongestRun and TotalRun describe the observed run times of the tasks.
	LongestRun time.Duration
	TotalRun   time.Duration
}
