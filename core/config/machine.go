package config

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what a record came to.
type Outcome uint8

// Values of Outcome.
const (
	// Accepted: the change is in force.
	Accepted Outcome = iota + 1
	// Lost: the base was not the current revision.
	Lost
	// Refused: the change is not allowed; see the faults.
	Refused
	// SnapshotSeen: the record is a snapshot.
	SnapshotSeen
	// Undecodable: the body is no record; every reader skips it.
	Undecodable
	// Buffered: a gap or a record of a newer format precedes the record, or it
	// is one; it waits for a usable snapshot or a peer's state.
	Buffered
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Lost:
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

// Verdict is the result of one record.
type Verdict struct {
	Offset  int64
	Time    time.Duration // log time since 1970
	ID      ID
	Outcome Outcome
	Change  *Change // nil for snapshots
	// Revision and Winner are the item's current revision and the id of the
	// change that set it, after this record.
	Revision int64
	Winner   ID
	Faults   []Fault
}

// raw is a record that waits behind a gap.
type raw struct {
	offset int64
	at     time.Duration
	body   []byte
}

// maxBuffered bounds the records that wait behind a gap. At 21,000 changes a
// day a third of a day's retention holds 7,000.
const maxBuffered = 65536

// Options configure a Machine.
type Options struct {
	// MaxItems bounds the classes and the teams each. Default 1,000. All
	// readers of a stream must use the same value.
	MaxItems int
}

// Machine follows the stream. It is not safe for concurrent use.
type Machine struct {
	opts    Options
	state   *State
	through int64 // every record below it is accounted for
	waiting []raw // contiguous, all above through
	// basis is the log time of the oldest record that a fresh reader needs.
	basis    time.Duration
	hasBasis bool
	blocked  error
	out      []Verdict
}

// New returns a machine with an empty configuration.
func New(opts Options) *Machine {
	if opts.MaxItems <= 0 {
		opts.MaxItems = DefaultMaxItems
	}
	return &Machine{opts: opts, state: newState(opts.MaxItems)}
}

// State returns the current state. It is valid until the next Apply or Adopt.
func (m *Machine) State() *State { return m.state }

// Version returns the version in force.
func (m *Machine) Version() int64 { return m.state.version }

// Next returns the offset below which every record is accounted for or waits
// behind a gap: the offset to read from.
func (m *Machine) Next() int64 {
	if n := len(m.waiting); n > 0 {
		return m.waiting[n-1].offset + 1
	}
	return m.through
}

// Gap reports whether records wait behind a gap: [from, to) was never seen.
func (m *Machine) Gap() (from, to int64, gap bool) {
	if len(m.waiting) == 0 || m.waiting[0].offset == m.through {
		return 0, 0, false
	}
	return m.through, m.waiting[0].offset, true
}

// Blocked returns why the machine stopped applying records, or nil. A record of
// a newer format may be a change; skipping it would give this reader another
// state than newer ones have.
func (m *Machine) Blocked() error { return m.blocked }

// Apply takes the record at the given offset and returns the verdicts of all
// records that it settles, in order. The slice is valid until the next call.
// A record that is accounted for already has no verdict. Records must be passed
// in order of offset; a jump starts a gap.
func (m *Machine) Apply(offset int64, at time.Duration, body []byte) []Verdict {
	m.out = m.out[:0]
	switch {
	case offset < m.Next():
	case offset == m.through && len(m.waiting) == 0:
		m.apply(raw{offset, at, body})
	default:
		m.wait(raw{offset, at, body})
	}
	return m.out
}

// wait buffers a record behind a gap and uses it if it is a usable snapshot.
func (m *Machine) wait(r raw) {
	if n := len(m.waiting); n > 0 && (m.waiting[n-1].offset+1 != r.offset || n >= maxBuffered) {
		m.waiting = m.waiting[:0]
	}
	m.waiting = append(m.waiting, r)
	m.out = append(m.out, Verdict{Offset: r.offset, Time: r.at, Outcome: Buffered})
	rec, err := Decode(r.body)
	if err != nil || rec.Snapshot == nil {
		return
	}
	if first := m.waiting[0].offset; rec.Snapshot.Covers < first || rec.Snapshot.Covers > r.offset {
		return
	}
	if m.adoptBytes(rec.Snapshot.State, rec.Snapshot.Covers) == nil {
		m.drainWaiting()
	}
}

// drainWaiting applies the buffered records from through on.
func (m *Machine) drainWaiting() {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		switch {
		case r.offset < m.through:
		case r.offset == m.through:
			m.apply(r)
		default:
			m.waiting = append(m.waiting, r)
		}
	}
}

