package lease

import "time"

// workerClock estimates the reading of the worker's clock at the given time. The estimate
// is never ahead of that clock: with a reading that is old because this process was
// frozen, runs would outlive their lease.
func (m *Machine) workerClock(at time.Duration) time.Duration {
	if at < m.readAt {
		return m.clock - (m.readAt - at)
	}
	return m.clock + time.Duration(slowestClockRate*float64(at-m.readAt))
}

// recordClock records a reading of the worker's clock, unless it is 0 (not known). A
// reading that is far behind the one before is that of another incarnation, whose clock
// starts from 0.
func (m *Machine) recordClock(now time.Duration, clock time.Duration) {
	if clock > 0 {
		if clock < m.clock-maxClockReorder {
			m.clockFellAt = now
		}
		m.clock = clock
		m.readAt = now
	}
}

// renew extends the lease with a call that is sent now. The lease lasts from the given time.
// renew returns its end on the worker's clock.
func (m *Machine) renew(now, from time.Duration) time.Duration {
	m.renewalSentAt = now
	m.leaseEnd = max(m.leaseEnd, m.leaseExpiry(from))
	return m.workerClock(from) + m.opts.Lease
}

// leaseExpiry returns when a lease that begins at now has expired even on the
// slowest worker clock.
func (m *Machine) leaseExpiry(now time.Duration) time.Duration {
	return now + time.Duration(float64(m.opts.Lease)/slowestClockRate) + expiryMargin
}
