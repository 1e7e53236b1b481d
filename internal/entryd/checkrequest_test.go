package entryd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/bootclock"
)

// Guards against a core that is busy with checks, each of which visits all callers and agents,
// while many agents connect at the same time: one check serves all hellos that arrived before.
func TestOneCheckOfCallersServesAllQueuedHellos(t *testing.T) {
	core := &core{
		e:       &Entry{opts: Options{Core: entry.Options{ResendDelay: time.Second}}, clock: bootclock.New(), events: make(chan any, 3)},
		machine: entry.New(entry.Options{Incarnation: 1, Scheduler: policy.NewLeastBusy()}),
	}
	checks := 0
	handleNext := func() {
		time.Sleep(time.Millisecond) // the time of a check shows that it was made
		before := core.checkedAt
		core.handleEvent(<-core.e.events)
		if core.checkedAt != before {
			checks++
		}
	}
	sendHello := func() { core.e.events <- checkRequest{make(chan struct{})} }
	for range 3 {
		sendHello()
	}
	for range 3 {
		handleNext()
	}
	assert.Equal(t, checks, 1)
	sendHello()
	handleNext()
	assert.Equal(t, checks, 2, "the last hello arrived after the check")
}
