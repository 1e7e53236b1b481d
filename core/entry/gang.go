package entry

import (
	"cmp"
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// gang is the state of a step whose tasks run together or not at all. All
// members of one run have the same run number, and the success of one member
// counts for all.
//
// Invariant: the members are enqueued together, once the attempts of all
// members in the previous run are known to have ended.
type gang struct {
	failures     int           // runs in which a member itself failed
	failedMember *task         // a member that itself failed in the current run, nil if none did
	retryAt      time.Duration // earliest start of the next run
	// cancelCause is the reason of the result for which the members of the current run were
	// cancelled, ReasonNone if they were not.
	cancelCause wire.Reason
}

// cancelledByEvacuation reports whether the member's attempt ended only because another
// member was refused as evacuated.
func (g *gang) cancelledByEvacuation(t *task, r *wire.Result) bool {
	if g.cancelCause != wire.ReasonEvacuated || t.cancelledSeq != t.seq {
		return false
	}
	return r.Outcome == wire.NotRun && r.Reason == wire.ReasonCancelled || r.Outcome == wire.Failed && r.Reason == wire.ReasonStopped
}

// gangMembers returns the tasks of a gang's step.
func (j *job) gangMembers(s *step) []task { return j.tasks[s.firstTask : s.firstTask+s.schedJob.Tasks] }

// applyGangResult applies the outcome of a member's attempt.
func (m *Machine) applyGangResult(now time.Duration, t *task, r *wire.Result) {
	s := &t.job.steps[t.step]
	if r.Outcome == wire.Succeeded {
		m.gangSucceeded(now, t, r)
		m.finishIfSettled(now, t.job)
		return
	}
	t.state = taskAwaitingGang
	g := s.gang
	switch r.Outcome {
	case wire.NotRun:
		reason := r.Reason
		if g.cancelledByEvacuation(t, r) {
			reason = wire.ReasonEvacuated // neither a retry nor an attempt
		}
		m.gangNotRun(now, t, reason)
	case wire.Failed:
		t.job.runRepeated = true
		switch {
		case failedByItself(r):
			g.failedMember = t
		case r.Reason == wire.ReasonWorkerCrashed:
			m.countCrash(t, r)
		}
		m.cancelGangMembers(s, t.job, r.Reason)
	default: // the run is lost; the other members may still succeed
		t.runLost = true
	}
	m.retryGang(now, t.job, s, r.Reason)
	m.finishIfSettled(now, t.job)
}

// gangNotRun handles a member that was not run. It cancels the members that were
// started, because they would wait for that member.
func (m *Machine) gangNotRun(now time.Duration, t *task, reason wire.Reason) {
	m.stats.Refused++
	t.countNotRun(reason)
	if reason == wire.ReasonStaleRun {
		t.runNumber += staleRunSkip
	}
	delay, ok := m.scheduler.Retry(now, &t.schedTask, reason)
	if !ok && !t.job.stored {
		m.dropTask(t)
		m.abortJob(now, t.job, ReasonRetriesExhausted)
		return
	}
	if !ok {
		delay = storedRetryDelay
	}
	s := &t.job.steps[t.step]
	s.gang.retryAt = max(s.gang.retryAt, now+delay)
	m.cancelGangMembers(s, t.job, reason)
}

// cancelGangMembers cancels the members in flight, because one ended for the given reason.
func (m *Machine) cancelGangMembers(s *step, j *job, cause wire.Reason) {
	s.gang.cancelCause = cmp.Or(s.gang.cancelCause, cause)
	members := j.gangMembers(s)
	for i := range members {
		if t := &members[i]; t.state == taskInFlight {
			t.cancelledSeq = t.seq
			m.cancelAttempt(t.link, t.seq)
		}
	}
}

// gangSucceeded ends every member, since the success of one counts for all.
func (m *Machine) gangSucceeded(now time.Duration, succeeded *task, r *wire.Result) {
	m.stats.Results++
	j := succeeded.job
	members := j.gangMembers(&j.steps[succeeded.step])
	for i := range members {
		t := &members[i]
		switch t.state {
		case taskQueued:
			m.scheduler.Remove(now, &t.schedTask)
		case taskBackoff:
			m.retries.Remove(t)
		}
		t.runLost = false
		t.markRan(r)
	}
	if j.ending {
		return
	}
	j.steps[succeeded.step].remaining = 0
	m.enqueueReadySteps(now, j)
}

// retryGang begins the next run of a gang once none of its members is in
// flight, or aborts the job if the gang may not run again. lastEnd is the reason of the
// attempt that ended last.
func (m *Machine) retryGang(now time.Duration, j *job, s *step, lastEnd wire.Reason) {
	members := j.gangMembers(s)
	run, checkpoint := 0, ""
	mostCrashes := &members[0]
	for i := range members {
		if members[i].state != taskAwaitingGang {
			return
		}
		run = max(run, members[i].runNumber)
		checkpoint = max(checkpoint, members[i].checkpoint) // any member's checkpoint is valid for the gang
		if members[i].crashes > mostCrashes.crashes {
			mostCrashes = &members[i]
		}
	}
	g := s.gang
	failed := cmp.Or(g.failedMember, mostCrashes)
	if g.failedMember != nil {
		g.failedMember = nil
		g.failures++
		lastEnd = wire.ReasonUpstreamError
	}
	if mostCrashes.crashes >= maxWorkerCrashes {
		j.failBecauseOf(mostCrashes, wire.ReasonWorkerCrashed)
		m.abortJob(now, j, ReasonWorkersCrashed)
		return
	}
	// A job that allows each task a single run fails after any run that ended.
	singleRunEnded := !j.stored && j.maxAttempts < 2 && j.runRepeated
	switch {
	case singleRunEnded && g.failures == 0 && mostCrashes.crashes == 0 && g.cancelCause == wire.ReasonEvacuated:
		j.failure = fmt.Sprintf("step %d.%d: members had started when another was refused as evacuated, and the job allows a single run", s.occurrence, s.index)
		m.abortJob(now, j, ReasonEvacuated)
		return
	case g.failures >= j.maxAttempts || singleRunEnded:
		j.failBecauseOf(failed, lastEnd)
		m.abortJob(now, j, ReasonTaskFailed)
		return
	}
	if j.closed {
		m.abortJob(now, j, ReasonEntryPaused)
		return
	}
	for i := range members {
		t := &members[i]
		t.runNumber = run
		t.checkpoint = checkpoint
		t.state = taskBackoff
		t.retryAt = max(now, g.retryAt)
		m.retries.Put(t)
	}
	g.retryAt = 0
	g.cancelCause = wire.ReasonNone
}

// restoreGang restores the progress of a gang, which is recorded with its first
// member. The success of one member counts for all. Crashes are recorded for each member.
func (j *job) restoreGang(s *step) {
	members := j.gangMembers(s)
	s.gang.failures = members[0].failures
	for i := range members {
		members[i].checkpoint = members[0].checkpoint
	}
	if members[0].state != taskDone {
		return
	}
	for i := range members {
		if t := &members[i]; t.state != taskDone {
			t.state = taskDone
			j.openTasks--
		}
	}
	s.remaining = 0
}
