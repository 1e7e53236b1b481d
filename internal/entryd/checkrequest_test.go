package entryd

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
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
	sendHello := func() { core.e.events <- checkRequest{make(chan bool, 1)} }
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

// Guards against a lease that the answer to a hello renews for the runs of callers that have
// left, because the kernel did not say which have.
func TestHelloIsNotAnsweredIfCallersCannotBeChecked(t *testing.T) {
	e, err := Start(Options{
		Name: "e", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Scheduler: policy.NewLeastBusy(),
		Core: entry.Options{ResendDelay: time.Second},
	})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	assert.Assert(t, e.awaitCallersChecked())
	var limit unix.Rlimit
	assert.NilError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	lower := limit
	lower.Cur = min(limit.Cur, 4096)
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &lower))
	t.Cleanup(func() { assert.NilError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)) })
	tooMany := make([]unix.PollFd, lower.Cur+1) // poll(2) refuses more than the limit
	for i := range tooMany {
		tooMany[i].Fd = -1
	}
	e.waiters.mu.Lock()
	e.waiters.fds = tooMany
	e.waiters.mu.Unlock()
	assert.Assert(t, !e.awaitCallersChecked())
}
