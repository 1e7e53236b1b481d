package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// poll requests the worker's lists when there is something to learn, to
// acknowledge or to renew. At most one poll is in flight.
func (m *Machine) poll(now time.Duration) {
	if m.polling || now < m.nextPoll {
		return
	}
	call := CallPoll{AckUpTo: m.ackNumber(now), AckUntil: m.ackableUntil(now)}
	switch {
	case m.readAt == 0: // no answer from the worker so far
	case m.pollFailed: // the worker may restart, and a delayed start may reach its next incarnation
	case m.pollNow, m.unconfirmedAt > 0 && now-m.polledAt >= retainedPollInterval:
	case m.anyRunAtWorker(), len(m.foreign) > 0:
		if !m.lapsed(now) {
			call.MaxWait = m.pollWait(now)
		}
	case m.acked < m.ackLimit() && now >= m.ackAt:
	case now-m.readAt >= maxClockAge: // a new reading of the clock is needed
	default:
		return
	}
	if call.AckUpTo == 0 && m.acked < m.ackLimit() {
		// Nothing is acknowledged, because the worker may have restarted. An answer that
		// comes at once shows that it has not, also if answers are always handled late.
		call.MaxWait = 0
	}
	from := min(now, m.renewableUntil())
	if len(m.ordered) > 0 && now-m.answeredAt < m.opts.Lease/2 && !m.quiesced(now) && !m.renewalsHeld(now) && now-from < m.opts.Lease {
		// A worker that does not answer must not get renewals: its runs have to
		// end at a known time. After a permission has expired the poll still renews up
		// to that time: while runs are cancelled one after another, the permission of
		// an open run has expired at every poll. The worker ignores an earlier deadline.
		call.Deadline = m.renew(now, from)
		call.RenewUntil = now + maxSendDelay
	}
	m.pollNow = false
	m.polling = true
	m.polledAt = now
	m.pollAck = call.AckUpTo
	m.pollMaxWait = call.MaxWait
	m.emit(call)
}

// endRunsOfGoneProcess ends the runs that the worker had accepted: they have ended with
// its process. One that was accepted after the poll was sent may be at the worker's next
// process, because results may be handled late; the next poll decides. A run of which a
// start call is unanswered stays open: that call may still reach the next incarnation, see
// startMayTakeEffect.
func (m *Machine) endRunsOfGoneProcess(now time.Duration) {
	for i := 0; i < len(m.ordered); {
		if r := m.ordered[i]; !r.startInDoubt() && r.since < m.polledAt {
			m.finish(now, r, wire.Failed, wire.ReasonWorkerCrashed)
			continue
		}
		i++
	}
}

// pollWait returns how long the worker may delay the answer to a poll.
func (m *Machine) pollWait(now time.Duration) time.Duration {
	if m.unansweredAt > 0 && now-m.unansweredAt < unreliablePeriod {
		return min(m.opts.PollWait, unreliablePollWait)
	}
	return m.opts.PollWait
}

// ackNumber returns the number up to which the next poll acknowledges ended runs.
// After a failed poll or a pause the worker may have restarted, and numbers its
// ended runs from 1 again. An old number would make it discard ended runs that
// nobody has seen, so the first poll after a failure or a pause acknowledges
// nothing. The same holds after the answer to a start or a stop whose clock shows a restart.
func (m *Machine) ackNumber(now time.Duration) int {
	if m.pollFailed || m.clockFellAt > 0 || now > m.ackableUntil(now) {
		return 0
	}
	return m.ackLimit()
}

// ackableUntil returns the time after which a poll must acknowledge nothing. If nothing
// could be acknowledged for ackPatience and with ackPatienceAnswers answers, because they are
// always handled late, it counts from the sending of the last poll that was answered.
func (m *Machine) ackableUntil(now time.Duration) time.Duration {
	until := m.answeredPollAt + minRestartTime
	if m.acked < m.ackLimit() && now-m.unackedSince > ackPatience && m.unackedAnswers >= ackPatienceAnswers {
		return until
	}
	return min(until, m.answerGivenAt+maxAckAge)
}

