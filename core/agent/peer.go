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
	class    *classStats
	start    wire.Start
	arrived  time.Duration
	started  time.Duration
	due      time.Duration // arrival plus slack: the queue's order
	deadline time.Duration
	order    uint64
	slots    float64 // of the worker's slots that the task takes
	stopping bool    // Stop was emitted
	state    attemptState
	released bool // settled by the entry while it was running
	// sentEpoch and sentAt say when the result was last sent.
	sentEpoch wire.Epoch
	sentAt    time.Duration
	run       Run
	result    wire.Result
}

func (a *attempt) id() AttemptID {
	return AttemptID{Entry: a.peer.entry, Seq: a.start.Seq}
}

// finish records the outcome and reports it, unless the entry settled the
// attempt already.
func (m *Machine) finish(a *attempt, r wire.Result) {
	r.Seq = a.start.Seq
	a.state = stateDone
	a.result = r
	a.start.Payload = nil
	p := a.peer
	if a.released {
		delete(p.attempts, r.Seq)
		return
	}
	m.retained += len(r.Body)
	p.report(r)
}

// peer is what the agent remembers of one entry incarnation. It outlives the
// entry's links, since the entry may ask about its attempts over a new one.
type peer struct {
	entry    wire.Incarnation
	epoch    wire.Epoch // highest epoch seen
	up       bool
	downAt   time.Duration
	sentAt   time.Duration
	heardAt  time.Duration // this agent's clock as the entry echoed it last
	floor    wire.Seq
	maxSeen  wire.Seq // highest seq that was accepted, refused or queried
	firstSeq wire.Seq // first seq that arrived in a start, 0 if none
	// amnesic says that an earlier record of this entry may have been
	// forgotten, so a query about an unrecorded seq below firstSeq cannot be
	// answered NotRun.
	amnesic       bool
	attempts      map[wire.Seq]*attempt
	byArrival     []*attempt            // unsettled attempts, ascending seq
	delivered     map[wire.Seq]struct{} // ended, result delivered, record released early
	roomAt        time.Duration         // when makeRoom may search again
	out           []wire.Result
	ends          []wire.RunEnd // for the next frame
	frame         *outFrame     // frame under construction
	greet         bool          // send a frame even if there is nothing to report
	retiring      bool          // starts are refused until the next LinkUp
	retired       bool          // Retired was emitted
	retireAt      time.Duration
	configVersion int64 // newest version that the entry is known to have
	sendConfig    bool
}

// outFrame is a frame with its action and room for one result, so that the
// usual frame costs one allocation.
type outFrame struct {
	send  Send
	frame wire.ToEntry
	one   [1]wire.Result
}

// report queues a result for the link. With the link down the result is
// dropped here: the entry queries every attempt in flight when it is back.
func (p *peer) report(r wire.Result) {
	if !p.up {
		return
	}
	if p.frame == nil {
		p.frame = new(outFrame)
		p.out = p.frame.one[:0]
	}
	p.out = append(p.out, r)
}

func (p *peer) discardOutput() {
	p.out = nil
	p.frame = nil
}

// settle releases the records below floor. A queued attempt there is dropped:
// its entry has ended it, so its run would have no reader. A run in progress
// keeps its slot until it ends.
func (m *Machine) settle(p *peer, floor wire.Seq) {
	if floor <= p.floor {
		return
	}
	p.floor = floor
	for seq := range p.delivered {
		if seq < floor {
			delete(p.delivered, seq)
		}
	}
	n := 0
	for n < len(p.byArrival) && p.byArrival[n].start.Seq < floor {
		m.release(p, p.byArrival[n])
		p.byArrival[n] = nil
		n++
	}
	if n == len(p.byArrival) {
		p.byArrival = p.byArrival[:0] // keeps the storage
		return
	}
	p.byArrival = p.byArrival[n:]
}

func (m *Machine) release(p *peer, a *attempt) {
	switch a.state {
	case stateRunning:
		a.released = true
		return
	case stateQueued:
		m.queue.remove(a)
	case stateDone:
		m.retained -= len(a.result.Body)
	}
	delete(p.attempts, a.start.Seq)
}

