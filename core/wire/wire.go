// Package wire defines the messages that an entry and an agent exchange, and
// the identities and outcomes that both sides share.
//
// The package holds types only. Encoding and transport are in internal/link.
// Every duration on the wire is relative (time left), in microseconds, so
// clocks of different machines are never compared.
package wire

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// ProtocolVersion is the version of the peer protocol that this code speaks.
const ProtocolVersion = 6

// Limits that both ends enforce on decoded messages.
const (
	// MaxTasksPerJob is the largest number of tasks in one job.
	MaxTasksPerJob = 570
	// MaxOccurrences is the largest number of occurrences of a recurring job.
	MaxOccurrences = 4096
	// MaxCheckpointBytes bounds the name of a checkpoint.
	MaxCheckpointBytes = 1024
	// MaxFrameBytes is the largest encoded frame, excluding its header.
	MaxFrameBytes = 4 << 20
	// MaxKnownEntries bounds the entry list carried in a hello. It leaves room for
	// entries that were replaced at other addresses and are still listed: with less
	// room than entries, live ones are dropped from the list.
	MaxKnownEntries = 512
	// MaxFinishedRuns bounds the finished runs that an agent retains for stored
	// jobs.
	MaxFinishedRuns = 4096
	// MaxEvacuatedZones bounds the zones in an Evacuations.
	MaxEvacuatedZones = 64
	// MaxConfigBytes bounds the encoded state in a ConfigState.
	MaxConfigBytes = 1 << 20
	// MaxMicros bounds a duration on the wire to about a year, so that adding
	// it to a process time cannot overflow.
	MaxMicros Micros = 365 * 24 * 3600 * 1_000_000
)

// Bounds of what a call to a worker that was left unanswered may still do.
const (
	// MaxCallDelay is how long after it was sent such a call may be carried out: workers do
	// so up to 12 s later.
	MaxCallDelay = 12500 * time.Millisecond
	// MaxLateRun is how long the runs that one such call starts or renews may go on: a
	// worker limits each lease to 1 s on its own clock, which may be 2% slow.
	MaxLateRun = 1100 * time.Millisecond
)

// Incarnation identifies one instance of an entry, agent or keeper. It is never zero
// and never reused: a replacement gets a new one, even in the same process.
type Incarnation uint64

// Seq numbers the attempts of one entry incarnation and is strictly increasing.
type Seq uint64

// Epoch numbers the connections of one agent incarnation. It is strictly
// increasing over the connections to all entries, because an agent does not
// know in advance which entry it will reach.
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

// Duration converts m to a time.Duration, clamped to the range from -MaxMicros
// to MaxMicros.
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
	// Failed: the upstream reported a failure, or the run was stopped or ended with
	// its worker or lease. If the task was started, it is known to run no longer.
	Failed
	// NotRun: this attempt did not start the task and never will.
	NotRun
	// Unknown: the task was or may have been started, and its result is not known,
	// for instance because the request to the upstream was aborted at the deadline.
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

// Reason states why an attempt had its outcome.
type Reason uint8

// Reasons for the outcomes NotRun, Failed and Unknown.
const (
	ReasonNone Reason = iota
	// ReasonBusy: the expected wait at the agent exceeded the start's MaxWait, the
	// agent's queue, its window for the entry or its storage for results was full,
	// or the upstream refused the task because of overload.
	ReasonBusy
	// ReasonDraining: the agent is draining.
	ReasonDraining
	// ReasonExpired: the deadline passed before the start, or the start arrived so
	// late that the entry may have given up the attempt.
	ReasonExpired
	// ReasonCancelled: the attempt was cancelled, or its entry was lost, before the
	// start.
	ReasonCancelled
	// ReasonUpstreamDown: the agent could not connect to the upstream or regards it
	// as unreachable, or the worker refused the start for a reason that no other
	// Reason states, for instance because it was meant for another worker.
	ReasonUpstreamDown
	// ReasonSuspect: the agent limits starts because its upstream keeps failing.
	ReasonSuspect
	// ReasonNotReceived: the agent was queried about an attempt that it never
	// received, or the start did not take effect at the worker before its deadline
	// there or before a stop of the run.
	ReasonNotReceived
	// ReasonStaleSeq: the attempt's Seq is below the lowest one that is open at
	// the entry, or the agent has already seen it or a higher one.
	ReasonStaleSeq
	// ReasonUpstreamError: the upstream answered with a status other than 2xx or with
	// a result that is too large, or the worker lists the run as failed.
	ReasonUpstreamError
	// ReasonRunLimit: the run was stopped at the task's deadline.
	ReasonRunLimit
	// ReasonConnectionLost: the connection to the upstream broke after the request
	// was sent.
	ReasonConnectionLost
	// ReasonAgentLost: the agent's incarnation is gone or unreachable.
	ReasonAgentLost
	// ReasonStopped: the run was stopped by a cancel, or by the agent because its start had
	// no answer and the worker did not list it.
	ReasonStopped
	// ReasonResultLost: the run ended, but its result was dropped to bound memory.
	ReasonResultLost
	// ReasonNoRoom: the worker does not have enough free capacity for the task.
	ReasonNoRoom
	// ReasonStaleRun: the worker has seen a higher run number for the task. The
	// next attempt must use a number above it.
	ReasonStaleRun
	// ReasonRunEnded: the run ended because its worker stopped or its lease
	// expired, and is known not to be running.
	ReasonRunEnded
	// ReasonStuck: the run was stopped because it made no progress. Only entries
	// use it; it is never sent.
	ReasonStuck
	// ReasonWorkerCrashed: the run ended because its worker's process ended without
	// having announced that it leaves.
	ReasonWorkerCrashed
	// ReasonEvacuated: the agent's availability zone is evacuated.
	ReasonEvacuated
)

