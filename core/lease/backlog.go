package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// maxUnackedRuns bounds the ended runs that are not acknowledged, together with
	// the open runs, each of which becomes one. A worker lists 500 ended runs at once:
	// beyond that, the ends of later runs cannot be seen. The difference leaves room
	// for runs that are started before the agent learns of the bound.
	maxUnackedRuns = 400
	// resumeUnackedRuns is the number at which further runs are admitted again.
	resumeUnackedRuns = 300
	// supersededDelay is how long a superseded run is retained before the worker is
	// quiesced. The lease of a worker with little work expires by itself meanwhile.
	supersededDelay = time.Second
	// quiesceTimeout is how long open runs may take to end while the worker is
	// quiesced. Runs that take longer end with the lease and are repeated.
	quiesceTimeout = 1500 * time.Millisecond
)

// release allows the acknowledgement of a finished run.
func (m *Machine) release(run wire.RunRef) {
	delete(m.retained, run)
	delete(m.superseded, run)
}

// releaseAll allows the acknowledgement of every finished run.
func (m *Machine) releaseAll() {
	clear(m.retained)
	clear(m.superseded)
}

// supersede records that a retained run must not be acknowledged before the lease has
// expired.
func (m *Machine) supersede(now time.Duration, run wire.RunRef) {
	if _, ok := m.retained[run]; !ok {
		return
	}
	if len(m.superseded) == 0 {
		m.supersededAt = now
	}
	m.superseded[run] = struct{}{}
}

// quiescing reports whether no run may start until the lease has expired, because a
// superseded run is retained. Runs that follow each other renew the lease for good, and
// no run that ended after the superseded one could ever be acknowledged.
func (m *Machine) quiescing(now time.Duration) bool {
	return len(m.superseded) > 0 && now-m.supersededAt >= supersededDelay
}

// quiesced reports whether the lease is not renewed any more, so that it expires and the
// superseded runs can be acknowledged.
func (m *Machine) quiesced(now time.Duration) bool {
	return len(m.superseded) > 0 && now-m.supersededAt >= supersededDelay+quiesceTimeout
}

// mayRepeatStart reports whether an unanswered start may be sent again: it renews the
// lease, which has not expired, no permission of an open run has expired, and the worker's
// process is not known to be gone.
func (m *Machine) mayRepeatStart(now time.Duration) bool {
	return !m.processGone && m.replacedAt == 0 && !m.quiesced(now) && !m.renewalsHeld(now) && now <= m.renewableUntil()
}

// updateAdmission reports whether the worker can take further runs, if that has
// changed.
func (m *Machine) updateAdmission(now time.Duration) {
	unacked := m.highestSeen - m.acked
	switch n := unacked + len(m.ordered); {
	case n >= maxUnackedRuns:
		m.listFull = true
	case n <= resumeUnackedRuns:
		m.listFull = false
	}
	closed := m.listFull || m.quiescing(now) || m.expiring(now) || m.renewalsHeld(now)
	if closed == m.closed {
		return
	}
	m.closed = closed
	m.emit(Admission{
		Closed: closed, UnackedRuns: unacked, OpenRuns: len(m.ordered), SupersededRuns: len(m.superseded),
		UnansweredStarts: m.unansweredStarts(), LeaseExpiring: m.expiring(now), LeaseExpired: m.renewalsHeld(now),
	})
}

// unansweredStarts returns the number of open runs with a start that was left unanswered.
func (m *Machine) unansweredStarts() int {
	n := 0
	for _, r := range m.ordered {
		if r.state != runStarting && r.startInDoubt() {
			n++
		}
	}
	return n
}
