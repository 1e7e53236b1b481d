package durable

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// LeaseEnd returns the time at which the lease of another process ends as this machine
// counts it, and the time up to which its view contains all records.
func (m *Machine) LeaseEnd(other wire.Incarnation) (end, viewAt time.Duration) {
	return m.processes[other].lastSeenAt + m.opts.Lease, m.viewAt
}
