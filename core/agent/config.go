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
	// configForwardDelay is how long an entry may take to read a new version from
	// the platform log and send it to its agents before an agent sends it to the
	// entry: the time of a few reads of a slow log.
	configForwardDelay = 300 * time.Millisecond
	// configForwardSpread staggers the agents: the first of them sends the version
	// to an entry that the log refuses, and the others then see that the entry has
	// it.
	configForwardSpread = 500 * time.Millisecond
)

// adoptConfig keeps the newest configuration for entries that start while the
// platform log is unavailable. A lower version never replaces a higher one.
//
// Entries follow the log themselves. The state is therefore sent at once only to
// an entry whose hello stated a lower version, and to an entry that is not known
// to have any configuration: it may have connected before this agent had one. The
// others are sent it only if they do not send this version or a later one to this
// agent in time (see forwardConfig).
func (m *Machine) adoptConfig(now time.Duration, from *entryRecord, c *wire.ConfigState) {
	if c == nil || c.Version <= 0 || len(c.State) > wire.MaxConfigBytes {
		return
	}
	from.configVersion = max(from.configVersion, c.Version)
	if c.Version <= m.ConfigVersion() {
		return
	}
	if c.BaseVersion > 0 {
		if c = m.mergeDelta(c); c == nil {
			// The entry answers a state older than its own with the full state.
			from.sendConfig = m.config != nil
			return
		}
	}
	m.config = c
	m.forwardConfigAt = now + configForwardDelay + time.Duration(m.opts.Incarnation%wire.Incarnation(configForwardSpread))
	for _, rec := range m.entryList {
		if rec.up && rec.configVersion <= 0 {
			rec.sendConfig = true
		}
	}
}

// forwardConfig sends the configuration to entries that are still not known to
// have it after the delay: the log may refuse them while it serves others.
func (m *Machine) forwardConfig(now time.Duration) {
	if m.config == nil || now < m.forwardConfigAt {
		return
	}
	for _, rec := range m.entryList {
		if rec.up && rec.configVersion < m.config.Version {
			rec.sendConfig = true
		}
	}
}

// mergeDelta returns the full configuration after a delta, or nil if the delta
// does not build on the configuration of this agent or the result is invalid.
func (m *Machine) mergeDelta(delta *wire.ConfigState) *wire.ConfigState {
	if m.ConfigVersion() < delta.BaseVersion {
		return nil
	}
	state, err := config.Merge(m.config.State, delta.State)
	if err != nil || len(state) > wire.MaxConfigBytes {
		return nil
	}
	return &wire.ConfigState{Version: delta.Version, State: state}
}
