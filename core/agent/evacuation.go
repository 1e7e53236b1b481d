package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// evacuationState is what the agent knows about the evacuated zones.
type evacuationState struct {
	wire.Evacuations
	// datedAt is a time before which every request is part of the state. It has no meaning
	// unless dated is set.
	datedAt time.Duration
	dated   bool
	// listAt is the earliest time of the next listing, 0 before the first step.
	listAt time.Duration
}

// evacuated reports whether no task may be started because of the agent's own zone.
func (m *Machine) evacuated() bool { return m.evacuations.Contains(m.opts.Zone) }

// Evacuations returns the newest known state. The caller must not change it.
func (m *Machine) Evacuations() wire.Evacuations { return m.evacuations.Evacuations }

// receiveEvacuations applies the part of a frame that concerns evacuations. It must be
// called before the starts of the frame are handled. echo is a time before which the frame
// was not built.
func (m *Machine) receiveEvacuations(rec *entryRecord, echo time.Duration, f *wire.ToAgent) {
	if f.Evacuations != nil {
		rec.evacuations = *f.Evacuations
		m.adoptEvacuations(f.Evacuations)
	}
	if f.EvacuationsAge > 0 {
		m.dateEvacuations(echo - f.EvacuationsAge.Duration())
	}
}

// adoptEvacuations replaces the state with a newer one. If the own zone is evacuated,
// startQueued then returns the queued tasks; the running ones continue.
func (m *Machine) adoptEvacuations(e *wire.Evacuations) {
	if !e.Newer(&m.evacuations.Evacuations) {
		return
	}
	before := m.evacuated()
	m.evacuations.Evacuations = *e
	if m.evacuated() != before {
		m.heartbeatAll()
	}
}

// returnEvacuated returns the queued tasks while the own zone is evacuated.
func (m *Machine) returnEvacuated() {
	if m.evacuated() {
		m.returnQueued(wire.ReasonEvacuated, allAttempts)
	}
}

// dateEvacuations notes that every request from before at is part of the state.
func (m *Machine) dateEvacuations(at time.Duration) {
	if !m.evacuations.dated || at > m.evacuations.datedAt {
		m.evacuations.datedAt, m.evacuations.dated = at, true
	}
}

// requestListing asks the caller to list the requests if the state is older than half of
// the bound, and again after each further half: the entries may be cut off from the store
// while this process is not. An agent that has just started first awaits a frame.
func (m *Machine) requestListing(now time.Duration) {
	half := m.opts.EvacuationBound / 2
	if half <= 0 {
		return
	}
	s := &m.evacuations
	if s.listAt == 0 {
		s.listAt = now + half/2
	}
	if now < s.listAt || s.dated && now-s.datedAt <= half || !m.linked() {
		return
	}
	s.listAt = now + half
	m.emit(ListEvacuations{})
}

// linked reports whether a link to an entry is up.
func (m *Machine) linked() bool {
	for _, rec := range m.entryList {
		if rec.up {
			return true
		}
	}
	return false
}

// evacuationsListed applies the requests that the caller has listed.
func (m *Machine) evacuationsListed(e *EvacuationsListed) {
	m.adoptEvacuations(&e.Evacuations)
	m.dateEvacuations(e.RequestedAt)
}

// evacuationsFor returns the state if the entry is not known to have it.
func (m *Machine) evacuationsFor(rec *entryRecord) *wire.Evacuations {
	if !m.evacuations.Supersedes(&rec.evacuations) {
		return nil
	}
	e := m.evacuations.Evacuations
	rec.evacuations = e
	return &e
}
