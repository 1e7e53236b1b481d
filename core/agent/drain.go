package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

func (m *Machine) drain(now time.Duration) {
	if m.draining {
		return
	}
	m.draining = true
	m.drainAt = now
	m.idleAt = now
	m.returnQueued(wire.ReasonDraining, allAttempts)
	m.heartbeatAll()
}

// reportDrained emits Drained once no run and no unsettled result is left.
//
// Runs end by their deadlines. After the last run the agent stops within
// DrainSettleTimeout, or earlier if every entry has settled its attempts. While an
// entry is connected it stays for at least DrainLinger after the announcement, so
// that a start which crossed the announcement is refused and not lost.
func (m *Machine) reportDrained(now time.Duration) {
	if !m.draining || m.drained {
		return
	}
	if len(m.active) > 0 {
		m.idleAt = now
		return
	}
	if now-m.idleAt < m.opts.DrainSettleTimeout && m.stillNeeded(now) {
		return
	}
	m.drained = true
	m.emit(Drained{})
}

// stillNeeded reports whether an entry may still need this agent.
func (m *Machine) stillNeeded(now time.Duration) bool {
	for _, rec := range m.entryList {
		switch {
		case rec.up && (len(rec.attempts) > 0 || now-m.drainAt < m.opts.DrainLinger):
			return true
		case !rec.up && len(rec.attempts) > 0 && now-rec.downAt < m.opts.DrainLinger:
			return true // the agent is dialling the entry again
		}
	}
	return false
}

func (m *Machine) retire(now time.Duration, e Retire) {
	rec := m.entries[e.Entry]
	if rec == nil || !rec.up || rec.retiring {
		return
	}
	rec.retiring = true
	rec.retireAt = now
	rec.heartbeatDue = true
	m.returnQueued(wire.ReasonDraining, func(a *attempt) bool { return a.entry == rec })
}

// reportRetired emits Retired at the first tick that finds every attempt of a
// retiring link settled. DrainLinger applies as in a drain.
func (m *Machine) reportRetired(now time.Duration, rec *entryRecord) {
	if !rec.retiring || rec.retired || len(rec.attempts) > 0 || now-rec.retireAt < m.opts.DrainLinger {
		return
	}
	rec.retired = true
	m.emit(Retired{Entry: rec.incarnation, Epoch: rec.epoch})
}
