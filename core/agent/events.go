package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// LinkUp says that a connection to an entry is established. The caller must
// have stopped reading every older connection to the same entry incarnation.
type LinkUp struct {
	Entry wire.Incarnation
	Epoch wire.Epoch
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
	Attempt AttemptID
	Outcome wire.Outcome // NotRun only if no byte of the request was sent
	Reason  wire.Reason
	Run     time.Duration
	Status  int
	Body    []byte
}

// Tick lets time-driven work happen. Deliver it every 50 ms or so.
type Tick struct{}

// Drain begins the graceful shutdown. Queued tasks are handed back as not run.
type Drain struct{}

func (LinkUp) isEvent()   {}
func (LinkDown) isEvent() {}
func (Received) isEvent() {}
func (Finished) isEvent() {}
func (Tick) isEvent()     {}
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
// Finished. The run must end within Timeout.
type Run struct {
	Attempt AttemptID
	Start   wire.Start
	Timeout time.Duration
}

// Stop asks the caller to abandon a run. Finished is still expected.
type Stop struct{ Attempt AttemptID }

// Drained says that no task is queued or running and every result was handed
// to a link or its entry is gone. It is emitted once.
type Drained struct{}

func (Send) isAction()    {}
func (Run) isAction()     {}
func (Stop) isAction()    {}
func (Drained) isAction() {}