var reasonNames = [...]string{
	"none", "busy", "draining", "expired", "cancelled", "upstream_down", "suspect",
	"not_received", "stale_seq", "upstream_error", "run_limit", "connection_lost",
	"agent_lost", "stopped", "result_lost", "no_room", "stale_run", "run_ended", "stuck",
	"worker_crashed", "evacuated",
}

// String returns the reason's machine-readable name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Capacity is what one worker offers or one task needs. A zero field means that
// the dimension is not stated; for accelerators it also means that there are none.
type Capacity struct {
	_            struct{} `cbor:",toarray"`
	MilliCores   int64    // thousandths of a processor core
	MemoryMB     int64    // MiB
	Accelerators int64    // whole devices
}

// Fits reports whether a worker that offers c can meet need. A processor or
// memory dimension that the worker does not state is not checked; accelerators
// always are.
func (c Capacity) Fits(need Capacity) bool {
	return meets(c.MilliCores, need.MilliCores) &&
		meets(c.MemoryMB, need.MemoryMB) &&
		(need.Accelerators <= c.Accelerators)
}

// Add returns the sum of two needs.
func (c Capacity) Add(other Capacity) Capacity {
	c.MilliCores += other.MilliCores
	c.MemoryMB += other.MemoryMB
	c.Accelerators += other.Accelerators
	return c
}

// meets reports whether the offer covers the need; an offer of 0 is not checked.
func meets(offer, need int64) bool { return offer == 0 || need <= offer }

// DominantShare returns the largest fraction that need takes of any dimension of c,
// which exceeds 1 if need does not fit. It returns false if no dimension is
// stated on both sides.
func (c Capacity) DominantShare(need Capacity) (share float64, ok bool) {
	for _, pair := range [...][2]int64{
		{c.MilliCores, need.MilliCores}, {c.MemoryMB, need.MemoryMB}, {c.Accelerators, need.Accelerators},
	} {
		if pair[0] > 0 && pair[1] > 0 {
			share = max(share, float64(pair[1])/float64(pair[0]))
			ok = true
		}
	}
	return share, ok
}

// SlotsFor returns how many of the worker's slots a task takes: the task's
// largest share of any dimension times slots, or one slot if no dimension is
// stated on both sides.
func (c Capacity) SlotsFor(need Capacity, slots int) float64 {
	share, ok := c.DominantShare(need)
	if !ok {
		return 1
	}
	return share * float64(slots)
}

// EntryAddr is the peer address of an entry.
type EntryAddr struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Peer        string // IP:port of the peer listener
	Zone        string
}

// AgentHello is the first message on a connection. The agent sends it.
type AgentHello struct {
	_             struct{} `cbor:",toarray"`
	Protocol      uint32
	Agent         Incarnation
	Epoch         Epoch
	Name          string
	Zone          string
	Rack          string
	Slots         int // tasks that the upstream runs at once
	Capacity      Capacity
	ConfigVersion int64
	Entries       []EntryAddr
	// Pool names the pool of workers that the agent's worker belongs to.
	Pool string
	// Labels are the worker's labels, which tasks may require.
	Labels []string
	// NoLeftoverRuns states that no run of an earlier incarnation of this agent
	// continues at the worker.
	NoLeftoverRuns bool
	// WorkerIncarnation numbers the incarnations of the worker and rises with each
	// of its starts; 0 if it is not known. The agent of an earlier worker
	// incarnation may connect again after that of a later one.
	WorkerIncarnation int64
	// TakeoverTime is the reading of the worker's clock when this agent incarnation
	// took over the worker. It orders the agent incarnations within one worker
	// incarnation, because an entry that was frozen may handle their connections in
	// any order.
	TakeoverTime Micros
	// FinishedRuns are the finished runs that an earlier incarnation of this agent
	// left at the worker. They are part of the hello because an entry repeats the
	// runs of the earlier incarnation when it learns from NoLeftoverRuns that none
	// of them continues.
	FinishedRuns []FinishedRun
}

