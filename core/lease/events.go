package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Start asks for a run. It is ended by one Finished action.
type Start struct {
	Attempt    agent.AttemptID
	Run        wire.RunRef
	Spec       []byte // what the worker is to run
	Checkpoint string // see wire.Start.Checkpoint
	// Stored says that the end, if it tells of the task, is left unacknowledged
	// at the worker until Settle or until the lease has passed.
	Stored bool
}

// Settle releases an end that was kept.
type Settle struct{ Run wire.RunRef }

// Stop asks for the end of a run. A run that has finished is left alone.
type Stop struct {
	Attempt agent.AttemptID
	Orphan  bool // the entry that asked for the run was lost
}

// Verdict is the worker's answer to a start.
type Verdict uint8

// Values of Verdict.
const (
	// Accepted: the run is there.
	Accepted Verdict = iota + 1
	// Refused: the run was not started and this start never will start it.
	Refused
	// NoAnswer: the start may have been carried out, or may be later.
	NoAnswer
)

// Started ends a CallStart.
type Started struct {
	Run     wire.RunRef
	Verdict Verdict
	Reason  wire.Reason   // with Refused
	Clock   time.Duration // worker's clock, 0 if not told
}

// Stopped ends a CallStop.
type Stopped struct {
	Run   wire.RunRef
	Done  bool          // the worker acknowledged the stop
	Clock time.Duration // worker's clock, 0 if not told
}

// How is how a run ended.
type How uint8

// Values of How.
const (
	EndedDone    How = iota + 1
	EndedFailed      // through its own fault or the worker's
	EndedStopped     // a stop was carried out
	EndedLapsed      // its lease passed, or it was broken off with others
)

// End is one entry of the worker's list of ended runs.
type End struct {
	N          int // position, from 1, rising
	Run        wire.RunRef
	How        How
	Checkpoint string // progress that the worker saved, empty for none
}

// View is what a worker told of itself.
type View struct {
	Life    int64         // identity of its incarnation
	Clock   time.Duration // its own clock
	Running []wire.RunRef
	// Checkpoints name the progress that the worker saved of what runs, where it did.
	Checkpoints map[wire.RunRef]string
	Ended       []End // after CallLook.LastSeen
}

// Looked ends a CallLook. View is nil if the worker did not answer.
type Looked struct{ View *View }

// Tick lets time-driven work happen. Deliver it every 50 ms or so.
type Tick struct{}

func (Start) isEvent()   {}
func (Stop) isEvent()    {}
func (Started) isEvent() {}
func (Stopped) isEvent() {}
func (Settle) isEvent()  {}
func (Looked) isEvent()  {}
func (Tick) isEvent()    {}

// Action is an output of the machine.
type Action interface{ isAction() }

// CallStart asks the caller to send a start and to deliver Started. The worker
// must refuse it once Deadline has passed on its clock.
type CallStart struct {
	Run        wire.RunRef
	Spec       []byte
	Checkpoint string        // progress to go on from
	Deadline   time.Duration // on the worker's clock; renews the lease as well
}

// CallStop asks the caller to send a stop and to deliver Stopped.
type CallStop struct{ Run wire.RunRef }

// CallLook asks the caller to read the worker's lists and to deliver Looked.
type CallLook struct {
	LastSeen int           // ends up to it need not be told again
	Deadline time.Duration // renews the lease until then, 0 if it is not needed
	Wait     time.Duration // the worker may wait that long for an end
}

// Finished ends a Start.
type Finished struct {
	Attempt    agent.AttemptID
	Outcome    wire.Outcome
	Reason     wire.Reason
	Run        time.Duration // since the run was accepted
	Checkpoint string        // newest progress that the worker saved of a run that did not succeed
}

// WorkerGone says that the worker has started anew. No further run should be
// asked for; those that reached the new life are followed to their end.
type WorkerGone struct{}

func (CallStart) isAction()  {}
func (CallStop) isAction()   {}
func (CallLook) isAction()   {}
func (Finished) isAction()   {}
func (WorkerGone) isAction() {}
