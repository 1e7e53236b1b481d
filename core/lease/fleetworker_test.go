package lease_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// advanceWorker moves the time of the worker of a host forward.
func (f *fleet) advanceWorker(h *fleetHost) {
	if h.successor != nil {
		return
	}
	if h.callsFirst && h.worker.now+chainStep >= h.worker.stalledUntil {
		h.callsFirst = false
		if f.swarm != nil {
			f.carryOutSwarm(h, false)
		}
		f.carryOutLate(h)
	}
	h.worker.advance(chainStep)
	if f.swarm != nil {
		f.carryOutSwarm(h, h.worker.stalled())
		f.starveWorker(h)
		return
	}
	f.carryOutLate(h)
	f.carryOutInTransit(h)
	f.announceRestart(h)
}

// call sends a call to the worker, which may leave it unanswered and carry it out late.
func (f *fleet) call(h *fleetHost, a lease.Action) {
	timeout := f.now + callTimeout
	if x, ok := a.(lease.CallStart); ok && f.now > x.SendUntil { // as internal/leased does
		h.answers = append(h.answers, chainAnswer{at: f.now, timeout: timeout, event: lease.Started{Run: x.Run, Result: lease.StartRefused, Reason: wire.ReasonExpired}, lost: noAnswer(a)})
		return
	}
	if f.swarm != nil {
		f.send(h, a)
		return
	}
	if blocked := max(h.callsCutTill, f.now+h.worker.stalledUntil-h.worker.now); blocked > f.now {
		h.answers = append(h.answers, chainAnswer{at: timeout, event: noAnswer(a), lost: noAnswer(a)})
		h.late = append(h.late, call{at: blocked, action: a})
		return
	}
	if f.now < h.answersCutTill {
		f.execute(h, a, false)
		h.answers = append(h.answers, chainAnswer{at: timeout, event: noAnswer(a), lost: noAnswer(a)})
		return
	}
	if f.callFailed(h, a) {
		return
	}
	if f.restarts {
		x := &fleetCall{at: f.now, timeout: timeout, action: a, token: h.token}
		if poll, ok := a.(lease.CallPoll); ok && f.now > poll.AckUntil { // as internal/leased does
			poll.AckUpTo = 0
			x.action, x.withheld = poll, true
		}
		switch n := f.rng.IntN(20); {
		case f.rng.Float64() < h.lateShare:
			x.at = f.now + f.millis(50, 3000)
		case n < 4:
			x.at = f.now + f.millis(5, 30)
		case n < 5:
			x.at = f.now + f.millis(30, 200)
		}
		h.inTransit = append(h.inTransit, x)
		return
	}
	if f.faults && f.rng.Float64() < h.lateShare {
		h.answers = append(h.answers, chainAnswer{at: timeout, event: noAnswer(a), lost: noAnswer(a)})
		h.late = append(h.late, call{at: f.now + f.millis(50, int(cmp.Or(f.lateSpan, 3*time.Second)/time.Millisecond)), action: a})
		return
	}
	if _, ok := a.(lease.CallPoll); ok {
		f.fence(h) // as the client of the platform does at the first answer of an incarnation
	}
	h.answers = append(h.answers, chainAnswer{at: f.now + f.millis(0, 20), timeout: timeout, event: f.execute(h, a, false), lost: noAnswer(a)})
}

func (f *fleet) carryOutLate(h *fleetHost) {
	if h.worker.stalled() && !(h.worker.now+chainStep >= h.worker.stalledUntil) {
		return
	}
	due := h.late
	h.late = nil
	for _, x := range due {
		if x.at > f.now {
			h.late = append(h.late, x)
			continue
		}
		if !f.hasNoEffect(h, x.action) {
			f.execute(h, x.action, true)
		}
	}
}

func (f *fleet) execute(h *fleetHost, a lease.Action, late bool) lease.Event {
	switch x := a.(type) {
	case lease.CallStart:
		length := f.millis(5, 1500)
		if f.restarts && f.rng.IntN(3) == 0 {
			length = 0
		}
		if f.longRuns || f.rng.IntN(4) == 0 {
			length = f.millis(3000, 8000)
		}
		before := h.worker.started[x.Run]
		_, running := h.worker.running[x.Run]
		h.worker.retained[x.Run] = 0 // the worker counts the expiries of its lease since the end
		answer := h.worker.start(x, length)
		if !before && h.worker.started[x.Run] {
			f.counts.runs++
			f.logf("%s starts %v", h.name, x.Run)
			f.startedRun(x.Run, late)
		}
		if _, runs := h.worker.running[x.Run]; runs && !running && f.swarm != nil {
			f.recordBeginning(h, x.Run)
			f.logf("%s begins %v", h.name, x.Run)
		}
		if _, runs := h.worker.running[x.Run]; runs && !running && late { // the worker may have had it before it restarted
			f.lateRuns[x.Run] = true
		}
		return answer
	case lease.CallStop:
		f.logf("%s is told to stop %v", h.name, x.Run)
		return h.worker.stop(x)
	case lease.CallPoll:
		f.acknowledge(h, x.AckUpTo, late)
		answer := h.worker.poll(x)
		if status := answer.Status; status != nil { // an acknowledged end is listed no more
			status.Ended = slices.DeleteFunc(status.Ended, func(end lease.EndedRun) bool { return end.Number <= h.acked })
		}
		return answer
	}
	return nil
}

// fencedWorker returns a worker that refuses every call.
func fencedWorker(h *fleetHost) *worker {
	w := newWorker()
	w.now, w.fenceAt = h.worker.now, 1
	return w
}
