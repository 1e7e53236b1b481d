package entry

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// configState is the current configuration in its encoded forms for agents.
type configState struct {
	version     int64
	encoded     []byte
	delta       []byte // what changed after baseVersion; may be empty
	baseVersion int64
}

// maxConfigBytes bounds the encoded configuration that is sent to agents:
// together with the starts of one frame it must stay below wire.MaxFrameBytes,
// since a larger frame closes the link.
const maxConfigBytes = 2 << 20

const (
	// smallConfigBytes is the size up to which an update is sent at once. Larger ones
	// are staggered: an agent has links to several entries and needs the update from
	// one of them.
	smallConfigBytes = 4 << 10
	// configPushSpread is the range of the delay before a large update is sent. By
	// then most agents have announced that they have it.
	configPushSpread = 400 * time.Millisecond
	// configPushInterval is the least time between two large updates on one link. In a
	// series of versions an agent skips those in between.
	configPushInterval = time.Second
)

// applyConfig puts a configuration into effect unless the current one is newer: a
// configuration never reverts (promise P8). Agents learn the version with the next
// frame that is sent anyway and the content from offerConfig.
func (m *Machine) applyConfig(now time.Duration, e Configured) {
	if e.Version < m.config.version {
		return
	}
	m.config = configState{version: e.Version, encoded: e.State, delta: e.Delta, baseVersion: e.BaseVersion}
	m.scheduler.Configure(now, e.Settings)
	for _, link := range m.agentList {
		if !link.up {
			continue
		}
		if e.Version > 0 && link.outgoing.Config == nil {
			link.outgoing.Config = wire.AnnounceConfig(e.Version)
		}
		m.offerConfig(now, link)
	}
}

// offerConfig sends the configuration to an agent that has an older one, a large
// one after a delay. With 585 items and 21,000 changes a day, sending the whole
// state each time would cost an agent with six links 44 KB a second, so an agent
// that lacks only the last change is sent just that change, as a delta.
func (m *Machine) offerConfig(now time.Duration, link *agentLink) {
	size := len(m.config.encoded)
	if size == 0 || size > maxConfigBytes || link.configVersion >= m.config.version {
		return
	}
	update := m.configUpdate(link)
	if len(update.State) <= smallConfigBytes {
		m.sendConfig(now, link, update)
		return
	}
	if link.pushConfigAt == 0 {
		delay := time.Duration((m.opts.Incarnation ^ link.incarnation) % wire.Incarnation(configPushSpread))
		link.pushConfigAt = max(now+delay, link.configSentAt+configPushInterval)
	}
}

// pushDueConfig sends the configuration to an agent that has not announced it by the
// time set by offerConfig.
func (m *Machine) pushDueConfig(now time.Duration, link *agentLink) {
	if link.pushConfigAt == 0 || now < link.pushConfigAt {
		return
	}
	link.pushConfigAt = 0
	if link.configVersion < m.config.version {
		m.sendConfig(now, link, m.configUpdate(link))
	}
}

func (m *Machine) sendConfig(now time.Duration, link *agentLink, update *wire.ConfigState) {
	link.configVersion = m.config.version
	link.configSentAt = now
	link.outgoing.Config = update
	m.scheduleSend(link)
}

// configUpdate returns what the agent needs: the last change or the whole state.
func (m *Machine) configUpdate(link *agentLink) *wire.ConfigState {
	if m.canSendDelta(link) {
		return &wire.ConfigState{Version: m.config.version, State: m.config.delta, BaseVersion: m.config.baseVersion}
	}
	return &wire.ConfigState{Version: m.config.version, State: m.config.encoded}
}

// canSendDelta reports whether sending the last change is enough for the agent.
// It is not if a configuration for the agent is still waiting to be sent: a
// delta must not replace the configuration that it builds on.
func (m *Machine) canSendDelta(link *agentLink) bool {
	return len(m.config.delta) > 0 && m.config.baseVersion > 0 &&
		link.configVersion >= m.config.baseVersion &&
		(link.outgoing.Config == nil || link.outgoing.Config.Announcement())
}

// receiveConfig handles an agent's configuration. A newer one is passed to the
// caller, which decodes it and delivers Configured. An older one is answered
// with the current configuration. The announcement of a newer one needs no answer:
// the agent sends the content unless this entry reads it from the log in time.
func (m *Machine) receiveConfig(now time.Duration, link *agentLink, c *wire.ConfigState) {
	link.configVersion = c.Version
	if c.Version <= m.config.version {
		m.offerConfig(now, link)
		return
	}
	if !c.Announcement() {
		m.emit(NewerConfig{Agent: link.incarnation, State: *c})
	}
	m.noteVersion(link, c.Version)
}

// noteVersion reports a version that is newer than every one known so far.
func (m *Machine) noteVersion(link *agentLink, version int64) {
	if version <= max(m.config.version, m.notedVersion) {
		return
	}
	m.notedVersion = version
	m.emit(VersionAnnounced{Agent: link.name, Version: version, Current: m.config.version})
}

// updateEntries sends the list of entries to every connected agent if it
// changed.
func (m *Machine) updateEntries(list []wire.EntryAddr) {
	list = list[:min(len(list), wire.MaxKnownEntries)]
	if slices.Equal(list, m.entries) {
		return
	}
	m.entries = slices.Clone(list)
	for _, link := range m.agentList {
		if link.up {
			link.outgoing.Entries = m.entries
			m.scheduleSend(link)
		}
	}
}
