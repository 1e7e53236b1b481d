package agent

import (
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

// adoptConfig keeps the newest configuration for entries that start while the
// platform log is unavailable. A lower version never replaces a higher one.
//
// Entries follow the log themselves, so the state is sent only to an entry
// whose hello stated a lower version, and to one that is not known to have any
// at all: it may have connected before this agent learned of a configuration.
func (m *Machine) adoptConfig(from *peer, c *wire.ConfigState) {
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
	for _, p := range m.peerList {
		if p.up && p.configVersion <= 0 {
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