// answerTime estimates when the worker gave the answer to a poll that is handled now, from
// the longest wait of the poll and from the clock that it states: this process may have been
// frozen since.
func (m *Machine) answerTime(now, clock time.Duration) time.Duration {
	at := min(now, m.polledAt+m.pollMaxWait)
	if clock > 0 && m.readAt > 0 {
		at = min(at, now-(m.workerClock(now)-clock))
	}
	return at
}

// anyRunAtWorker reports whether a run may be at the worker, other than by a start
// call that is still in flight.
func (m *Machine) anyRunAtWorker() bool {
	for _, r := range m.ordered {
		if r.state != runStarting {
			return true
		}
	}
	return false
}

func (m *Machine) polled(now time.Duration, e Polled) {
	m.polling = false
	m.pollFailed = e.Status == nil
	m.processGone = e.ProcessGone || m.processGone && e.Status == nil
	if e.ProcessGone {
		m.endRunsOfGoneProcess(now)
	}
	if e.Status == nil {
		m.unansweredAt = now
		if m.lapsedAt > 0 && m.polledAt-max(m.lapsedAt, m.answeredAt) >= lapseTimeout {
			m.silentPolls++
		}
		m.nextPoll = now + pollRetry
		if len(m.ordered) == 0 {
			m.nextPoll = now + idlePollRetry
		}
		return
	}
	if e.AckWithheld {
		m.pollAck = 0
	}
	status := e.Status
	m.answeredAt = now
	m.answeredPollAt = m.polledAt
	m.silentPolls = 0
	m.answerGivenAt = m.answerTime(now, status.Clock)
	m.recordClock(now, status.Clock)
	for _, at := range []*time.Duration{&m.clockFellAt, &m.replacedAt} {
		if *at <= m.polledAt {
			*at = 0
		}
	}
	if m.incarnation != 0 && status.Incarnation != 0 && status.Incarnation != m.incarnation {
		m.workerRestarted(status.Incarnation)
	} else if m.pollAck > m.acked {
		m.acked = m.pollAck
		m.unackedSince, m.unackedAnswers = now, 0
	} else if m.acked < m.ackLimit() {
		m.unackedAnswers++
	}
	m.incarnation = status.Incarnation
	m.applyEndedRuns(now, status.Ended)
	m.reconcile(now, status)
	if m.noticedExpiry(now) {
		m.unconfirmedAt = 0
	}
	m.recordCheckpoints(status.Checkpoints)
	if (len(m.retained) > 0 || m.restarted && m.highestSeen > 0) && m.acked >= m.ackLimit() {
		m.nextPoll = now + retainedPollInterval
	}
}

// workerRestarted handles a new worker incarnation, which numbers its ended runs
// from 1 again. Earlier runs have ended with the previous incarnation, unless their
// start reached the new one: the lists of the new incarnation show which.
func (m *Machine) workerRestarted(incarnation int64) {
	m.highestSeen, m.acked, m.restarted = 0, 0, true
	m.releaseAll()
	for _, r := range m.ordered {
		r.workerRestarted = true
	}
	m.emit(WorkerRestarted{Incarnation: incarnation})
}

// applyEndedRuns emits Finished for the open runs that the worker lists as ended.
func (m *Machine) applyEndedRuns(now time.Duration, ended []EndedRun) {
	for _, end := range ended {
		if end.Number > m.highestSeen {
			m.highestSeen = end.Number
			m.ackAt = now + m.opts.AckDelay
		}
		r := m.runs[end.Run]
		if r == nil {
			continue
		}
		if r.retainFinished && (end.Kind == EndedSucceeded || end.Kind == EndedFailed) {
			m.retained[end.Run] = end.Number
		}
		r.checkpoint = cmp.Or(end.Checkpoint, r.checkpoint)
		outcome, reason := r.outcome(end.Kind)
		m.finish(now, r, outcome, reason)
	}
}

