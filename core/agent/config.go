package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/wire"
)

// ConfigVersion returns the version of the newest configuration that an entry
// sent, or 0 if there is none.
func (m *Machine) ConfigVersion() int64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

const (
	// configPatience is how long an entry may take to show a new version by
	// itself before an agent hands it on: some reads of a slow store.
	configPatience = 300 * time.Millisecond
	// configSpread staggers the agents, so that the first of them serves an
	// entry that the store turns away and the others see that it has the version.
	configSpread = 500 * time.Millisecond
)

// adoptConfig keeps the newest configuration for entries that start while the
// platform log is unavailable. A lower version never replaces a higher one.
//
// Entries follow the log themselves, so the state is sent at once only to an
// entry whose hello stated a lower version, and to one that is not known to have
// any at all: it may have connected before this agent learned of a
// configuration. The others get it if they do not show it in time (handOnConfig).
func (m *Machine) adoptConfig(now time.Duration, from *peer, c *wire.ConfigState) {
	if c == nil || c.Version <= 0 || len(c.State) > wire.MaxConfigBytes {
		return
	}
	from.configVersion = max(from.configVersion, c.Version)
	if c.Version <= m.ConfigVersion() {
		return
	}
	if c.Since > 0 {
		if c = m.merged(c); c == nil {
			// The entry answers a state that is older than its own with the whole.
			from.sendConfig = m.config != nil
			return
		}
	}
	m.config = c
	m.configDue = now + configPatience + time.Duration(m.opts.Incarnation%wire.Incarnation(configSpread))
	for _, p := range m.peerList {
		if p.up && p.configVersion <= 0 {
			p.sendConfig = true
		}
	}
}

// handOnConfig sends the configuration to entries that have not shown it in
// time: the log may turn them away while it serves others.
func (m *Machine) handOnConfig(now time.Duration) {
	if m.config == nil || now < m.configDue {
		return
	}
	for _, p := range m.peerList {
		if p.up && p.configVersion < m.config.Version {
			p.sendConfig = true
		}
	}
}

// merged returns the whole configuration after a delta, or nil if the delta
// does not follow what this agent has.
func (m *Machine) merged(delta *wire.ConfigState) *wire.ConfigState {
	if m.ConfigVersion() < delta.Since {
		return nil
	}
	state, err := config.Merge(m.config.State, delta.State)
	if err != nil || len(state) > wire.MaxConfigBytes {
		return nil
	}
	return &wire.ConfigState{Version: delta.Version, State: state}
}
