package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// acknowledgeTimeout is how long an entry may take to acknowledge a finished run
// before the run is sent to the other entries: the entry may have lost ownership
// of its jobs although it is alive.
const acknowledgeTimeout = 700 * time.Millisecond

// retainedRun is a finished run of a stored job that no entry has acknowledged yet.
type retainedRun struct {
	finished  wire.FinishedRun
	entry     wire.Incarnation // requested the run, 0 if not known
	since     time.Duration    // when the agent began to retain it
	broadcast bool             // it was sent to all connected entries
}

// retainedRuns is a set of retained runs in order of arrival.
type retainedRuns struct {
	byRun map[wire.RunRef]*retainedRun
	list  []*retainedRun
}

func (r *retainedRuns) add(now time.Duration, entry wire.Incarnation, finished wire.FinishedRun) {
	if r.byRun == nil {
		r.byRun = make(map[wire.RunRef]*retainedRun)
	}
	if r.byRun[finished.Run] != nil {
		return
	}
	x := &retainedRun{finished: finished, entry: entry, since: now}
	r.byRun[finished.Run] = x
	r.list = append(r.list, x)
}

// remove reports whether the run was in the set.
func (r *retainedRuns) remove(run wire.RunRef) bool {
	x := r.byRun[run]
	if x == nil {
		return false
	}
	delete(r.byRun, run)
	for i := range r.list {
		if r.list[i] == x {
			r.list = append(r.list[:i], r.list[i+1:]...)
			break
		}
	}
	return true
}

// retainFinishedRun retains the finished run of a stored job if the task
// succeeded or itself failed. A run that ended in another way says nothing about
// the task.
func (m *Machine) retainFinishedRun(now time.Duration, a *attempt, e *Finished) {
	failed := e.Outcome == wire.Failed && e.Reason == wire.ReasonUpstreamError
	if !a.start.RetainFinishedRun || e.Outcome != wire.Succeeded && !failed {
		return
	}
	m.retainedRuns.add(now, a.entry.incarnation, wire.FinishedRun{Run: a.start.Ref(), Failed: failed, Checkpoint: e.Checkpoint})
}

// acknowledgeRuns releases finished runs that an entry has acknowledged, here
// and at the worker.
func (m *Machine) acknowledgeRuns(runs []wire.RunRef) {
	for _, run := range runs {
		if m.retainedRuns.remove(run) {
			m.emit(AcknowledgeRun{Run: run})
		}
	}
}

// dropSupersededRuns drops finished runs that an entry reported as superseded.
// It emits no AcknowledgeRun for them: core/lease acknowledges them to the worker once
// the lease has expired.
func (m *Machine) dropSupersededRuns(runs []wire.RunRef) {
	for _, run := range runs {
		if m.retainedRuns.remove(run) {
			m.emit(SupersedeRun{Run: run})
		}
	}
}

// overdue reports whether another entry may own the job of the retained run by
// now: the entry that requested the run was unresponsive for RunLease, or has not
// acknowledged the run in time.
func (m *Machine) overdue(now time.Duration, x *retainedRun) bool {
	rec := m.entries[x.entry]
	return rec == nil || now-rec.aliveAt > m.opts.RunLease || now-x.since > acknowledgeTimeout
}

// broadcastOverdueRuns sends the retained runs that became overdue to every
// connected entry. For an entry that connects later, queueRetainedRuns adds them.
func (m *Machine) broadcastOverdueRuns(now time.Duration) {
	for _, x := range m.retainedRuns.list {
		if x.broadcast || !m.overdue(now, x) {
			continue
		}
		x.broadcast = true
		for _, rec := range m.entryList {
			if rec.up {
				rec.pendingFinishedRuns = append(rec.pendingFinishedRuns, x.finished)
				rec.heartbeatDue = true
			}
		}
	}
}

// queueRetainedRuns queues the retained runs that an entry which has just
// connected may need: those that it requested and those that are overdue.
func (m *Machine) queueRetainedRuns(now time.Duration, rec *entryRecord) {
	rec.pendingFinishedRuns = rec.pendingFinishedRuns[:0]
	for _, x := range m.retainedRuns.list {
		if len(rec.pendingFinishedRuns) < wire.MaxFinishedRuns && (x.entry == rec.incarnation || x.broadcast || m.overdue(now, x)) {
			rec.pendingFinishedRuns = append(rec.pendingFinishedRuns, x.finished)
		}
	}
}
