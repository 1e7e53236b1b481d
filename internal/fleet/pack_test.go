package fleet

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a configuration that changes on its way over an agent, and against
// one of many routes that fills the links of weak entries.
func TestPackedStateIsSmallAndUnpacksToTheSame(t *testing.T) {
	var state bytes.Buffer
	for i := range 1700 {
		fmt.Fprintf(&state, `{"name":"r%x","host":"h%d.example","pathPrefix":"/p%x","timeoutMs":1500,"service":"desk","maxAttempts":2},`, i*7919, i%40, i*104729)
	}
	packed := packState(state.Bytes())
	assert.Assert(t, len(packed)*5 < state.Len(), "%d of %d bytes", len(packed), state.Len())
	back, err := unpackState(packed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(back, state.Bytes()))
}

// Guards against a malformed configuration from an agent that stops the entry or
// makes it use much memory.
func TestMalformedPackedStateIsRefused(t *testing.T) {
	bomb := packState(make([]byte, maxStateBytes+1))
	for _, packed := range [][]byte{nil, []byte("{}"), packState([]byte("x"))[:12], bomb} {
		_, err := unpackState(packed)
		assert.ErrorContains(t, err, "packed configuration")
	}
}

func FuzzUnpackState(f *testing.F) {
	f.Add(packState([]byte("state")))
	f.Fuzz(func(t *testing.T, packed []byte) {
		state, err := unpackState(packed)
		if err == nil {
			again, err := unpackState(packState(state))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(again, state))
		}
	})
}