// Adopt replaces the state by one that a peer holds, if that has a higher
// version. It returns whether the state changed.
func (m *Machine) Adopt(version int64, encoded []byte) (bool, error) {
	m.out = m.out[:0]
	if version <= m.state.version {
		return false, nil
	}
	s, err := decodeState(encoded, m.opts.MaxItems)
	if err != nil {
		return false, err
	}
	if s.version != version {
		return false, fmt.Errorf("config state: version %d, announced as %d", s.version, version)
	}
	if err := m.adoptBytes(encoded, version); err != nil {
		return false, err
	}
	if !m.hasBasis { // what the log holds is unknown: a snapshot is due
		m.basis, m.hasBasis = 0, true
	}
	m.drainWaiting()
	return true, nil
}

// adoptBytes installs a state that accounts for every record below covers.
// It never lowers the version.
func (m *Machine) adoptBytes(encoded []byte, covers int64) error {
	s, err := decodeState(encoded, m.opts.MaxItems)
	if err != nil {
		return err
	}
	if s.version < m.state.version || s.version > covers {
		return fmt.Errorf("config state: version %d covering %d does not follow version %d", s.version, covers, m.state.version)
	}
	m.state = s
	m.through = max(m.through, covers)
	m.blocked = nil
	return nil
}

func (m *Machine) apply(r raw) {
	rec, err := Decode(r.body)
	if errors.Is(err, ErrNewerFormat) {
		m.block(r, fmt.Errorf("offset %d: %w", r.offset, err))
		return
	}
	m.through = r.offset + 1
	if err != nil {
		m.out = append(m.out, Verdict{Offset: r.offset, Time: r.at, Outcome: Undecodable})
		return
	}
	if rec.Snapshot != nil {
		m.sawSnapshot(r, rec)
		return
	}
	if !m.hasBasis {
		m.basis, m.hasBasis = r.at, true
	}
	m.out = append(m.out, m.change(r, rec))
}

// block keeps the record waiting: a snapshot or a peer's state that covers it
// lets the machine go on.
func (m *Machine) block(r raw, err error) {
	m.blocked = err
	m.waiting = append(m.waiting, r)
	m.out = append(m.out, Verdict{Offset: r.offset, Time: r.at, Outcome: Buffered})
}

func (m *Machine) sawSnapshot(r raw, rec *Record) {
	if s, err := decodeState(rec.Snapshot.State, m.opts.MaxItems); err == nil && rec.Snapshot.Covers <= r.offset && s.version <= rec.Snapshot.Covers {
		m.basis, m.hasBasis = r.at, true
	}
	m.out = append(m.out, Verdict{Offset: r.offset, Time: r.at, ID: rec.ID, Outcome: SnapshotSeen})
}

func (m *Machine) change(r raw, rec *Record) Verdict {
	c := rec.Change
	v := Verdict{Offset: r.offset, Time: r.at, ID: rec.ID, Change: c, Outcome: Lost}
	if c.Base == m.state.Revision(c.Key()) {
		v.Faults = m.state.Check(c)
		v.Outcome = Refused
		if len(v.Faults) == 0 {
			m.accept(r.offset+1, rec)
			v.Outcome = Accepted
		}
	}
	v.Revision = m.state.Revision(c.Key())
	v.Winner = m.state.items[c.Key()].ID
	return v
}

func (m *Machine) accept(revision int64, rec *Record) {
	c := rec.Change
	m.state.put(Item{Key: c.Key(), Revision: revision, ID: rec.ID, Deleted: c.Deleted, Value: c.Value})
	if c.Deleted {
		m.state.dropDeleted()
	}
}

// SnapshotBody returns the body of a snapshot record of the current state. It
// returns false if there is a gap or nothing to snapshot.
func (m *Machine) SnapshotBody(id ID) ([]byte, bool) {
	if len(m.waiting) > 0 || m.blocked != nil || m.state.version == 0 {
		return nil, false
	}
	r := Record{ID: id, Snapshot: &Snapshot{Covers: m.through, State: m.state.Encode()}}
	body, err := r.Encode()
	return body, err == nil
}

// Basis returns the log time of the newest usable snapshot or, without one, of
// the oldest change that was applied. It returns false if there is neither.
func (m *Machine) Basis() (time.Duration, bool) { return m.basis, m.hasBasis }
