package entry

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// gang is the state of a step whose tasks work only together. The members of one
// run share its number, and the end of one of them as succeeded stands for all.
//
// Invariant: the members are given to the scheduler together, once every member's
// attempt in the run before is known to have ended.
type gang struct {
	failures int  // runs in which a member failed by its own fault
	failed   bool // a member of the current run did
	retryAt  time.Duration
}

// members returns the tasks of the step.
func (j *job) members(s *step) []task { return j.tasks[s.first : s.first+s.info.Tasks] }

// applyGang takes the outcome of a member's attempt.
func (m *Machine) applyGang(now time.Duration, t *task, r *wire.Result) {
	s := &t.job.steps[t.step]
	if r.Outcome == wire.Succeeded {
		m.gangSucceeded(now, t, r)
		m.settle(now, t.job)
		return
	}
	t.state = taskGathered
	g := s.gang
	switch r.Outcome {
	case wire.NotRun:
		m.gangNotRun(now, t, r.Reason)
	case wire.Failed:
		t.job.ran = true
		g.failed = g.failed || r.Reason == wire.ReasonUpstreamError
		m.stopMembers(s, t.job)
	default: // lost: the others may still succeed
		t.lost = true
		g.retryAt = max(g.retryAt, now+lostRunBound)
	}
	m.regroup(now, t.job, s)
	m.settle(now, t.job)
}

// gangNotRun stops the members that were started: they would wait for this one.
func (m *Machine) gangNotRun(now time.Duration, t *task, reason wire.Reason) {
	m.stats.Refused++
	t.sched.Attempts++
	if reason == wire.ReasonStaleRun {
		t.run += staleRunStep
	}
	delay, ok := m.sched.Retry(now, &t.sched, reason)
	if !ok && !t.job.stored {
		m.drop(t)
		m.endJob(now, t.job, ReasonNoRetry)
		return
	}
	if !ok {
		delay = storedRetry
	}
	s := &t.job.steps[t.step]
	s.gang.retryAt = max(s.gang.retryAt, now+delay)
	m.stopMembers(s, t.job)
}

func (m *Machine) stopMembers(s *step, j *job) {
	members := j.members(s)
	for i := range members {
		if t := &members[i]; t.state == taskSent {
			m.cancelAttempt(t.agent, t.seq)
		}
	}
}

// gangSucceeded ends every member: the end of one stands for all.
func (m *Machine) gangSucceeded(now time.Duration, first *task, r *wire.Result) {
	m.stats.Results++
	j := first.job
	members := j.members(&j.steps[first.step])
	for i := range members {
		t := &members[i]
		switch t.state {
		case taskQueued:
			m.sched.Remove(now, &t.sched)
		case taskBackoff:
			m.retries.Drop(t)
		}
		t.lost = false
		t.ran(r)
	}
	if j.ending {
		return
	}
	j.steps[first.step].left = 0
	m.enqueueAll(now, j)
}

// regroup begins the next run of a gang none of whose members is in flight any
// more, or ends the job if it may not run again.
func (m *Machine) regroup(now time.Duration, j *job, s *step) {
	members := j.members(s)
	run, checkpoint := 0, ""
	for i := range members {
		if members[i].state != taskGathered {
			return
		}
		run = max(run, members[i].run)
		checkpoint = max(checkpoint, members[i].checkpoint) // any member's is good for the gang
	}
	g := s.gang
	if g.failed {
		g.failed = false
		g.failures++
	}
	if g.failures >= j.attempts || !j.stored && j.attempts < 2 && j.ran {
		j.failed = true
		m.endJob(now, j, ReasonTaskFailed)
		return
	}
	for i := range members {
		t := &members[i]
		t.run = run
		t.checkpoint = checkpoint
		t.state = taskBackoff
		t.retryAt = max(now, g.retryAt)
		m.retries.Put(t)
	}
	g.retryAt = 0
}

// resumeGang takes over what is recorded of a gang at its first member.
func (j *job) resumeGang(s *step) {
	members := j.members(s)
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
			j.open--
		}
	}
	s.left = 0
}
