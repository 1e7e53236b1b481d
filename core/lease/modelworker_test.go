package lease_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// worker is a model of a worker that follows the protocol on which the machine
// relies.
type worker struct {
	now          time.Duration
	incarnation  int64
	runsFirst    bool                          // runs are completed before their lease is looked at after the process stood still
	stalledUntil time.Duration                 // until when the process stands still; its clock goes on
	fenceAt      time.Duration                 // when the first call of the next agent ends the runs of the earlier one
	lease        time.Duration                 // when all runs end without a renewal
	running      map[wire.RunRef]time.Duration // when the run ends by itself
	highestEnded map[string]int                // highest run number stopped or ended, by task
	ended        []lease.EndedRun
	started      map[wire.RunRef]bool
	completed    map[wire.RunRef]bool // ran to their end
	listedAtOnce int                  // ended runs in one list
	lapses       int                  // times at which the lease expired
	lapsed       bool                 // the lease has not been renewed since
	retained     map[wire.RunRef]int  // finished runs that are to be retained, with the value of lapses at their end
	// refusal returns the reason for which the worker refuses the start that it handles,
	// without a record of it: ReasonBusy, ReasonNoRoom or ReasonNone.
	refusal func() wire.Reason
}

func newWorker() *worker {
	return &worker{
		incarnation: 1, running: make(map[wire.RunRef]time.Duration), highestEnded: make(map[string]int),
		started: make(map[wire.RunRef]bool), completed: make(map[wire.RunRef]bool), listedAtOnce: 500,
		lapsed: true, retained: make(map[wire.RunRef]int), refusal: func() wire.Reason { return wire.ReasonNone },
	}
}

func taskOf(id wire.RunRef) string { return id.Job + string(rune('0'+id.Index)) }

// stalled reports whether the process stands still: it neither handles calls nor ends
// runs.
func (w *worker) stalled() bool { return w.now < w.stalledUntil }

func (w *worker) advance(d time.Duration) {
	w.now += d
	if !w.stalled() && w.runsFirst {
		w.runsFirst = false
		w.completeRuns()
	}
	if !w.stalled() {
		w.endRuns()
	}
}

// runsInOrder returns the runs in progress in an order that depends on nothing else, so that
// one seed gives one run of the model.
func (w *worker) runsInOrder() []wire.RunRef {
	if len(w.running) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(w.running), func(a, b wire.RunRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), a.Index-b.Index, a.Run-b.Run)
	})
}

// completeRuns ends the runs that are complete, whether or not their lease has expired.
func (w *worker) completeRuns() {
	for _, id := range w.runsInOrder() {
		if w.now >= w.running[id] {
			w.completed[id] = true
			w.end(id, lease.EndedSucceeded)
		}
	}
}

// endRuns ends the runs that are complete or whose lease has expired.
func (w *worker) endRuns() {
	if w.fenceAt > 0 && w.now >= w.fenceAt {
		clear(w.running)
	}
	if lapsed := w.now > w.lease; lapsed != w.lapsed {
		w.lapsed = lapsed
		if lapsed {
			w.lapses++
		}
	}
	for _, id := range w.runsInOrder() {
		end := w.running[id]
		switch {
		case w.now > w.lease:
			w.end(id, lease.EndedInconclusive)
		case w.now >= end:
			w.completed[id] = true
			w.end(id, lease.EndedSucceeded)
		}
	}
}

func (w *worker) end(id wire.RunRef, kind lease.EndKind) {
	delete(w.running, id)
	w.highestEnded[taskOf(id)] = max(w.highestEnded[taskOf(id)], id.Run)
	w.ended = append(w.ended, lease.EndedRun{Number: len(w.ended) + 1, Run: id, Kind: kind})
	if _, ok := w.retained[id]; ok {
		w.retained[id] = w.lapses
	}
}

