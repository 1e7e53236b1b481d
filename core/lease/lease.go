// Package lease implements the state machine that starts, stops and tracks the
// runs of one worker under a lease: the worker ends its runs when the lease
// expires without a renewal, and it lists the runs in progress and the runs
// that have ended. Each worker incarnation numbers its ended runs from 1 and
// keeps an ended run in its list until a poll acknowledges its number.
//
// An ended run is any run that the worker lists as ended. A finished run is one
// that succeeded or failed by itself. An open run is one for which Finished was not
// emitted yet.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order.
//
// Invariants:
//   - Each Start yields exactly one Finished.
//   - Finished reports NotRun only if the worker refused the only start call of the run,
//     or if its start can no longer take effect (the worker acknowledged a stop of the
//     run, refused it for its number, or the start's deadline has passed on the worker's
//     clock) and a later list shows that it did not.
//   - Finished reports Failed with ReasonRunEnded only if the run is listed as
//     ended, is missing from a list that must contain it, or its lease has
//     expired and the worker has not answered for lapseTimeout since. A list that is cut
//     off need not contain it, unless its lease has expired for lapseTimeout.
//   - Without an answered poll or WorkerFenced, no run with an unanswered start ends until
//     no call that was sent before can have an effect: the worker may have restarted since.
//   - No start call is emitted while the worker's process is known to be gone or replaced,
//     until a poll is answered.
//   - No call renews the lease after it has expired with open or retained runs, until the
//     worker has answered for lapseSettle and a list shows that none goes on.
//   - No start call is emitted before the worker's clock was read, which states its deadline.
//   - No start call is emitted after the start's permission has expired.
//   - No call extends the lease beyond Options.Lease after the first permission of an
//     open run that has expired.
//   - A superseded run is acknowledged only after the lease has expired.
//   - Finished reports Failed with ReasonWorkerCrashed only if the worker's process was
//     found to be gone or replaced, and only if the run was known to be there or the
//     process was gone when its unanswered start was repeated. A run that the worker had
//     accepted has ended with it.
package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

type runState uint8

const (
	runStarting   runState = iota // the start call is in flight
	runUnanswered                 // the start call got no answer; the run may have started
	runRuledOut                   // the start can no longer take effect; a list shows whether it did
	runRunning                    // accepted by the worker, or seen in a list
)

// run is an open run.
type run struct {
	id             wire.RunRef
	attempt        agent.AttemptID
	payload        []byte
	checkpoint     string // newest checkpoint known to be saved by the worker
	retainFinished bool   // see Start.RetainFinishedRun
	// permittedUntil is the time after which the run must not start and the lease that it
	// shares with the other runs must not be renewed, 0 for no limit.
	permittedUntil  time.Duration
	permissionFixed bool        // permittedUntil is not extended any more
	startsSent      int         // number of start calls sent
	notRunReason    wire.Reason // reason to report if the run did not start, ReasonNone for ReasonNotReceived
	state           runState
	deadline        time.Duration // latest deadline of its start calls, on the worker's clock
	since           time.Duration // time of the last state change or start call
	settled         bool          // see startInDoubt
	stopRequested   bool          // a stop is due or was sent
	cancelled       bool          // its entry asked for the stop
	workerRestarted bool          // the worker restarted after the start was sent
	goneOnRepeat    bool          // the worker's process was gone when an unanswered start was repeated
	stopAt          time.Duration // earliest time of the next stop call
}

