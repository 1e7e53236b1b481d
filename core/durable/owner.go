package durable

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// submit records a job unless it is already recorded.
func (m *Machine) submit(now time.Duration, e Submit) {
	if m.jobs[e.Spec.ID] != nil {
		m.emit(Reply{Token: e.Token, Result: Stored})
		return
	}
	if first, ok := m.pending[e.Spec.ID]; ok {
		m.duplicates[first] = append(m.duplicates[first], e.Token)
		return
	}
	if sentAt, ok := m.isUnresolved(e.Spec.ID); ok {
		m.addUnresolved(now, e, sentAt)
		return
	}
	switch {
	case !m.loaded || m.leaving || m.fencedOff || m.logUnresponsive(now) || now < m.refuseUntil:
		m.emit(Reply{Token: e.Token, Result: Unavailable})
		return
	case m.ownedCount+len(m.pending) >= m.opts.MaxJobs:
		m.emit(Reply{Token: e.Token, Result: Full})
		return
	}
	m.pending[e.Spec.ID] = e.Token
	key := acceptedKey(e.Spec.ID, m.opts.Self.Incarnation)
	var records []Record
	if e.Spec.Published.Name != "" {
		// It comes first, so that no read that ends in between shows the job without it.
		records = append(records, encode(classKey(e.Spec.ID), newClassRecord(m.opts.Self, e.Spec.Published)))
	}
	records = append(records, encode(key, acceptance{By: m.opts.Self, Spec: e.Spec}))
	m.requests = append(m.requests, callerRequest{token: e.Token, request: e, records: records})
}

// logUnresponsive reports whether the append in flight has gone unanswered for
// too long.
func (m *Machine) logUnresponsive(now time.Duration) bool {
	return m.inFlight != nil && now-m.inFlight.sentAt > unresponsiveAfter
}

// resolveCancels records the cancellation of jobs in the view. A job that is
// not in the view may have just been accepted by another process: the request
// waits until the view is newer than the request, and only then is the job
// unknown.
func (m *Machine) resolveCancels(now time.Duration) {
	if len(m.pendingCancels) == 0 {
		return
	}
	rest := m.pendingCancels[:0]
	for _, c := range m.pendingCancels {
		if !m.resolveCancel(now, c) {
			rest = append(rest, c)
		}
	}
	m.pendingCancels = rest
}

func (m *Machine) resolveCancel(now time.Duration, c pendingCancel) bool {
	j := m.jobs[c.Job]
	switch {
	case j != nil && (j.cancelled || j.state.Final()):
		m.emit(Reply{Token: c.Token, Result: Stored})
	case m.fencedOff || m.left || m.logUnresponsive(now) || now < m.refuseUntil:
		m.emit(Reply{Token: c.Token, Result: Unavailable})
	case j == nil && m.viewAt <= c.at:
		return false
	case j == nil:
		m.emit(Reply{Token: c.Token, Result: Unknown})
	default:
		records := []Record{encode(cancelKey(c.Job), cancellation{By: m.opts.Self})}
		m.requests = append(m.requests, callerRequest{token: c.Token, request: c.Cancel, records: records})
	}
	return true
}

// jobStarted records that the job no longer waits for its first task to start.
func (m *Machine) jobStarted(id string) {
	if j := m.jobs[id]; j != nil && j.driving && j.state == Queued && j.nextState < Running {
		j.nextState = Running
		m.markDirty(j)
	}
}

// classFound records the class of a job that was accepted by an earlier build, so that the
// job also runs once that class is not published any more.
func (m *Machine) classFound(e ClassFound) {
	j := m.jobs[e.Job]
	if j == nil || j.spec == nil || !m.owns(j) || j.spec.Published.Name != "" {
		return
	}
	j.hasClass = true
	j.setPublished(e.Class)
	m.maintenance = append(m.maintenance, encode(classKey(j.id), newClassRecord(m.opts.Self, e.Class)))
}

