package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// storedRetryDelay is the retry delay of a stored job's task when the scheduler
	// allows no further retry.
	storedRetryDelay = 200 * time.Millisecond
	// minLeaseToRepeat is the part of the lease of stored jobs that must be left when a
	// task is repeated whose run was lost. That run may have succeeded. An entry that was
	// cut off and has not renewed its lease since is about to be replaced: the next owner
	// is told of the run, counts it, and cannot know that the task was started again.
	minLeaseToRepeat = 1200 * time.Millisecond
)

// applyStoredResult applies the outcome of an attempt of a stored job. A finished
// run is reported for recording, a task of a long-running job is restarted, and an
// attempt that is lost is repeated once its run must have ended.
func (m *Machine) applyStoredResult(now time.Duration, link *agentLink, t *task, r *wire.Result) {
	inGang := t.job.steps[t.step].gang != nil && !t.job.ending
	if t.job.longRunning && !t.job.ending && (r.Outcome == wire.Succeeded || r.Outcome == wire.Failed) {
		if inGang {
			g := t.job.steps[t.step].gang
			g.retryAt = max(g.retryAt, now+storedRetryDelay)
			ended := &wire.Result{Outcome: wire.Failed, Reason: wire.ReasonRunEnded, RunTime: r.RunTime}
			if r.Reason == wire.ReasonWorkerCrashed {
				ended.Reason = r.Reason
			}
			m.applyGangResult(now, t, ended)
			return
		}
		m.restartTask(now, t, r)
		return
	}
	m.reportFinishedRun(link, t, r)
	if r.Outcome == wire.Unknown && inGang {
		g := t.job.steps[t.step].gang
		g.retryAt = max(g.retryAt, link.runsEndBy(now))
	}
	if r.Outcome == wire.Unknown && !inGang {
		t.state = taskBackoff
		t.runLost = true
		t.retryAt = link.runsEndBy(now)
		m.retries.Put(t)
		return
	}
	m.applyOutcome(now, t, r)
}

// reportFinishedRun reports a run for recording if the task succeeded or itself
// failed.
func (m *Machine) reportFinishedRun(link *agentLink, t *task, r *wire.Result) {
	failed := failedByItself(r)
	if r.Outcome == wire.Succeeded || failed {
		m.emit(RunFinished{Agent: link.incarnation, Run: wire.FinishedRun{Run: t.ref(), Failed: failed, Checkpoint: r.Checkpoint}})
	}
}

// reportLateGangResult reports the finished run of a member after another
// member's success has ended the gang, so that the agent need not retain it.
func (m *Machine) reportLateGangResult(link *agentLink, t *task, r *wire.Result) {
	if t.job.stored && t.state == taskDone && t.seq == r.Seq && t.job.steps[t.step].gang != nil {
		m.reportFinishedRun(link, t, r)
	}
}

// cancelUnleasedJobs cancels the stored jobs in progress once their lease has
// expired.
func (m *Machine) cancelUnleasedJobs(now time.Duration) {
	if len(m.storedJobs) == 0 || now < m.storedLeaseUntil {
		return
	}
	var unleased []*job
	for _, j := range m.storedJobs {
		if !j.ending {
			unleased = append(unleased, j)
		}
	}
	slices.SortFunc(unleased, func(a, b *job) int { return strings.Compare(a.name, b.name) })
	for _, j := range unleased {
		m.cancelJob(now, j, ReasonCancelled)
	}
}

// restartTask repeats a task of a long-running job, which continues however the
// run ended, unless too many workers crashed under it. The delay limits the rate of
// starts of a task that keeps failing immediately.
func (m *Machine) restartTask(now time.Duration, t *task, r *wire.Result) {
	if r.Reason == wire.ReasonWorkerCrashed {
		m.countCrash(t, r)
	}
	if reason := t.exhausted(); reason != "" {
		t.markRan(r)
		t.job.failBecauseOf(t, r.Reason)
		m.abortJob(now, t.job, reason)
		m.finishIfSettled(now, t.job)
		return
	}
	t.state = taskBackoff
	t.retryAt = now + storedRetryDelay
	m.retries.Put(t)
}

// reportRepeated reports that the start of a task of a stored job repeats a lost run.
func (m *Machine) reportRepeated(t *task) {
	if t.lostRun == 0 || !t.job.stored {
		return
	}
	run := t.ref()
	run.Run = t.lostRun
	t.lostRun = 0
	m.emit(RunRepeated{Run: run})
}

