package policy

import (
	"slices"
	"time"
)

// Evacuation answers an operator's request that no more tasks are started on the workers of
// a zone, for example before maintenance of that zone. It takes a third or more of the
// capacity away within a moment. If that is noticed only by its effect, the jobs of the
// next seconds are admitted to a backlog that is served too late, and all of them are late.
//
// The connected agents in evacuated zones are kept behind the others in Adaptive.connected,
// so that searches and estimates examine only the agents that may get starts.

// returnPeriod is how long it takes until an agent counts as capacity in full after its zone
// is no longer evacuated. Workers that were idle or were restarted meanwhile may be slow at
// first.
const returnPeriod = 10 * time.Second

// returnGroupPeriod: agents that return within it count as returned at its beginning. It
// bounds the number of groups, since agents may report the return of their zone one by one.
const returnGroupPeriod = 100 * time.Millisecond

// usable returns the connected agents that are not evacuated.
func (s *Adaptive) usable() []*agentState { return s.connected[:s.usableCount] }

// SetEvacuatedZones implements Scheduler.
func (s *Adaptive) SetEvacuatedZones(now time.Duration, zones []string) {
	for zone, at := range s.zoneReturns {
		if now-at >= returnPeriod || slices.Contains(zones, zone) {
			delete(s.zoneReturns, zone)
		}
	}
	if s.zoneReturns == nil {
		s.zoneReturns = make(map[string]time.Duration)
	}
	for _, zone := range s.evacuatedZones {
		if !slices.Contains(zones, zone) {
			s.zoneReturns[zone] = now
		}
	}
	s.evacuatedZones = slices.Clone(zones)
	before, lost := s.usableSlots(), 0.0
	for _, a := range slices.Clone(s.connected) { // in this order, so that the result is deterministic
		lost += s.updateEvacuated(now, a)
	}
	s.shrinkCapacity(before, lost)
	for _, a := range s.agents {
		if !a.connected {
			s.updateEvacuated(now, a)
		}
	}
	s.renewQuarantine(now)
}

// zoneEvacuated reports whether the zone is one of those set by SetEvacuatedZones.
func (s *Adaptive) zoneEvacuated(zone string) bool { return slices.Contains(s.evacuatedZones, zone) }

// observeEvacuated applies an agent's report of whether its zone is evacuated: the agent may
// know of a request, or not know of its removal, before this entry.
func (s *Adaptive) observeEvacuated(now time.Duration, a *agentState) {
	if a.evacuated == s.isEvacuated(a) {
		return
	}
	before := s.usableSlots()
	lost := s.updateEvacuated(now, a)
	if !a.health.reported {
		return // it is new, so what was learned does not include it
	}
	s.shrinkCapacity(before, lost)
}

// isEvacuated reports whether the agent is evacuated, by its last report or by its zone.
func (s *Adaptive) isEvacuated(a *agentState) bool {
	return a.info.Load.Evacuated || s.zoneEvacuated(a.info.Zone)
}

// updateEvacuated sets whether the agent is evacuated, and returns the number of usable slots
// that are lost thereby.
func (s *Adaptive) updateEvacuated(now time.Duration, a *agentState) (lost float64) {
	evacuated := s.isEvacuated(a)
	if a.evacuated == evacuated {
		return 0
	}
	if a.connected && evacuated {
		lost = float64(a.info.Slots)
		s.makeUnusable(a)
	}
	s.setEvacuated(a, evacuated)
	if evacuated {
		s.removeFreed(a)
		return lost
	}
	s.setReturning(a, now)
	if a.connected {
		s.makeUsable(a)
		s.workerConnected(a)
	}
	return 0
}

// setEvacuated sets agentState.evacuated and the figures that depend on it.
func (s *Adaptive) setEvacuated(a *agentState, evacuated bool) {
	if a.health.unavailable() {
		s.countUnavailable(a, -1)
	}
	s.countAttempts(a, -a.inFlight, -a.attempts.standing)
	a.evacuated = evacuated
	s.countAttempts(a, a.inFlight, a.attempts.standing)
	if a.health.unavailable() {
		s.countUnavailable(a, 1)
	}
}

// setReturning begins the return of an agent whose zone was evacuated until at.
func (s *Adaptive) setReturning(a *agentState, at time.Duration) {
	s.countAttempts(a, -a.inFlight, -a.attempts.standing)
	a.returnedAt, a.returning = at.Truncate(returnGroupPeriod), true
	if s.returnGroup(a) == nil {
		s.returning = append(s.returning, returnGroup{at: a.returnedAt})
	}
	s.countAttempts(a, a.inFlight, a.attempts.standing)
}

