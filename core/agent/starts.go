package agent

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// replyDivisor: a frame is answered with a heartbeat if nothing was sent to the entry
	// for the heartbeat interval divided by this.
	replyDivisor = 8
	// ownHeartbeatFactor is the time without a frame to an entry after which one is sent
	// unasked, in heartbeat intervals. It is above 1, so that heartbeats of a responsive
	// entry are answered and none are sent in between.
	ownHeartbeatFactor = 1.5
)

func (m *Machine) received(now time.Duration, e Received) {
	rec := m.entries[e.Entry]
	if rec == nil || !rec.up || rec.epoch != e.Epoch {
		return // frame of a replaced connection
	}
	echo := max(rec.helloSentAt, min(e.Frame.ClockEcho.Duration(), now)) // the frame was built later
	rec.renewLease(echo)
	m.adoptConfig(now, rec, e.Frame.Config)
	m.receiveEvacuations(rec, echo, e.Frame)
	m.settleBelow(rec, e.Frame.LowestOpenSeq)
	e.Frame.RestorePayloads()
	for i := range e.Frame.Starts {
		m.start(now, rec, &e.Frame.Starts[i])
	}
	for _, seq := range e.Frame.Cancels {
		m.cancel(now, rec, seq)
	}
	for _, seq := range e.Frame.Queries {
		m.query(rec, seq)
	}
	m.acknowledgeRuns(e.Frame.AcknowledgedRuns)
	m.dropSupersededRuns(e.Frame.SupersededRuns)
	// A reply to the entry's heartbeat gives the entry the agent's clock when the
	// heartbeat arrives, so that the next one renews the lease by a whole interval.
	// Heartbeats sent by the agent's own timer would be up to an interval old by then.
	if now-rec.sentAt >= m.opts.HeartbeatInterval/replyDivisor {
		rec.heartbeatDue = true
	}
}

func (m *Machine) start(now time.Duration, rec *entryRecord, s *wire.Start) {
	if s.Seq <= rec.maxSeen || s.Seq < rec.lowestOpen {
		m.refuseDuplicate(rec, s.Seq)
		return
	}
	rec.maxSeen = s.Seq
	if rec.firstSeq == 0 {
		rec.firstSeq = s.Seq
	}
	due := now + s.Slack.Duration()
	if reason := m.refusal(now, rec, s, due); reason != wire.ReasonNone {
		rec.queueResult(wire.Result{Seq: s.Seq, Outcome: wire.NotRun, Reason: reason})
		return
	}
	m.order++
	a := &attempt{
		entry:    rec,
		class:    m.classStatsFor(s.Class),
		start:    *s,
		arrived:  now,
		due:      due,
		deadline: now + s.Deadline.Duration(),
		order:    m.order,
		slots:    m.opts.Capacity.SlotsFor(s.Need, m.opts.Slots),
		state:    stateQueued,
	}
	rec.attempts[s.Seq] = a
	rec.byArrival = append(rec.byArrival, a)
	m.queue.push(a)
	m.startQueued(now) // so that the next start of the frame sees the current load
}

// refuseDuplicate answers a start whose seq must not be accepted. A recorded
// attempt is answered by its own result. Any other start is reported as not run,
// or as Unknown if its record may have been released.
func (m *Machine) refuseDuplicate(rec *entryRecord, seq wire.Seq) {
	if _, known := rec.attempts[seq]; known {
		return
	}
	if seq < rec.lowestOpen {
		return // settled by the entry, which expects no answer
	}
	if rec.mayHaveReleased(seq) {
		rec.queueResult(wire.Result{Seq: seq, Outcome: wire.Unknown, Reason: wire.ReasonStaleSeq})
		return
	}
	rec.queueResult(wire.Result{Seq: seq, Outcome: wire.NotRun, Reason: wire.ReasonStaleSeq})
}

// mayHaveReleased reports whether the record of the seq was released early, or may
// have been removed with an earlier record of the same entry.
func (rec *entryRecord) mayHaveReleased(seq wire.Seq) bool {
	if rec.releasedEarly.contains(seq) {
		return true
	}
	return rec.recordsIncomplete && (rec.firstSeq == 0 || seq < rec.firstSeq)
}

// refusal returns why a new start cannot be accepted, or ReasonNone.
func (m *Machine) refusal(now time.Duration, rec *entryRecord, s *wire.Start, due time.Duration) wire.Reason {
	switch {
	case m.draining || rec.retiring:
		return wire.ReasonDraining
	case m.evacuated():
		return wire.ReasonEvacuated
	case s.Deadline <= 0:
		return wire.ReasonExpired
	case m.leaseExpired(now, rec):
		return wire.ReasonExpired // the frame was delayed; the entry may have given up the attempt
	case !m.opts.Capacity.Fits(s.Need) || !m.capacity.Fits(s.Need):
		return wire.ReasonNoRoom
	case m.down:
		return wire.ReasonUpstreamDown
	case m.suspect() && !m.trialDue(now):
		return wire.ReasonSuspect
	case m.admissionClosed:
		return wire.ReasonBusy
	}
	if len(rec.attempts) >= m.opts.MaxUnsettled {
		m.releaseDelivered(now, rec)
	}
	if len(rec.attempts) >= m.opts.MaxUnsettled {
		return wire.ReasonBusy
	}
	if m.boundRetained(); m.retainedBytes > m.opts.MaxRetainedBytes || len(m.retainedRuns.list) >= wire.MaxFinishedRuns {
		return wire.ReasonBusy
	}
	wait := m.expectedWait(now, due, m.opts.Capacity.SlotsFor(s.Need, m.opts.Slots))
	if wait == 0 {
		return wire.ReasonNone
	}
	if m.queue.Len() >= m.opts.QueueCapacity || wait > s.MaxWait.Duration() {
		return wire.ReasonBusy
	}
	return wire.ReasonNone
}

