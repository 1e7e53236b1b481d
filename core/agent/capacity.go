package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// queueGrace is how much longer than the wait that its entry accepts an attempt may be
// queued. The runs before it may last, so the estimate of its wait can be wrong for good.
const queueGrace = 2 * time.Second

// changeCapacity adopts the capacity that the worker announced last, and reports it to the
// entries. What runs already keeps running; queued tasks that the worker cannot take any
// more are returned.
func (m *Machine) changeCapacity(e *CapacityChanged) {
	if e.Sequence < m.capacitySequence {
		return
	}
	m.capacitySequence = e.Sequence
	m.growTo(e.Capacity)
	m.capacity = wire.Capacity{
		MilliCores:   reported(e.Capacity.MilliCores, m.opts.Capacity.MilliCores),
		MemoryMB:     reported(e.Capacity.MemoryMB, m.opts.Capacity.MemoryMB),
		Accelerators: e.Capacity.Accelerators,
	}
	m.returnQueued(wire.ReasonNoRoom, func(a *attempt) bool { return !m.capacity.Fits(a.start.Need) })
	m.heartbeatAll()
}

// growTo adopts a capacity that exceeds the full one in some dimension: the worker was
// smaller when the agent began. Entries place tasks by the full capacity, so they must be
// told.
func (m *Machine) growTo(c wire.Capacity) {
	full := m.opts.Capacity
	if full.MilliCores > 0 { // 0: not stated
		full.MilliCores = max(full.MilliCores, c.MilliCores)
	}
	if full.MemoryMB > 0 {
		full.MemoryMB = max(full.MemoryMB, c.MemoryMB)
	}
	full.Accelerators = max(full.Accelerators, c.Accelerators)
	if full == m.opts.Capacity {
		return
	}
	m.opts.Capacity = full
	for _, a := range m.queue {
		a.slots = full.SlotsFor(a.start.Need, m.opts.Slots)
	}
	m.occupied = 0
	for _, a := range m.active {
		a.slots = full.SlotsFor(a.start.Need, m.opts.Slots)
		m.occupied += a.slots
	}
	m.neighbours.restart(m.neighbours.now, m.neighbours.enabled, m.active)
	m.emit(CapacityGrown{Capacity: full})
}

// returnOverdue returns the attempts that are queued for longer than their entry accepts.
func (m *Machine) returnOverdue(now time.Duration) {
	m.returnQueued(wire.ReasonBusy, func(a *attempt) bool {
		return now-a.arrived >= a.start.MaxWait.Duration()+queueGrace
	})
}

// roomLimit returns how many slots can be used at once: those in use, and as many as the
// worker's current capacity has room for in every dimension.
func (m *Machine) roomLimit() float64 {
	slots := float64(m.opts.Slots)
	if m.capacity == m.opts.Capacity {
		return slots
	}
	used := m.usedCapacity()
	room := 1.0
	for _, d := range [...]struct{ full, current, used int64 }{
		{m.opts.Capacity.MilliCores, m.capacity.MilliCores, used.MilliCores},
		{m.opts.Capacity.MemoryMB, m.capacity.MemoryMB, used.MemoryMB},
		{m.opts.Capacity.Accelerators, m.capacity.Accelerators, used.Accelerators},
	} {
		if d.full > 0 {
			room = min(room, float64(max(0, d.current-d.used))/float64(d.full))
		}
	}
	return min(slots, m.occupied+room*slots)
}

// usedCapacity returns the sum of the needs of all runs.
func (m *Machine) usedCapacity() (sum wire.Capacity) {
	for _, running := range m.active {
		sum = sum.Add(running.start.Need)
	}
	return sum
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
	return m.capacity.Fits(m.usedCapacity().Add(a.start.Need))
}
