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
	delta   []byte // what changed after version since; may be empty
	since   int64
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
	m.config = configState{version: e.Version, state: e.State, delta: e.Delta, since: e.Since}
	m.sched.Configure(now, e.Settings)
	for _, link := range m.agentList {
		if link.up {
			m.offerConfig(link)
		}
	}
}

// offerConfig sends the configuration to an agent with an older one. With 585
// items and 21,000 changes a day whole states would cost an agent with six links
// 44 KB a second, so an agent that is up to date but for the last change is sent
// that change.
func (m *Machine) offerConfig(link *agentLink) {
	size := len(m.config.state)
	if size == 0 || size > maxConfigBytes || link.config >= m.config.version {
		return
	}
	c := &wire.ConfigState{Version: m.config.version, State: m.config.state}
	if m.deltaFits(link) {
		c.State, c.Since = m.config.delta, m.config.since
	}
	link.config = m.config.version
	link.out.Config = c
	m.touch(link)
}

// deltaFits reports whether the agent can be sent the last change only. A
// configuration that is still to be sent must not be replaced by a delta to it.
func (m *Machine) deltaFits(link *agentLink) bool {
	return len(m.config.delta) > 0 && m.config.since > 0 &&
		link.config >= m.config.since && link.out.Config == nil
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
