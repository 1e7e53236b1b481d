package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// look asks for the worker's lists when something is to be learned or renewed.
// One look is in progress at a time.
func (m *Machine) look(now time.Duration) {
	if m.looking || now < m.nextLook {
		return
	}
	req := CallLook{LastSeen: m.acknowledge(now)}
	switch {
	case m.readAt == 0: // nothing is known of the worker yet
	case m.lookFailed: // it may start anew, and a late start may reach its new life
	case m.lookNow:
	case m.live():
		req.Wait = m.opts.LookWait
	case len(m.foreign) > 0:
		req.Wait = m.opts.LookWait
	case m.acked < m.settledUpTo() && now >= m.ackAt:
	case now-m.readAt >= clockRefresh:
	default:
		return
	}
	if len(m.list) > 0 && now-m.heardAt < m.opts.Lease/2 {
		// A worker that stays silent must not be renewed: its runs have to end at
		// a time that is known.
		req.Deadline = m.renew(now)
	}
	m.lookNow = false
	m.looking = true
	m.lookAt = now
	m.lookSeen = req.LastSeen
	m.emit(req)
}

// acknowledge returns the number up to which the look acknowledges ends. After a
// call that failed or a pause, the worker may have started anew: its numbers then
// begin again, and a number of before would have it forget ends that nobody saw.
// The first look after that acknowledges nothing.
func (m *Machine) acknowledge(now time.Duration) int {
	if m.lookFailed || now-m.heardAt > lifeDoubt {
		return 0
	}
	return m.settledUpTo()
}

// live reports whether some run may be at the worker.
func (m *Machine) live() bool {
	for _, r := range m.list {
		if r.state != runStarting {
			return true
		}
	}
	return false
}

func (m *Machine) looked(now time.Duration, e Looked) {
	m.looking = false
	m.lookFailed = e.View == nil
	if e.View == nil {
		m.nextLook = now + lookRetry
		if len(m.list) == 0 {
			m.nextLook = now + silentRetry
		}
		return
	}
	v := e.View
	m.heardAt = now
	m.read(now, v.Clock)
	if m.life != 0 && v.Life != 0 && v.Life != m.life {
		m.reborn()
	} else {
		m.acked = max(m.acked, m.lookSeen)
	}
	m.life = v.Life
	m.ended(now, v.Ended)
	m.listed(now, v.Running)
	m.noteCheckpoints(v.Checkpoints)
	if len(m.held) > 0 {
		m.nextLook = now + heldLookGap
	}
}

// reborn handles a worker that started anew, with numbers that start anew. A
// run of before has ended with the earlier life, unless its start reached the
// new one: the lists of the new life tell.
func (m *Machine) reborn() {
	m.lastSeen, m.acked = 0, 0
	clear(m.held)
	for _, r := range m.list {
		r.crossed = true
	}
	m.emit(WorkerGone{})
}

func (m *Machine) ended(now time.Duration, ends []End) {
	for _, end := range ends {
		if end.N > m.lastSeen {
			m.lastSeen = end.N
			m.ackAt = now + m.opts.AckDelay
		}
		r := m.runs[end.Run]
		if r == nil {
			continue
		}
		if r.stored && (end.How == EndedDone || end.How == EndedFailed) {
			m.held[end.Run] = end.N
		}
		r.checkpoint = cmp.Or(end.Checkpoint, r.checkpoint)
		outcome, reason := r.outcome(end.How)
		m.finish(now, r, outcome, reason)
	}
}

// outcome translates how a run ended.
func (r *run) outcome(how How) (wire.Outcome, wire.Reason) {
	switch {
	case how == EndedDone:
		return wire.Succeeded, wire.ReasonNone
	case how == EndedFailed:
		return wire.Failed, wire.ReasonUpstreamError
	case how == EndedStopped && r.stop && !r.orphan:
		return wire.Failed, wire.ReasonStopped
	}
	return wire.Failed, wire.ReasonRunEnded
}

// listed compares what runs with what should. The list was made after the look
// was sent, so it holds every run that was accepted before.
func (m *Machine) listed(now time.Duration, running []wire.RunRef) {
	seen := make(map[wire.RunRef]bool, len(running))
	for _, id := range running {
		seen[id] = true
		r := m.runs[id]
		switch {
		case r == nil:
			m.noteForeign(now, id)
		case r.state == runVoided: // started before it was voided
			r.stop = true
		case r.state != runRunning:
			r.state = runRunning
			r.since = now
		}
	}
	m.foreign = slices.DeleteFunc(m.foreign, func(f foreignRun) bool { return !seen[f.id] })
	for i := 0; i < len(m.list); {
		if r := m.list[i]; !seen[r.id] && m.missing(now, r) {
			continue // finished and removed
		}
		i++
	}
}

func (m *Machine) noteForeign(now time.Duration, id wire.RunRef) {
	if !slices.ContainsFunc(m.foreign, func(f foreignRun) bool { return f.id == id }) {
		m.foreign = append(m.foreign, foreignRun{id: id, stopAt: now})
	}
}

// noteCheckpoints keeps the progress of runs, which is all that is left of them if they
// end with their worker.
func (m *Machine) noteCheckpoints(checkpoints map[wire.RunRef]string) {
	for id, s := range checkpoints {
		if r := m.runs[id]; r != nil && s != "" {
			r.checkpoint = s
		}
	}
}

// missing handles a run that the list does not hold. It reports whether the
// run has finished.
func (m *Machine) missing(now time.Duration, r *run) bool {
	if r.since >= m.lookAt {
		return false
	}
	switch r.state {
	case runRunning:
		m.finish(now, r, wire.Failed, wire.ReasonRunEnded)
		return true
	case runDoubtful:
		if m.clock > r.deadline && !r.crossed {
			m.finishVoided(now, r, wire.ReasonNotReceived)
			return true
		}
		r.stop = true // so that it cannot start any more
	case runVoided:
		m.finishVoided(now, r, r.refusal)
		return true
	case runStarting:
	}
	return false
}

// finishVoided ends a run that no list shows and that can start no more. If the
// worker started anew in between, the run may have been part of its earlier life.
func (m *Machine) finishVoided(now time.Duration, r *run, reason wire.Reason) {
	if r.crossed {
		m.finish(now, r, wire.Failed, wire.ReasonRunEnded)
		return
	}
	m.finish(now, r, wire.NotRun, reason)
}
