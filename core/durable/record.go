package durable

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Record is one record of the log. Of each key the newest is kept for good; one
// without a value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // position in the log, of records that were read
}

// Owner names the process that drives a job.
type Owner struct {
	_           struct{} `cbor:",toarray"`
	Incarnation wire.Incarnation
	Name        string // of its VM, where one such process runs at a time
}

// Spec is a job as it was accepted.
type Spec struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Class    string
	Payload  []byte // of every task
	Steps    []entry.Step
	Attempts int  // failed runs of one task that end the job
	Lasting  bool // the tasks run until the job is cancelled
	Schedule Schedule
}

// Schedule says when a recurring job runs. The zero value is a job that runs once,
// at once.
type Schedule struct {
	_        struct{} `cbor:",toarray"`
	Count    int      // occurrences, 0 for a job that does not recur
	StartMs  int64    // when the first is due, Unix time in milliseconds
	PeriodMs int64    // between two of them
}

// Occurrences returns how often the job's steps run, at least once.
func (s *Schedule) Occurrences() int { return min(max(1, s.Count), wire.MaxOccurrences) }

// Due returns how long after now, a Unix time in milliseconds, each occurrence is
// due, negative if it is overdue; nil for a job that does not recur.
func (s *Schedule) Due(nowMs int64) []time.Duration {
	if s.Count == 0 {
		return nil
	}
	out := make([]time.Duration, s.Occurrences())
	for k := range out {
		out[k] = time.Duration(s.StartMs+int64(k)*s.PeriodMs-nowMs) * time.Millisecond
	}
	return out
}

// widths returns the number of tasks of each step.
func (s *Spec) widths() []int {
	out := make([]int, len(s.Steps))
	for i := range s.Steps {
		out[i] = s.Steps[i].Tasks
	}
	return out
}

// index returns the position of a run's task in the job, -1 if there is none. What
// becomes of a gang is kept with its first task.
func (j *job) index(run wire.RunRef) int {
	if run.Step < 0 || run.Step >= len(j.widths) || run.Index < 0 || run.Index >= j.widths[run.Step] || run.Occurrence < 0 {
		return -1
	}
	n := run.Index
	if run.Step < len(j.gangs) && j.gangs[run.Step] {
		n = 0
	}
	for i, w := range j.widths {
		n += run.Occurrence * w
		if i < run.Step {
			n += w
		}
	}
	if n >= len(j.tasks) {
		return -1
	}
	return n
}

// State is what callers are told of a job.
type State uint8

// States of a job.
const (
	Queued State = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state is the job's last.
func (s State) Final() bool { return s >= Completed }

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"", "queued", "running", "completed", "failed", "cancelled"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// accepted is the record of an acceptance. Of several for one job the first in
// the log counts.
type accepted struct {
	_    struct{} `cbor:",toarray"`
	By   Owner
	Spec Spec
}

// status is what the owner recorded of a job last.
type status struct {
	_       struct{} `cbor:",toarray"`
	By      Owner
	Class   string
	State   State
	Widths  []int        // tasks of each step of one occurrence
	Tasks   []taskStatus // those of which a run has ended
	RunBase int          // at or above the numbers of all runs so far
	// Occurrences is how often the steps run.
	Occurrences int
}

// taskStatus is what is recorded of one task.
type taskStatus struct {
	_          struct{} `cbor:",toarray"`
	Index      int      // in the job
	Failures   int      // runs that ended as failed
	Run        int      // newest of them
	Done       bool
	Checkpoint string // newest progress that a worker saved
}

// cancel is the record of a cancellation, which any process may write.
type cancel struct {
	_  struct{} `cbor:",toarray"`
	By Owner
}

// takeover moves every job of From to By. Of several for one process the first
// in the log counts.
type takeover struct {
	_    struct{} `cbor:",toarray"`
	From wire.Incarnation
	By   Owner
}

// lease says that its writer lives, or that it has left and runs nothing.
type lease struct {
	_    struct{} `cbor:",toarray"`
	By   Owner
	Left bool
}

// Kinds of records, the first byte of their keys.
const (
	kindAccepted = 'j'
	kindStatus   = 's'
	kindCancel   = 'c'
	kindTakeover = 't'
	kindLease    = 'l'
)

func hex(i wire.Incarnation) string { return strconv.FormatUint(uint64(i), 16) }

func acceptedKey(id string, by wire.Incarnation) string {
	return string(kindAccepted) + id + "." + hex(by)
}
func statusKey(id string) string          { return string(kindStatus) + id }
func cancelKey(id string) string          { return string(kindCancel) + id }
func leaseKey(by wire.Incarnation) string { return string(kindLease) + hex(by) }
func takeoverKey(from, by wire.Incarnation) string {
	return string(kindTakeover) + hex(from) + "." + hex(by)
}

// jobOf returns the job that a key is about, "" if it is about none.
func jobOf(key string) string {
	if key == "" {
		return ""
	}
	switch key[0] {
	case kindAccepted:
		id, _, _ := strings.Cut(key[1:], ".")
		return id
	case kindStatus, kindCancel:
		return key[1:]
	}
	return ""
}

// encode returns the record of a value. The types above can always be encoded.
func encode(key string, value any) Record {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("durable: " + err.Error())
	}
	return Record{Key: key, Value: data}
}

// decode parses the value of a record into a pointer to its type.
func decode(r *Record) (any, error) {
	var v any
	if r.Key == "" {
		return nil, fmt.Errorf("durable: record %d has no key", r.Offset)
	}
	switch r.Key[0] {
	case kindAccepted:
		v = new(accepted)
	case kindStatus:
		v = new(status)
	case kindCancel:
		v = new(cancel)
	case kindTakeover:
		v = new(takeover)
	case kindLease:
		v = new(lease)
	default:
		return nil, fmt.Errorf("durable: record %d has the unknown key %q", r.Offset, r.Key)
	}
	if err := cbor.Unmarshal(r.Value, v); err != nil {
		return nil, fmt.Errorf("durable: record %d, key %q: %w", r.Offset, r.Key, err)
	}
	return v, nil
}
