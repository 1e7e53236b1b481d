package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// busyWorker answers a start at once and a poll within 10 ms, and ends each run after runTime.
type busyWorker struct {
	m        *Machine
	now      time.Duration
	next     int // number of the last run
	endAt    map[wire.RunRef]time.Duration
	ended    []EndedRun
	acked    int
	leaseEnd time.Duration
	lapses   int // leases that expired
	lapsed   bool
	closed   bool // last Admission
	polling  bool // a poll is in flight
	outcomes map[wire.Seq]Finished
}

const runTime = 200 * time.Millisecond

func newBusyWorker() *busyWorker {
	w := &busyWorker{m: New(Options{}), now: time.Second, endAt: make(map[wire.RunRef]time.Duration), outcomes: make(map[wire.Seq]Finished)}
	w.step(Tick{})
	w.answerPoll()
	return w
}

func (w *busyWorker) step(ev Event) {
	for _, a := range append([]Action(nil), w.m.Step(w.now, ev)...) {
		switch x := a.(type) {
		case CallStart:
			w.leaseEnd = max(w.leaseEnd, x.Deadline)
			w.endAt[x.Run] = w.now + runTime
			w.step(Started{Run: x.Run, Result: StartAccepted, Clock: w.now})
		case CallPoll:
			w.acked = max(w.acked, x.AckUpTo)
			w.leaseEnd = max(w.leaseEnd, x.Deadline)
			w.polling = true
		case Admission:
			w.closed = x.Closed
		case Finished:
			w.outcomes[x.Attempt.Seq] = x
		}
	}
}

// answerPoll answers the poll in flight.
func (w *busyWorker) answerPoll() {
	if !w.polling {
		return
	}
	w.polling = false
	status := &WorkerStatus{Incarnation: 1, Clock: w.now}
	for run := range w.endAt {
		status.Running = append(status.Running, run)
	}
	status.Ended = w.ended[w.acked:min(len(w.ended), w.acked+500)]
	status.EndedCutOff = len(status.Ended) == 500
	w.step(Polled{Status: status})
}

// start starts a run of a stored job, or of another one.
func (w *busyWorker) start(stored bool) wire.RunRef {
	w.next++
	run := wire.RunRef{Job: "j", Index: w.next, Run: 1}
	w.step(Start{Attempt: agent.AttemptID{Entry: 1, Seq: wire.Seq(w.next)}, Run: run, RetainFinishedRun: stored})
	return run
}

// advance moves the time forward in steps of 10 ms.
func (w *busyWorker) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		for run, at := range w.endAt {
			switch {
			case w.now > w.leaseEnd:
				w.end(run, EndedInconclusive)
			case w.now >= at:
				w.end(run, EndedSucceeded)
			}
		}
		if lapsed := w.now > w.leaseEnd; lapsed != w.lapsed {
			w.lapsed = lapsed
			if lapsed {
				w.lapses++
			}
		}
		w.answerPoll()
		w.step(Tick{})
	}
}

func (w *busyWorker) end(run wire.RunRef, kind EndKind) {
	delete(w.endAt, run)
	w.ended = append(w.ended, EndedRun{Number: len(w.ended) + 1, Run: run, Kind: kind})
}

// Guards against runs that are repeated although they succeeded: while an entry that is
// gone leaves a finished run unacknowledged, the worker lists only the first 500 ends.
func TestRunsMissingFromCutOffListStayOpen(t *testing.T) {
	w := newBusyWorker()
	retained := w.start(true)
	w.advance(runTime)
	for range 600 {
		w.start(false)
	}
	w.advance(2 * runTime)
	for seq, f := range w.outcomes {
		assert.Equal(t, f.Outcome, wire.Succeeded, "run %d: %v", seq, f.Reason)
	}
	assert.Assert(t, w.m.OpenRuns() > 0, "the list is cut off")
	w.step(AcknowledgeRun{Run: retained})
	w.advance(time.Second)
	assert.Equal(t, len(w.outcomes), 601)
	for seq, f := range w.outcomes {
		assert.Equal(t, f.Outcome, wire.Succeeded, "run %d: %v", seq, f.Reason)
	}
}

// Guards against a worker whose list of ended runs is cut off: no further run is
// admitted before that, and runs are admitted again once the ends are acknowledged.
func TestAdmissionClosesBeforeListIsCutOff(t *testing.T) {
	w := newBusyWorker()
	retained := w.start(true)
	w.advance(10 * time.Millisecond) // its end has the lowest number
	for range 100 {
		for range 10 {
			if !w.closed {
				w.start(false)
			}
		}
		w.advance(10 * time.Millisecond)
	}
	assert.Assert(t, w.closed)
	assert.Equal(t, w.next, maxUnackedRuns)
	assert.Equal(t, w.m.OpenRuns(), 0)
	w.step(AcknowledgeRun{Run: retained})
	w.advance(500 * time.Millisecond)
	assert.Assert(t, !w.closed)
	assert.Equal(t, w.acked, maxUnackedRuns)
}

// Guards against a worker that is lost for good because of a superseded run: while runs
// follow each other, the lease never expires, and no later end can be acknowledged. The
// superseded run itself must not be acknowledged under the lease under which it ended.
func TestSupersededRunIsReleasedByExpiryOfLease(t *testing.T) {
	w := newBusyWorker()
	lasting := w.start(false)
	w.endAt[lasting] = time.Hour
	superseded := w.start(true)
	w.advance(runTime)
	w.step(SupersedeRun{Run: superseded})
	ackedAfter := 0
	for range 500 { // 5 s
		if !w.closed {
			w.start(false)
		}
		w.advance(10 * time.Millisecond)
		if w.acked > 0 && ackedAfter == 0 {
			ackedAfter = w.lapses
		}
	}
	assert.Assert(t, ackedAfter > 0, "the run was acknowledged before the lease had expired, or never")
	assert.Assert(t, w.acked > 250, "%d of %d ends acknowledged", w.acked, len(w.ended))
	assert.Equal(t, w.lapses, 1)
	assert.Equal(t, w.outcomes[1].Reason, wire.ReasonRunEnded, "the task that lasts is repeated")
	delete(w.outcomes, 1)
	for seq, f := range w.outcomes {
		assert.Equal(t, f.Outcome, wire.Succeeded, "run %d: %v", seq, f.Reason)
	}
}

// Guards against a start that renews the lease while it has to expire, and against one
// that is reported as run.
func TestStartWhileWorkerIsQuiescedIsNotRun(t *testing.T) {
	w := newBusyWorker()
	superseded := w.start(true)
	w.advance(runTime)
	w.step(SupersedeRun{Run: superseded})
	w.start(false)
	for range int(supersededDelay / (100 * time.Millisecond)) {
		w.advance(100 * time.Millisecond)
		if !w.closed {
			w.start(false)
		}
	}
	assert.Assert(t, w.closed)
	w.start(false)
	last := w.outcomes[wire.Seq(w.next)]
	assert.Equal(t, last.Outcome, wire.NotRun)
	assert.Equal(t, last.Reason, wire.ReasonBusy)
}
