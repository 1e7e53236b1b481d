package agentd

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

// Guards against jobs that fit and never start: an agent that starts while its worker's
// capacity is reduced stated that capacity to entries for good.
func TestGrownCapacityIsStatedInNewHello(t *testing.T) {
	entry := newFakeEntry(t, 10)
	server := startUpstream(t, upstream.Options{})
	a := startAgent(t, Options{
		Slots: 8, Capacity: wire.Capacity{MilliCores: 16000}, UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()},
	})
	entry.awaitLink()
	a.SetCapacity(wire.Capacity{MilliCores: 8000}, 1)
	a.SetCapacity(wire.Capacity{MilliCores: 64000}, 2)
	entry.await("a hello with the grown capacity", func() bool {
		return entry.links == 1 && entry.hellos[len(entry.hellos)-1].Capacity.MilliCores == 64000
	})
	assert.Equal(t, len(entry.hellos), 2, "a smaller capacity needs no hello")
	entry.send(wire.ToAgent{Starts: []wire.Start{{
		Seq: 1, Submission: wire.SubmissionID{1}, Class: "c", Need: wire.Capacity{MilliCores: 24000},
		MaxWait: wire.MicrosOf(testTimeout), Deadline: wire.MicrosOf(testTimeout), Payload: []byte(`{}`),
	}}})
	assert.Equal(t, entry.result(1).Outcome, wire.Succeeded)
}