// trialDue reports whether a suspect upstream may get its next trial run.
func (m *Machine) trialDue(now time.Duration) bool {
	return m.allStanding(now) && m.queue.Len() == 0 && now >= m.pausedUntil
}

// cancel finishes a queued attempt in this step and requests the stop of a running
// one.
func (m *Machine) cancel(now time.Duration, rec *entryRecord, seq wire.Seq) {
	a := rec.attempts[seq]
	if a == nil {
		return
	}
	switch a.state {
	case stateQueued:
		m.queue.remove(a)
		m.finish(a, wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonCancelled})
	case stateRunning:
		a.stopping = true
		m.emit(Stop{Attempt: a.id(), PermittedUntil: min(now, m.permittedUntil(rec))})
	case stateDone:
	}
}

// query answers a query about an attempt that was in flight when a connection was
// replaced. A queued or running attempt is answered later by its result.
func (m *Machine) query(rec *entryRecord, seq wire.Seq) {
	a := rec.attempts[seq]
	switch {
	case seq < rec.lowestOpen || (a == nil && rec.mayHaveReleased(seq)):
		// The record may have been released, so it is not known whether it ran.
		rec.maxSeen = max(rec.maxSeen, seq)
		rec.queueResult(wire.Result{Seq: seq, Outcome: wire.Unknown, Reason: wire.ReasonStaleSeq})
	case a == nil:
		rec.maxSeen = max(rec.maxSeen, seq) // a delayed start of this attempt is refused
		rec.queueResult(wire.Result{Seq: seq, Outcome: wire.NotRun, Reason: wire.ReasonNotReceived})
	case a.state == stateDone:
		rec.queueResult(a.result)
	}
}

// hasRoom reports whether the attempt may start in addition to the running ones. A
// task that takes more slots than are allowed runs alone, if the worker's capacity
// suffices.
func (m *Machine) hasRoom(now time.Duration, a *attempt) bool {
	if !m.fitsBeside(a) {
		return false
	}
	return len(m.active) == 0 || m.occupied+a.slots <= float64(m.allowedRuns(now))+slotTolerance
}

// slotTolerance absorbs rounding errors in sums of slots. It is smaller than the
// slots of any real task.
const slotTolerance = 1e-6

func (m *Machine) startQueued(now time.Duration) {
	m.returnEvacuated()
	for m.queue.Len() > 0 && m.hasRoom(now, m.queue.top()) && now >= m.pausedUntil && !m.admissionClosed {
		a := m.queue.pop()
		if now >= a.deadline {
			m.finish(a, wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonExpired})
			continue
		}
		if m.leaseExpired(now, a.entry) {
			m.finish(a, wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonCancelled})
			continue
		}
		a.state = stateRunning
		a.started = now
		a.run = Run{Attempt: a.id(), Start: &a.start, Timeout: a.deadline - now, PermittedUntil: m.permittedUntil(a.entry)}
		m.active = append(m.active, a)
		m.occupied += a.slots
		m.neighbours.runStarted(now, a)
		m.emit(&a.run)
	}
}

func (m *Machine) finished(now time.Duration, e *Finished) {
	rec := m.entries[e.Attempt.Entry]
	if rec == nil {
		return
	}
	a := rec.attempts[e.Attempt.Seq]
	if a == nil || a.state != stateRunning {
		return
	}
	i := slices.Index(m.active, a)
	m.active = slices.Delete(m.active, i, i+1)
	m.occupied -= a.slots
	if len(m.active) == 0 {
		m.occupied = 0 // discard accumulated rounding errors
	}
	if e.Reason == wire.ReasonWorkerCrashed && m.workerLeaving {
		e.Reason = wire.ReasonRunEnded
	}
	m.retainFinishedRun(now, a, e)
	beside := m.neighbours.runEnded(now, a)
	if e.Outcome == wire.NotRun {
		beside = nil
	}
	m.finish(a, wire.Result{
		Outcome:    e.Outcome,
		Reason:     e.Reason,
		QueueTime:  wire.MicrosOf(a.started - a.arrived),
		RunTime:    wire.MicrosOf(now - a.started),
		Status:     e.Status,
		Body:       e.Body,
		Checkpoint: e.Checkpoint,
		Neighbours: beside,
	})
	m.observe(now, a, e)
	m.boundRetained()
}
