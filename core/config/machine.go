package config

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the result of applying a record.
type Outcome uint8

// Values of Outcome.
const (
	// Accepted: the change is part of the configuration.
	Accepted Outcome = iota + 1
	// Conflict: the change conflicts with an earlier one; its base was not the
	// item's current revision.
	Conflict
	// Refused: the change is invalid; Result.FieldErrors says why.
	Refused
	// SnapshotSeen: the record is a snapshot.
	SnapshotSeen
	// Undecodable: the body is not a valid record; every reader skips it.
	Undecodable
	// Buffered: the record has a newer format, or follows a gap or a record of a
	// newer format. It is kept until a usable snapshot or a peer's state arrives.
	Buffered
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Conflict:
		return "lost"
	case Refused:
		return "refused"
	case SnapshotSeen:
		return "snapshot"
	case Undecodable:
		return "undecodable"
	case Buffered:
		return "buffered"
	}
	return "none"
}

// Result is the result of applying one record.
type Result struct {
	Offset  int64
	Time    time.Duration // log time since 1970
	ID      ID
	Outcome Outcome
	Change  *Change // nil for snapshots
	// Revision and CurrentID are the item's revision after this record and the ID
	// of the change that set it. Both are 0 for records that are not changes.
	Revision    int64
	CurrentID   ID
	FieldErrors []FieldError // set for Refused
}

// logRecord is a record of the stream whose body has not been decoded yet.
type logRecord struct {
	offset int64
	at     time.Duration
	body   []byte
}

// maxBuffered bounds the buffered records. At 21,000 changes a day, a third of
// a one-day retention holds 7,000 records.
const maxBuffered = 65536

// Options configure a Machine.
type Options struct {
	// MaxItems bounds the number of classes and, separately, of teams. Default
	// 1,000. All readers of a stream must use the same value.
	MaxItems int
}

// Machine applies the records of the stream. It is not safe for concurrent use.
type Machine struct {
	opts       Options
	state      *State
	appliedEnd int64       // every record below this offset is reflected in state
	buffered   []logRecord // contiguous, none below appliedEnd
	// replayStart is the log time of the oldest record that a new reader must
	// replay.
	replayStart    time.Duration
	hasReplayStart bool
	blocked        error    // see Blocked
	results        []Result // of the current Apply or Adopt
}

// New returns a machine with an empty configuration that starts at offset 0.
func New(opts Options) *Machine {
	if opts.MaxItems <= 0 {
		opts.MaxItems = DefaultMaxItems
	}
	return &Machine{opts: opts, state: newState(opts.MaxItems)}
}

// State returns the current state. It is valid until the next Apply or Adopt.
func (m *Machine) State() *State { return m.state }

// Version returns the version of the current state.
func (m *Machine) Version() int64 { return m.state.version }

// Next returns the offset to read from. Every record below it was applied, is
// covered by the state, is buffered or lies in the gap that Gap reports.
func (m *Machine) Next() int64 {
	if n := len(m.buffered); n > 0 {
		return m.buffered[n-1].offset + 1
	}
	return m.appliedEnd
}

// Gap reports whether buffered records follow a gap: the records in [from, to)
// were never read.
func (m *Machine) Gap() (from, to int64, gap bool) {
	if len(m.buffered) == 0 || m.buffered[0].offset == m.appliedEnd {
		return 0, 0, false
	}
	return m.appliedEnd, m.buffered[0].offset, true
}

// Blocked returns why the machine stopped applying records, or nil. A record of
// a newer format may be a change, so skipping it would make the state of this
// reader differ from that of readers that know the format.
func (m *Machine) Blocked() error { return m.blocked }

// Apply applies the record with the given offset and log time. It returns, in
// order, the results of this record and of all buffered records that it
// unblocks. The slice is valid until the next call. A record below Next is a
// replay and has no result. Records must be passed in order of offset; a jump
// starts a gap.
func (m *Machine) Apply(offset int64, at time.Duration, body []byte) []Result {
	m.results = m.results[:0]
	switch {
	case offset < m.Next():
	case offset == m.appliedEnd && len(m.buffered) == 0:
		m.apply(logRecord{offset, at, body})
	default:
		m.buffer(logRecord{offset, at, body})
	}
	return m.results
}

// buffer keeps a record that cannot be applied yet. If the record is a snapshot
// that covers everything before the first buffered record, it becomes the state
// and the buffered records are applied. A full buffer, or one that the record
// does not continue, is emptied first.
func (m *Machine) buffer(r logRecord) {
	if n := len(m.buffered); n > 0 && (m.buffered[n-1].offset+1 != r.offset || n >= maxBuffered) {
		m.buffered = m.buffered[:0]
	}
	m.buffered = append(m.buffered, r)
	m.results = append(m.results, Result{Offset: r.offset, Time: r.at, Outcome: Buffered})
	rec, err := Decode(r.body)
	if err != nil || rec.Snapshot == nil {
		return
	}
	if first := m.buffered[0].offset; rec.Snapshot.EndOffset < first || rec.Snapshot.EndOffset > r.offset {
		return
	}
	if m.install(rec.Snapshot.State, rec.Snapshot.EndOffset) == nil {
		m.applyBuffered()
	}
}

