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
	learned int64 // highest version handed to the shell
}

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
	if len(m.config.state) == 0 || link.config >= m.config.version {
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
	if c.Version > max(m.config.version, m.config.learned) {
		m.config.learned = c.Version
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
