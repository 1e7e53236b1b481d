package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// breakLinkOfBusyHost breaks the connection of the agent that runs something, just after the
// entry has sent it a clock echo, and returns that agent.
func (w *resendWorld) breakLinkOfBusyHost(redialAfter time.Duration) *resendHost {
	w.advance(200 * time.Millisecond)
	busy := w.hosts[slices.IndexFunc(w.hosts, func(h *resendHost) bool { return len(h.runs) > 0 })]
	// The result of another run makes the entry's clock echo as new as possible.
	busy.toEntry = append(busy.toEntry, entry.Received{Agent: busy.incarnation, Epoch: busy.epoch, Frame: &wire.ToEntry{AgentClock: wire.MicrosOf(w.now)}})
	w.advance(modelStep)
	w.queue = append(w.queue, entry.EntriesChanged{List: []wire.EntryAddr{{Incarnation: 1, Peer: "a"}}})
	w.advance(2 * modelStep)
	w.resetLink(busy, redialAfter)
	return busy
}

// Guards against a run that goes on while its task runs again: the agent was given up
// after the loss of its connection, and connected again before its lease had expired.
func TestRunAtAgentThatWasGivenUpDoesNotGoOn(t *testing.T) {
	for _, stored := range []bool{false, true} {
		for _, away := range []time.Duration{100, 300, 380, 400, 420, 440, 460, 480, 500, 600} {
			longest := func(limit int) int { return limit }
			var failure string
			w := newResendWorld(2, func(format string, args ...any) { failure = fmt.Sprintf(format, args...) }, longest)
			if stored {
				w.submitStored()
			} else {
				w.submit()
			}
			w.breakLinkOfBusyHost(away * time.Millisecond)
			w.advance(6 * time.Second)
			assert.Equal(t, failure, "", "stored %v, away for %v", stored, away*time.Millisecond)
		}
	}
}

// Guards against a run that goes on while its task runs again: the connection of its agent
// was accepted before the entry was paused, and is handled after the agent was removed.
func TestRunAtAgentThatWasRemovedDoesNotGoOn(t *testing.T) {
	for _, pause := range []time.Duration{900, 920, 940, 960, 980, 1000, 1040, 1100} {
		var failure string
		busyCore := false
		draw := func(limit int) int {
			if busyCore {
				return 0
			}
			return limit
		}
		w := newResendWorld(2, func(format string, args ...any) { failure = fmt.Sprintf(format, args...) }, draw)
		w.submitStored()
		busy := w.breakLinkOfBusyHost(440 * time.Millisecond)
		w.advance(430 * time.Millisecond)
		busyCore = true // accepts connections and makes ticks, but handles no event
		for !busy.accepted {
			w.advance(modelStep)
		}
		w.advance(4 * modelStep)
		w.pausedUntil = w.now + pause*time.Millisecond
		busyCore = false
		w.advance(modelRunLease - 8*modelStep)
		busy.pausedUntil = w.now + time.Minute // just before it stops its runs
		w.advance(6 * time.Second)
		assert.Equal(t, failure, "", "pause of %v", pause*time.Millisecond)
	}
}
