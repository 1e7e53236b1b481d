package durable

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Record is one record of the log. The newest record of each key is kept for
// good; a record without a value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // position in the log; set on records that were read
}

// ProcessID identifies a process that may own jobs.
type ProcessID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation wire.Incarnation
	// Name is the same for processes of which each one has ended before the next one
	// starts, see ProcessName. Processes of earlier builds have that of their VM.
	Name string
}

// ProcessName returns the name of the processes of a VM at one place: a process that starts
// there proves that the ones before have ended, for instance because it listens at their
// address.
func ProcessName(vm, place string) string { return vm + "@" + place }

// vm returns the name of the process's VM.
func (p ProcessID) vm() string {
	if i := strings.LastIndexByte(p.Name, '@'); i >= 0 {
		return p.Name[:i]
	}
	return p.Name
}

// Spec is a job as it was accepted.
type Spec struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Class         string
	Payload       []byte // passed to every task
	Steps         []entry.Step
	MaxFailedRuns int  // number of failed runs of one task that fails the job
	LongRunning   bool // the tasks run until the job is cancelled
	Schedule      Schedule
	// Published is the class as it was published when the job was accepted. It is recorded
	// apart, see classRecord, and zero for jobs that were accepted by earlier builds.
	Published policy.Class `cbor:"-"`
}

// InClass reports whether the job belongs to the published class: the one at the address
// that the job was submitted at, or of the same name if the address is not recorded.
func (s *Spec) InClass(c policy.Class) bool {
	if s.Published.Address != "" {
		return s.Published.Address == c.Address
	}
	return s.Class == c.Name
}

// Schedule is when a recurring job runs. The zero value is a job that runs
// once, immediately.
type Schedule struct {
	_        struct{} `cbor:",toarray"`
	Count    int      // number of occurrences, 0 for a job that does not recur
	StartMs  int64    // due time of the first occurrence, Unix time in milliseconds
	PeriodMs int64    // time between two occurrences
}

// Occurrences returns how many times the job's steps run, at least 1.
func (s *Schedule) Occurrences() int { return min(max(1, s.Count), wire.MaxOccurrences) }

// maxDueMs bounds the time until an occurrence is due to a hundred years, so that it and
// its sum with a time of the process cannot overflow.
const maxDueMs = 100 * 366 * 24 * 3600 * 1000

// Due returns the time from nowMs, a Unix time in milliseconds, until each
// occurrence is due, at most a hundred years. It is negative for an overdue occurrence.
// Due returns nil for a job that does not recur.
func (s *Schedule) Due(nowMs int64) []time.Duration {
	if s.Count == 0 {
		return nil
	}
	out := make([]time.Duration, s.Occurrences())
	for k := range out {
		ms := s.StartMs + int64(k)*s.PeriodMs - nowMs
		out[k] = time.Duration(max(-maxDueMs, min(ms, maxDueMs))) * time.Millisecond
	}
	return out
}

// stepSizes returns the number of tasks of each step.
func (s *Spec) stepSizes() []int {
	out := make([]int, len(s.Steps))
	for i := range s.Steps {
		out[i] = s.Steps[i].Tasks
	}
	return out
}

// taskIndex returns the index of the task that the progress of the run's task is kept
// with, or -1 if the job has no such task. The progress of a gang is kept with its first
// task.
func (j *job) taskIndex(run wire.RunRef) int {
	i := j.memberIndex(run)
	if i >= 0 && run.Step < len(j.gangs) && j.gangs[run.Step] {
		i -= run.Index
	}
	return i
}

// memberIndex returns the index of the run's task in the job, also of a member of a gang,
// or -1 if the job has no such task.
func (j *job) memberIndex(run wire.RunRef) int {
	if run.Step < 0 || run.Step >= len(j.stepSizes) || run.Index < 0 || run.Index >= j.stepSizes[run.Step] {
		return -1
	}
	if run.Occurrence < 0 || run.Occurrence >= j.occurrences {
		return -1
	}
	n := run.Index
	for i, size := range j.stepSizes {
		n += run.Occurrence * size
		if i < run.Step {
			n += size
		}
	}
	if n >= len(j.tasks) {
		return -1
	}
	return n
}

