package entry

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// evacuationState is what the entry knows about the evacuated zones.
type evacuationState struct {
	wire.Evacuations
	readAt time.Duration // when the last successful read of the requests began
	read   bool          // readAt is set
}

// Evacuations returns the newest known state. The caller must not change it.
func (m *Machine) Evacuations() wire.Evacuations { return m.evacuations.Evacuations }

// EvacuationsReadAge returns the time since the last successful read of the requests began,
// or false if there was none.
func (m *Machine) EvacuationsReadAge(now time.Duration) (time.Duration, bool) {
	return now - m.evacuations.readAt, m.evacuations.read
}

// evacuationsRead applies a successful read of the requests.
func (m *Machine) evacuationsRead(now time.Duration, e EvacuationsRead) {
	if e.Evacuations != nil {
		m.adoptEvacuations(now, e.Evacuations, "")
	}
	if e.Partial {
		return
	}
	if !m.evacuations.read || e.RequestedAt > m.evacuations.readAt {
		m.evacuations.readAt, m.evacuations.read = e.RequestedAt, true
	}
}

// receiveEvacuations handles the state of an agent. A newer one is adopted. An older one with
// other zones is answered with this entry's state.
func (m *Machine) receiveEvacuations(now time.Duration, link *agentLink, e *wire.Evacuations) {
	link.evacuations = *e
	m.adoptEvacuations(now, e, link.name)
	m.offerEvacuations(link)
}

// adoptEvacuations replaces the state with a newer one and passes it on. agent is the name of
// the agent that it came from, empty if it was read.
func (m *Machine) adoptEvacuations(now time.Duration, e *wire.Evacuations, agent string) {
	if !e.Newer(&m.evacuations.Evacuations) {
		return
	}
	before := m.evacuations.Evacuations
	m.evacuations.Evacuations = *e
	for _, link := range m.agentList {
		m.offerEvacuations(link)
	}
	if slices.Equal(before.Zones, e.Zones) {
		return
	}
	m.scheduler.SetEvacuatedZones(now, e.Zones)
	changed := EvacuationsChanged{Agent: agent, Before: before.Zones, Evacuations: *e}
	if m.evacuations.read {
		changed.ReadAge = now - m.evacuations.readAt
	}
	m.emit(changed)
}

// offerEvacuations sends the state to an agent that is not known to have it.
func (m *Machine) offerEvacuations(link *agentLink) {
	if !link.up || !m.evacuations.Supersedes(&link.evacuations) {
		return
	}
	e := m.evacuations.Evacuations
	link.evacuations = e
	link.outgoing.Evacuations = &e
	m.scheduleSend(link)
}

// evacuationsAge returns the age that frames state, see wire.ToAgent.EvacuationsAge.
func (m *Machine) evacuationsAge(now time.Duration) wire.Micros {
	age, known := m.EvacuationsReadAge(now)
	if !known {
		return 0
	}
	return max(1, wire.MicrosOf(age))
}
