package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a configuration that reverts to an older version, or that does
// not reach an entry which started during an outage of the log.
func TestNewestConfigurationReachesEntriesWithoutIt(t *testing.T) {
	s := newScript(Options{Slots: 1})
	s.step(LinkUp{Entry: entryB, Epoch: 2}) // has no configuration
	s.step(LinkUp{Entry: entryA, Epoch: 3, ConfigVersion: 7})
	s.frames = nil
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 7}})
	assert.Equal(t, len(s.frames), 1)
	assert.Equal(t, s.frames[0].Config.Version, int64(7))
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 6}})
	assert.Equal(t, s.machine.ConfigVersion(), int64(7))
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 8, State: make([]byte, wire.MaxConfigBytes+1)}})
	assert.Equal(t, s.machine.ConfigVersion(), int64(7))
	assert.Equal(t, len(s.frames), 1)
	s.step(LinkUp{Entry: 12, Epoch: 4, ConfigVersion: 6})
	assert.Equal(t, s.frames[1].Config.Version, int64(7))
	s.step(LinkUp{Entry: 13, Epoch: 5, ConfigVersion: 8})
	assert.Assert(t, s.frames[2].Config == nil)
}

// Guards against an entry that keeps an older version because the log refuses it,
// although its agents have the newer one, and against agents that send the
// configuration to entries which have it.
func TestEntryWithOldConfigurationGetsItFromAgents(t *testing.T) {
	s := newScript(Options{Slots: 1, HeartbeatInterval: time.Minute})
	s.step(LinkUp{Entry: entryB, Epoch: 2, ConfigVersion: 6})
	s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: 7}})
	s.frames = nil
	s.advance(configForwardDelay / 2)
	assert.Equal(t, len(s.frames), 0, "the entry is given time to read the log itself")
	s.advance(configForwardDelay + configForwardSpread)
	assert.Equal(t, len(s.frames), 1)
	assert.Equal(t, s.frames[0].Config.Version, int64(7))
	s.advance(configForwardDelay + configForwardSpread)
	assert.Equal(t, len(s.frames), 1, "the configuration is sent once")
}

// Guards against a configuration that every agent of an entry sends although the
// entry has it, and against a series of versions that postpones the sending to an
// entry which the log refuses.
func TestSeriesOfVersionsIsForwardedOnlyToEntriesThatFallBehind(t *testing.T) {
	const interval = 80 * time.Millisecond
	s := newScript(Options{Slots: 1, HeartbeatInterval: time.Minute})
	s.step(LinkUp{Entry: entryB, Epoch: 2, ConfigVersion: 6}) // refused by the log
	s.step(LinkUp{Entry: 12, Epoch: 3, ConfigVersion: 6})     // one version behind
	s.frames, s.entries = nil, nil
	state := make([]byte, 2*smallConfigBytes)
	sentTo := func(entry wire.Incarnation) (n int) {
		for i, f := range s.frames {
			if s.entries[i] == entry && f.Config != nil && !f.Config.Announcement() {
				n++
			}
		}
		return n
	}
	for version := int64(7); version < 37; version++ {
		s.receive(wire.ToAgent{Config: &wire.ConfigState{Version: version, State: state}})
		s.step(Received{Entry: 12, Epoch: 3, Frame: &wire.ToAgent{Config: wire.AnnounceConfig(version - 1)}})
		s.advance(interval)
	}
	assert.Equal(t, sentTo(12), 0)
	series := 30 * interval
	assert.Assert(t, sentTo(entryB) > 0)
	assert.Assert(t, sentTo(entryB) <= int(series/configForwardDelay), "sent %d times", sentTo(entryB))
	s.advance(configForwardDelay + configForwardSpread)
	s.advance(configForwardDelay + configForwardSpread)
	last := s.frames[len(s.frames)-1].Config
	assert.Equal(t, last.Version, int64(36))
}

// Guards against a copy that differs from the entries' configuration after a
// delta, and against a delta that is applied to a state on which it does not build.
func TestConfigDeltaIsMergedOnlyIntoItsBase(t *testing.T) {
	m := config.New(config.Options{})
	states := []*wire.ConfigState{configOf(t, m, "a"), configOf(t, m, "b"), configOf(t, m, "c")}
	delta := func(since int) *wire.ConfigState {
		body, ok := config.Delta(states[2].State, states[since].Version)
		assert.Assert(t, ok)
		return &wire.ConfigState{Version: states[2].Version, State: body, BaseVersion: states[since].Version}
	}
	s := newScript(Options{Slots: 1})
	s.step(LinkUp{Entry: entryA, Epoch: 1, ConfigVersion: 3})
	s.receive(wire.ToAgent{Config: states[0]})
	s.frames = nil
	s.receive(wire.ToAgent{Config: delta(1)})
	assert.Equal(t, s.machine.ConfigVersion(), states[0].Version)
	assert.DeepEqual(t, s.frames[0].Config, states[0]) // the older state makes the entry send the full state
	broken := &wire.ConfigState{Version: 3, State: []byte("?"), BaseVersion: states[0].Version}
	s.receive(wire.ToAgent{Config: broken})
	assert.Equal(t, s.machine.ConfigVersion(), states[0].Version)
	s.receive(wire.ToAgent{Config: delta(0)})
	assert.DeepEqual(t, s.machine.config, states[2])
}

// configOf adds a class and returns the resulting configuration.
func configOf(t *testing.T, m *config.Machine, name string) *wire.ConfigState {
	c := config.Change{Kind: config.KindClass, Name: name, Value: config.Value{ResponseTargetMicros: 1000}}
	body, err := (&config.Record{ID: config.ID{1}, Change: &c}).Encode()
	assert.NilError(t, err)
	m.Apply(m.Next(), 0, body)
	return &wire.ConfigState{Version: m.Version(), State: m.State().Encode()}
}
