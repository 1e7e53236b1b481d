package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a task that receives another task's payload, and against
// sending a payload again for each task of a job.
func TestRepeatedPayloadIsSentOncePerFrame(t *testing.T) {
	first, second := []byte("one"), []byte("one")
	f := &ToAgent{Starts: []Start{{Payload: first}, {Payload: first}, {Payload: second}, {Payload: second}, {}, {Payload: first}}}
	f.DedupPayloads()
	sentBytes := 0
	for _, s := range f.Starts {
		sentBytes += len(s.Payload)
	}
	assert.Equal(t, sentBytes, 3*len(first))
	f.RestorePayloads()
	for i, want := range []string{"one", "one", "one", "one", "", "one"} {
		assert.Equal(t, string(f.Starts[i].Payload), want)
	}
}
