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
	entry    *entryRecord
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
	settled  bool // see StartSettled
	// sentEpoch and sentAt are the link's epoch and the time of the last send of
	// the result.
	sentEpoch wire.Epoch
	sentAt    time.Duration
	run       Run
	beside    *besideStart // nil if neighbours are not measured
	result    wire.Result
}

func (a *attempt) id() AttemptID {
	return AttemptID{Entry: a.entry.incarnation, Seq: a.start.Seq}
}

// finish records the outcome of an attempt and queues it for the entry, unless the
// entry has already settled the attempt.
func (m *Machine) finish(a *attempt, r wire.Result) {
	r.Seq = a.start.Seq
	a.state = stateDone
	a.result = r
	a.start.Payload = nil
	rec := a.entry
	if a.released {
		delete(rec.attempts, r.Seq)
		return
	}
	m.retainedBytes += len(r.Body)
	rec.queueResult(r)
}

// entryRecord is the agent's record of one entry incarnation. It outlives the
// entry's links, because the entry may query its attempts over a new link.
type entryRecord struct {
	incarnation wire.Incarnation
	epoch       wire.Epoch // highest epoch seen
	up          bool
	downAt      time.Duration // when the link went down
	sentAt      time.Duration // when the last frame was sent
	aliveAt     time.Duration // latest time at which the entry is known to have been alive
	helloSentAt time.Duration // of the last link, counts with each frame on it, see renewLease
	// reportedUntil is the permission that was reported last, see Permissions.
	reportedUntil time.Duration
	lowestOpen    wire.Seq // newest wire.ToAgent.LowestOpenSeq: attempts below it are settled
	maxSeen       wire.Seq // highest seq that was accepted, refused or queried
	firstSeq      wire.Seq // first seq that arrived in a start, 0 if none
	// recordsIncomplete is set if an earlier record of this entry may have been
	// removed, so that a query about an unrecorded seq below firstSeq cannot be
	// answered NotRun.
	recordsIncomplete   bool
	attempts            map[wire.Seq]*attempt
	byArrival           []*attempt    // unsettled attempts by ascending seq
	releasedEarly       seqSet        // seqs of delivered results whose records were released early
	nextReleaseAt       time.Duration // earliest time of the next releaseDelivered
	results             []wire.Result
	pendingFinishedRuns []wire.FinishedRun // retained runs for the next frame
	settledStarts       []wire.Seq         // for the next frame, see wire.ToEntry.SettledStarts
	frame               *outFrame          // the next frame, nil if it has no result yet
	heartbeatDue        bool               // send a frame even without results
	retiring            bool               // starts are refused until the next LinkUp
	retired             bool               // Retired was emitted
	retireAt            time.Duration
	configVersion       int64 // newest version that the entry is known to have
	sendConfig          bool  // send the configuration in the next frame
	announceConfig      bool  // announce its version in the next frame
	// forwardVersion and forwardAt are the version for which forwarding is armed, 0
	// if it is not, and when it is due.
	forwardVersion int64
	forwardAt      time.Duration
	// evacuations is the state that the entry stated or was sent last on this link.
	evacuations      wire.Evacuations
	reportNeighbours bool // see wire.EntryHello
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
func (rec *entryRecord) queueResult(r wire.Result) {
	if !rec.up {
		return
	}
	if rec.frame == nil {
		rec.frame = new(outFrame)
		rec.results = rec.frame.firstResult[:0]
	}
	rec.results = append(rec.results, r)
}

func (rec *entryRecord) discardOutput() {
	rec.results = nil
	rec.frame = nil
	rec.settledStarts = nil
}

// settleBelow releases the records of the attempts below lowestOpen, which their
// entry has settled. A queued attempt below it is dropped: its entry would not read
// the result. A run in progress keeps its slot until it ends.
func (m *Machine) settleBelow(rec *entryRecord, lowestOpen wire.Seq) {
	if lowestOpen <= rec.lowestOpen {
		return
	}
	rec.lowestOpen = lowestOpen
	rec.releasedEarly.removeBelow(lowestOpen)
	n := 0
	for n < len(rec.byArrival) && rec.byArrival[n].start.Seq < lowestOpen {
		m.releaseRecord(rec, rec.byArrival[n])
		rec.byArrival[n] = nil
		n++
	}
	if n == len(rec.byArrival) {
		rec.byArrival = rec.byArrival[:0] // reuse the storage
		return
	}
	rec.byArrival = rec.byArrival[n:]
}

func (m *Machine) releaseRecord(rec *entryRecord, a *attempt) {
	switch a.state {
	case stateRunning:
		a.released = true
		return
	case stateQueued:
		m.queue.remove(a)
	case stateDone:
		m.retainedBytes -= len(a.result.Body)
	}
	delete(rec.attempts, a.start.Seq)
}

func (m *Machine) linkUp(now time.Duration, e LinkUp) {
	rec := m.entries[e.Entry]
	if rec == nil {
		rec = m.addEntry(e.Entry)
	}
	if e.Epoch <= rec.epoch {
		return
	}
	rec.up = true
	rec.epoch = e.Epoch
	rec.sentAt = now
	rec.helloSentAt = min(e.HelloSentAt, now)
	rec.discardOutput()
	rec.queueSettledStarts()
	rec.heartbeatDue = true
	m.queueRetainedRuns(now, rec)
	rec.retiring, rec.retired = false, false
	rec.configVersion = e.ConfigVersion
	rec.sendConfig, rec.announceConfig, rec.forwardVersion = false, false, 0
	m.scheduleForward(now, rec, m.connectDelay())
	rec.evacuations = wire.Evacuations{}
	rec.reportNeighbours = e.ReportNeighbours
	m.updateNeighbours(now)
}

func (m *Machine) addEntry(entry wire.Incarnation) *entryRecord {
	rec := &entryRecord{
		incarnation:       entry,
		epoch:             m.maxRemovedEpoch,
		recordsIncomplete: m.entriesRemoved,
		attempts:          make(map[wire.Seq]*attempt),
	}
	m.entries[entry] = rec
	m.entryList = append(m.entryList, rec)
	return rec
}

func (m *Machine) linkDown(now time.Duration, e LinkDown) {
	rec := m.entries[e.Entry]
	if rec == nil || !rec.up || rec.epoch != e.Epoch {
		return
	}
	rec.up = false
	rec.downAt = now
	rec.pendingFinishedRuns = nil
	rec.discardOutput()
}

func (m *Machine) tick(now time.Duration) {
	m.limiter.recover(now)
	m.streak.forget(now, m.opts.Slots)
	m.returnQueued(wire.ReasonExpired, func(a *attempt) bool { return now >= a.deadline })
	m.returnOverdue(now)
	m.stopOrphans(now)
	m.reportPermissions()
	m.broadcastOverdueRuns(now)
	kept := m.entryList[:0]
	for _, rec := range m.entryList {
		m.tickEntry(now, rec)
		if m.removable(now, rec) {
			delete(m.entries, rec.incarnation)
			m.entriesRemoved = true
			m.maxRemovedEpoch = max(m.maxRemovedEpoch, rec.epoch)
			continue
		}
		kept = append(kept, rec)
	}
	clear(m.entryList[len(kept):])
	if m.entryList = kept; m.neighbours.enabled {
		m.updateNeighbours(now)
	}
	m.probe(now)
	m.requestListing(now)
}

func (m *Machine) tickEntry(now time.Duration, rec *entryRecord) {
	if rec.up {
		if now-rec.sentAt >= time.Duration(ownHeartbeatFactor*float64(m.opts.HeartbeatInterval)) {
			rec.heartbeatDue = true
		}
		m.forwardDue(now, rec)
		m.reportRetired(now, rec)
		return
	}
	if now-rec.downAt >= m.opts.LostLinkTimeout {
		// The records are kept, so that a later query is answered NotRun.
		m.returnQueued(wire.ReasonCancelled, func(a *attempt) bool { return a.entry == rec })
	}
	if now-rec.downAt >= m.opts.EntryRetention {
		m.settleBelow(rec, rec.maxSeen+1)
	}
}

// stopOrphans stops the runs, and returns the queued tasks, of entries that were
// unresponsive for RunLease. The entry gives up such attempts as lost, and its
// caller may send the job again to another entry.
func (m *Machine) stopOrphans(now time.Duration) {
	for _, a := range m.active {
		if !a.stopping && m.leaseExpired(now, a.entry) {
			a.stopping = true
			m.emit(Stop{Attempt: a.id(), Orphan: true, PermittedUntil: m.permittedUntil(a.entry)})
		}
	}
	m.returnQueued(wire.ReasonCancelled, func(a *attempt) bool { return m.leaseExpired(now, a.entry) })
}

// leaseExpired reports whether the entry was unresponsive for so long that it may have
// given up its attempts here. It is checked before each start, not only by the tick:
// after a pause of this process another event may be handled first.
func (m *Machine) leaseExpired(now time.Duration, rec *entryRecord) bool {
	return m.opts.RunLease > 0 && now-rec.aliveAt > m.opts.RunLease
}

// permittedUntil returns the time until which the entry permits runs here, as far as it is
// known, or 0 if there is no limit.
func (m *Machine) permittedUntil(rec *entryRecord) time.Duration {
	if m.opts.RunLease <= 0 {
		return 0
	}
	return rec.aliveAt + m.opts.RunLease
}

// reportPermissions reports the permissions that have changed of the entries with runs in
// progress.
func (m *Machine) reportPermissions() {
	if m.opts.RunLease <= 0 {
		return
	}
	var list []Permission
	for _, a := range m.active {
		until := m.permittedUntil(a.entry)
		if a.stopping || until == a.entry.reportedUntil {
			continue
		}
		a.entry.reportedUntil = until
		list = append(list, Permission{Entry: a.entry.incarnation, Until: until})
	}
	if len(list) > 0 {
		m.emit(Permissions{List: list})
	}
}

// renewLease renews the lease of the entry's runs with a time at which the agent sent
// something that the entry has answered. The answer to a hello counts with the first frame
// behind it, which repeats the cancels that were lost with the connection before: if the
// connections broke again and again after the hello, a cancelled run would go on for good.
func (rec *entryRecord) renewLease(echo time.Duration) { rec.aliveAt = max(rec.aliveAt, echo) }

// removable reports whether the record of an entry can be removed: its link has
// been down for EntryRetention and no attempt is left. Otherwise the records of
// restarted entries would accumulate.
func (m *Machine) removable(now time.Duration, rec *entryRecord) bool {
	return !rec.up && now-rec.downAt >= m.opts.EntryRetention && len(rec.attempts) == 0
}

// heartbeatAll sends the load to every entry in this step, for changes that
// entries must learn without delay.
func (m *Machine) heartbeatAll() {
	for _, rec := range m.entryList {
		rec.heartbeatDue = true
	}
}
