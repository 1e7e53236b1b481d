package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// holdPatience is how long an entry may take to settle an end before the others
// are told of it: it may have lost its jobs although it lives.
const holdPatience = 700 * time.Millisecond

// heldEnd is the end of a run of a stored job that no entry has settled.
type heldEnd struct {
	end   wire.RunEnd
	entry wire.Incarnation // that asked for the run, 0 if it is not known
	since time.Duration
	told  bool // the other entries were told of it
}

// heldEnds holds ends in the order in which they came.
type heldEnds struct {
	byRun map[wire.RunRef]*heldEnd
	list  []*heldEnd
}

func (h *heldEnds) add(now time.Duration, entry wire.Incarnation, end wire.RunEnd) {
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

// holdEnd keeps the end of a stored job's run that says something of its task.
func (m *Machine) holdEnd(now time.Duration, a *attempt, e *Finished) {
	failed := e.Outcome == wire.Failed && e.Reason == wire.ReasonUpstreamError
	if !a.start.Stored || e.Outcome != wire.Succeeded && !failed {
		return
	}
	m.held.add(now, a.peer.entry, wire.RunEnd{Run: a.start.Ref(), Failed: failed, Checkpoint: e.Checkpoint})
}

// settled releases ends that an entry has recorded, at the worker as well.
func (m *Machine) settled(runs []wire.RunRef) {
	for _, run := range runs {
		if m.held.settle(run) {
			m.emit(Settle{Run: run})
		}
	}
}

// voided forgets ends that came too late. The worker is told nothing of them:
// core/lease releases them once the lease has passed.
func (m *Machine) voided(runs []wire.RunRef) {
	for _, run := range runs {
		m.held.settle(run)
	}
}

// overdue reports whether another entry may own the end's job by now: its own
// was not heard for RunLease, or does not settle it.
func (m *Machine) overdue(now time.Duration, x *heldEnd) bool {
	p := m.peers[x.entry]
	return p == nil || now-p.heardAt > m.opts.RunLease || now-x.since > holdPatience
}

// tellHeld tells every connected entry of the ends that are overdue. An entry
// that connects later is told by tellPeer.
func (m *Machine) tellHeld(now time.Duration) {
	for _, x := range m.held.list {
		if x.told || !m.overdue(now, x) {
			continue
		}
		x.told = true
		for _, p := range m.peerList {
			if p.up {
				p.ends = append(p.ends, x.end)
				p.greet = true
			}
		}
	}
}

// tellPeer tells an entry that has just connected of every end that may be its
// business: those that it asked for, and those that are overdue.
func (m *Machine) tellPeer(now time.Duration, p *peer) {
	p.ends = p.ends[:0]
	for _, x := range m.held.list {
		if len(p.ends) < wire.MaxHeldEnds && (x.entry == p.entry || x.told || m.overdue(now, x)) {
			p.ends = append(p.ends, x.end)
		}
	}
}
