package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a task that gets another one's payload, and against payloads
// that are sent again for each task of a job.
func TestPayloadsAreSharedWithinAFrame(t *testing.T) {
	one, other := []byte("one"), []byte("one")
	f := &ToAgent{Starts: []Start{{Payload: one}, {Payload: one}, {Payload: other}, {Payload: other}, {}, {Payload: one}}}
	f.SharePayloads()
	sent := 0
	for _, s := range f.Starts {
		sent += len(s.Payload)
	}
	assert.Equal(t, sent, 3*len(one))
	f.FillPayloads()
	for i, want := range []string{"one", "one", "one", "one", "", "one"} {
		assert.Equal(t, string(f.Starts[i].Payload), want)
	}
}