func (m *Machine) linkUp(now time.Duration, e LinkUp) {
	p := m.peers[e.Entry]
	if p == nil {
		p = m.addPeer(e.Entry)
	}
	if e.Epoch <= p.epoch {
		return
	}
	p.up = true
	p.epoch = e.Epoch
	p.sentAt = now
	p.heardAt = max(p.heardAt, now) // its hello answered one of this agent's
	p.discardOutput()
	p.greet = true
	m.tellPeer(now, p)
	p.retiring, p.retired = false, false
	p.configVersion = e.ConfigVersion
	p.sendConfig = m.config != nil && e.ConfigVersion < m.config.Version
}

func (m *Machine) addPeer(entry wire.Incarnation) *peer {
	p := &peer{
		entry:     entry,
		epoch:     m.lastForgotten,
		amnesic:   m.forgot,
		attempts:  make(map[wire.Seq]*attempt),
		delivered: make(map[wire.Seq]struct{}),
	}
	m.peers[entry] = p
	m.peerList = append(m.peerList, p)
	return p
}

func (m *Machine) linkDown(now time.Duration, e LinkDown) {
	p := m.peers[e.Entry]
	if p == nil || !p.up || p.epoch != e.Epoch {
		return
	}
	p.up = false
	p.downAt = now
	p.ends = nil
	p.discardOutput()
}

func (m *Machine) tick(now time.Duration) {
	m.handBack(wire.ReasonExpired, func(a *attempt) bool { return now >= a.deadline })
	m.endOrphans(now)
	m.tellHeld(now)
	m.handOnConfig(now)
	kept := m.peerList[:0]
	for _, p := range m.peerList {
		m.tickPeer(now, p)
		if m.forgettable(now, p) {
			delete(m.peers, p.entry)
			m.forgot = true
			m.lastForgotten = max(m.lastForgotten, p.epoch)
			continue
		}
		kept = append(kept, p)
	}
	clear(m.peerList[len(kept):])
	m.peerList = kept
	m.probe(now)
}

func (m *Machine) tickPeer(now time.Duration, p *peer) {
	if p.up {
		if now-p.sentAt >= m.opts.HeartbeatInterval {
			p.greet = true
		}
		m.reportRetired(now, p)
		return
	}
	if now-p.downAt >= m.opts.LinkLease {
		// The records stay, so a later query is answered NotRun.
		m.handBack(wire.ReasonCancelled, func(a *attempt) bool { return a.peer == p })
	}
	if now-p.downAt >= m.opts.PeerRetention {
		m.settle(p, p.maxSeen+1)
	}
}

// endOrphans stops the runs of entries that were not heard for RunLease. The
// entry gives such attempts up as lost, and its caller may send the job again
// to another entry.
func (m *Machine) endOrphans(now time.Duration) {
	if m.opts.RunLease <= 0 {
		return
	}
	for _, a := range m.active {
		if !a.stopping && now-a.peer.heardAt > m.opts.RunLease {
			a.stopping = true
			m.emit(Stop{Attempt: a.id(), Orphan: true})
		}
	}
	m.handBack(wire.ReasonCancelled, func(a *attempt) bool {
		return now-a.peer.heardAt > m.opts.RunLease
	})
}

// hear renews the lease of an entry's runs with the reading that it echoed.
func (p *peer) hear(echo time.Duration) { p.heardAt = max(p.heardAt, echo) }

// forgettable says that nothing is left of an entry whose link has been down
// for the retention time. Without this, restarted entries would add up.
func (m *Machine) forgettable(now time.Duration, p *peer) bool {
	return !p.up && now-p.downAt >= m.opts.PeerRetention && len(p.attempts) == 0
}

// greetAll sends the load to every entry at once, for changes that entries
// must not learn late.
func (m *Machine) greetAll() {
	for _, p := range m.peerList {
		p.greet = true
	}
}