// continueReturn lets an agent that connects soon after its zone has returned count as capacity
// like those that were connected: its worker may have been restarted for the maintenance.
func (s *Adaptive) continueReturn(now time.Duration, a *agentState) {
	at, returned := s.zoneReturns[a.info.Zone]
	if !returned || now-at >= returnPeriod || a.evacuated || a.returning && a.returnedAt >= at.Truncate(returnGroupPeriod) {
		return
	}
	s.setReturning(a, at)
}

// returnGroup holds the attempts in flight at the agents that returned at the same time. With
// these sums, no decision has to walk the agents.
type returnGroup struct {
	at       time.Duration
	inFlight int
}

// returnGroup returns the group of an agent that returns, nil if it counts in full.
func (s *Adaptive) returnGroup(a *agentState) *returnGroup {
	if a.evacuated || !a.returning {
		return nil
	}
	for i := range s.returning {
		if s.returning[i].at == a.returnedAt {
			return &s.returning[i]
		}
	}
	return nil
}

// endReturns removes the groups whose agents count in full.
func (s *Adaptive) endReturns(now time.Duration) {
	if len(s.returning) > 0 {
		s.returning = slices.DeleteFunc(s.returning, func(g returnGroup) bool { return now-g.at >= returnPeriod })
	}
}

// countAttempts counts attempts in flight at the agent, of which some are standing.
func (s *Adaptive) countAttempts(a *agentState, inFlight, standing int) {
	s.inFlight += inFlight
	s.standing += standing
	if a.evacuated {
		s.evacuatedInFlight += inFlight
		s.evacuatedStanding += standing
	} else if g := s.returnGroup(a); g != nil {
		g.inFlight += inFlight
	}
}

// countUnavailable counts an agent that was suspended or ejected, or is no longer. One in an
// evacuated zone does not count: it takes no starts anyway, and would keep failing agents
// elsewhere from being suspended.
func (s *Adaptive) countUnavailable(a *agentState, n int) {
	if !a.evacuated {
		s.unavailable += n
	}
}

// makeUsable moves a connected agent to the usable ones.
func (s *Adaptive) makeUsable(a *agentState) {
	s.swapConnected(a.index, s.usableCount)
	s.usableCount++
}

// makeUnusable moves a connected agent behind the usable ones.
func (s *Adaptive) makeUnusable(a *agentState) {
	s.usableCount--
	s.swapConnected(a.index, s.usableCount)
}

func (s *Adaptive) swapConnected(i, j int) {
	s.connected[i], s.connected[j] = s.connected[j], s.connected[i]
	s.connected[i].index, s.connected[j].index = i, j
}

func (s *Adaptive) usableSlots() float64 {
	slots := 0.0
	for _, a := range s.usable() {
		slots += float64(a.info.Slots)
	}
	return slots
}

// shrinkCapacity lowers what was learned about the capacity in proportion to the usable slots
// that are lost. Learning it anew takes until the first jobs are late.
func (s *Adaptive) shrinkCapacity(before, lost float64) {
	if lost == 0 {
		return
	}
	left := max(0, (before-lost)/before)
	s.meanInService *= left
	s.window.shrink(left)
}

// shrink lowers a bound that was learned.
func (w *window) shrink(factor float64) {
	if w.size < windowMaximum {
		w.size = max(windowMinimum, w.size*factor)
	}
}

// capacityShare returns how much the agent counts as capacity, 0 to 1.
func (a *agentState) capacityShare(now time.Duration) float64 {
	switch {
	case a.evacuated:
		return 0
	case a.returning:
		return returnedShare(now, a.returnedAt)
	}
	return 1
}

// returnedShare returns how much an agent counts as capacity that returned at the given time.
func returnedShare(now, at time.Duration) float64 {
	return min(1, max(0, float64(now-at)/float64(returnPeriod)))
}

// inService returns the number of attempts in flight that count as in service. An attempt at
// an evacuated agent does not: when it ends, no usable slot becomes free.
func (s *Adaptive) inService(now time.Duration) float64 {
	s.endReturns(now)
	n := float64(s.inFlight - s.evacuatedInFlight)
	for _, g := range s.returning {
		n -= float64(g.inFlight) * (1 - returnedShare(now, g.at))
	}
	return max(0, n)
}

// windowFull reports whether the window is used up. Attempts at evacuated agents do not count:
// the window was lowered by their share.
func (s *Adaptive) windowFull() bool {
	return s.window.full(s.answersDue() - (s.evacuatedInFlight - s.evacuatedStanding))
}

// fitsIfReturned reports whether the connected workers could run the job if no zone were
// evacuated.
func (s *Adaptive) fitsIfReturned(c *classState, job *Job) bool {
	if s.usableCount == len(s.connected) {
		return false
	}
	return fits(s.connected, c, job)
}
