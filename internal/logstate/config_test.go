package logstate_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/platformlog"
)

// Guards against a published change that does not take effect at every entry.
func TestChangeReachesEveryEntry(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	var seen atomic.Int64
	a := s.entry(func(o *logstate.Options) {
		o.OnConfig = func(v int64, set policy.Settings, _ []byte) {
			assert.Check(t, v > seen.Load())
			seen.Store(v)
			assert.Check(t, len(set.Classes) == 1)
		}
	})
	v := s.change(class("a", 0, time.Second))
	s.until("the first change is in effect", func() bool { return seen.Load() == v })
	v = s.change(class("a", v, 2*time.Second))
	s.until("the second change is in effect", func() bool { return seen.Load() == v })
	_, settings, _ := a.Config()
	assert.Equal(t, settings.Classes[0].ResponseTarget, 2*time.Second)
}

// Guards against a new entry without configuration during a log outage, and against
// one that reverts to an older version after the outage.
func TestConfigFromPeerStaysInEffectAfterOutage(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a := s.entry(nil)
	v := s.change(class("a", 0, time.Second))
	v = s.change(class("a", v, 2*time.Second))
	s.until("the change is in effect", func() bool { return a.Status().ConfigVersion == v })
	s.server.SetFaults(logserver.Faults{Outage: true})
	known := v
	newEntry := s.entry(func(o *logstate.Options) {
		o.OnConfig = func(got int64, _ policy.Settings, _ []byte) { assert.Check(t, got >= known) }
	})
	_, _, encoded := a.Config()
	assert.NilError(t, newEntry.OfferConfig(v, encoded))
	assert.Equal(t, newEntry.Status().ConfigVersion, v)
	assert.Assert(t, newEntry.OfferConfig(v+1, encoded) != nil, "the offered version must be that of the state")
	assert.Assert(t, newEntry.OfferConfig(v+1, []byte("junk")) != nil)
	s.server.SetFaults(logserver.Faults{})
	v = s.change(class("a", v, 3*time.Second))
	s.until("the next change is in effect", func() bool { return newEntry.Status().ConfigVersion == v })
}

// Guards against a paused reader that silently skips records that expired.
func TestMissedConfigChangesAreFetchedFromPeer(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	log := &pausableLog{Log: s.client()}
	a := s.entry(nil)
	var paused *logstate.State
	paused = s.entry(func(o *logstate.Options) {
		o.Log = log
		o.OnConfigGap = func() {
			v, _, encoded := a.Config()
			assert.Check(t, paused.OfferConfig(v, encoded) == nil)
		}
	})
	v := s.change(class("a", 0, time.Second))
	s.until("the change is in effect", func() bool { return paused.Status().ConfigVersion == v })
	log.pause()
	v = s.change(class("a", v, 2*time.Second))
	v = s.change(class("b", 0, 2*time.Second))
	v = s.change(class("a", v-1, 3*time.Second))
	// Otherwise the peer misses the changes too, and nobody has them.
	s.until("the change is in effect", func() bool { return a.Status().ConfigVersion == v })
	s.server.ExpireBelow(logstate.StreamConfig, 3)
	log.resume()
	s.until("the gap is closed", func() bool {
		st := paused.Status()
		return st.ConfigVersion == v && !st.ConfigGap
	})
}

// Guards against a configuration that is lost when its records expire.
func TestNewEntryStartsFromSnapshotAfterExpiry(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	a, b := s.entry(nil), s.entry(nil)
	v := s.change(class("a", 0, time.Second))
	s.until("the change is in effect", func() bool { return a.Status().ConfigVersion == v && b.Status().ConfigVersion == v })
	appendRecord := func() { // makes the entries read the log time
		_, err := s.client().Append(context.Background(), logstate.StreamConfig, platformlog.NewRecordID(), nil)
		assert.NilError(t, err)
	}
	snapshots := func() int64 { return a.Status().Counters.Snapshots + b.Status().Counters.Snapshots }
	s.until("a snapshot is written", func() bool {
		s.server.AdvanceLogTime(time.Hour)
		appendRecord()
		return snapshots() > 0
	})
	records := s.server.Records(logstate.StreamConfig)
	s.server.ExpireBelow(logstate.StreamConfig, records[0].Offset+1)
	newEntry := s.entry(nil)
	s.until("the new entry has the configuration", func() bool { return newEntry.Status().ConfigVersion == v })
}

// Guards against entries that do not find each other, and against unnecessary
// appends: an idle entry has appended its presence record and nothing else.
func TestIdleEntriesAppendOnlyTheirPresence(t *testing.T) {
	s := newSystem(t, logserver.Options{})
	var known atomic.Pointer[[]wire.EntryAddr]
	s.entry(func(o *logstate.Options) { o.OnEntries = func(e []wire.EntryAddr) { known.Store(&e) } })
	for range 3 {
		e := s.entry(nil)
		s.until("the list is complete", func() bool { return len(e.Entries()) == int(s.lastIncarnation) })
	}
	s.until("the list is complete", func() bool { return known.Load() != nil && len(*known.Load()) == 4 })
	assert.Equal(t, s.server.Counts().Appends, int64(4))
}
