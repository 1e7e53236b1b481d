package durable

import (
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Read delivers records of the log: the newest record of every key for the
// first read and after a gap, otherwise the records since the last read, in the
// order of the log.
type Read struct {
	Records  []Record
	Snapshot bool // Records holds the newest record of every key
	// RequestedAt is when the read was sent. Unless the read is cut off, the view
	// contains all records up to then.
	RequestedAt time.Duration
	// CutOff states that the log holds further records, which did not fit in the read.
	// Nothing can be concluded from a record that the view lacks.
	CutOff bool
}

// Submit submits a job. It is answered by one Reply.
type Submit struct {
	Token uint64 // chosen by the sender; the Reply carries it
	Spec  Spec
}

// Cancel requests the cancellation of a job. It is answered by one Reply. The
// cancellation is recorded in the log and ends the job for good, whichever process
// owns it, unless the job completes first. Halt, in contrast, only ends a drive.
type Cancel struct {
	Token uint64 // chosen by the sender; the Reply carries it
	Job   string
}

// UnresolvedRequest delivers a Submit or Cancel to the machine that replaces a fenced-off
// one, which had sent its record without learning whether the log holds it. The log takes
// that record no more, so a later read decides. See Machine.UnresolvedRequests.
type UnresolvedRequest struct {
	Request Event // Submit or Cancel
	// SentAt is when the record was first sent.
	SentAt time.Duration
}

// Appended reports the outcome of an Append.
type Appended struct {
	Outcome AppendOutcome
	// SentAt is when the append was first sent.
	SentAt time.Duration
}

// AppendOutcome is the final outcome of an append. An append without an answer
// is retried until its outcome is known.
type AppendOutcome uint8

// Values of AppendOutcome.
const (
	// Recorded: the records are in the log, once.
	Recorded AppendOutcome = iota + 1
	// NotRecorded: the records are not in the log and never will be.
	NotRecorded
	// FencedOff: the records are not in the log and never will be, because another
	// process has fenced this one off and takes over its jobs. The machine must be
	// replaced by one with a new incarnation.
	FencedOff
	// FencedOffUnresolved is FencedOff after an attempt without an answer, which the
	// log may have carried out before the fence.
	FencedOffUnresolved
)

// String returns the name used in logs.
func (o AppendOutcome) String() string {
	names := [...]string{"", "recorded", "not_recorded", "fenced_off", "fenced_off_unresolved"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Fenced reports the outcome of a Fence.
type Fenced struct {
	Writer wire.Incarnation
	Done   bool // false if the call failed; the fence may be in effect nevertheless
}

// JobStarted reports that the first task of a driven job was started.
type JobStarted struct{ Job string }

// ClassFound reports the published class of a driven job whose Spec.Published is not known.
type ClassFound struct {
	Job   string
	Class policy.Class
}

// RunFinished reports a finished run.
type RunFinished struct {
	Agent      wire.Incarnation
	Run        wire.FinishedRun
	Superseded bool // the task was started again before this run was reported
}

// RunCrashed reports that a worker crashed under a run of a driven job.
type RunCrashed struct {
	Run     wire.RunRef
	Crashes int // runs of the task under which a worker crashed so far
}

// RunRepeated reports that the task of a lost run was started again. If that run turns out
// to have finished, it does not count, whichever process owns the job.
type RunRepeated struct{ Run wire.RunRef }

// DriveEnded reports that the drive of a job is over, because the job has ended or
// was halted. Nothing of it runs any more.
type DriveEnded struct {
	Job     string
	Outcome entry.JobOutcome
	Reason  string
}

// Leave requests a handover of the jobs to other processes. Left is emitted
// once the handover is recorded.
type Leave struct{}

// Tick triggers work that depends on the time. Deliver it about every 50 ms.
type Tick struct{}

func (Read) isEvent()              {}
func (Submit) isEvent()            {}
func (Cancel) isEvent()            {}
func (UnresolvedRequest) isEvent() {}
func (Appended) isEvent()          {}
func (Fenced) isEvent()            {}
func (JobStarted) isEvent()        {}
func (RunFinished) isEvent()       {}
func (RunCrashed) isEvent()        {}
func (RunRepeated) isEvent()       {}
func (ClassFound) isEvent()        {}
func (DriveEnded) isEvent()        {}
func (Leave) isEvent()             {}
func (Tick) isEvent()              {}

// Action is an output of the machine.
type Action interface{ isAction() }

// Append requests an append of all records as one unit; deliver Appended. At
// most one append is in flight.
type Append struct{ Records []Record }

// Fence requests that the log refuse every later append of a process; deliver
// Fenced.
type Fence struct{ Writer wire.Incarnation }

// Drive requests that a job be run. Deliver the start of its first task, each
// finished run and the end of the drive as events.
type Drive struct {
	Spec     *Spec
	Progress []entry.TaskProgress // of each task, ordered by occurrence, step and index
	RunBase  int                  // the run numbers of this drive are higher
}

// Halt requests the end of the drive of a job: its runs are to be stopped, and
// DriveEnded must still be delivered. It does not cancel the job: a job that has
// not ended by then is driven again, by this process or by its next owner, unless
// its cancellation is recorded.
type Halt struct{ Job string }

// LeaseRenewed states until when this process may start tasks of its jobs. Whoever
// runs them must enforce this itself: after a pause of the process it may
// receive results before this machine is stepped again.
type LeaseRenewed struct{ Until time.Duration }

// Acknowledge acknowledges finished runs: their agent need not retain them any more.
type Acknowledge struct {
	Agent wire.Incarnation
	Runs  []wire.RunRef
	// Superseded reports that the runs finished too late to count, because their tasks
	// were started again. They may be released only after the lease of the runs has
	// expired.
	Superseded bool
}

// Reply answers Submit and Cancel.
type Reply struct {
	Token  uint64
	Result Result
}

// Result is the answer to a caller. The zero value stands for no answer.
type Result uint8

// Values of Result.
const (
	// Stored: the job, or its cancellation, is recorded.
	Stored Result = iota + 1
	// Full: the job is not recorded and never runs, because this process owns too
	// many jobs.
	Full
	// Unavailable: nothing is recorded, because the log does not accept records.
	Unavailable
	// Unknown: no such job is recorded.
	Unknown
)

// String returns the name used in logs.
func (r Result) String() string {
	names := [...]string{"no_answer", "stored", "full", "unavailable", "unknown"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Left reports that the jobs were handed over.
type Left struct{}

// Undecodable reports an undecodable record, which was skipped.
type Undecodable struct{ Err error }

// TakenOver reports that this process has taken over the jobs of another one.
type TakenOver struct {
	From ProcessID
	Jobs int
}

// DrivesRefused reports that the drives of a job are refused one after the other.
type DrivesRefused struct{ Job, Class, Reason string }

func (Append) isAction()        {}
func (Fence) isAction()         {}
func (Drive) isAction()         {}
func (Halt) isAction()          {}
func (LeaseRenewed) isAction()  {}
func (Acknowledge) isAction()   {}
func (Reply) isAction()         {}
func (Left) isAction()          {}
func (Undecodable) isAction()   {}
func (TakenOver) isAction()     {}
func (DrivesRefused) isAction() {}
