package config

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const logTime = 1_000_000 * time.Hour

func class(name string, base int64, within time.Duration) Change {
	return Change{Kind: KindClass, Name: name, Base: base, Value: Value{ResponseTargetMicros: within.Microseconds(), TargetShare: 0.9}}
}

func body(t assert.TestingT, id byte, c Change) []byte {
	b, err := (&Record{ID: ID{id}, Change: &c}).Encode()
	assert.NilError(t, err)
	return b
}

// feed applies a body at the next offset and returns its result.
func feed(t assert.TestingT, m *Machine, b []byte) Result {
	results := m.Apply(m.Next(), logTime, b)
	assert.Equal(t, len(results), 1)
	return results[0]
}

func snapshot(t assert.TestingT, m *Machine) []byte {
	b, ok := m.SnapshotBody(ID{99})
	assert.Assert(t, ok)
	return b
}

// Guards against two concurrent changes that are both reported as accepted, and
// against a conflict whose result does not name the accepted change.
func TestFirstOfTwoChangesToSameRevisionWins(t *testing.T) {
	m := New(Options{})
	assert.Equal(t, feed(t, m, body(t, 1, class("a", 0, time.Second))).Outcome, Accepted)
	won := feed(t, m, body(t, 2, class("a", 1, 2*time.Second)))
	lost := feed(t, m, body(t, 3, class("a", 1, 3*time.Second)))
	assert.Equal(t, won.Outcome, Accepted)
	assert.Equal(t, won.Revision, int64(2))
	assert.Equal(t, lost.Outcome, Conflict)
	assert.Equal(t, lost.Revision, won.Revision)
	assert.Equal(t, lost.CurrentID, ID{2})
	assert.Equal(t, m.Version(), int64(2))
}

// Guards against a replayed or delayed record that restores an old value, also
// after the item was deleted and after its tombstone was compacted.
func TestReplayHasNoEffect(t *testing.T) {
	m := New(Options{MaxItems: maxTombstones + 10})
	creation := body(t, 1, class("a", 0, time.Second))
	feed(t, m, creation)
	assert.Equal(t, feed(t, m, creation).Outcome, Conflict)
	feed(t, m, body(t, 2, Change{Kind: KindClass, Name: "a", Base: 1, Deleted: true}))
	assert.Equal(t, feed(t, m, creation).Outcome, Conflict)
	for i := range maxTombstones + 1 {
		name := fmt.Sprint("n", i)
		base := m.State().Revision(Key{KindClass, name})
		res := feed(t, m, body(t, 3, class(name, base, time.Second)))
		assert.Equal(t, res.Outcome, Accepted)
		res = feed(t, m, body(t, 3, Change{Kind: KindClass, Name: name, Base: res.Revision, Deleted: true}))
		assert.Equal(t, res.Outcome, Accepted)
	}
	assert.Equal(t, len(m.State().items), maxTombstones)
	assert.Equal(t, feed(t, m, creation).Outcome, Conflict)
	assert.Equal(t, len(m.State().Items()), 0)
}

// Guards against a reader that starts from a snapshot and ends in another state
// than one that read every record.
func TestReaderFromSnapshotGetsTheSameState(t *testing.T) {
	m := New(Options{})
	feed(t, m, body(t, 1, class("a", 0, time.Second)))
	feed(t, m, body(t, 2, class("b", 0, time.Second)))
	snapBody := snapshot(t, m)
	between := body(t, 3, class("a", 1, 2*time.Second))
	after := body(t, 4, class("b", 2, 3*time.Second))
	feed(t, m, between)
	feed(t, m, snapBody)
	feed(t, m, after)

	reader := New(Options{})
	assert.Equal(t, reader.Apply(2, logTime, between)[0].Outcome, Buffered)
	assert.Equal(t, reader.Version(), int64(0))
	results := reader.Apply(3, logTime, snapBody)
	assert.Equal(t, results[1].Outcome, Accepted)
	reader.Apply(4, logTime, after)
	assert.Assert(t, bytes.Equal(reader.State().Encode(), m.State().Encode()))
}

// Guards against the use of a snapshot when records between the offset that it
// covers and the first one that was read are missing.
func TestSnapshotWithMissingRecordsIsNotUsed(t *testing.T) {
	m := New(Options{})
	feed(t, m, body(t, 1, class("a", 0, time.Second)))
	snapBody := snapshot(t, m)
	feed(t, m, body(t, 2, class("a", 1, 2*time.Second)))
	feed(t, m, snapBody)

	reader := New(Options{})
	reader.Apply(2, logTime, snapBody) // record 1 was not read, the snapshot covers only record 0
	from, to, gap := reader.Gap()
	assert.Assert(t, gap)
	assert.Equal(t, [2]int64{from, to}, [2]int64{0, 2})
	assert.Equal(t, reader.Version(), int64(0))
	changed, err := reader.Adopt(m.Version(), m.State().Encode())
	assert.NilError(t, err)
	assert.Assert(t, changed)
	_, _, gap = reader.Gap()
	assert.Assert(t, !gap)
}

