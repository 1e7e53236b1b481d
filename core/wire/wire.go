// Package wire defines the messages that an entry and an agent exchange, and
// the identities and outcomes that both sides share.
//
// The package holds types only. Encoding and transport are in internal/link.
// Every duration on the wire is relative ("time left"), in microseconds, so no
// two clocks are ever compared.
package wire

import (
	"encoding/hex"
	"fmt"
	"time"
)

// ProtocolVersion is the version of the peer protocol that this code speaks.
const ProtocolVersion = 4

// Limits that both ends enforce on decoded messages.
const (
	// MaxTasksPerJob is the largest number of tasks in one job.
	MaxTasksPerJob = 570
	// MaxOccurrences is the largest number of occurrences of a job that recurs.
	MaxOccurrences = 4096
	// MaxCheckpointBytes bounds the name of saved progress.
	MaxCheckpointBytes = 1024
	// MaxFrameBytes is the largest encoded frame, header excluded.
	MaxFrameBytes = 4 << 20
	// MaxKnownEntries bounds the entry list carried in a hello.
	MaxKnownEntries = 64
	// MaxHeldEnds bounds the ends of runs that an agent keeps for stored jobs.
	MaxHeldEnds = 4096
	// MaxConfigBytes bounds the encoded state in a ConfigState.
	MaxConfigBytes = 1 << 20
	// MaxMicros bounds a duration on the wire to about a year, so that adding
	// one to a process time cannot overflow.
	MaxMicros Micros = 365 * 24 * 3600 * 1_000_000
)

// Incarnation identifies one run of one process. It is never zero and never
// reused: a restarted process has a new incarnation.
type Incarnation uint64

// Seq numbers the attempts of one entry incarnation, strictly increasing.
type Seq uint64

// Epoch numbers the connections of one agent incarnation, strictly increasing
// over all entries: an agent cannot tell beforehand which entry it will reach.
type Epoch uint64

// SubmissionID identifies one submission of one job.
type SubmissionID [16]byte

// String returns the identifier as 32 hexadecimal digits.
func (s SubmissionID) String() string { return hex.EncodeToString(s[:]) }

// ParseSubmissionID parses the form returned by String.
func ParseSubmissionID(text string) (SubmissionID, error) {
	var id SubmissionID
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("submission id %q: want %d hexadecimal digits", text, 2*len(id))
	}
	copy(id[:], b)
	return id, nil
}

// Micros is a duration in microseconds, as carried on the wire.
type Micros int64

// Duration converts m to a time.Duration, limited to MaxMicros either way.
func (m Micros) Duration() time.Duration {
	return time.Duration(max(-MaxMicros, min(m, MaxMicros))) * time.Microsecond
}

// MicrosOf converts a time.Duration, rounding towards zero.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Outcome is how one attempt of a task ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Succeeded: the upstream ran the task and returned its result.
	Succeeded Outcome = iota + 1
	// Failed: the upstream ran the task and reported an error.
	Failed
	// NotRun: the task was not started by this attempt and never will be.
	NotRun
	// Unknown: the task was or may have been started; no result is known.
	Unknown
)

// String returns the outcome's name as used in logs and in caller replies.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Reason refines an outcome.
type Reason uint8

// Reasons for the outcomes NotRun, Failed and Unknown.
const (
	ReasonNone Reason = iota
	// ReasonBusy: the expected wait at the agent exceeded the start's MaxWait.
	ReasonBusy
	// ReasonDraining: the agent is leaving.
	ReasonDraining
	// ReasonExpired: the deadline passed before the start.
	ReasonExpired
	// ReasonCancelled: a cancel arrived before the start.
	ReasonCancelled
	// ReasonUpstreamDown: the upstream refused the connection.
	ReasonUpstreamDown
	// ReasonSuspect: the agent limits starts because its upstream keeps failing.
	ReasonSuspect
	// ReasonNotReceived: a query named an attempt that the agent never received.
	ReasonNotReceived
	// ReasonStaleSeq: the attempt's number is below the floor or was refused before.
	ReasonStaleSeq
	// ReasonUpstreamError: the upstream answered with an error status.
	ReasonUpstreamError
	// ReasonRunLimit: the run was stopped at the task's deadline.
	ReasonRunLimit
	// ReasonConnectionLost: the connection to the upstream broke after the request was sent.
	ReasonConnectionLost
	// ReasonAgentLost: the agent's incarnation is gone or unreachable.
	ReasonAgentLost
	// ReasonStopped: the run was stopped by a cancel.
	ReasonStopped
	// ReasonResultLost: the run ended, but its result was dropped to bound memory.
	ReasonResultLost
	// ReasonNoRoom: the worker has not enough free capacity for the task.
	ReasonNoRoom
	// ReasonStaleRun: the worker knows a later run of the task. The next attempt
	// needs a higher run number.
	ReasonStaleRun
	// ReasonRunEnded: the run ended with its worker or its lease, and is known
	// not to run any more.
	ReasonRunEnded
	// ReasonStuck: the run was stopped because it stood still. Entries use it; it
	// is not sent.
	ReasonStuck
)

