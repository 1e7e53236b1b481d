package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Start requests a run. Exactly one Finished action answers it.
type Start struct {
	Attempt    agent.AttemptID
	Run        wire.RunRef
	Payload    []byte
	Checkpoint string // see wire.Start.Checkpoint
	// PermittedUntil is the time after which the run must not start, see
	// agent.Run.PermittedUntil. 0 means no limit.
	PermittedUntil time.Duration
	// RetainFinishedRun is set for a run of a stored job. If the task succeeds or
	// itself fails, the finished run is retained at the worker, that is, left
	// unacknowledged, until AcknowledgeRun or until the lease has expired.
	RetainFinishedRun bool
}

// Permissions reports until when entries permit their runs, see agent.Permissions.
type Permissions struct{ List []agent.Permission }

// AcknowledgeRun reports that an entry has acknowledged the finished run of a
// stored job, which may then be acknowledged to the worker.
type AcknowledgeRun struct{ Run wire.RunRef }

// SupersedeRun reports that the task of a finished run of a stored job was started
// again before an entry learned of this run. Its outcome does not count, so it may be
// acknowledged only after the lease has expired. The machine lets the lease expire for
// that: see quiescing.
type SupersedeRun struct{ Run wire.RunRef }

// Stop requests the end of a run. It has no effect on a run that is not open.
type Stop struct {
	Attempt agent.AttemptID
	Orphan  bool // the entry that requested the run was lost
	// PermittedUntil is the time until which the run was permitted, see
	// agent.Stop.PermittedUntil. 0 means no limit.
	PermittedUntil time.Duration
}

// StartResult is the worker's answer to a start.
type StartResult uint8

// Values of StartResult.
const (
	// StartAccepted: the worker has the run.
	StartAccepted StartResult = iota + 1
	// StartRefused: this copy of the start did not start the run and never will.
	StartRefused
	// StartUnanswered: the start may have taken effect, or may still do so.
	StartUnanswered
)

// Started reports the result of a CallStart.
type Started struct {
	Run    wire.RunRef
	Result StartResult
	Reason wire.Reason   // set with StartRefused
	Clock  time.Duration // worker's clock, 0 if not known
	// ProcessGone states, with StartRefused, that nothing listens at the worker's address,
	// see Polled.ProcessGone.
	ProcessGone bool
}