// Guards against a reader that continues after a pause without the records that
// it missed.
func TestRecordAfterGapIsBuffered(t *testing.T) {
	m := New(Options{})
	feed(t, m, body(t, 1, class("a", 0, time.Second)))
	results := m.Apply(5, logTime, body(t, 2, class("a", 1, 2*time.Second)))
	assert.Equal(t, results[0].Outcome, Buffered)
	assert.Equal(t, m.Version(), int64(1))
	_, ok := m.SnapshotBody(ID{})
	assert.Assert(t, !ok, "a reader with a gap must not write a snapshot")
}

// Guards against a configuration that reverts to an earlier version (promise P8).
func TestLowerVersionIsNeverApplied(t *testing.T) {
	m := New(Options{})
	old := New(Options{})
	feed(t, old, body(t, 1, class("a", 0, time.Second)))
	feed(t, m, body(t, 1, class("a", 0, time.Second)))
	feed(t, m, body(t, 2, class("a", 1, 2*time.Second)))
	changed, err := m.Adopt(old.Version(), old.State().Encode())
	assert.NilError(t, err)
	assert.Assert(t, !changed)

	ahead := New(Options{})
	changed, err = ahead.Adopt(m.Version(), m.State().Encode())
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Equal(t, len(ahead.Apply(0, logTime, body(t, 1, class("a", 0, time.Second)))), 0)
	assert.Equal(t, ahead.Version(), int64(2))
}

// Guards against a reader that skips a record of a newer format, and against one
// that stops at a body that is no record at all.
func TestNewerFormatBlocksAndGarbageIsSkipped(t *testing.T) {
	m := New(Options{})
	assert.Equal(t, feed(t, m, []byte("garbage")).Outcome, Undecodable)
	feed(t, m, body(t, 1, class("a", 0, time.Second)))
	m.Apply(2, logTime, []byte{0x82, 0x02, 0x00})
	m.Apply(3, logTime, body(t, 2, class("a", 2, 2*time.Second)))
	assert.ErrorIs(t, m.Blocked(), ErrNewerFormat)
	assert.Equal(t, m.Version(), int64(2))
}

// Guards against invalid values that are accepted.
func TestValidationNamesFieldAndAllowedValues(t *testing.T) {
	long := string(bytes.Repeat([]byte("a"), MaxNameBytes+1))
	for _, c := range []struct {
		change Change
		fields string
	}{
		{class("", 0, time.Second), "name"},
		{class("Quote", 0, time.Second), "name"},
		{class(long, 0, time.Second), "name"},
		{class("a", 0, MinResponseTarget-1), "within"},
		{class("a", 0, MaxResponseTarget+time.Microsecond), "within"},
		{class("a", -1, 0), "base within"},
		{Change{Kind: KindClass, Name: "a", Value: Value{ResponseTargetMicros: 1000, TargetShare: math.NaN()}}, "success"},
		{Change{Kind: KindClass, Name: "a", Value: Value{ResponseTargetMicros: 1000, TargetShare: 1.01}}, "success"},
		{Change{Kind: KindTeam, Name: "a", Value: Value{Quota: -1}}, "quota"},
		{Change{Kind: KindEmphasis, Value: Value{Emphasis: 2}}, "emphasis"},
		{Change{Kind: KindEmphasis, Deleted: true}, "emphasis"},
		{Change{Kind: 9, Name: "a"}, "kind"},
	} {
		var got []string
		for _, f := range c.change.Validate() {
			got = append(got, f.Field)
			assert.Assert(t, f.Allowed != "")
		}
		assert.Equal(t, fmt.Sprint(got), "["+c.fields+"]")
	}
}

// Guards against a state with more items than Options.MaxItems allows.
func TestItemsAreBounded(t *testing.T) {
	m := New(Options{MaxItems: 2})
	for i, want := range []Outcome{Accepted, Accepted, Refused} {
		res := feed(t, m, body(t, 1, class(fmt.Sprint("c", i), 0, time.Second)))
		assert.Equal(t, res.Outcome, want)
	}
	feed(t, m, body(t, 1, Change{Kind: KindClass, Name: "c0", Base: 1, Deleted: true}))
	assert.Equal(t, feed(t, m, body(t, 1, class("c9", 0, time.Second))).Outcome, Accepted)
}

