package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// look asks for the worker's lists when something is to be learned or renewed.
// One look is in progress at a time.
func (m *Machine) look(now time.Duration) {
	if m.looking || m.gone || now < m.nextLook {
		return
	}
	req := CallLook{LastSeen: m.lastSeen}
	switch {
	case m.readAt == 0: // nothing is known of the worker yet
	case m.lookNow:
	case m.live():
		req.Wait = m.opts.LookWait
	case len(m.foreign) > 0:
		req.Wait = m.opts.LookWait
	case m.acked < m.lastSeen && now >= m.ackAt:
	default:
		return
	}
	if len(m.list) > 0 {
		req.Deadline = m.renew(now)
	}
	m.lookNow = false
	m.looking = true
	m.lookAt = now
	m.lookSeen = m.lastSeen
	m.emit(req)
}

// live reports whether some run may be at the worker.
func (m *Machine) live() bool {
	for _, r := range m.list {
		if r.state != runStarting {
			return true
		}
	}
	return false
}

func (m *Machine) looked(now time.Duration, e Looked) {
	m.looking = false
	if e.View == nil {
		m.nextLook = now + lookRetry
		return
	}
	v := e.View
	m.read(now, v.Clock)
	if m.life != 0 && v.Life != 0 && v.Life != m.life {
		m.reborn(now)
		return
	}
	m.life = v.Life
	m.acked = max(m.acked, m.lookSeen)
	m.ended(now, v.Ended)
	m.listed(now, v.Running)
}

// reborn handles a worker that started anew: nothing of before runs there.
func (m *Machine) reborn(now time.Duration) {
	m.gone = true
	for len(m.list) > 0 {
		m.finish(now, m.list[0], wire.Failed, wire.ReasonRunEnded)
	}
	m.emit(WorkerGone{})
}

func (m *Machine) ended(now time.Duration, ends []End) {
	for _, end := range ends {
		delete(m.foreign, end.Run)
		if end.N > m.lastSeen {
			m.lastSeen = end.N
			m.ackAt = now + m.opts.AckDelay
		}
		r := m.runs[end.Run]
		if r == nil {
			continue
		}
		outcome, reason := r.outcome(end.How)
		m.finish(now, r, outcome, reason)
	}
}

// outcome translates how a run ended.
func (r *run) outcome(how How) (wire.Outcome, wire.Reason) {
	switch {
	case how == EndedDone:
		return wire.Succeeded, wire.ReasonNone
	case how == EndedFailed:
		return wire.Failed, wire.ReasonUpstreamError
	case how == EndedStopped && r.stop && !r.orphan:
		return wire.Failed, wire.ReasonStopped
	}
	return wire.Failed, wire.ReasonRunEnded
}

// listed compares what runs with what should. The list was made after the look
// was sent, so it holds every run that was accepted before.
func (m *Machine) listed(now time.Duration, running []RunID) {
	seen := make(map[RunID]bool, len(running))
	for _, id := range running {
		seen[id] = true
		r := m.runs[id]
		switch {
		case r == nil:
			if _, known := m.foreign[id]; !known {
				m.foreign[id] = now
			}
		case r.state != runRunning:
			r.state = runRunning
			r.since = now
		}
	}
	for id := range m.foreign {
		if !seen[id] {
			delete(m.foreign, id)
		}
	}
	for i := 0; i < len(m.list); {
		if r := m.list[i]; !seen[r.id] && m.missing(now, r) {
			continue // finished and removed
		}
		i++
	}
}

// missing handles a run that the list does not hold. It reports whether the
// run has finished.
func (m *Machine) missing(now time.Duration, r *run) bool {
	if r.since >= m.lookAt {
		return false
	}
	switch r.state {
	case runRunning:
		m.finish(now, r, wire.Failed, wire.ReasonRunEnded)
		return true
	case runDoubtful:
		if m.clock > r.deadline {
			m.finish(now, r, wire.NotRun, wire.ReasonNotReceived)
			return true
		}
		r.stop = true // so that it cannot start any more
	case runStarting:
	}
	return false
}
