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

// attempt is an accepted start. Refused starts have no record.
type attempt struct {
	peer     *peer
	class    *classStats
	start    wire.Start
	arrived  time.Duration
	started  time.Duration
	due      time.Duration // arrival plus slack, the priority in the queue
	deadline time.Duration // of the caller
	order    uint64        // number by arrival
	slots    float64       // slots of the worker that the task takes
	stopping bool          // Stop was emitted
	state    attemptState
	released bool // settled by the entry while running
	// sentEpoch and sentAt are the link's epoch and the time of the last send of
	// the result.
	sentEpoch wire.Epoch
	sentAt    time.Duration
	run       Run
	result    wire.Result
}

func (a *attempt) id() AttemptID {
	return AttemptID{Entry: a.peer.entry, Seq: a.start.Seq}
}

// finish records the outcome of an attempt and queues it for the entry, unless the
// entry has already settled the attempt.
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
	m.retainedBytes += len(r.Body)
	p.queueResult(r)
}

// peer is the agent's record of one entry incarnation. It outlives the entry's
// links, because the entry may query its attempts over a new link.
type peer struct {
	entry    wire.Incarnation
	epoch    wire.Epoch // highest epoch seen
	up       bool
	downAt   time.Duration // when the link went down
	sentAt   time.Duration // when the last frame was sent
	aliveAt  time.Duration // latest time at which the entry is known to have been alive
	floor    wire.Seq      // the entry's lowest open seq: attempts below it are settled
	maxSeen  wire.Seq      // highest seq that was accepted, refused or queried
	firstSeq wire.Seq      // first seq that arrived in a start, 0 if none
	// recordsIncomplete is set if an earlier record of this entry may have been
	// removed, so that a query about an unrecorded seq below firstSeq cannot be
	// answered NotRun.
	recordsIncomplete   bool
	attempts            map[wire.Seq]*attempt
	byArrival           []*attempt            // unsettled attempts by ascending seq
	releasedEarly       map[wire.Seq]struct{} // seqs of delivered results whose records were released early
	nextReleaseAt       time.Duration         // earliest time of the next releaseDelivered
	results             []wire.Result
	pendingFinishedRuns []wire.FinishedRun // retained runs for the next frame
	frame               *outFrame          // the next frame, nil if it has no result yet
	heartbeatDue        bool               // send a frame even without results
	retiring            bool               // starts are refused until the next LinkUp
	retired             bool               // Retired was emitted
	retireAt            time.Duration
	configVersion       int64 // newest version that the entry is known to have
	sendConfig          bool
}

// outFrame combines a frame, its action and storage for one result, so that the
// usual frame needs only one allocation.
type outFrame struct {
	send        Send
	frame       wire.ToEntry
	firstResult [1]wire.Result
}

// queueResult queues a result for the link. If the link is down, the result is
// dropped: the entry queries every attempt in flight after it reconnects.
func (p *peer) queueResult(r wire.Result) {
	if !p.up {
		return
	}
	if p.frame == nil {
		p.frame = new(outFrame)
		p.results = p.frame.firstResult[:0]
	}
	p.results = append(p.results, r)
}

func (p *peer) discardOutput() {
	p.results = nil
	p.frame = nil
}

// raiseFloor releases the records of the attempts below floor, which their entry
// has settled. A queued attempt below it is dropped: its entry would not read the
// result. A run in progress keeps its slot until it ends.
func (m *Machine) raiseFloor(p *peer, floor wire.Seq) {
	if floor <= p.floor {
		return
	}
	p.floor = floor
	for seq := range p.releasedEarly {
		if seq < floor {
			delete(p.releasedEarly, seq)
		}
	}
	n := 0
	for n < len(p.byArrival) && p.byArrival[n].start.Seq < floor {
		m.releaseRecord(p, p.byArrival[n])
		p.byArrival[n] = nil
		n++
	}
	if n == len(p.byArrival) {
		p.byArrival = p.byArrival[:0] // reuse the storage
		return
	}
	p.byArrival = p.byArrival[n:]
}

func (m *Machine) releaseRecord(p *peer, a *attempt) {
	switch a.state {
	case stateRunning:
		a.released = true
		return
	case stateQueued:
		m.queue.remove(a)
	case stateDone:
		m.retainedBytes -= len(a.result.Body)
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
	p.aliveAt = max(p.aliveAt, now) // its hello answered a hello of this agent
	p.discardOutput()
	p.heartbeatDue = true
	m.queueRetainedRuns(now, p)
	p.retiring, p.retired = false, false
	p.configVersion = e.ConfigVersion
	p.sendConfig = m.config != nil && e.ConfigVersion < m.config.Version
}

func (m *Machine) addPeer(entry wire.Incarnation) *peer {
	p := &peer{
		entry:             entry,
		epoch:             m.maxRemovedEpoch,
		recordsIncomplete: m.peersRemoved,
		attempts:          make(map[wire.Seq]*attempt),
		releasedEarly:     make(map[wire.Seq]struct{}),
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
	p.pendingFinishedRuns = nil
	p.discardOutput()
}

func (m *Machine) tick(now time.Duration) {
	m.returnQueued(wire.ReasonExpired, func(a *attempt) bool { return now >= a.deadline })
	m.stopOrphans(now)
	m.broadcastOverdueRuns(now)
	m.forwardConfig(now)
	kept := m.peerList[:0]
	for _, p := range m.peerList {
		m.tickPeer(now, p)
		if m.removable(now, p) {
			delete(m.peers, p.entry)
			m.peersRemoved = true
			m.maxRemovedEpoch = max(m.maxRemovedEpoch, p.epoch)
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
			p.heartbeatDue = true
		}
		m.reportRetired(now, p)
		return
	}
	if now-p.downAt >= m.opts.LinkLease {
		// The records are kept, so that a later query is answered NotRun.
		m.returnQueued(wire.ReasonCancelled, func(a *attempt) bool { return a.peer == p })
	}
	if now-p.downAt >= m.opts.PeerRetention {
		m.raiseFloor(p, p.maxSeen+1)
	}
}

// stopOrphans stops the runs, and returns the queued tasks, of entries that were
// unresponsive for RunLease. The entry gives up such attempts as lost, and its
// caller may send the job again to another entry.
func (m *Machine) stopOrphans(now time.Duration) {
	if m.opts.RunLease <= 0 {
		return
	}
	for _, a := range m.active {
		if !a.stopping && now-a.peer.aliveAt > m.opts.RunLease {
			a.stopping = true
			m.emit(Stop{Attempt: a.id(), Orphan: true})
		}
	}
	m.returnQueued(wire.ReasonCancelled, func(a *attempt) bool {
		return now-a.peer.aliveAt > m.opts.RunLease
	})
}

// renewLease renews the lease of the entry's runs with the clock reading that the
// entry echoed.
func (p *peer) renewLease(echo time.Duration) { p.aliveAt = max(p.aliveAt, echo) }

// removable reports whether the record of an entry can be removed: its link has
// been down for PeerRetention and no attempt is left. Otherwise the records of
// restarted entries would accumulate.
func (m *Machine) removable(now time.Duration, p *peer) bool {
	return !p.up && now-p.downAt >= m.opts.PeerRetention && len(p.attempts) == 0
}

// heartbeatAll sends the load to every entry in this step, for changes that
// entries must learn without delay.
func (m *Machine) heartbeatAll() {
	for _, p := range m.peerList {
		p.heartbeatDue = true
	}
}