// Guards against readers that diverge. For random records, a reader that starts
// late, from a snapshot or from a peer's state, must end in the state of a reader
// that read everything or report a gap, and its version must never decrease.
func TestEveryReaderEndsInTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, late := New(Options{}), New(Options{})
		start := rapid.Int64Range(0, 30).Draw(t, "late reader's first offset")
		offer := rapid.Int64Range(0, 150).Draw(t, "offset at which a peer offers its state, none from 50 on")
		var bodies [][]byte
		for offset := range int64(50) {
			b := drawBody(t, full, bodies)
			bodies = append(bodies, b)
			full.Apply(offset, logTime, b)
			before := late.Version()
			if offset >= start {
				late.Apply(offset, logTime, b)
			}
			if offset == offer {
				_, err := late.Adopt(full.Version(), full.State().Encode())
				assert.NilError(t, err)
			}
			if late.Version() < before {
				t.Fatalf("version decreased from %d to %d", before, late.Version())
			}
		}
		same := bytes.Equal(full.State().Encode(), late.State().Encode())
		_, _, gap := late.Gap()
		if !same && !gap {
			t.Fatalf("readers differ: versions %d and %d", full.Version(), late.Version())
		}
	})
}

// drawBody draws a change with a current or an outdated base, a replay of an
// earlier record, a snapshot, or bytes that are not a record.
func drawBody(t *rapid.T, m *Machine, earlier [][]byte) []byte {
	key := Key{KindClass, string(rune('a' + rapid.IntRange(0, 2).Draw(t, "name")))}
	c := class(key.Name, m.State().Revision(key), time.Duration(rapid.IntRange(1, 9).Draw(t, "within"))*time.Second)
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		c.Base = rapid.Int64Range(0, 50).Draw(t, "base")
	case 1:
		c.Deleted, c.Value = true, Value{}
	case 2:
		if len(earlier) > 0 {
			return rapid.SampledFrom(earlier).Draw(t, "replay")
		}
	case 3:
		if b, ok := m.SnapshotBody(ID{7}); ok {
			return b
		}
	case 4:
		return []byte("garbage")
	}
	return body(t, rapid.Byte().Draw(t, "id"), c)
}

// Guards against snapshots that are written too late, never, or by every reader.
func TestSnapshotIsDelayedAndCancelled(t *testing.T) {
	const retention = 9 * time.Hour
	r := SnapshotScheduler{Retention: retention, Rand: rand.New(rand.NewPCG(1, 1))}
	replayStart := logTime
	assert.Assert(t, !r.ShouldWrite(replayStart+3*time.Hour-1, replayStart, true))
	due := replayStart + 3*time.Hour
	assert.Assert(t, !r.ShouldWrite(due, replayStart, true), "the delay is random and not 0 for this seed")
	assert.Assert(t, r.ShouldWrite(due+retention/10, replayStart, true))

	r = SnapshotScheduler{Retention: retention, Rand: rand.New(rand.NewPCG(1, 1))}
	assert.Assert(t, !r.ShouldWrite(due, replayStart, true))
	replayStart = due + time.Minute // another reader's snapshot
	assert.Assert(t, !r.ShouldWrite(due+retention/10, replayStart, true))
	assert.Assert(t, !r.ShouldWrite(due, 0, false))

	r = SnapshotScheduler{Retention: retention, Rand: rand.New(rand.NewPCG(1, 1))}
	late := logTime + retention // after an outage as long as the retention
	assert.Assert(t, !r.ShouldWrite(late, logTime, true))
	assert.Assert(t, r.ShouldWrite(late+minSnapshotJitter, logTime, true))
}

func FuzzDecode(f *testing.F) {
	m := New(Options{})
	f.Add([]byte{})
	f.Add(body(f, 1, class("a", 0, time.Second)))
	m.Apply(0, logTime, body(f, 1, class("a", 0, time.Second)))
	f.Add(snapshot(f, m))
	f.Add([]byte{0x82, 0x02, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, offset := range []int64{0, 5} {
			m := New(Options{})
			m.Apply(offset, logTime, b) // must not panic
			m.State().Settings()
		}
	})
}

func FuzzDecodeState(f *testing.F) {
	m := New(Options{})
	f.Add(m.State().Encode())
	m.Apply(0, logTime, body(f, 1, class("a", 0, time.Second)))
	f.Add(m.State().Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeState(b)
		if err != nil {
			return
		}
		again, err := DecodeState(s.Encode())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(again.Encode(), s.Encode()))
	})
}

// BenchmarkChange measures applying one accepted change and encoding the whole
// state, as is done for peers.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(Options{MaxItems: n})
			for i := range n {
				m.Apply(m.Next(), logTime, body(b, 1, class(fmt.Sprintf("class-%05d", i), 0, time.Second)))
			}
			var record, state int
			for b.Loop() {
				key := Key{KindClass, "class-00007"}
				r := body(b, 1, class(key.Name, m.State().Revision(key), time.Second))
				m.Apply(m.Next(), logTime, r)
				record, state = len(r), len(m.State().Encode())
			}
			b.ReportMetric(float64(record), "recordB")
			b.ReportMetric(float64(state), "stateB")
		})
	}
}
