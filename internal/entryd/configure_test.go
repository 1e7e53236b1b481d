package entryd_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// heldScheduler holds the core goroutine back while it is configured.
type heldScheduler struct {
	policy.Scheduler
	reached chan struct{} // buffered: a failed test reads no more
	resume  chan struct{}
}

func (s *heldScheduler) Configure(now time.Duration, set policy.Settings) {
	if len(set.Classes) > 0 {
		s.reached <- struct{}{}
		<-s.resume
	}
	s.Scheduler.Configure(now, set)
}

// Guards against a job that is refused for an unknown class although the entry
// shows the configuration that has it: the version must not be ahead of the
// events that the core will see before the job.
func TestVersionIsNotAheadOfTheCore(t *testing.T) {
	s := &heldScheduler{Scheduler: policy.NewLeastBusy(), reached: make(chan struct{}, 8), resume: make(chan struct{})}
	e, err := entryd.Start(entryd.Options{Listen: loopback, PeerListen: loopback, Scheduler: s})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	resume := sync.OnceFunc(func() { close(s.resume) })
	t.Cleanup(func() { // before Kill, which waits for the core
		resume()
	})
	settings := policy.Settings{Classes: []policy.Class{{Name: "c", Within: time.Second}}}
	e.Configure(settings, 1, nil)
	<-s.reached
	filled := make(chan struct{})
	go func() {
		defer close(filled)
		for i := 0; !e.RingFull(); i++ {
			e.SetEntries([]wire.EntryAddr{{Incarnation: wire.Incarnation(i + 1), Peer: "p"}})
		}
	}()
	<-filled
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Configure(settings, 2, nil) // waits for room in the ring
	}()
	for range 50 {
		time.Sleep(time.Millisecond)
		assert.Equal(t, e.ConfigVersion(), int64(1), "the core does not have the event of version 2")
	}
	resume()
	<-s.reached // version 2
	<-done
	assert.Equal(t, e.ConfigVersion(), int64(2))
}