// State is the state of a job as callers see it.
type State uint8

// States of a job.
const (
	Queued State = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the job has ended, so that its state no longer changes.
func (s State) Final() bool { return s >= Completed }

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"", "queued", "running", "completed", "failed", "cancelled"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// acceptance is the record of an accepted job. If a job has several, the first
// one in the log counts.
type acceptance struct {
	_    struct{} `cbor:",toarray"`
	By   ProcessID
	Spec Spec
}

func (a *acceptance) check() error { return a.Spec.check() }

// Bounds of the values in a record. No caller's job exceeds them, and sums and durations
// within them cannot overflow.
const (
	maxNeed   = 1 << 40
	maxTimeMs = 1 << 45 // a Unix time in milliseconds, or the time between two
	maxRun    = 1 << 40 // number of a run
	// maxRunTimeFactor bounds the multiple of the mean run time in the target of a class,
	// and maxClassTarget the rest of the target.
	maxRunTimeFactor = 1 << 20
	maxClassTarget   = 366 * 24 * time.Hour
)

// check reports an error if no process accepts such a job. Its owner could not run it.
func (s *Spec) check() error {
	if len(s.Steps) == 0 {
		return errors.New("job without steps")
	}
	if t := &s.Schedule; t.Count < 0 || min(t.StartMs, t.PeriodMs) < 0 || max(t.StartMs, t.PeriodMs) > maxTimeMs {
		return fmt.Errorf("schedule out of range: %d occurrences from %d ms on, every %d ms", t.Count, t.StartMs, t.PeriodMs)
	}
	for i := range s.Steps {
		if err := checkStep(i, &s.Steps[i]); err != nil {
			return err
		}
	}
	return checkStepSizes(s.stepSizes(), s.Schedule.Occurrences())
}

// checkStep checks step i of a job.
func checkStep(i int, s *entry.Step) error {
	if s.Tasks < 1 {
		return fmt.Errorf("step %d has %d tasks, want at least 1", i, s.Tasks)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			return fmt.Errorf("step %d depends on step %d, want an earlier one", i, d)
		}
	}
	n := s.Need
	if min(n.MilliCores, n.MemoryMB, n.Accelerators) < 0 || max(n.MilliCores, n.MemoryMB, n.Accelerators) > maxNeed {
		return fmt.Errorf("step %d needs %+v, each must be 0 to %d", i, n, int64(maxNeed))
	}
	if s.DeclaredRunTime < 0 || s.DeclaredRunTime > wire.MaxMicros.Duration() || s.MaxPerWorker < 0 {
		return fmt.Errorf("step %d has a run time of %v and at most %d tasks on a worker", i, s.DeclaredRunTime, s.MaxPerWorker)
	}
	return nil
}

// checkStepSizes reports an error if no accepted job can have these steps.
func checkStepSizes(sizes []int, occurrences int) error {
	tasks := 0
	for i, size := range sizes {
		if size < 0 || size > wire.MaxTasksPerJob {
			return fmt.Errorf("step %d has %d tasks, want at most %d", i, size, wire.MaxTasksPerJob)
		}
		if tasks += size; tasks*occurrences > MaxTasks {
			return fmt.Errorf("more than %d tasks over %d occurrences", MaxTasks, occurrences)
		}
	}
	return nil
}

// jobStatus is the record of a job's state and progress, written by its owner.
type jobStatus struct {
	_         struct{} `cbor:",toarray"`
	By        ProcessID
	Class     string
	State     State
	StepSizes []int        // tasks of each step in one occurrence
	Tasks     []taskStatus // tasks of which a run has finished
	RunBase   int          // no run so far has a higher number
	// Occurrences is how many times the steps run.
	Occurrences int
}

