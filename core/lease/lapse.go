package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// lapseTimeout is how long after the expiry of the lease, or after an answer since, a
	// worker that does not answer may still have runs in progress: if its process stands
	// still, it ends them when it goes on. A process that shared a busy machine stood still
	// for 0.4 s beyond the lease.
	lapseTimeout = time.Second
	// lapseSettle is how long after a call was left unanswered a worker that answers again
	// may not have looked at its lease yet.
	lapseSettle = 100 * time.Millisecond
	// lapsePolls is the number of polls that must have been left unanswered after
	// lapseTimeout: one alone may seem unanswered because this process was frozen.
	lapsePolls = 3
)

// expireLease handles the expiry of the lease without a renewal. Finished runs that are
// still retained are released: they no longer count, because their tasks may be repeated
// like those of a worker that was cut off.
//
// The open runs end, but a worker whose process stands still ends them only when it goes
// on. So the next list decides. Runs of a worker that leaves lapsePolls polls in a row
// unanswered after lapseTimeout count as ended, unless a start of them may still take effect.
func (m *Machine) expireLease(now time.Duration) {
	if now <= m.leaseEnd {
		return
	}
	if len(m.retained) > 0 {
		m.unconfirmedAt = now
	}
	m.releaseAll()
	if len(m.ordered) == 0 {
		m.lapsedAt = 0
		return
	}
	if m.lapsedAt == 0 {
		m.lapsedAt, m.silentPolls = now, 0
		m.unconfirmedAt = now
		m.pollNow = true
	}
	if !m.processGone && m.silentPolls < lapsePolls {
		return
	}
	for i := 0; i < len(m.ordered); {
		r := m.ordered[i]
		if m.startMayTakeEffect(now, r) {
			i++
			continue
		}
		m.finish(now, r, wire.Failed, r.endReason(m.processGone))
	}
	if len(m.ordered) == 0 {
		m.lapsedAt = 0
	}
}

// lapsed reports whether the lease has expired with open runs.
func (m *Machine) lapsed(now time.Duration) bool { return now > m.leaseEnd && len(m.ordered) > 0 }

// renewalsHeld reports whether no call may renew the lease, because it has expired and the
// worker may not have noticed. A worker that goes on after it stood still may carry out
// calls before it looks at its lease: a renewal would prolong runs that are repeated, and
// finished runs would count although they were released.
func (m *Machine) renewalsHeld(now time.Duration) bool {
	return m.unconfirmedAt > 0 || m.lapsed(now)
}

// noticedExpiry reports whether the worker, which has just answered, has noticed that the
// lease expired.
func (m *Machine) noticedExpiry(now time.Duration) bool {
	answers := m.unansweredAt == 0 || now-m.unansweredAt >= lapseSettle
	return answers && m.polledAt >= m.unconfirmedAt && len(m.foreign) == 0
}
