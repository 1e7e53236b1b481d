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

// blockingScheduler blocks the core goroutine in Configure until resume is closed.
type blockingScheduler struct {
	policy.Scheduler
	reached chan struct{} // buffered, since a failed test stops receiving
	resume  chan struct{}
}

func (s *blockingScheduler) Configure(now time.Duration, set policy.Settings) {
	if len(set.Classes) > 0 {
		s.reached <- struct{}{}
		<-s.resume
	}
	s.Scheduler.Configure(now, set)
}

// Guards against a job that is refused for an unknown class although the entry
// already shows the configuration with that class: the version may change only
// once the event with the configuration is queued for the core.
func TestConfigVersionIsShownOnlyOnceQueuedForTheCore(t *testing.T) {
	s := &blockingScheduler{Scheduler: policy.NewLeastBusy(), reached: make(chan struct{}, 8), resume: make(chan struct{})}
	e, err := entryd.Start(entryd.Options{Listen: loopback, PeerListen: loopback, Scheduler: s})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	resume := sync.OnceFunc(func() { close(s.resume) })
	t.Cleanup(func() { // runs before Kill, which waits for the core
		resume()
	})
	settings := policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Second}}}
	e.Configure(settings, 1, nil)
	<-s.reached
	filled := make(chan struct{})
	go func() {
		defer close(filled)
		for i := 0; !e.EventQueueFull(); i++ {
			e.SetEntries([]wire.EntryAddr{{Incarnation: wire.Incarnation(i + 1), Peer: "p"}})
		}
	}()
	<-filled
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Configure(settings, 2, nil) // blocks until the queue has room
	}()
	for range 50 {
		time.Sleep(time.Millisecond)
		assert.Equal(t, e.ConfigVersion(), int64(1), "version 2 is shown before its event is queued for the core")
	}
	resume()
	<-s.reached // version 2
	<-done
	assert.Equal(t, e.ConfigVersion(), int64(2))
}