// foreignRun is a run at the worker that this machine has no record of, for
// instance one started by an earlier agent process. It is stopped.
type foreignRun struct {
	id     wire.RunRef
	seenAt time.Duration // when a list first contained it
	stopAt time.Duration // earliest time of the next stop call
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	opts    Options
	runs    map[wire.RunRef]*run
	ordered []*run // in order of start
	// clock is the newest reading of the worker's clock, received at readAt, which
	// is 0 if there is none.
	clock  time.Duration
	readAt time.Duration
	// leaseEnd is when the lease has expired even on the slowest worker clock.
	leaseEnd time.Duration
	// renewalSentAt is when the last call that renews the lease was sent.
	renewalSentAt time.Duration
	// lapsedAt is when the lease was found to have expired with runs that are still open, 0
	// if there are none. unconfirmedAt is when the lease expired with open runs or with
	// finished ones that were retained, 0 if the worker is known to have noticed.
	lapsedAt      time.Duration
	silentPolls   int // unanswered polls sent lapseTimeout or more after lapsedAt and the last answer
	unconfirmedAt time.Duration
	incarnation   int64 // the worker's incarnation, 0 if not known
	restarted     bool  // WorkerRestarted was emitted
	highestSeen   int   // highest number of an ended run seen
	// retained holds the numbers of the finished runs that must not be acknowledged
	// yet, and superseded those of them that must not be acknowledged before the lease
	// has expired.
	retained   map[wire.RunRef]int
	superseded map[wire.RunRef]struct{}
	// supersededAt is when the first of superseded was reported. It is not used while
	// there is none.
	supersededAt time.Duration
	listFull     bool // see updateAdmission
	closed       bool // the last Admission that was emitted

	initialized bool          // the first Step was made
	acked       int           // ended runs up to this number are acknowledged
	ackAt       time.Duration // when a poll is sent just to acknowledge ended runs

	answeredAt time.Duration // when the last poll was answered
	// answerGivenAt is when the worker gave the last answer to a poll, see answerTime.
	answerGivenAt time.Duration
	// unackedSince is when an ended run was last acknowledged, or when none that may be was
	// left.
	unackedSince time.Duration
	// unackedAnswers is the number of polls since then that were answered and acknowledged
	// nothing.
	unackedAnswers int
	// answeredPollAt is when the last poll that was answered was sent.
	answeredPollAt time.Duration
	polling        bool // a poll is in flight
	// pollFailed is set if the last poll was not answered.
	pollFailed bool
	// processGone is set if a poll since the last answer found the worker's process gone.
	processGone bool
	// replacedAt is when WorkerReplaced was handled, 0 if a poll sent since then was answered.
	replacedAt time.Duration
	// clockFellAt is when an answer last showed that the worker's clock started anew, 0 if
	// none did or if a poll sent since then was answered.
	clockFellAt time.Duration
	// unansweredAt is when a call was last found unanswered, 0 if none was.
	unansweredAt time.Duration
	polledAt     time.Duration // when the poll in flight was sent
	pollAck      int           // number up to which the poll in flight acknowledges ended runs
	pollMaxWait  time.Duration // how long the worker may delay the answer to it
	nextPoll     time.Duration // earliest time of the next poll
	pollNow      bool          // the state of a run is uncertain: poll without waiting for a run to end
	foreign      []foreignRun
	actions      []Action
}

// New returns a machine that has no information about its worker yet. Its first
// Step emits a CallPoll.
func New(opts Options) *Machine {
	m := &Machine{
		opts: opts.withDefaults(), runs: make(map[wire.RunRef]*run),
		retained: make(map[wire.RunRef]int), superseded: make(map[wire.RunRef]struct{}),
		incarnation: opts.Incarnation,
	}
	for _, end := range opts.RetainedRuns {
		m.retained[end.Run] = end.Number
		m.highestSeen = max(m.highestSeen, end.Number)
	}
	return m
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	if !m.initialized || m.acked >= m.ackLimit() {
		m.unackedSince, m.unackedAnswers = now, 0
	}
	m.initLease(now)
	switch e := ev.(type) {
	case Start:
		m.start(now, e)
	case Permissions:
		m.extendPermissions(e.List)
	case Stop:
		m.stop(now, e)
	case Started:
		m.started(now, e)
	case Stopped:
		m.stopped(now, e)
	case Polled:
		m.polled(now, e)
	case AcknowledgeRun:
		m.release(e.Run)
	case SupersedeRun:
		m.supersede(now, e.Run)
	case WorkerReplaced:
		m.replacedAt = now
	case WorkerFenced:
		m.endUnansweredStarts(now, e.Ended)
	case Tick:
		m.settleStarts(now)
	}
	m.expireLease(now)
	m.updateAdmission(now)
	m.sendStops(now)
	m.poll(now)
	return m.actions
}