// occurrences returns how many times the steps run, at least 1.
func (s *jobStatus) occurrences() int { return min(max(1, s.Occurrences), wire.MaxOccurrences) }

func (s *jobStatus) check() error {
	if s.RunBase < 0 || s.RunBase > maxRun {
		return fmt.Errorf("run %d out of range", s.RunBase)
	}
	for i := range s.Tasks {
		if t := &s.Tasks[i]; t.Run < 0 || t.Run > maxRun || t.Failures < 0 {
			return fmt.Errorf("task %d with %d failures and run %d out of range", t.Index, t.Failures, t.Run)
		}
	}
	return checkStepSizes(s.StepSizes, s.occurrences())
}

// taskStatus is the recorded progress of one task.
type taskStatus struct {
	_          struct{} `cbor:",toarray"`
	Index      int      // index in the job
	Failures   int      // number of failed runs
	Run        int      // number of the newest finished run
	Done       bool
	Checkpoint string // newest checkpoint that a worker saved
}

// cancellation is the record of a cancelled job. Any process may write it.
type cancellation struct {
	_  struct{} `cbor:",toarray"`
	By ProcessID
}

// takeoverRecord is the record that moves every job of process From to process By.
// If there are several for a process, the first one in the log counts.
type takeoverRecord struct {
	_    struct{} `cbor:",toarray"`
	From wire.Incarnation
	By   ProcessID
}

// leaseRecord states that its writer is alive, or that it has left and runs
// nothing.
type leaseRecord struct {
	_    struct{} `cbor:",toarray"`
	By   ProcessID
	Left bool
}

// crashRecord is the record of the crashes of workers under the tasks of a job, written
// by its owner. It is not part of jobStatus, which processes of an earlier version read
// too: they skip records of a kind that they do not know.
type crashRecord struct {
	_     struct{} `cbor:",toarray"`
	By    ProcessID
	Tasks []taskCrashes
}

// taskCrashes is the number of runs of one task under which a worker crashed.
type taskCrashes struct {
	_       struct{} `cbor:",toarray"`
	Index   int      // index of the task in the job
	Crashes int
}

// repeatRecord is the record of the lost runs of a job whose tasks were started again,
// written by its owner. Like crashRecord it is not part of jobStatus.
type repeatRecord struct {
	_     struct{} `cbor:",toarray"`
	By    ProcessID
	Tasks []taskRepeat
}

// taskRepeat is the number of the newest lost run of one task that was repeated.
type taskRepeat struct {
	_     struct{} `cbor:",toarray"`
	Index int      // index of the task in the job
	Run   int
}

// classRecord is the record of the class of a job as it was published when the job was
// accepted: by the time that the job runs, the class may have another name or be gone. It
// is not part of acceptance, which processes of an earlier version read too.
type classRecord struct {
	By            ProcessID     `cbor:"1,keyasint"`
	Name          string        `cbor:"2,keyasint"`
	Address       string        `cbor:"3,keyasint,omitempty"`
	Pool          string        `cbor:"4,keyasint,omitempty"`
	Priority      int           `cbor:"5,keyasint,omitempty"`
	Target        time.Duration `cbor:"6,keyasint,omitempty"`
	TargetShare   float64       `cbor:"7,keyasint,omitempty"`
	RunTimeFactor float64       `cbor:"8,keyasint,omitempty"`
}

func newClassRecord(by ProcessID, c policy.Class) classRecord {
	return classRecord{
		By: by, Name: c.Name, Address: c.Address, Pool: c.Pool, Priority: c.Priority,
		Target: c.ResponseTarget, TargetShare: c.TargetShare, RunTimeFactor: c.RunTimeFactor,
	}
}

