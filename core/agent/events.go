package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// LinkUp says that a connection to an entry is established. A LinkUp whose
// epoch is not above every earlier one of that entry is ignored.
type LinkUp struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
	// ConfigVersion is the version that the entry's hello stated.
	ConfigVersion int64
}

// LinkDown says that the connection with this epoch is closed.
type LinkDown struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
}

// Received delivers one frame. The machine keeps the slices in it.
type Received struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
	Frame *wire.ToAgent
}

// Finished ends a run that a Run action began. It is delivered exactly once
// for each Run.
type Finished struct {
	Attempt    AttemptID
	Outcome    wire.Outcome // NotRun only if the task certainly did not start
	Reason     wire.Reason
	Run        time.Duration
	Status     int // HTTP status of the upstream, 0 if none
	Body       []byte
	Checkpoint string // of a run that did not succeed, see wire.Start.Checkpoint
}

// Probed ends a probe that a Probe action began.
type Probed struct{ Reachable bool }

// Tick lets time-driven work happen. Deliver it every 50 ms or so.
type Tick struct{}

// Retire gives up the link to one entry, because others are preferred. The
// entry is told that the agent is draining; its work is finished first.
type Retire struct{ Entry wire.Incarnation }

// Drain begins the graceful shutdown. Queued tasks are handed back as not run.
type Drain struct{}

func (LinkUp) isEvent()   {}
func (LinkDown) isEvent() {}
func (Received) isEvent() {}
func (Finished) isEvent() {}
func (Probed) isEvent()   {}
func (Tick) isEvent()     {}
func (Retire) isEvent()   {}
func (Drain) isEvent()    {}

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
}

// Stop asks the caller to abandon a run. Finished is still expected.
type Stop struct {
	Attempt AttemptID
	Orphan  bool // the run's entry was not heard for RunLease
}

// Settle says that the end of a stored job's run need not be kept at the worker
// any more.
type Settle struct{ Run wire.RunRef }

// Probe asks the caller to connect to the upstream without sending anything
// and to deliver Probed. At most one probe is in progress.
type Probe struct{}

// Retired says that the entry of a Retire event has settled everything and had
// time to learn of it, so the link may be closed.
type Retired struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
}

// Drained says that no task is queued or running and that every result was
// settled by its entry or the delivery bound passed. It is emitted once.
type Drained struct{}

// Run and Send are emitted as pointers into the records that the machine
// allocates anyway, which keeps the hot path free of further allocations.
func (*Send) isAction()   {}
func (*Run) isAction()    {}
func (Stop) isAction()    {}
func (Settle) isAction()  {}
func (Probe) isAction()   {}
func (Retired) isAction() {}
func (Drained) isAction() {}