// runFinished counts a finished run, or keeps it for the case that this process
// takes the job over.
func (m *Machine) runFinished(now time.Duration, e RunFinished) {
	j := m.jobs[e.Run.Run.Job]
	switch {
	case e.Superseded && !j.counted(e.Run.Run):
		m.acknowledgeSuperseded(e)
	case j == nil:
		m.unknownRuns = append(m.unknownRuns, unknownRun{at: now, event: e})
	case j.state.Final() || j.spec == nil:
		m.acknowledgeEnded(j, e)
	case !m.owns(j):
		j.reported = append(j.reported, e)
	default:
		m.countRun(j, e)
	}
}

// resolveUnknownRuns acknowledges runs whose job is not in the view although
// the view is newer than their report: the job was never recorded, or was
// removed long ago.
func (m *Machine) resolveUnknownRuns(now time.Duration) {
	runs := m.unknownRuns
	m.unknownRuns = nil
	for _, r := range runs {
		switch {
		case m.jobs[r.event.Run.Run.Job] != nil:
			m.runFinished(now, r.event)
		case m.viewAt > r.at:
			m.acknowledge(r.event)
		default:
			m.unknownRuns = append(m.unknownRuns, r)
		}
	}
}

func (m *Machine) acknowledge(e RunFinished) {
	m.emit(Acknowledge{Agent: e.Agent, Runs: []wire.RunRef{e.Run.Run}})
}

// countRun adds a finished run to the job's progress. The run is acknowledged
// once that is recorded.
func (m *Machine) countRun(j *job, e RunFinished) {
	run := e.Run.Run
	i := j.taskIndex(run)
	switch {
	case i < 0: // not a task of this job
		m.acknowledge(e)
		return
	case j.runSuperseded(&j.tasks[i], run.Run):
		m.acknowledgeSuperseded(e)
		return
	}
	if t := &j.tasks[i]; run.Run > t.lastRun {
		t.lastRun = run.Run
		t.Done = t.Done || !e.Run.Failed // a success that counts is not undone
		if e.Run.Failed {
			t.Failures++
			t.countedRuns = append(t.countedRuns, run.Run)
			t.Checkpoint = cmp.Or(e.Run.Checkpoint, t.Checkpoint)
		}
	}
	j.unrecorded = append(j.unrecorded, e)
	m.markDirty(j)
}

// runSuperseded reports whether the task was started again before this run was
// reported. A drive starts every unfinished task again, with run numbers above
// driveBase.
func (j *job) runSuperseded(t *task, run int) bool {
	if slices.Contains(t.countedRuns, run) {
		return false
	}
	if run <= t.repeatedRun && run != t.lastRun {
		return true
	}
	return run < t.lastRun || j.driving && !t.Done && run != t.lastRun && run <= j.driveBase
}

// counted reports whether this process has counted the run. An agent reports a run
// again if it is not acknowledged in time, and by then the task may have been started
// again because the run failed.
func (j *job) counted(run wire.RunRef) bool {
	if j == nil {
		return false
	}
	i := j.taskIndex(run)
	return i >= 0 && (run.Run == j.tasks[i].lastRun || slices.Contains(j.tasks[i].countedRuns, run.Run))
}

// acknowledgeEnded acknowledges a finished run of a job that has ended, as
// superseded if it is not the task's newest counted run.
func (m *Machine) acknowledgeEnded(j *job, e RunFinished) {
	if j.taskIndex(e.Run.Run) >= 0 && !j.counted(e.Run.Run) {
		m.acknowledgeSuperseded(e)
		return
	}
	m.acknowledge(e)
}

func (m *Machine) acknowledgeSuperseded(e RunFinished) {
	m.emit(Acknowledge{Agent: e.Agent, Runs: []wire.RunRef{e.Run.Run}, Superseded: true})
}

// markDirty schedules the job's status to be recorded with the next append.
func (m *Machine) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		m.dirty = append(m.dirty, j)
	}
}