// RunRef identifies one run of one task, using the caller's name for its job.
type RunRef struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Step  int // position of the task's step in the job, from 0
	Index int // position of the task in the step, from 0
	Run   int // from 1, increasing with each run of the task
	// Occurrence is the occurrence of a recurring job that the task belongs to,
	// from 0.
	Occurrence int
}

// FinishedRun describes a finished run of a stored job. Its agent retains it, and
// does not acknowledge it to the worker, until an entry has acknowledged it: an
// entry that takes over the job must not repeat a task that has succeeded.
type FinishedRun struct {
	_      struct{} `cbor:",toarray"`
	Run    RunRef
	Failed bool // the task itself failed; otherwise the run succeeded
	// Checkpoint names the checkpoint that the worker saved of the run, empty for
	// none, see Start.Checkpoint.
	Checkpoint string
}

// EntryHello answers an AgentHello.
type EntryHello struct {
	_             struct{} `cbor:",toarray"`
	Protocol      uint32
	Entry         Incarnation
	Epoch         Epoch // the epoch of the AgentHello
	Name          string
	Zone          string
	ConfigVersion int64
	Entries       []EntryAddr
	// ReportNeighbours asks the agent for Result.Neighbours and Load.Classes.
	ReportNeighbours bool
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
	// SamePayload states that the payload equals that of the previous start in
	// the frame.
	SamePayload bool
	// Job is the caller's name for the job, which every resubmission repeats. It is
	// empty if the caller gave none.
	Job string
	// Run numbers the runs of the task, from 1.
	Run  int
	Need Capacity
	Step int // position of the task's step in its job, from 0
	// RetainFinishedRun states that the agent must retain the finished run until
	// it is acknowledged.
	RetainFinishedRun bool
	// Occurrence is the occurrence of a recurring job that the task belongs to,
	// from 0.
	Occurrence int
	// Checkpoint names the checkpoint of an earlier run from which this run
	// resumes, empty for none. Only the workers interpret the name.
	Checkpoint string
}

// Ref identifies the run that the start requests.
func (s *Start) Ref() RunRef {
	return RunRef{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index, Run: s.Run}
}

// Load is an agent's report of its own state, which every frame carries.
type Load struct {
	_            struct{} `cbor:",toarray"`
	Running      int
	Queued       int
	Slots        int
	Limit        int    // number of tasks that may run at once now, at most Slots
	ExpectedWait Micros // expected queueing delay of a start that arrives now
	Successes    uint64 // runs that succeeded since the agent started
	Failures     uint64 // runs that failed since the agent started
	Draining     bool
	Down         bool // the upstream is unreachable
	// Occupied is how much of the slots running and queued tasks take, in
	// thousandths of a slot.
	Occupied int
	// Evacuated states that the agent's availability zone is evacuated, so that starts are
	// refused.
	Evacuated bool
	// Classes are the slots that runs of each class take now, if the entry asked for
	// them: at most MaxNeighbours classes, those with the most slots.
	Classes []Neighbour
}

// Neighbour states how many slots runs of a class take.
type Neighbour struct {
	_     struct{} `cbor:",toarray"`
	Class string
	Slots int // thousandths of a slot
}

// Result reports the final outcome of one attempt.
type Result struct {
	_          struct{} `cbor:",toarray"`
	Seq        Seq
	Outcome    Outcome
	Reason     Reason
	QueueTime  Micros // time in the agent's queue
	RunTime    Micros // time at the upstream
	Status     int    // HTTP status of the upstream, 0 if none
	Body       []byte
	Checkpoint string // set if the run did not succeed, see Start.Checkpoint
	// Neighbours are the slots that runs of each class took beside this one, of all
	// entries, as the mean over its run time, if the entry asked for them: at most
	// MaxNeighbours classes, those with the most slots.
	Neighbours []Neighbour
}

// ConfigState carries a configuration to a peer that has an older version, or only
// states which version the sender has, see Announcement.
type ConfigState struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	State   []byte // encoded by core/config
	// BaseVersion is 0 if State is the whole configuration. Otherwise State is a
	// delta: it holds only what changed after BaseVersion, for a peer that has that
	// version or a later one.
	BaseVersion int64
}

