package lease

const (
	// maxUnackedRuns bounds the ended runs that are not acknowledged, together with
	// the open runs, each of which becomes one. A worker lists 500 ended runs at once:
	// beyond that, the ends of later runs cannot be seen. The difference leaves room
	// for runs that are started before the agent learns of the bound.
	maxUnackedRuns = 400
	// resumeUnackedRuns is the number at which further runs are admitted again.
	resumeUnackedRuns = 300
)

// updateAdmission reports whether the worker can take further runs, if that has
// changed.
func (m *Machine) updateAdmission() {
	unacked := m.highestSeen - m.acked
	closed := m.closed
	switch n := unacked + len(m.ordered); {
	case n >= maxUnackedRuns:
		closed = true
	case n <= resumeUnackedRuns:
		closed = false
	}
	if closed == m.closed {
		return
	}
	m.closed = closed
	m.emit(Admission{Closed: closed, UnackedRuns: unacked, OpenRuns: len(m.ordered)})
}