// ref identifies the task's current run.
func (t *task) ref() wire.RunRef {
	j := t.job
	s := &j.steps[t.step]
	return wire.RunRef{Job: j.name, Occurrence: s.occurrence, Step: s.index, Index: t.schedTask.Index - s.firstTask, Run: t.runNumber}
}

// acknowledgeRuns tells an agent which finished runs it need not retain.
// Nothing is sent without a link: the agent reports its retained runs again
// when it reconnects.
func (m *Machine) acknowledgeRuns(e AcknowledgedRuns) {
	link := m.agents[e.Agent]
	if link == nil || !link.up {
		return
	}
	if e.Superseded {
		link.outgoing.SupersededRuns = append(link.outgoing.SupersededRuns, e.Runs...)
	} else {
		link.outgoing.AcknowledgedRuns = append(link.outgoing.AcknowledgedRuns, e.Runs...)
	}
	m.scheduleSend(link)
}

// applyFinishedRuns applies the finished runs that an agent retained to the
// attempts of stored jobs that are in doubt, and reports all of them.
func (m *Machine) applyFinishedRuns(now time.Duration, link *agentLink, runs []wire.FinishedRun) {
	for _, finished := range runs {
		t := m.findStoredTask(finished.Run)
		superseded := false
		switch {
		case t == nil:
		case t.state == taskInFlight && t.runNumber == finished.Run.Run:
			m.applyResult(now, t.link, finishedRunResult(t.seq, finished))
		case t.waits() && t.job.longRunning: // restarted however its run ended
		case t.runLost && t.runNumber == finished.Run.Run && (t.state == taskBackoff || t.state == taskAwaitingGang):
			m.applyFinishedLostRun(now, t, finished)
		case t.state == taskQueued && t.lostRun > 0 && t.lostRun == finished.Run.Run && t.job.steps[t.step].gang == nil:
			// The task was queued again after the run was lost and has not been started.
			m.scheduler.Remove(now, &t.schedTask)
			t.lostRun = 0
			m.applyOutcome(now, t, finishedRunResult(t.seq, finished))
		case t.waits() && t.runNumber == finished.Run.Run && !finished.Failed:
			m.applyLateSuccess(now, t, finished)
		default:
			// If a later run was started, the outcome of this one must not count.
			superseded = t.runNumber > finished.Run.Run && t.state != taskDone
		}
		m.emit(RunFinished{Agent: link.incarnation, Run: finished, Superseded: superseded})
	}
}

// applyFinishedLostRun applies the outcome of a finished run that was considered
// lost.
func (m *Machine) applyFinishedLostRun(now time.Duration, t *task, finished wire.FinishedRun) {
	if t.job.steps[t.step].gang != nil && finished.Failed {
		return // the gang runs again anyway, and the failure is recorded
	}
	m.retries.Remove(t)
	t.runLost = false
	m.applyOutcome(now, t, finishedRunResult(t.seq, finished))
}

// waits reports whether the task waits for its next start.
func (t *task) waits() bool {
	return t.state == taskQueued || t.state == taskBackoff || t.state == taskAwaitingGang
}

// applyLateSuccess applies the success of the newest run of a task that waits for its next
// start, because that run was reported as ended or as not run before. The success is
// recorded and acknowledged, so the task must not start again. A failed run is left to the
// record: the agent may report one again that was counted before.
func (m *Machine) applyLateSuccess(now time.Duration, t *task, finished wire.FinishedRun) {
	if t.job.steps[t.step].gang == nil { // gangSucceeded removes the members of a gang
		switch t.state {
		case taskQueued:
			m.scheduler.Remove(now, &t.schedTask)
		case taskBackoff:
			m.retries.Remove(t)
		}
	}
	t.runLost, t.lostRun = false, 0
	m.applyOutcome(now, t, finishedRunResult(t.seq, finished))
}

// findStoredTask returns the task of a run of a stored job in progress, or nil
// if there is none.
func (m *Machine) findStoredTask(run wire.RunRef) *task {
	j := m.storedJobs[run.Job]
	if j == nil || run.Step >= j.stepsPerOccurrence {
		return nil
	}
	i := run.Occurrence*j.stepsPerOccurrence + run.Step
	if i >= len(j.steps) || run.Index >= j.steps[i].schedJob.Tasks {
		return nil
	}
	return &j.tasks[j.steps[i].firstTask+run.Index]
}

// finishedRunResult returns the result of the attempt that a finished run
// belongs to.
func finishedRunResult(seq wire.Seq, finished wire.FinishedRun) *wire.Result {
	if finished.Failed {
		return &wire.Result{Seq: seq, Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Checkpoint: finished.Checkpoint}
	}
	return &wire.Result{Seq: seq, Outcome: wire.Succeeded}
}
