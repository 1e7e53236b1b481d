package agent

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// deliveredAfter is how long a result must have been on its way on a link
	// that is still up for it to count as received. An entry that receives
	// nothing for 2 s closes the link, and an agent that then receives nothing
	// for 2 s does so too, and a link delivers frames in order.
	deliveredAfter = 5 * time.Second
	// maxDelivered bounds the numbers kept of records that were released early.
	maxDelivered = 1 << 16
	roomInterval = 100 * time.Millisecond
)

// makeRoom releases the records of results that were delivered but not settled.
// A floor stays at the lowest open attempt, so one task of many seconds would
// otherwise fill the window with ended short ones. Their numbers are kept: a
// query about one is answered Unknown, never NotRun.
func (m *Machine) makeRoom(now time.Duration, p *peer) {
	if now < p.roomAt || len(p.delivered) >= maxDelivered {
		return
	}
	p.roomAt = now + roomInterval
	p.byArrival = slices.DeleteFunc(p.byArrival, func(a *attempt) bool {
		if !a.wasDelivered(now) {
			return false
		}
		p.delivered[a.start.Seq] = struct{}{}
		m.release(p, a)
		return true
	})
}

func (a *attempt) wasDelivered(now time.Duration) bool {
	return a.state == stateDone && a.peer.up && a.sentEpoch == a.peer.epoch && now-a.sentAt >= deliveredAfter
}

// boundRetained keeps the memory of unfetched results within bounds: results
// of entries without a link are given up, longest down first.
func (m *Machine) boundRetained() {
	for m.retained > m.opts.MaxRetainedBytes {
		p := m.longestDown()
		if p == nil {
			return // new starts are refused until floors advance
		}
		for _, a := range p.byArrival {
			m.loseResult(a)
		}
	}
}

func (m *Machine) loseResult(a *attempt) {
	if a.state != stateDone || len(a.result.Body) == 0 {
		return
	}
	m.retained -= len(a.result.Body)
	a.result.Body = nil
	a.result.Outcome = wire.Unknown
	a.result.Reason = wire.ReasonResultLost
}

// longestDown returns the entry without a link that holds result bytes and
// lost its link first.
func (m *Machine) longestDown() *peer {
	var oldest *peer
	for _, p := range m.peerList {
		if p.up || !p.holdsBytes() {
			continue
		}
		if oldest == nil || p.downAt < oldest.downAt {
			oldest = p
		}
	}
	return oldest
}

func (p *peer) holdsBytes() bool {
	for _, a := range p.byArrival {
		if a.state == stateDone && len(a.result.Body) > 0 {
			return true
		}
	}
	return false
}