// class returns the class. The timeout of its callers, who have their answer, is left out.
func (r *classRecord) class() policy.Class {
	return policy.Class{
		Name: r.Name, Address: r.Address, Pool: r.Pool, Priority: r.Priority,
		ResponseTarget: r.Target, TargetShare: r.TargetShare, RunTimeFactor: r.RunTimeFactor,
	}
}

// check reports an error if no configuration has such a class. NaN is out of range too.
func (r *classRecord) check() error {
	if r.Name == "" || r.Target < 0 || r.Target > maxClassTarget {
		return fmt.Errorf("class %q with a target of %v", r.Name, r.Target)
	}
	if !(r.RunTimeFactor >= 0 && r.RunTimeFactor <= maxRunTimeFactor) || !(r.TargetShare >= 0 && r.TargetShare <= 1) {
		return fmt.Errorf("class %q with a run time factor of %v and a target share of %v", r.Name, r.RunTimeFactor, r.TargetShare)
	}
	return nil
}

// Kinds of records: the first byte of their keys.
const (
	kindAccepted = 'j'
	kindStatus   = 's'
	kindCancel   = 'c'
	kindTakeover = 't'
	kindLease    = 'l'
	kindCrashes  = 'x'
	kindRepeats  = 'r'
	kindClass    = 'q'
)

func formatIncarnation(i wire.Incarnation) string { return strconv.FormatUint(uint64(i), 16) }

func acceptedKey(id string, by wire.Incarnation) string {
	return string(kindAccepted) + id + "." + formatIncarnation(by)
}
func statusKey(id string) string          { return string(kindStatus) + id }
func cancelKey(id string) string          { return string(kindCancel) + id }
func crashKey(id string) string           { return string(kindCrashes) + id }
func repeatKey(id string) string          { return string(kindRepeats) + id }
func classKey(id string) string           { return string(kindClass) + id }
func leaseKey(by wire.Incarnation) string { return string(kindLease) + formatIncarnation(by) }
func takeoverKey(from, by wire.Incarnation) string {
	return string(kindTakeover) + formatIncarnation(from) + "." + formatIncarnation(by)
}

// jobOfKey returns the ID of the job that the record of a key belongs to, "" if
// there is none.
func jobOfKey(key string) string {
	if key == "" {
		return ""
	}
	switch key[0] {
	case kindAccepted:
		id, _, _ := strings.Cut(key[1:], ".")
		return id
	case kindStatus, kindCancel, kindCrashes, kindRepeats, kindClass:
		return key[1:]
	}
	return ""
}

// encode returns a record with the encoded value. Encoding the record types
// above cannot fail.
func encode(key string, value any) Record {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("durable: " + err.Error())
	}
	return Record{Key: key, Value: data}
}

// checker is a record type with values that no process writes.
type checker interface{ check() error }

// decode decodes the value of a record into a pointer to its record type.
func decode(r *Record) (any, error) {
	var v any
	if r.Key == "" {
		return nil, fmt.Errorf("durable: record %d has no key", r.Offset)
	}
	switch r.Key[0] {
	case kindAccepted:
		v = new(acceptance)
	case kindStatus:
		v = new(jobStatus)
	case kindCancel:
		v = new(cancellation)
	case kindTakeover:
		v = new(takeoverRecord)
	case kindLease:
		v = new(leaseRecord)
	case kindCrashes:
		v = new(crashRecord)
	case kindRepeats:
		v = new(repeatRecord)
	case kindClass:
		v = new(classRecord)
	default:
		return nil, fmt.Errorf("durable: record %d has a key of unknown kind, %q", r.Offset, r.Key)
	}
	if err := cbor.Unmarshal(r.Value, v); err != nil {
		return nil, fmt.Errorf("durable: record %d, key %q: %w", r.Offset, r.Key, err)
	}
	if c, ok := v.(checker); ok {
		if err := c.check(); err != nil {
			return nil, fmt.Errorf("durable: record %d, key %q: %w", r.Offset, r.Key, err)
		}
	}
	return v, nil
}
