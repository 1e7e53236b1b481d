package logstate

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against presence records that decode to an invalid entry address or do not
// survive a round trip.
func FuzzDecodePresence(f *testing.F) {
	body, err := encodePresence(wire.EntryAddr{Incarnation: 7, Peer: "10.0.0.1:7000", Zone: "negombo"})
	assert.NilError(f, err)
	f.Add(body)
	f.Add([]byte{})
	f.Add([]byte{0x82, 0x01, 0x83, 0x00, 0x60, 0x60})
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := decodePresence(body)
		if err != nil {
			return
		}
		assert.Assert(t, a.Incarnation != 0 && a.Peer != "")
		again, err := encodePresence(a)
		assert.NilError(t, err)
		b, err := decodePresence(again)
		assert.NilError(t, err)
		assert.Equal(t, a, b)
	})
}