// applyBuffered applies the buffered records that continue the state.
func (m *Machine) applyBuffered() {
	buffered := m.buffered
	m.buffered = nil
	for _, r := range buffered {
		switch {
		case r.offset < m.appliedEnd:
		case r.offset == m.appliedEnd:
			m.apply(r)
		default:
			m.buffered = append(m.buffered, r)
		}
	}
}

// Adopt replaces the state with the encoded state of a peer if that has a higher
// version. It reports whether the state changed.
func (m *Machine) Adopt(version int64, encoded []byte) (bool, error) {
	m.results = m.results[:0]
	if version <= m.state.version {
		return false, nil
	}
	s, err := decodeState(encoded, m.opts.MaxItems)
	if err != nil {
		return false, err
	}
	if s.version != version {
		return false, fmt.Errorf("config state: encoded version %d, announced version %d", s.version, version)
	}
	if err := m.install(encoded, version); err != nil {
		return false, err
	}
	if !m.hasReplayStart { // the log may not hold a usable snapshot, so make one due
		m.replayStart, m.hasReplayStart = 0, true
	}
	m.applyBuffered()
	return true, nil
}

// install replaces the state with an encoded one that reflects every record below
// endOffset. It refuses a state of a lower version.
func (m *Machine) install(encoded []byte, endOffset int64) error {
	s, err := decodeState(encoded, m.opts.MaxItems)
	if err != nil {
		return err
	}
	if s.version < m.state.version || s.version > endOffset {
		return fmt.Errorf("config state: version %d with end offset %d does not follow version %d", s.version, endOffset, m.state.version)
	}
	m.state = s
	m.appliedEnd = max(m.appliedEnd, endOffset)
	m.blocked = nil
	return nil
}

// apply applies the record at appliedEnd.
func (m *Machine) apply(r logRecord) {
	rec, err := Decode(r.body)
	if errors.Is(err, ErrNewerFormat) {
		m.block(r, fmt.Errorf("offset %d: %w", r.offset, err))
		return
	}
	m.appliedEnd = r.offset + 1
	if err != nil {
		m.results = append(m.results, Result{Offset: r.offset, Time: r.at, Outcome: Undecodable})
		return
	}
	if rec.Snapshot != nil {
		m.recordSnapshot(r, rec)
		return
	}
	if !m.hasReplayStart {
		m.replayStart, m.hasReplayStart = r.at, true
	}
	m.results = append(m.results, m.applyChange(r, rec))
}

// block buffers a record of a newer format and stops the machine until a
// snapshot or a peer's state covers the record.
func (m *Machine) block(r logRecord, err error) {
	m.blocked = err
	m.buffered = append(m.buffered, r)
	m.results = append(m.results, Result{Offset: r.offset, Time: r.at, Outcome: Buffered})
}

// recordSnapshot handles a snapshot of another reader. The state already reflects
// every record below it, so it only moves the start of the replay, if it is usable.
func (m *Machine) recordSnapshot(r logRecord, rec *Record) {
	if s, err := decodeState(rec.Snapshot.State, m.opts.MaxItems); err == nil && rec.Snapshot.EndOffset <= r.offset && s.version <= rec.Snapshot.EndOffset {
		m.replayStart, m.hasReplayStart = r.at, true
	}
	m.results = append(m.results, Result{Offset: r.offset, Time: r.at, ID: rec.ID, Outcome: SnapshotSeen})
}

// applyChange decides whether the change is accepted and applies it if so.
func (m *Machine) applyChange(r logRecord, rec *Record) Result {
	c := rec.Change
	res := Result{Offset: r.offset, Time: r.at, ID: rec.ID, Change: c, Outcome: Conflict}
	if c.Base == m.state.Revision(c.Key()) {
		res.FieldErrors = m.state.Validate(c)
		res.Outcome = Refused
		if len(res.FieldErrors) == 0 {
			m.accept(r.offset+1, rec)
			res.Outcome = Accepted
		}
	}
	res.Revision = m.state.Revision(c.Key())
	res.CurrentID = m.state.items[c.Key()].ID
	return res
}

// accept applies a valid change as the given revision of its item.
func (m *Machine) accept(revision int64, rec *Record) {
	c := rec.Change
	m.state.put(Item{Key: c.Key(), Revision: revision, ID: rec.ID, Deleted: c.Deleted, Value: c.Value})
	if c.Deleted {
		m.state.compactTombstones()
	}
}

// SnapshotBody returns the body of a snapshot record of the current state. It
// returns false if records are buffered or the state is empty.
func (m *Machine) SnapshotBody(id ID) ([]byte, bool) {
	if len(m.buffered) > 0 || m.blocked != nil || m.state.version == 0 {
		return nil, false
	}
	r := Record{ID: id, Snapshot: &Snapshot{EndOffset: m.appliedEnd, State: m.state.Encode()}}
	body, err := r.Encode()
	return body, err == nil
}

// ReplayStart returns the log time of the oldest record that a new reader must
// replay: the newest usable snapshot or, without one, the oldest change that was
// applied. It returns 0 if the state was adopted from a peer before this reader
// saw either, and false if there is neither.
func (m *Machine) ReplayStart() (time.Duration, bool) { return m.replayStart, m.hasReplayStart }