// initLease sets the lease on the first Step such that the finished runs left by an
// earlier process are retained for as long as that process's last renewal may last. It may
// have been meant for an earlier incarnation of the worker, whose clock was another one.
func (m *Machine) initLease(now time.Duration) {
	if !m.initialized && len(m.retained) > 0 {
		m.leaseEnd = now + wire.MaxLateRun
	}
	m.initialized = true
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// OpenRuns returns the number of open runs.
func (m *Machine) OpenRuns() int { return len(m.ordered) }

// Idle reports whether the worker has answered, no run is open or known at the
// worker and every ended run that it listed has been acknowledged.
func (m *Machine) Idle() bool {
	return len(m.ordered) == 0 && len(m.foreign) == 0 && m.unconfirmedAt == 0 && m.acked == m.highestSeen && m.readAt > 0
}

// ackLimit returns the highest number that may be acknowledged. The worker discards
// every ended run up to an acknowledged number. The ends at a worker that has restarted are
// left to the next agent, which reports all of them: a start to the earlier incarnation may
// have been carried out there after its run was reported as ended.
func (m *Machine) ackLimit() int {
	if m.restarted {
		return 0
	}
	n := m.highestSeen
	for _, number := range m.retained {
		n = min(n, number-1)
	}
	return n
}

func (m *Machine) start(now time.Duration, e Start) {
	if permissionExpired(now, e.PermittedUntil) {
		m.refuseExpired(now, e)
		return
	}
	if m.processGone || m.replacedAt > 0 {
		// The worker's next process has seen no fencing token until a poll is answered.
		m.emit(Finished{Attempt: e.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown})
		return
	}
	if m.readAt == 0 || m.quiescing(now) || m.expiring(now) || m.renewalsHeld(now) {
		m.emit(Finished{Attempt: e.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonBusy})
		return
	}
	for _, r := range m.ordered {
		if sameTask(r.id, e.Run) {
			// An earlier run of the task, for instance one that another entry
			// requested, is still open.
			m.emit(Finished{Attempt: e.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonStaleRun})
			return
		}
	}
	r := &run{
		id: e.Run, attempt: e.Attempt, payload: e.Payload, checkpoint: e.Checkpoint,
		retainFinished: e.RetainFinishedRun, permittedUntil: e.PermittedUntil,
	}
	m.runs[e.Run] = r
	m.ordered = append(m.ordered, r)
	m.sendStart(now, r)
}

// sameTask reports whether both are runs of one task. The tasks of two occurrences of a
// job are different ones.
func sameTask(a, b wire.RunRef) bool {
	a.Run = b.Run
	return a == b
}

func (m *Machine) sendStart(now time.Duration, r *run) {
	r.startsSent++
	r.since = now
	deadline := m.renew(now, min(now, m.renewableUntil()))
	r.deadline = max(r.deadline, deadline)
	m.emit(CallStart{Run: r.id, Payload: r.payload, Checkpoint: r.checkpoint, Deadline: deadline, SendUntil: now + maxSendDelay})
}

func (m *Machine) started(now time.Duration, e Started) {
	m.recordClock(now, e.Clock)
	if e.ProcessGone {
		m.processGone, m.pollNow = true, true
	}
	r := m.runs[e.Run]
	if r == nil || r.state != runStarting {
		return // a list has already resolved the start
	}
	switch e.Result {
	case StartAccepted:
		r.state = runRunning
		m.settleStart(now, r)
	case StartRefused:
		if r.startsSent == 1 {
			m.finish(now, r, wire.NotRun, e.Reason)
			return
		}
		// An earlier copy of the start may have taken effect, or may still do so: only a
		// worker that has seen the end of the run refuses all of its copies.
		r.state = runUnanswered
		if e.Reason == wire.ReasonStaleRun {
			r.state = runRuledOut
		}
		r.notRunReason = e.Reason
		r.goneOnRepeat = e.ProcessGone
		m.pollNow = true
	case StartUnanswered:
		m.unansweredAt = now
		if r.startsSent < maxStartAttempts && !r.stopRequested && m.mayRepeatStart(now) {
			m.sendStart(now, r)
			return
		}
		r.goneOnRepeat = r.goneOnRepeat || m.processGone
		r.state = runUnanswered
		m.pollNow = true
	}
	r.since = now
}

// finish removes the open run and emits Finished with its outcome.
func (m *Machine) finish(now time.Duration, r *run, o wire.Outcome, reason wire.Reason) {
	delete(m.runs, r.id)
	for i := range m.ordered {
		if m.ordered[i] == r {
			m.ordered = append(m.ordered[:i], m.ordered[i+1:]...)
			break
		}
	}
	finished := Finished{Attempt: r.attempt, Outcome: o, Reason: reason, RunTime: now - r.since}
	if o == wire.Failed {
		finished.Checkpoint = r.checkpoint
	}
	m.emit(finished)
}

// endReason returns the reason of a run that ended with its worker or its lease. The crash
// of a worker counts only under a run that the worker is known to have had, or whose start
// may have crashed it: its process was gone when the start was repeated. A worker that was
// silent before may have left the start unhandled.
func (r *run) endReason(workerCrashed bool) wire.Reason {
	if workerCrashed && (r.state == runRunning || r.goneOnRepeat) {
		return wire.ReasonWorkerCrashed
	}
	return wire.ReasonRunEnded
}