// discarded returns a run that the acknowledgement discards although it has to be
// retained: it was not acknowledged, and the lease has not expired since its end.
func (w *worker) discarded(ackUpTo int) (wire.RunRef, bool) {
	for _, e := range w.ended[:min(ackUpTo, len(w.ended))] {
		lapses, ok := w.retained[e.Run]
		if ok && e.Kind == lease.EndedSucceeded && lapses == w.lapses && w.now <= w.lease {
			return e.Run, true
		}
	}
	return wire.RunRef{}, false
}

func (w *worker) start(c lease.CallStart, length time.Duration) lease.Started {
	refusal := w.refusal()
	if refusal == wire.ReasonBusy { // before the call is looked at
		return lease.Started{Run: c.Run, Result: lease.StartRefused, Reason: refusal}
	}
	out := lease.Started{Run: c.Run, Result: lease.StartAccepted, Clock: w.now}
	if _, isRunning := w.running[c.Run]; isRunning {
		w.renew(c.Deadline) // a repeated start renews the lease as well
		return out
	}
	switch {
	case w.fenced():
		out.Result, out.Reason = lease.StartRefused, wire.ReasonUpstreamDown
	case c.Deadline < w.now:
		out.Result, out.Reason = lease.StartRefused, wire.ReasonNotReceived
	case c.Run.Run <= w.highestEnded[taskOf(c.Run)]:
		out.Result, out.Reason = lease.StartRefused, wire.ReasonStaleRun
		if len(w.running) > 0 { // so does one that is refused for its number
			w.renew(c.Deadline)
		}
	case refusal == wire.ReasonNoRoom:
		out.Result, out.Reason = lease.StartRefused, refusal
		if len(w.running) > 0 {
			w.renew(c.Deadline)
		}
	default:
		w.running[c.Run] = w.now + length
		w.started[c.Run] = true
		w.renew(c.Deadline)
	}
	return out
}

// fenced reports whether the next agent has called the restarted worker, which
// then refuses every call of the earlier agent.
func (w *worker) fenced() bool { return w.fenceAt > 0 && w.now >= w.fenceAt }

func (w *worker) stop(c lease.CallStop) lease.Stopped {
	if w.fenced() {
		return lease.Stopped{Run: c.Run}
	}
	if _, isRunning := w.running[c.Run]; isRunning {
		w.end(c.Run, lease.EndedStopped)
	}
	w.highestEnded[taskOf(c.Run)] = max(w.highestEnded[taskOf(c.Run)], c.Run.Run)
	return lease.Stopped{Run: c.Run, Acknowledged: true, Clock: w.now}
}

func (w *worker) poll(c lease.CallPoll) lease.Polled {
	if c.Deadline > 0 && len(w.running) > 0 {
		w.renew(c.Deadline)
	}
	if w.fenced() {
		return lease.Polled{}
	}
	status := &lease.WorkerStatus{Incarnation: w.incarnation, Clock: w.now}
	status.Running = w.runsInOrder()
	for _, e := range w.ended {
		if e.Number > c.AckUpTo {
			status.Ended = append(status.Ended, e)
		}
	}
	if len(status.Ended) >= w.listedAtOnce {
		status.Ended, status.EndedCutOff = status.Ended[:w.listedAtOnce], true
	}
	return lease.Polled{Status: status}
}

// maxRenewal is how long a renewal may last from its handling. The deadline of a late call to
// an earlier incarnation is far ahead of the clock, so a worker limits it.
const maxRenewal = time.Second

func (w *worker) renew(deadline time.Duration) {
	w.lease = max(w.lease, min(deadline, w.now+maxRenewal))
	if w.now <= w.lease {
		w.lapsed = false // its expiry counts also if the process stands still until then
	}
}

func (w *worker) restart() {
	w.incarnation++
	w.fenceAt = w.now + 200*time.Millisecond
	w.running = make(map[wire.RunRef]time.Duration)
	w.highestEnded = make(map[string]int)
	w.ended = nil
	w.lease, w.lapsed = 0, true
}