// runCrashed counts a crash of a worker under a task and records it at once: the owner
// that follows must not start the task on as many workers again.
func (m *Machine) runCrashed(e RunCrashed) {
	j := m.jobs[e.Run.Job]
	if j == nil || j.spec == nil || j.state.Final() || !m.owns(j) {
		return
	}
	i := j.memberIndex(e.Run)
	if i < 0 {
		return // not a task of this job
	}
	j.tasks[i].Crashes = e.Crashes
	j.hasCrashes = true
	m.maintenance = append(m.maintenance, encode(crashKey(j.id), j.crashes(m.opts.Self)))
}

// runRepeated records at once that a lost run does not count any more: the owner that
// follows may be told of its success, and does not know that the task was started again.
func (m *Machine) runRepeated(e RunRepeated) {
	j := m.jobs[e.Run.Job]
	if j == nil || j.spec == nil || j.state.Final() || !m.owns(j) {
		return
	}
	i := j.taskIndex(e.Run)
	if i < 0 {
		return // not a task of this job
	}
	j.tasks[i].repeatedRun = max(j.tasks[i].repeatedRun, e.Run.Run)
	j.hasRepeats = true
	m.maintenance = append(m.maintenance, encode(repeatKey(j.id), j.repeats(m.opts.Self)))
}

// repeats returns the record of the job's repeated runs.
func (j *job) repeats(by ProcessID) repeatRecord {
	rec := repeatRecord{By: by}
	for i := range j.tasks {
		if n := j.tasks[i].repeatedRun; n > 0 {
			rec.Tasks = append(rec.Tasks, taskRepeat{Index: i, Run: n})
		}
	}
	return rec
}

// crashes returns the record of the crashes under the job's tasks.
func (j *job) crashes(by ProcessID) crashRecord {
	rec := crashRecord{By: by}
	for i := range j.tasks {
		if n := j.tasks[i].Crashes; n > 0 {
			rec.Tasks = append(rec.Tasks, taskCrashes{Index: i, Crashes: n})
		}
	}
	return rec
}

// driveEnded handles the end of a drive. A job that has neither completed, nor
// failed for good, nor been cancelled is queued to be driven again.
func (m *Machine) driveEnded(now time.Duration, e DriveEnded) {
	j := m.jobs[e.Job]
	if j == nil || !j.driving {
		return
	}
	j.driving, j.halting = false, false
	m.driveCount--
	m.countRefusal(j, e)
	if j.state.Final() || !m.owns(j) {
		return
	}
	switch {
	case e.Outcome == entry.Complete:
		m.finish(j, Completed)
	case j.cancelled:
		m.finish(j, Cancelled)
	case e.Outcome == entry.Failed && (e.Reason == entry.ReasonTaskFailed || e.Reason == entry.ReasonWorkersCrashed):
		m.finish(j, Failed)
	default:
		j.driveAfter = now + redriveDelay
		m.enqueue(j)
	}
}

// countRefusal reports a job of which every drive is refused, once.
func (m *Machine) countRefusal(j *job, e DriveEnded) {
	if e.Outcome != entry.Refused {
		j.refusals = 0
		return
	}
	j.refusals++
	if j.refusals == refusalsBeforeReport {
		m.emit(DrivesRefused{Job: j.id, Class: j.class, Reason: e.Reason})
	}
}

// finish sets the job's final state, which the next append records.
func (m *Machine) finish(j *job, s State) {
	j.nextState = s
	m.markDirty(j)
}

// reportLeft emits Left if this process is leaving and has nothing to hand over and no
// caller to answer. A leaving process halts every job. Once all drives have ended, the
// handover is recorded, so that other processes take the jobs over without waiting for
// the lease to expire.
func (m *Machine) reportLeft() {
	if !m.leaving || m.left || m.driveCount > 0 || m.inFlight != nil {
		return
	}
	if len(m.requests) > 0 || len(m.unresolved) > 0 {
		return
	}
	if m.ownedCount == 0 || m.fencedOff {
		m.left = true
		m.emit(Left{})
	}
}
