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
	// the platform log before an agent sends it to the entry: the time of a few reads
	// of a slow log.
	configForwardDelay = 300 * time.Millisecond
	// configForwardSpread staggers the agents: the first of them sends the version
	// to an entry that the log refuses, and the others then see that the entry has
	// it.
	configForwardSpread = 500 * time.Millisecond
	// smallConfigBytes is the size up to which a configuration is sent at once to an
	// entry that connects with an older one. A larger one is staggered over
	// connectForwardSpread: each of some 26 agents of a restarted entry would
	// otherwise send it.
	smallConfigBytes     = 4 << 10
	connectForwardSpread = 150 * time.Millisecond
)

// adoptConfig keeps the newest configuration for entries that start while the
// platform log is unavailable. A lower version never replaces a higher one.
//
// Entries follow the log themselves and announce the version that they have. An
// entry that has not announced this version or a later one in time is sent it, see
// forwardDue.
func (m *Machine) adoptConfig(now time.Duration, from *entryRecord, c *wire.ConfigState) {
	if c == nil || c.Version <= 0 || len(c.State) > wire.MaxConfigBytes {
		return
	}
	from.configVersion = max(from.configVersion, c.Version)
	if c.Announcement() || c.Version <= m.ConfigVersion() {
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
	for _, rec := range m.entryList {
		if !rec.up {
			continue
		}
		rec.announceConfig = rec != from
		m.scheduleForward(now, rec, m.forwardDelay(rec))
	}
}

// scheduleForward arms the forwarding of the configuration to an entry that has an
// older version. Forwarding that is armed already keeps its time and version: a
// series of versions must not postpone it, and an entry that has the version for
// which it was armed follows the log.
func (m *Machine) scheduleForward(now time.Duration, rec *entryRecord, delay time.Duration) {
	if m.config == nil || rec.configVersion >= m.config.Version || rec.forwardVersion > 0 {
		return
	}
	rec.forwardVersion = m.config.Version
	rec.forwardAt = now + delay
	m.forwardDue(now, rec)
}

// forwardDelay returns how long an entry that is connected is given to announce a
// version that this agent has just received.
func (m *Machine) forwardDelay(rec *entryRecord) time.Duration {
	if rec.configVersion <= 0 {
		return m.connectDelay() // it may have connected before this agent had a configuration
	}
	return configForwardDelay + m.stagger(configForwardSpread)
}

// connectDelay returns how long the configuration waits after an entry with an older
// one has connected.
func (m *Machine) connectDelay() time.Duration {
	if m.config == nil || len(m.config.State) <= smallConfigBytes {
		return 0
	}
	return m.stagger(connectForwardSpread)
}

// stagger returns this agent's share of the spread.
func (m *Machine) stagger(spread time.Duration) time.Duration {
	return time.Duration(m.opts.Incarnation % wire.Incarnation(spread))
}

// forwardDue sends the configuration to an entry that is still not known to have the
// version for which forwarding was armed: the log may refuse it while it serves
// others.
func (m *Machine) forwardDue(now time.Duration, rec *entryRecord) {
	if rec.forwardVersion == 0 || now < rec.forwardAt {
		return
	}
	if rec.configVersion < rec.forwardVersion {
		rec.sendConfig = true
	}
	rec.forwardVersion = 0
	if !rec.sendConfig {
		m.scheduleForward(now, rec, m.forwardDelay(rec)) // the entry has fallen behind later versions
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
