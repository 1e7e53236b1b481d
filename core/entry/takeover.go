package entry

import (
	"slices"
	"time"
)

// Two agent incarnations of one name are ordered by the worker incarnations and the takeover
// times that they state. Within one worker incarnation that is a proof: the times are of one
// clock. The numbers of worker incarnations come from the worker's time of day, which may have
// been set back in between, so that the later agent counts as the earlier one. While the
// connection of such an agent is up, its runs may go on, whatever another one states.

// provablyAfter reports whether l is known to have taken over its worker after the other
// one, of the two of which it states the later takeover.
func (l *agentLink) provablyAfter(other *agentLink) bool {
	return l.workerIncarnation == other.workerIncarnation
}

// withdraw lets nothing more be started at an agent that is connected while one is that
// states a later takeover. Its attempts stay: it reports their ends if it has been replaced.
func (m *Machine) withdraw(now time.Duration, link *agentLink) {
	link.withdrawn = true
	m.scheduler.AgentDown(now, link.incarnation)
}

// isReplaced reports whether an agent with the link's name is connected that states a later
// takeover.
func (m *Machine) isReplaced(link *agentLink) bool {
	return slices.ContainsFunc(m.agentList, func(l *agentLink) bool {
		return l.up && l.name == link.name && l.tookOverAfter(link)
	})
}

// useWithdrawn uses connected agents of the name again that no other one replaces.
func (m *Machine) useWithdrawn(now time.Duration, name string) {
	for _, link := range m.agentList {
		if link.name == name && link.withdrawn && link.up && !m.isReplaced(link) {
			link.withdrawn = false
			m.scheduler.AgentUp(now, link.info)
		}
	}
}