var reasonNames = [...]string{
	"none", "busy", "draining", "expired", "cancelled", "upstream_down", "suspect",
	"not_received", "stale_seq", "upstream_error", "run_limit", "connection_lost",
	"agent_lost", "stopped", "result_lost", "no_room", "stale_run", "run_ended", "stuck",
}

// String returns the reason's machine-readable name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Capacity is what one worker offers or one task needs. Zero means "not stated".
type Capacity struct {
	_            struct{} `cbor:",toarray"`
	MilliCores   int64    // thousandths of a processor core
	MemoryMB     int64    // MiB
	Accelerators int64    // whole devices
}

// Fits reports whether need can be met by a worker that offers c.
// A dimension that the worker does not state is not checked.
func (c Capacity) Fits(need Capacity) bool {
	return fits(c.MilliCores, need.MilliCores) &&
		fits(c.MemoryMB, need.MemoryMB) &&
		(need.Accelerators <= c.Accelerators)
}

func fits(offer, need int64) bool { return offer == 0 || need <= offer }

// Share returns the largest share, 0 to 1 and above, that need takes of any
// dimension of c, and false if no dimension is stated on both sides.
func (c Capacity) Share(need Capacity) (share float64, ok bool) {
	for _, d := range [...][2]int64{
		{c.MilliCores, need.MilliCores}, {c.MemoryMB, need.MemoryMB}, {c.Accelerators, need.Accelerators},
	} {
		if d[0] > 0 && d[1] > 0 {
			share = max(share, float64(d[1])/float64(d[0]))
			ok = true
		}
	}
	return share, ok
}

// SlotsOf returns how many of the worker's slots a task takes: its share of the
// worker's capacity, or one slot if its need or the capacity is not stated.
func (c Capacity) SlotsOf(need Capacity, slots int) float64 {
	share, ok := c.Share(need)
	if !ok {
		return 1
	}
	return share * float64(slots)
}

// EntryAddr is how peers reach an entry.
type EntryAddr struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Peer        string // IP:port of the peer listener
	Zone        string
}

// AgentHello opens a connection. The agent sends it first.
type AgentHello struct {
	_             struct{} `cbor:",toarray"`
	Protocol      uint32
	Agent         Incarnation
	Epoch         Epoch
	Name          string
	Zone          string
	Rack          string
	Slots         int
	Capacity      Capacity
	ConfigVersion int64
	Entries       []EntryAddr
	// Pool names the group of workers that the agent's belongs to.
	Pool string
	// Labels are what tasks may require of the worker.
	Labels []string
	// Clean says that no run of an earlier incarnation of this agent is left at
	// the worker.
	Clean bool
	// Life rises with each start of the worker, 0 if it is not known. The agent of
	// an earlier life may connect again after that of a later one.
	Life int64
	// Took is the worker's clock when this incarnation took the worker over. Of two
	// incarnations in one life it orders them: their connections may arrive in any
	// order at an entry that stood still.
	Took Micros
	// Ends are the ends of runs that an earlier incarnation of this agent left
	// at the worker. They are sent with the hello because Clean has the entry
	// repeat the earlier incarnation's runs.
	Ends []RunEnd
}

// RunRef names one run of one task by the caller's name of its job.
type RunRef struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Step  int // of the task in the job, from 0
	Index int // of the task in the step, from 0
	Run   int // from 1, rising with each run of the task
	// Occurrence is the one that the task belongs to, from 0, of a job that recurs.
	Occurrence int
}

// RunEnd is how a run of a stored job ended. Its agent keeps it, and leaves it
// unacknowledged at the worker, until an entry has settled it: an entry that takes
// the job over must not repeat a task that has succeeded.
type RunEnd struct {
	_      struct{} `cbor:",toarray"`
	Run    RunRef
	Failed bool // by the task's own fault; otherwise the run succeeded
	// Checkpoint names the progress that the worker saved of the run, see Start.Checkpoint.
	Checkpoint string
}

// EntryHello answers an AgentHello.
type EntryHello struct {
	_             struct{} `cbor:",toarray"`
	Protocol      uint32
	Entry         Incarnation
	Epoch         Epoch // the agent's epoch, echoed
	Name          string
	Zone          string
	ConfigVersion int64
	Entries       []EntryAddr
}