// outcome returns the outcome and the reason to report for a run that ended in the
// given way.
func (r *run) outcome(kind EndKind) (wire.Outcome, wire.Reason) {
	switch {
	case kind == EndedSucceeded:
		return wire.Succeeded, wire.ReasonNone
	case kind == EndedFailed:
		return wire.Failed, wire.ReasonUpstreamError
	case kind == EndedStopped && r.cancelled:
		return wire.Failed, wire.ReasonStopped
	}
	return wire.Failed, wire.ReasonRunEnded
}

// reconcile compares the worker's list of runs in progress with the open runs.
// The worker made the list after the poll was sent, so it contains every run
// that was accepted before that and has not ended. A run that is missing has ended,
// and how it ended is in the list of ended runs, unless that list is cut off.
func (m *Machine) reconcile(now time.Duration, status *WorkerStatus) {
	seen := make(map[wire.RunRef]bool, len(status.Running))
	for _, id := range status.Running {
		seen[id] = true
		r := m.runs[id]
		switch {
		case r == nil:
			m.addForeign(now, id)
		case r.state == runRuledOut: // it started before the start was ruled out
			r.requestStop(now)
		case r.state != runRunning:
			r.state = runRunning
			r.since = now
			m.settleStart(now, r)
		}
		if r != nil && m.lapsedAt > 0 {
			r.requestStop(now) // the worker goes on without having ended it
		}
	}
	m.foreign = slices.DeleteFunc(m.foreign, func(f foreignRun) bool { return !seen[f.id] })
	for i := 0; i < len(m.ordered); {
		if r := m.ordered[i]; !seen[r.id] && m.handleMissing(now, r, status.EndedCutOff) {
			continue // Finished was emitted and the run removed
		}
		i++
	}
}

func (m *Machine) addForeign(now time.Duration, id wire.RunRef) {
	if !slices.ContainsFunc(m.foreign, func(f foreignRun) bool { return f.id == id }) {
		m.foreign = append(m.foreign, foreignRun{id: id, seenAt: now, stopAt: now})
		m.emit(UnrecordedRun{Run: id})
	}
}

// recordCheckpoints records the checkpoints of runs in progress. If a run ends with
// its worker, its checkpoint is all that remains of it.
func (m *Machine) recordCheckpoints(checkpoints map[wire.RunRef]string) {
	for id, checkpoint := range checkpoints {
		if r := m.runs[id]; r != nil && checkpoint != "" {
			r.checkpoint = checkpoint
		}
	}
}

// handleMissing handles an open run that is in neither list. It reports whether it
// emitted Finished for the run and removed it. If the list of ended runs is cut off,
// the run may have succeeded, so it stays open until its end is listed or its lease
// has expired for lapseTimeout: a list with a row that cannot be read may stay cut off.
func (m *Machine) handleMissing(now time.Duration, r *run, endedCutOff bool) bool {
	if r.since >= m.polledAt {
		return false // the worker may have made the list before it had the run
	}
	if endedCutOff {
		if r.state == runStarting || m.lapsedAt == 0 || m.polledAt-m.lapsedAt < lapseTimeout {
			return false
		}
		m.finish(now, r, wire.Failed, r.endReason(r.workerRestarted))
		return true
	}
	switch r.state {
	case runRunning:
		m.finish(now, r, wire.Failed, r.endReason(r.workerRestarted))
		return true
	case runUnanswered:
		if m.clock > r.deadline && !r.workerRestarted {
			m.finishRuledOut(now, r)
			return true
		}
		r.requestStop(now) // so that the start can no longer take effect
	case runRuledOut:
		m.finishRuledOut(now, r)
		return true
	case runStarting:
	}
	return false
}

// finishRuledOut emits Finished for a run that no list contains and that can no
// longer start. If the worker restarted in the meantime, the run may have started in its
// previous incarnation.
func (m *Machine) finishRuledOut(now time.Duration, r *run) {
	if r.workerRestarted {
		m.finish(now, r, wire.Failed, r.endReason(true))
		return
	}
	m.finish(now, r, wire.NotRun, cmp.Or(r.notRunReason, wire.ReasonNotReceived))
}
