package entry

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// configState is the configuration in force and its encoded form for agents.
type configState struct {
	version int64
	state   []byte
}

// maxConfigBytes bounds the encoded configuration that is sent to agents: with
// the starts of one frame it must stay below wire.MaxFrameBytes, since a larger
// frame closes the link.
const maxConfigBytes = 2 << 20

// configured puts a configuration in force unless a newer one is (P8).
func (m *Machine) configured(now time.Duration, e Configured) {
	if e.Version < m.config.version {
		return
	}
	m.config.version = e.Version
	m.config.state = e.State
	m.sched.Configure(now, e.Settings)
	for _, link := range m.agentList {
		if link.up {
			m.offerConfig(link)
		}
	}
}

// offerConfig sends the configuration to an agent with an older one.
func (m *Machine) offerConfig(link *agentLink) {
	size := len(m.config.state)
	if size == 0 || size > maxConfigBytes || link.config >= m.config.version {
		return
	}
	link.config = m.config.version
	link.out.Config = &wire.ConfigState{Version: m.config.version, State: m.config.state}
	m.touch(link)
}

// learnConfig hands a newer configuration of an agent to the shell, which
// decodes it and delivers Configured. An older one is answered with ours.
func (m *Machine) learnConfig(link *agentLink, c *wire.ConfigState) {
	link.config = c.Version
	if c.Version > m.config.version {
		m.emit(LearnedConfig{Agent: link.agent, State: *c})
		return
	}
	m.offerConfig(link)
}

// setEntries sends the list of entries to every agent if it changed.
func (m *Machine) setEntries(list []wire.EntryAddr) {
	list = list[:min(len(list), wire.MaxKnownEntries)]
	if slices.Equal(list, m.entries) {
		return
	}
	m.entries = slices.Clone(list)
	for _, link := range m.agentList {
		if link.up {
			link.out.Entries = m.entries
			m.touch(link)
		}
	}
}
