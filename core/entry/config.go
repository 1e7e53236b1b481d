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

// applyConfig puts a configuration into effect unless the current one is newer: a
// configuration never reverts (promise P8).
func (m *Machine) applyConfig(now time.Duration, e Configured) {
	if e.Version < m.config.version {
		return
	}
	m.config = configState{version: e.Version, encoded: e.State, delta: e.Delta, baseVersion: e.BaseVersion}
	m.scheduler.Configure(now, e.Settings)
	for _, link := range m.agentList {
		if link.up {
			m.offerConfig(link)
		}
	}
}

// offerConfig sends the configuration to an agent that has an older one. With
// 585 items and 21,000 changes a day, sending the whole state each time would
// cost an agent with six links 44 KB a second, so an agent that lacks only the
// last change is sent just that change, as a delta.
func (m *Machine) offerConfig(link *agentLink) {
	size := len(m.config.encoded)
	if size == 0 || size > maxConfigBytes || link.configVersion >= m.config.version {
		return
	}
	update := &wire.ConfigState{Version: m.config.version, State: m.config.encoded}
	if m.canSendDelta(link) {
		update.State, update.BaseVersion = m.config.delta, m.config.baseVersion
	}
	link.configVersion = m.config.version
	link.outgoing.Config = update
	m.scheduleSend(link)
}

// canSendDelta reports whether sending the last change is enough for the agent.
// It is not if a configuration for the agent is still waiting to be sent: a
// delta must not replace the configuration that it builds on.
func (m *Machine) canSendDelta(link *agentLink) bool {
	return len(m.config.delta) > 0 && m.config.baseVersion > 0 &&
		link.configVersion >= m.config.baseVersion && link.outgoing.Config == nil
}

// receiveConfig handles an agent's configuration. A newer one is passed to the
// caller, which decodes it and delivers Configured. An older one is answered
// with the current configuration.
func (m *Machine) receiveConfig(link *agentLink, c *wire.ConfigState) {
	link.configVersion = c.Version
	if c.Version > m.config.version {
		m.emit(NewerConfig{Agent: link.incarnation, State: *c})
		return
	}
	m.offerConfig(link)
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
