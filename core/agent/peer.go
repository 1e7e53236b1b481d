package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

type attemptState uint8

const (
	stateQueued attemptState = iota
	stateRunning
	stateDone
)

// attempt is one accepted start. Refused starts have no attempt.
type attempt struct {
	peer     *peer
	start    wire.Start
	arrived  time.Duration
	started  time.Duration
	due      time.Duration // arrival plus slack: the queue's order
	deadline time.Duration
	order    uint64
	index    int // position in the queue
	state    attemptState
	result   wire.Result
}

func (a *attempt) id() AttemptID {
	return AttemptID{Entry: a.peer.entry, Seq: a.start.Seq}
}

// finish records the outcome and reports it.
func (a *attempt) finish(r wire.Result) {
	r.Seq = a.start.Seq
	a.state = stateDone
	a.result = r
	a.start.Payload = nil
	a.peer.report(r)
}

// peer is what the agent remembers of one entry incarnation. It outlives the
// entry's links, since the entry may ask about its attempts over a new one.
type peer struct {
	entry    wire.Incarnation
	epoch    wire.Epoch
	up       bool
	downAt   time.Duration
	sentAt   time.Duration
	floor    wire.Seq
	maxSeen  wire.Seq // highest seq that was accepted, refused or queried
	attempts map[wire.Seq]*attempt
	running  map[wire.Seq]bool // runs whose record was released early
	out      []wire.Result     // results not yet sent on the current link
	greet    bool              // send a frame even if there is nothing to report
}

func newPeer(entry wire.Incarnation) *peer {
	return &peer{
		entry:    entry,
		attempts: make(map[wire.Seq]*attempt),
		running:  make(map[wire.Seq]bool),
	}
}

// report queues a result for the link. With the link down the result is
// dropped here: the entry queries every attempt in flight when it is back.
func (p *peer) report(r wire.Result) {
	if p.up {
		p.out = append(p.out, r)
	}
}

// settle releases the records below floor. A run that is still going (its
// entry gave up on it) keeps its slot until it ends.
func (p *peer) settle(floor wire.Seq) {
	if floor <= p.floor {
		return
	}
	p.floor = floor
	for seq, a := range p.attempts {
		if seq >= floor || a.state == stateQueued {
			continue
		}
		if a.state == stateRunning {
			p.running[seq] = true
		}
		delete(p.attempts, seq)
	}
}

func (m *Machine) linkUp(now time.Duration, e LinkUp) {
	p := m.peers[e.Entry]
	if p == nil {
		p = newPeer(e.Entry)
		m.peers[e.Entry] = p
		m.peerList = append(m.peerList, p)
	}
	if p.up && e.Epoch <= p.epoch {
		return
	}
	p.up = true
	p.epoch = e.Epoch
	p.sentAt = now
	p.out = nil
	p.greet = true
}

func (m *Machine) linkDown(now time.Duration, e LinkDown) {
	p := m.peers[e.Entry]
	if p == nil || !p.up || p.epoch != e.Epoch {
		return
	}
	p.up = false
	p.downAt = now
	p.out = nil
}

func (m *Machine) tick(now time.Duration) {
	m.expireQueued(now)
	for _, p := range m.peerList {
		m.tickPeer(now, p)
	}
}

func (m *Machine) expireQueued(now time.Duration) {
	for i := m.queue.Len() - 1; i >= 0; i-- {
		a := m.queue[i]
		if now < a.deadline {
			continue
		}
		m.queue.remove(a)
		a.finish(wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonExpired})
	}
}

func (m *Machine) tickPeer(now time.Duration, p *peer) {
	if p.up {
		if now-p.sentAt >= m.opts.HeartbeatInterval {
			p.greet = true
		}
		return
	}
	if now-p.downAt >= m.opts.LinkLease {
		m.dropQueued(p)
	}
	if now-p.downAt >= m.opts.PeerRetention {
		p.settle(p.maxSeen + 1)
	}
}

// dropQueued gives up the queued tasks of an entry whose lease has lapsed.
// Their records stay, so a later query is answered NotRun.
func (m *Machine) dropQueued(p *peer) {
	for i := m.queue.Len() - 1; i >= 0; i-- {
		a := m.queue[i]
		if a.peer != p {
			continue
		}
		m.queue.remove(a)
		a.finish(wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonCancelled})
	}
}

func (m *Machine) drain() {
	if m.draining {
		return
	}
	m.draining = true
	for m.queue.Len() > 0 {
		a := m.queue.pop()
		a.finish(wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonDraining})
	}
	for _, p := range m.peerList {
		p.greet = true
	}
}

// flush sends one frame to each entry that has results or a heartbeat due.
func (m *Machine) flush(now time.Duration) {
	for _, p := range m.peerList {
		if !p.up || (len(p.out) == 0 && !p.greet) {
			continue
		}
		m.emit(Send{
			Entry: p.entry,
			Epoch: p.epoch,
			Frame: &wire.ToEntry{Results: p.out, Load: m.Load()},
		})
		p.out = nil
		p.greet = false
		p.sentAt = now
	}
}

// reportDrained emits Drained once nothing is left to run or to be fetched.
func (m *Machine) reportDrained() {
	if !m.draining || m.drained || m.running > 0 {
		return
	}
	for _, p := range m.peerList {
		if p.up && len(p.attempts) > 0 {
			return // results not yet settled by the entry
		}
	}
	m.drained = true
	m.emit(Drained{})
}