// Stopped reports the result of a CallStop.
type Stopped struct {
	Run          wire.RunRef
	Acknowledged bool          // the worker acknowledged the stop
	Clock        time.Duration // worker's clock, 0 if not known
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Values of EndKind.
const (
	EndedSucceeded EndKind = iota + 1 // the task succeeded
	EndedFailed                       // it failed through a fault of the task or of the worker
	EndedStopped                      // it was stopped on request
	// EndedInconclusive: it ended without telling whether the task succeeded. Its
	// lease expired, it was aborted together with others, or the worker's word for
	// its end is unknown.
	EndedInconclusive
)

// EndedRun is an item of the worker's list of ended runs.
type EndedRun struct {
	Number     int // number in the list, ascending from 1
	Run        wire.RunRef
	Kind       EndKind
	Checkpoint string // name of the checkpoint that the worker saved, empty if none
}

// WorkerStatus is the state that a worker reported.
type WorkerStatus struct {
	Incarnation int64         // worker incarnation, 0 if not known
	Clock       time.Duration // reading of the worker's clock, 0 if not known
	Running     []wire.RunRef
	// Checkpoints names the newest checkpoints that the worker saved of runs in
	// progress.
	Checkpoints map[wire.RunRef]string
	Ended       []EndedRun // those with numbers above CallPoll.AckUpTo
	EndedCutOff bool       // Ended may lack the ones with the highest numbers
}

// Polled reports the result of a CallPoll. Status is nil if the worker did not
// answer.
type Polled struct {
	Status *WorkerStatus
	// ProcessGone states that nothing listens at the worker's address: its process has
	// ended. A worker that is frozen or cut off does not answer, but is not gone. No
	// network lies between the agent and its worker that could refuse a connection.
	ProcessGone bool
	// AckWithheld states that the call acknowledged nothing, because it was sent after
	// CallPoll.AckUntil.
	AckWithheld bool
}

// WorkerReplaced reports that another process of the worker has announced itself. The runs
// of the earlier process have ended with it; starts that are not answered may still be
// carried out by the new one.
type WorkerReplaced struct{}

// WorkerFenced reports that a client has taken over a later process of the worker and that
// nothing runs there: no start of this machine can take effect any more.
type WorkerFenced struct {
	Ended []EndedRun // those that the process lists, which are left to that client
}

// Tick triggers time-driven work. Deliver it about every 50 ms.
type Tick struct{}

func (Start) isEvent()          {}
func (Stop) isEvent()           {}
func (Started) isEvent()        {}
func (Stopped) isEvent()        {}
func (Permissions) isEvent()    {}
func (AcknowledgeRun) isEvent() {}
func (SupersedeRun) isEvent()   {}
func (Polled) isEvent()         {}
func (WorkerReplaced) isEvent() {}
func (WorkerFenced) isEvent()   {}
func (Tick) isEvent()           {}

// Action is an output of the machine.
type Action interface{ isAction() }

// CallStart asks the caller to send a start to the worker and to deliver Started.
// The worker must refuse the start once Deadline has passed on its clock.
type CallStart struct {
	Run        wire.RunRef
	Payload    []byte
	Checkpoint string        // checkpoint to resume from, empty for none
	Deadline   time.Duration // on the worker's clock; also renews the lease
	// SendUntil is the time of the machine after which the call must not be sent: the
	// process may have been frozen since it was emitted, and the worker restarted.
	SendUntil time.Duration
}

// CallStop asks the caller to send a stop to the worker and to deliver Stopped.
type CallStop struct{ Run wire.RunRef }

// CallPoll asks the caller to poll the worker's lists and to deliver Polled.
type CallPoll struct {
	AckUpTo int // acknowledges the ended runs up to this number
	// AckUntil is the time of the machine after which the call must acknowledge nothing,
	// see Machine.ackNumber: it may be sent long after it was emitted, because the process
	// was frozen.
	AckUntil time.Duration
	Deadline time.Duration // on the worker's clock; renews the lease until then, 0 for no renewal
	// RenewUntil is the time of the machine after which the call must not renew the lease, see
	// CallStart.SendUntil.
	RenewUntil time.Duration
	MaxWait    time.Duration // how long the worker may wait for a run to end before it answers
}

// Finished reports the outcome of a Start.
type Finished struct {
	Attempt    agent.AttemptID
	Outcome    wire.Outcome
	Reason     wire.Reason
	RunTime    time.Duration // since the run was accepted, or since its last state change if it was not
	Checkpoint string        // newest checkpoint of a run that did not succeed
}

// StartSettled reports that the worker has the run and that no further copy of its start can
// be carried out.
type StartSettled struct{ Attempt agent.AttemptID }

// StartExpired reports that a Start was refused because its permission had expired. Its
// Finished follows.
type StartExpired struct {
	Attempt agent.AttemptID
	Run     wire.RunRef
	Age     time.Duration // since the permission expired
}

// UnrecordedRun reports that a list contains a run that the machine has no record of, and
// that is stopped.
type UnrecordedRun struct{ Run wire.RunRef }

// WorkerRestarted reports that the worker has restarted. The caller should request
// no further run. Runs that reached the new worker incarnation are tracked to their
// end.
type WorkerRestarted struct{ Incarnation int64 } // the new one

// Admission reports whether the worker can take further runs. A Start while it cannot
// is tracked as usual, or ends as not run while the machine lets the lease expire.
type Admission struct {
	Closed         bool
	UnackedRuns    int // ended runs that are not acknowledged
	OpenRuns       int
	SupersededRuns int // those of UnackedRuns that wait for the lease to expire
	// UnansweredStarts is the number of open runs with a start that was left unanswered.
	// They stay open while the worker does not answer.
	UnansweredStarts int
	// LeaseExpiring states that the lease is not renewed because the permission of an
	// open run has expired, and that half of it has passed.
	LeaseExpiring bool
	// LeaseExpired states that the lease has expired, and no list has shown that the runs
	// have ended that were open then.
	LeaseExpired bool
}

func (Admission) isAction()       {}
func (StartSettled) isAction()    {}
func (StartExpired) isAction()    {}
func (UnrecordedRun) isAction()   {}
func (CallStart) isAction()       {}
func (CallStop) isAction()        {}
func (CallPoll) isAction()        {}
func (Finished) isAction()        {}
func (WorkerRestarted) isAction() {}
