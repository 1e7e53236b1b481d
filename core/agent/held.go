package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// settleTimeout is how long an entry may take to settle an end before the end is
// sent to the other entries: the entry may have lost ownership of its jobs
// although it is alive.
const settleTimeout = 700 * time.Millisecond

// heldEnd is the end of a stored job's run that no entry has settled yet.
type heldEnd struct {
	end       wire.FinishedRun
	entry     wire.Incarnation // requested the run, 0 if not known
	since     time.Duration
	broadcast bool // it was sent to all connected entries
}

// heldEnds is a set of ends in order of arrival.
type heldEnds struct {
	byRun map[wire.RunRef]*heldEnd
	list  []*heldEnd
}

func (h *heldEnds) add(now time.Duration, entry wire.Incarnation, end wire.FinishedRun) {
	if h.byRun == nil {
		h.byRun = make(map[wire.RunRef]*heldEnd)
	}
	if h.byRun[end.Run] != nil {
		return
	}
	x := &heldEnd{end: end, entry: entry, since: now}
	h.byRun[end.Run] = x
	h.list = append(h.list, x)
}

func (h *heldEnds) settle(run wire.RunRef) bool {
	x := h.byRun[run]
	if x == nil {
		return false
	}
	delete(h.byRun, run)
	for i := range h.list {
		if h.list[i] == x {
			h.list = append(h.list[:i], h.list[i+1:]...)
			break
		}
	}
	return true
}

// holdEnd holds the end of a stored job's run if the task succeeded or failed by
// itself. Other ends say nothing about the task.
func (m *Machine) holdEnd(now time.Duration, a *attempt, e *Finished) {
	failed := e.Outcome == wire.Failed && e.Reason == wire.ReasonUpstreamError
	if !a.start.RetainResult || e.Outcome != wire.Succeeded && !failed {
		return
	}
	m.held.add(now, a.peer.entry, wire.FinishedRun{Run: a.start.Ref(), Failed: failed, Checkpoint: e.Checkpoint})
}

// settleEnds releases ends that an entry has recorded, here and at the worker.
func (m *Machine) settleEnds(runs []wire.RunRef) {
	for _, run := range runs {
		if m.held.settle(run) {
			m.emit(Settle{Run: run})
		}
	}
}

// voidEnds drops ends that arrived too late to count. It emits no Settle for
// them: core/lease releases them once the lease has expired.
func (m *Machine) voidEnds(runs []wire.RunRef) {
	for _, run := range runs {
		m.held.settle(run)
	}
}

// overdue reports whether another entry may own the end's job by now: the entry
// that requested the run gave no sign of life for RunLease, or has not settled
// the end in time.
func (m *Machine) overdue(now time.Duration, x *heldEnd) bool {
	p := m.peers[x.entry]
	return p == nil || now-p.aliveAt > m.opts.RunLease || now-x.since > settleTimeout
}

// broadcastOverdueEnds sends the ends that became overdue to every connected
// entry. An entry that connects later gets them from queueHeldEnds.
func (m *Machine) broadcastOverdueEnds(now time.Duration) {
	for _, x := range m.held.list {
		if x.broadcast || !m.overdue(now, x) {
			continue
		}
		x.broadcast = true
		for _, p := range m.peerList {
			if p.up {
				p.pendingEnds = append(p.pendingEnds, x.end)
				p.heartbeatDue = true
			}
		}
	}
}

// queueHeldEnds queues the ends that an entry which has just connected may need:
// those of runs that it requested and those that are overdue.
func (m *Machine) queueHeldEnds(now time.Duration, p *peer) {
	p.pendingEnds = p.pendingEnds[:0]
	for _, x := range m.held.list {
		if len(p.pendingEnds) < wire.MaxFinishedRuns && (x.entry == p.entry || x.broadcast || m.overdue(now, x)) {
			p.pendingEnds = append(p.pendingEnds, x.end)
		}
	}
}
