package agentd

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

// Guards against a hello whose request for neighbours does not reach the state machine,
// and against reports that are lost on the link.
func TestNeighboursAreReportedToTheEntryThatAsks(t *testing.T) {
	for _, ask := range []bool{true, false} {
		entry := newFakeEntry(t, 10)
		entry.ask = ask
		server := startUpstream(t, upstream.Options{})
		startAgent(t, Options{UpstreamURL: upstreamURL(server), Entries: []string{entry.addr()}, Slots: 4})
		entry.awaitLink()
		entry.start(1, `{"sleep_us":400000}`)
		entry.await("a running task", func() bool { return entry.load.Running == 1 })
		entry.start(2, `{"sleep_us":1000}`)
		want := []wire.Neighbour{{Class: "c", Slots: 1000}}
		if !ask {
			want = nil
		}
		assert.Equal(t, len(entry.result(2).Neighbours), len(want))
		if ask {
			assert.Equal(t, entry.result(2).Neighbours[0], want[0])
		}
		entry.mu.Lock()
		assert.Equal(t, len(entry.load.Classes), len(want))
		entry.mu.Unlock()
	}
}
