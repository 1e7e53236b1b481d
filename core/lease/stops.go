package lease

import (
	"slices"
	"time"
)

func (m *Machine) stop(now time.Duration, e Stop) {
	i := slices.IndexFunc(m.ordered, func(r *run) bool { return r.attempt == e.Attempt })
	if i < 0 {
		return
	}
	r := m.ordered[i]
	r.fixPermission(e.PermittedUntil)
	r.cancelled = r.cancelled || !e.Orphan
	r.requestStop(now)
}

// requestStop makes a stop of the run due, unless one was before.
func (r *run) requestStop(now time.Duration) {
	if !r.stopRequested {
		r.stopRequested = true
		r.stopAt = now
	}
}

// sendStops emits the stop calls that are due.
func (m *Machine) sendStops(now time.Duration) {
	for _, r := range m.ordered {
		if r.stopRequested && r.state != runStarting && now >= r.stopAt {
			r.stopAt = now + m.opts.StopRetry
			m.emit(CallStop{Run: r.id})
		}
	}
	for i := range m.foreign {
		if f := &m.foreign[i]; now >= f.stopAt {
			f.stopAt = now + m.opts.StopRetry
			m.emit(CallStop{Run: f.id})
		}
	}
}

// stopped handles the answer to a stop call. If the worker acknowledged it, a run
// whose start got no answer has either been ended by the stop, and will be listed
// as ended, or can never start.
func (m *Machine) stopped(now time.Duration, e Stopped) {
	m.recordClock(now, e.Clock)
	r := m.runs[e.Run]
	if r == nil {
		m.foreignStopped(now, e)
		return
	}
	if !e.Acknowledged {
		r.stopAt = min(r.stopAt, now+unansweredStopRetry)
		return
	}
	if r.state == runUnanswered {
		r.state = runRuledOut
		r.since = now
	}
	m.pollNow = true
}

// foreignStopped handles the answer to a stop call for a run that this machine has no
// record of. A list shows when it has ended.
func (m *Machine) foreignStopped(now time.Duration, e Stopped) {
	i := slices.IndexFunc(m.foreign, func(f foreignRun) bool { return f.id == e.Run })
	if i >= 0 && !e.Acknowledged {
		m.foreign[i].stopAt = min(m.foreign[i].stopAt, now+unansweredStopRetry)
	}
}
