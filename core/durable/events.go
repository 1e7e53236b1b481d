package durable

import (
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Read delivers records of the log: the newest of every key at first and after a
// gap, otherwise what came after the last read, in the order of the log.
type Read struct {
	Records []Record
	Whole   bool // Records holds the newest of every key
	// Asked is when the read was sent: the view is at least as new.
	Asked time.Duration
}

// Submit offers a job. It is answered by one Reply.
type Submit struct {
	Token uint64
	Spec  Spec
}

// Cancel asks for the end of a job. It is answered by one Reply.
type Cancel struct {
	Token uint64
	Job   string
}

// Appended ends an Append.
type Appended struct {
	Outcome AppendOutcome
	// Sent is when the append was sent first.
	Sent time.Duration
}

// AppendOutcome is what became of an append. An append without an answer is
// sent again until one of these is known.
type AppendOutcome uint8

// Values of AppendOutcome.
const (
	// Recorded: the records are in the log, once.
	Recorded AppendOutcome = iota + 1
	// NotRecorded: the records are not in the log and will not be.
	NotRecorded
	// Superseded: another process fenced this one off. Its jobs are no longer its
	// own, and the machine must be replaced by one with a new incarnation.
	Superseded
)

// Fenced ends a Fence.
type Fenced struct {
	From wire.Incarnation
	Done bool
}

// Began says that the first task of a driven job was started.
type Began struct{ Job string }

// TaskEnded tells of the end of a run.
type TaskEnded struct {
	Agent wire.Incarnation
	End   wire.RunEnd
	Late  bool // the task was started again before the end was told of
}

// Ended says that a driven job has ended or was halted, and runs no more.
type Ended struct {
	Job     string
	Outcome entry.JobOutcome
	Reason  string
}

// Leave asks to hand the jobs over. Left is emitted once that is recorded.
type Leave struct{}

// Tick lets time-driven work happen. Deliver it every 50 ms or so.
type Tick struct{}

func (Read) isEvent()      {}
func (Submit) isEvent()    {}
func (Cancel) isEvent()    {}
func (Appended) isEvent()  {}
func (Fenced) isEvent()    {}
func (Began) isEvent()     {}
func (TaskEnded) isEvent() {}
func (Ended) isEvent()     {}
func (Leave) isEvent()     {}
func (Tick) isEvent()      {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Append asks to append the records in one piece and to deliver Appended. One
// append is in progress at a time.
type Append struct{ Records []Record }

// Fence asks the log to refuse every later append of a process and to deliver
// Fenced.
type Fence struct{ From wire.Incarnation }

// Drive asks to run a job and to deliver Began, TaskEnded and Ended.
type Drive struct {
	Spec     *Spec
	Progress []entry.TaskProgress
	RunBase  int
}

// Halt asks to stop the runs of a driven job; Ended is still delivered.
type Halt struct{ Job string }

// Leased says until when this process may start tasks of its jobs. Whoever runs
// them must hold to it by itself: a process that was paused may be given results
// before this machine is stepped again.
type Leased struct{ Until time.Duration }

// Settle says that the ends need not be kept any more.
type Settle struct {
	Agent wire.Incarnation
	Runs  []wire.RunRef
	// Void says that the ends came too late to count: their tasks were started
	// again. They are to be forgotten only once the lease of the runs has passed.
	Void bool
}

// Reply answers Submit and Cancel.
type Reply struct {
	Token   uint64
	Verdict Verdict
}

// Verdict is the answer to a caller.
type Verdict uint8

// Values of Verdict.
const (
	// Stored: the job, or its cancellation, is recorded.
	Stored Verdict = iota + 1
	// Full: the job is not recorded and never runs, there are too many.
	Full
	// Unavailable: nothing is recorded, the log does not take records.
	Unavailable
	// Unknown: no such job is recorded.
	Unknown
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	names := [...]string{"no_answer", "stored", "full", "unavailable", "unknown"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Left says that the jobs were handed over.
type Left struct{}

// Unreadable reports a record that was skipped.
type Unreadable struct{ Err error }

// Moved reports that the jobs of another process are now driven here.
type Moved struct {
	From Owner
	Jobs int
}

func (Append) isAction()     {}
func (Fence) isAction()      {}
func (Drive) isAction()      {}
func (Halt) isAction()       {}
func (Leased) isAction()     {}
func (Settle) isAction()     {}
func (Reply) isAction()      {}
func (Left) isAction()       {}
func (Unreadable) isAction() {}
func (Moved) isAction()      {}
