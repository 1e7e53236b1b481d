package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// LinkUp reports that a connection to an entry is established. A LinkUp whose
// epoch is not above every earlier epoch of that entry is ignored.
type LinkUp struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
	// HelloSentAt is when the agent sent the hello that the entry answered. The entry
	// was alive then or later. The answer may have waited in the socket while this
	// process was paused, so the time of this event is no evidence. It renews the lease of
	// the entry's runs when the first frame on the connection is received.
	HelloSentAt time.Duration
	// ConfigVersion is the configuration version stated in the entry's hello.
	ConfigVersion int64
	// ReportNeighbours is what the entry's hello states, see wire.EntryHello.
	ReportNeighbours bool
}

// LinkDown reports that the connection with this epoch is closed.
type LinkDown struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
}

// Received delivers one frame. The machine retains the slices in it.
type Received struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
	Frame *wire.ToAgent
}

// Finished reports the end of a run that a Run action requested. It is delivered
// exactly once for each Run.
type Finished struct {
	Attempt    AttemptID
	Outcome    wire.Outcome // NotRun only if it is certain that the task did not start
	Reason     wire.Reason
	RunTime    time.Duration
	Status     int // HTTP status of the upstream, 0 if none
	Body       []byte
	Checkpoint string // saved by a run that did not succeed, see wire.Start.Checkpoint
}

// StartSettled reports of a run in progress that the worker has started it and that no
// further copy of its start can be carried out.
type StartSettled struct{ Attempt AttemptID }

// Probed reports the result of a Probe action.
type Probed struct{ Reachable bool }

// Tick triggers time-driven work. Deliver it about every 50 ms.
type Tick struct{}

// Retire starts a graceful close of the link to one entry, because other entries
// are preferred. The entry is told that the agent is draining. Its queued tasks
// are returned as not run and its running tasks finish first.
type Retire struct{ Entry wire.Incarnation }

// CapacityChanged reports the capacity that the worker announced last.
type CapacityChanged struct {
	Capacity wire.Capacity
	Sequence int64 // of the announcement; an event with a lower one is ignored
}

// AdmissionChanged reports whether the worker can take further runs, apart from its
// capacity: too many of its ended runs may be unacknowledged.
type AdmissionChanged struct{ Closed bool }

// WorkerLeaving reports that the worker has announced that it leaves. When its process
// ends after that, it has not crashed.
type WorkerLeaving struct{}

// EvacuationsListed reports the requests that a ListEvacuations action asked for.
type EvacuationsListed struct {
	Evacuations wire.Evacuations
	RequestedAt time.Duration // when the listing was requested from the store
}

// Drain starts the graceful shutdown. Queued tasks are returned as not run.
type Drain struct{}

func (LinkUp) isEvent()            {}
func (LinkDown) isEvent()          {}
func (Received) isEvent()          {}
func (Finished) isEvent()          {}
func (StartSettled) isEvent()      {}
func (Probed) isEvent()            {}
func (Tick) isEvent()              {}
func (Retire) isEvent()            {}
func (CapacityChanged) isEvent()   {}
func (AdmissionChanged) isEvent()  {}
func (WorkerLeaving) isEvent()     {}
func (EvacuationsListed) isEvent() {}
func (Drain) isEvent()             {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Send asks the caller to send a frame on the named link.
type Send struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
	Frame *wire.ToEntry
}

// Run asks the caller to send the task to the upstream, once, and to deliver
// Finished. The run must end within Timeout. Start must not be read after
// Finished was delivered.
type Run struct {
	Attempt AttemptID
	Start   *wire.Start
	Timeout time.Duration
	// PermittedUntil is the time after which the task must not start, on the clock
	// whose readings are passed to Step: the entry may have given it up by then. 0
	// means no limit.
	PermittedUntil time.Duration
}

// Stop asks the caller to stop a run. Finished is still expected.
type Stop struct {
	Attempt AttemptID
	Orphan  bool // the entry was unresponsive for RunLease
	// PermittedUntil is the time until which the run was permitted, see
	// Run.PermittedUntil. No later sign of life of the entry extends it.
	PermittedUntil time.Duration
}

// AcknowledgeRun reports that an entry has acknowledged a finished run of a stored job,
// so that it may be acknowledged to the worker.
type AcknowledgeRun struct{ Run wire.RunRef }

// SupersedeRun reports that an entry has reported a finished run of a stored job as
// superseded: the worker must not see it acknowledged before the lease of the worker's
// runs has expired.
type SupersedeRun struct{ Run wire.RunRef }

// Permission states until when an entry permits its runs, on the clock whose readings are
// passed to Step.
type Permission struct {
	Entry wire.Incarnation
	Until time.Duration
}

// Permissions reports the permissions that have changed of entries with runs in
// progress. The caller must keep it in order with Run and Stop. Without RunLease it is
// never emitted.
type Permissions struct{ List []Permission }

// Probe asks the caller to connect to the upstream without sending anything
// and to deliver Probed. At most one probe is in progress.
type Probe struct{}

// CapacityGrown reports that the worker has more than the capacity that was stated to
// entries, or was when the agent began. They must be told over new links.
type CapacityGrown struct{ Capacity wire.Capacity }

// ListEvacuations asks the caller to list the requests to evacuate zones and to deliver
// EvacuationsListed. A listing that fails needs no event: the action is repeated.
type ListEvacuations struct{}

// Retired reports that the entry of a Retire event has settled all its attempts
// and that DrainLinger has passed, so the link may be closed.
type Retired struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
}

// Drained reports that no task is queued or running and that the entries have
// settled every result or DrainSettleTimeout has passed. It is emitted once.
type Drained struct{}

// Run and Send are emitted as pointers into records that the machine allocates
// anyway, so that the hot path needs no further allocations.
func (*Send) isAction()           {}
func (*Run) isAction()            {}
func (Stop) isAction()            {}
func (AcknowledgeRun) isAction()  {}
func (SupersedeRun) isAction()    {}
func (Permissions) isAction()     {}
func (Probe) isAction()           {}
func (CapacityGrown) isAction()   {}
func (ListEvacuations) isAction() {}
func (Retired) isAction()         {}
func (Drained) isAction()         {}
