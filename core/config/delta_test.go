package config

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against agents whose configuration differs from that of the entries
// after an update by deltas. For any base version between the start and the end
// of the delta, the merged state must equal the full state byte for byte.
func TestMergedDeltaEqualsFullState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states [][]byte
		var versions []int64
		m := New(Options{})
		for offset := range rapid.Int64Range(1, 40).Draw(t, "changes") {
			randomChange(t, m, offset)
			states = append(states, m.State().Encode())
			versions = append(versions, m.Version())
		}
		last := len(states) - 1
		since := rapid.IntRange(0, last).Draw(t, "since")
		base := rapid.IntRange(since, last).Draw(t, "base")
		delta, ok := Delta(states[last], versions[since])
		assert.Assert(t, ok)
		merged, err := Merge(states[base], delta)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(merged, states[last]))
	})
}

func randomChange(t *rapid.T, m *Machine, offset int64) {
	c := Change{
		Kind: KindClass, Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"),
		Value: Value{ResponseTargetMicros: rapid.Int64Range(1000, 9000).Draw(t, "within")},
	}
	c.Base = m.State().Revision(c.Key())
	if _, exists := m.State().Get(c.Key()); exists && rapid.Bool().Draw(t, "delete") {
		c.Deleted, c.Value = true, Value{}
	}
	applyChange(t, m, offset, c)
}

func applyChange(t assert.TestingT, m *Machine, offset int64, c Change) {
	body, err := (&Record{ID: ID{byte(offset), byte(offset >> 8), 1}, Change: &c}).Encode()
	assert.NilError(t, err)
	m.Apply(offset, time.Duration(offset), body)
}

// Guards against a deleted item that survives at agents because its tombstone
// was compacted before the delta was taken.
func TestNoDeltaAcrossCompactedTombstone(t *testing.T) {
	m := New(Options{})
	offset := int64(0)
	change := func(name string, deleted bool) {
		c := Change{Kind: KindClass, Name: name, Deleted: deleted, Value: Value{ResponseTargetMicros: 1000}}
		if deleted {
			c.Value = Value{}
		}
		c.Base = m.State().Revision(c.Key())
		applyChange(t, m, offset, c)
		offset++
	}
	change("first", false)
	before, old := m.Version(), m.State().Encode()
	change("first", true)
	for i := range maxTombstones + 1 {
		change(fmt.Sprintf("class-%d", i), false)
		change(fmt.Sprintf("class-%d", i), true)
	}
	_, ok := Delta(m.State().Encode(), before)
	assert.Assert(t, !ok)

	since := m.Version()
	base := m.State().Encode()
	change("last", false)
	change("last", true) // compacts another tombstone
	delta, ok := Delta(m.State().Encode(), since)
	assert.Assert(t, ok)
	merged, err := Merge(base, delta)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(merged, m.State().Encode()))
	_, err = Merge(m.State().Encode(), old)
	assert.ErrorContains(t, err, "delta to version")
}
