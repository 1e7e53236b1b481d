package fleet

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxStateBytes bounds an unpacked configuration.
const maxStateBytes = 8 << 20

// packState compresses a configuration for the links between entries and agents.
// Lists of routes repeat most of their text.
func packState(state []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil { // not reached: the level is valid
		panic("fleet: " + err.Error())
	}
	w.Write(state) // writes to a bytes.Buffer do not fail
	w.Close()
	return out.Bytes()
}

// unpackState reverses packState.
func unpackState(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("packed configuration: %w", err)
	}
	state, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, fmt.Errorf("packed configuration: %w", err)
	}
	if len(state) > maxStateBytes {
		return nil, fmt.Errorf("packed configuration: more than %d bytes", maxStateBytes)
	}
	return state, nil
}