// Start asks the agent to start one attempt of one task.
type Start struct {
	_          struct{} `cbor:",toarray"`
	Seq        Seq
	Submission SubmissionID
	Index      int    // position of the task in its step, from 0
	Class      string // class name, for run-time statistics and the upstream's log
	Slack      Micros // time left until the class target; lower is more urgent
	MaxWait    Micros // refuse as busy if the expected queueing delay exceeds this
	Deadline   Micros // time left until the caller's deadline
	Payload    []byte
	// SamePayload says that the payload is that of the start before in the frame.
	SamePayload bool
	// Job is the caller's name of the job, the same in every resubmission; empty
	// if the caller gave none.
	Job string
	// Run numbers the runs of the task, from 1.
	Run  int
	Need Capacity
	Step int // position of the task's step in its job, from 0
	// Stored says that the end of the run is to be kept until it is settled.
	Stored bool
	// Occurrence is the one that the task belongs to, from 0, of a job that recurs.
	Occurrence int
	// Checkpoint names the progress of an earlier run that this one goes on from, empty
	// for none. Only the workers know what it means.
	Checkpoint string
}

// Ref names the run that the start asks for.
func (s *Start) Ref() RunRef {
	return RunRef{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index, Run: s.Run}
}

// Load is an agent's own state, sent on every frame.
type Load struct {
	_            struct{} `cbor:",toarray"`
	Running      int
	Queued       int
	Slots        int
	Limit        int    // current concurrency limit, at most Slots
	ExpectedWait Micros // expected queueing delay of a start that arrived now
	Successes    uint64 // runs that succeeded since the agent started
	Failures     uint64 // runs that failed since the agent started
	Draining     bool
	Down         bool // the upstream refuses connections
	// Occupied is the part of the slots that running and queued tasks take, in
	// thousandths of a slot.
	Occupied int
}

// Result reports the final outcome of one attempt.
type Result struct {
	_          struct{} `cbor:",toarray"`
	Seq        Seq
	Outcome    Outcome
	Reason     Reason
	Wait       Micros // time in the agent's queue
	Run        Micros // time at the upstream
	Status     int    // HTTP status of the upstream, 0 if none
	Body       []byte
	Checkpoint string // of a run that did not succeed, see Start.Checkpoint
}

// ConfigState carries a configuration to a peer with an older version.
type ConfigState struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	State   []byte
	// Since is 0 if State is the whole configuration. Otherwise State holds only
	// what changed after that version, for a peer that has it or a later one.
	Since int64
}

// ToAgent is one frame from an entry to an agent. Every list may be empty; an
// entirely empty frame is a heartbeat.
type ToAgent struct {
	_       struct{} `cbor:",toarray"`
	Starts  []Start
	Cancels []Seq
	Queries []Seq
	Floor   Seq // every attempt below it is settled at the entry
	Config  *ConfigState
	Entries []EntryAddr
	Stamp   uint64 // sender's hybrid logical time, filled in by the shell
	// Echo is the newest Clock that the entry received from this agent. It
	// renews the lease under which the agent runs the entry's tasks.
	Echo Micros
	// Settled names runs of stored jobs whose ends need not be kept any more.
	Settled []RunRef
	// Voided names runs whose ends came too late to count: their tasks were started
	// again. The worker must not be told that they were noted before the lease under
	// which they ran has passed.
	Voided []RunRef
}

// ToEntry is one frame from an agent to an entry.
type ToEntry struct {
	_       struct{} `cbor:",toarray"`
	Results []Result
	Load    Load
	Config  *ConfigState
	Stamp   uint64 // sender's hybrid logical time, filled in by the shell
	Clock   Micros // agent's process time when the frame was made
	// Ends are kept ends of runs whose entry is lost.
	Ends []RunEnd
}

// SharePayloads drops each payload that repeats the one of the start before, as
// the tasks of one job do. Payloads are taken for the same if they are the same
// memory.
func (f *ToAgent) SharePayloads() {
	for i := len(f.Starts) - 1; i > 0; i-- {
		s, before := &f.Starts[i], &f.Starts[i-1]
		if SamePayload(s.Payload, before.Payload) {
			s.Payload = nil
			s.SamePayload = true
		}
	}
}

// SamePayload reports whether two payloads are the same memory.
func SamePayload(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// FillPayloads undoes SharePayloads.
func (f *ToAgent) FillPayloads() {
	for i := 1; i < len(f.Starts); i++ {
		if f.Starts[i].SamePayload {
			f.Starts[i].Payload = f.Starts[i-1].Payload
		}
	}
}
