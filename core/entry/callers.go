package entry

import "github.com/limpettrail/limpettrail/core/wire"

// clockEcho returns the reading of the agent's clock that renews the lease of this
// entry's runs there. If callers may send their jobs again, it is the newest one that was
// received before their connections were last looked at: a newer one would prolong the run
// of a caller that has left unnoticed, by as much as the process did not run. So a run
// ends in time after its caller left, whenever and for how long this process runs.
func (m *Machine) clockEcho(link *agentLink) wire.Micros {
	if m.opts.ResendDelay == 0 {
		return link.agentClock
	}
	return link.checkedClock
}

// noteClock notes the reading of the agent's clock in a frame.
func (l *agentLink) noteClock(e Received) {
	l.agentClock = max(l.agentClock, e.Frame.AgentClock)
	if e.CallersChecked {
		l.checkedClock = l.agentClock
	}
}

// callersChecked lets the lease of runs be renewed with all readings received so far.
func (m *Machine) callersChecked() {
	for _, link := range m.agentList {
		link.checkedClock = link.agentClock
	}
}
