package agent

import "github.com/limpettrail/limpettrail/core/wire"

// changeCapacity adopts the capacity that the worker announced last. What runs already
// keeps running; queued tasks that the worker cannot take any more are returned.
func (m *Machine) changeCapacity(e *CapacityChanged) {
	if e.Sequence < m.capacitySequence {
		return
	}
	m.capacitySequence = e.Sequence
	m.capacity = wire.Capacity{
		MilliCores:   reported(e.Capacity.MilliCores, m.opts.Capacity.MilliCores),
		MemoryMB:     reported(e.Capacity.MemoryMB, m.opts.Capacity.MemoryMB),
		Accelerators: e.Capacity.Accelerators,
	}
	m.returnQueued(wire.ReasonNoRoom, func(a *attempt) bool { return !m.capacity.Fits(a.start.Need) })
}

// changeAdmission tells every entry whether the worker can take further runs. Queued tasks
// are returned, so that they need not wait for it.
func (m *Machine) changeAdmission(e AdmissionChanged) {
	m.admissionClosed = e.Closed
	if e.Closed {
		m.returnQueued(wire.ReasonBusy, allAttempts)
	}
	m.heartbeatAll()
}

// reported returns the current value of a dimension. Capacity.Fits takes 0 for a
// dimension that is not stated, so a dimension that was stated and is used up is 1.
func reported(current, full int64) int64 {
	if full > 0 {
		return max(current, 1)
	}
	return current
}

// fitsBeside reports whether the worker has capacity for the attempt beside those that
// run. While it has its full capacity, the slots of the attempts bound that already.
func (m *Machine) fitsBeside(a *attempt) bool {
	if m.capacity == m.opts.Capacity {
		return true
	}
	need := a.start.Need
	for _, running := range m.active {
		need = need.Add(running.start.Need)
	}
	return m.capacity.Fits(need)
}