// AnnounceConfig returns the announcement of a version: a delta that builds on the
// version itself and therefore holds nothing.
func AnnounceConfig(version int64) *ConfigState {
	return &ConfigState{Version: version, BaseVersion: version}
}

// Announcement reports whether c only states that the sender has the version.
func (c *ConfigState) Announcement() bool { return c.BaseVersion > 0 && c.BaseVersion >= c.Version }

// Evacuations is the set of the availability zones in which no task may be started, as
// of an offset of the log that holds the operators' requests.
type Evacuations struct {
	_ struct{} `cbor:",toarray"`
	// AsOf is the offset up to which the log was read. Of two states the one with the
	// higher AsOf is the newer one; a state never replaces one with a higher AsOf. See Newer.
	AsOf  int64
	Zones []string // sorted, at most MaxEvacuatedZones
}

// Contains reports whether the zone is evacuated.
func (e *Evacuations) Contains(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// Newer reports whether e replaces other: it is as of a higher offset. Two states as of one
// offset can differ, because a listing of several pages is not a snapshot; the order of their
// zones then decides, so that all processes choose the same one.
func (e *Evacuations) Newer(other *Evacuations) bool {
	if e.AsOf != other.AsOf {
		return e.AsOf > other.AsOf
	}
	return slices.Compare(e.Zones, other.Zones) > 0
}

// Supersedes reports whether a process with the state other must be sent e. That is also so
// if only the offset is higher: the process would otherwise take a state from in between,
// for instance of an entry that was paused, for a newer one.
func (e *Evacuations) Supersedes(other *Evacuations) bool { return e.Newer(other) }

// ToAgent is one frame from an entry to an agent. Every list may be empty; a
// frame without content is a heartbeat.
type ToAgent struct {
	_             struct{} `cbor:",toarray"`
	Starts        []Start
	Cancels       []Seq
	Queries       []Seq // attempts whose outcome the entry asks for
	LowestOpenSeq Seq   // every attempt with a lower Seq is settled at the entry
	Config        *ConfigState
	Entries       []EntryAddr
	Stamp         uint64 // sender's hybrid logical time, set by the caller of the state machine
	// ClockEcho is the latest clock reading that the entry received from this
	// agent. It renews the lease under which the agent runs the entry's tasks.
	ClockEcho Micros
	// AcknowledgedRuns names finished runs of stored jobs that the agent need not
	// retain any longer.
	AcknowledgedRuns []RunRef
	// SupersededRuns names finished runs that do not count because their tasks had
	// been started again before the entry learned of them. The agent must not
	// acknowledge them to the worker before the lease under which they ran has
	// expired.
	SupersededRuns []RunRef
	// Evacuations is the newest state that the entry has, nil if there is nothing to send.
	// It applies to the starts of the same frame.
	Evacuations *Evacuations
	// EvacuationsAge is the time since the entry began its last successful read of the
	// evacuation requests, 0 if it has not read them.
	EvacuationsAge Micros
}

// ToEntry is one frame from an agent to an entry.
type ToEntry struct {
	_          struct{} `cbor:",toarray"`
	Results    []Result
	Load       Load
	Config     *ConfigState
	Stamp      uint64 // sender's hybrid logical time, set by the caller of the state machine
	AgentClock Micros // the agent's process time when it built the frame
	// FinishedRuns are retained finished runs whose entry is lost.
	FinishedRuns []FinishedRun
	// SettledStarts names attempts in progress whose task the worker has started and of
	// whose start no further copy can be carried out. Runs of other attempts may begin
	// after the agent was lost.
	SettledStarts []Seq
	// Evacuations is the newest state that the agent has, nil if there is nothing to send.
	Evacuations *Evacuations
}

// DedupPayloads omits each payload that repeats that of the previous start, as
// the tasks of one job do. Only payloads that share memory are treated as
// equal, see SamePayload.
func (f *ToAgent) DedupPayloads() {
	for i := len(f.Starts) - 1; i > 0; i-- {
		s, previous := &f.Starts[i], &f.Starts[i-1]
		if SamePayload(s.Payload, previous.Payload) {
			s.Payload = nil
			s.SamePayload = true
		}
	}
}

// SamePayload reports whether two payloads are the same memory. Empty payloads
// are never the same.
func SamePayload(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// RestorePayloads restores the payloads that DedupPayloads omitted.
func (f *ToAgent) RestorePayloads() {
	for i := 1; i < len(f.Starts); i++ {
		if f.Starts[i].SamePayload {
			f.Starts[i].Payload = f.Starts[i-1].Payload
		}
	}
}
