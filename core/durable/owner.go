package durable

import (
	"cmp"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// submit records a job unless it is recorded already.
func (m *Machine) submit(now time.Duration, e Submit) {
	if m.jobs[e.Spec.ID] != nil {
		m.emit(Reply{Token: e.Token, Verdict: Stored})
		return
	}
	if first, ok := m.pending[e.Spec.ID]; ok {
		m.followers[first] = append(m.followers[first], e.Token)
		return
	}
	switch {
	case !m.loaded || m.leaving || m.superseded || m.silent(now) || now < m.refusedTo:
		m.emit(Reply{Token: e.Token, Verdict: Unavailable})
		return
	case m.own+len(m.pending) >= m.opts.MaxJobs:
		m.emit(Reply{Token: e.Token, Verdict: Full})
		return
	}
	m.pending[e.Spec.ID] = e.Token
	key := acceptedKey(e.Spec.ID, m.opts.Self.Incarnation)
	m.requests = append(m.requests, request{token: e.Token, record: encode(key, accepted{By: m.opts.Self, Spec: e.Spec})})
}

// silent reports whether the log does not answer.
func (m *Machine) silent(now time.Duration) bool {
	return m.inFlight != nil && now-m.inFlight.sentAt > silentLog
}

// answerCancels records the cancellation of jobs in the view. One that is not
// in the view may have been accepted a moment ago by another process: it is
// unknown only to a view that is newer than the request.
func (m *Machine) answerCancels(now time.Duration) {
	if len(m.cancels) == 0 {
		return
	}
	rest := m.cancels[:0]
	for _, c := range m.cancels {
		if !m.answerCancel(now, c) {
			rest = append(rest, c)
		}
	}
	m.cancels = rest
}

func (m *Machine) answerCancel(now time.Duration, c waitingCancel) bool {
	j := m.jobs[c.Job]
	switch {
	case m.superseded || m.left || m.silent(now) || now < m.refusedTo:
		m.emit(Reply{Token: c.Token, Verdict: Unavailable})
	case j == nil && m.asked <= c.at:
		return false
	case j == nil:
		m.emit(Reply{Token: c.Token, Verdict: Unknown})
	case j.cancelled || j.state.Final():
		m.emit(Reply{Token: c.Token, Verdict: Stored})
	default:
		m.requests = append(m.requests, request{token: c.Token, record: encode(cancelKey(c.Job), cancel{By: m.opts.Self})})
	}
	return true
}

// taskBegan notes that a job is no longer waiting for its first start.
func (m *Machine) taskBegan(id string) {
	if j := m.jobs[id]; j != nil && j.driving && j.state == Queued && j.next < Running {
		j.next = Running
		m.touch(j)
	}
}

// taskEnded counts the end of a run, or keeps it for the job's owner to come.
func (m *Machine) taskEnded(now time.Duration, e TaskEnded) {
	j := m.jobs[e.End.Run.Job]
	switch {
	case e.Late:
		m.void(e)
	case j == nil:
		m.strays = append(m.strays, stray{at: now, event: e})
	case j.state.Final() || j.spec == nil:
		m.settleOf(j, e)
	case !m.mine(j):
		j.reported = append(j.reported, e)
	default:
		m.note(j, e)
	}
}

// answerStrays settles the ends of jobs that a view newer than the news does not
// hold: they were never recorded, or removed long ago.
func (m *Machine) answerStrays(now time.Duration) {
	strays := m.strays
	m.strays = nil
	for _, s := range strays {
		switch {
		case m.jobs[s.event.End.Run.Job] != nil:
			m.taskEnded(now, s.event)
		case m.asked > s.at:
			m.settle(s.event)
		default:
			m.strays = append(m.strays, s)
		}
	}
}

func (m *Machine) settle(e TaskEnded) {
	m.emit(Settle{Agent: e.Agent, Runs: []wire.RunRef{e.End.Run}})
}

// note counts an end in the job's progress. It is settled once that is recorded.
func (m *Machine) note(j *job, e TaskEnded) {
	run := e.End.Run
	i := j.index(run)
	switch {
	case i < 0: // of no task of this job
		m.settle(e)
		return
	case j.tooLate(&j.tasks[i], run.Run):
		m.void(e)
		return
	}
	if t := &j.tasks[i]; run.Run > t.run {
		t.run = run.Run
		t.Done = !e.End.Failed
		if e.End.Failed {
			t.Failures++
			t.Checkpoint = cmp.Or(e.End.Checkpoint, t.Checkpoint)
		}
	}
	j.settles = append(j.settles, e)
	m.touch(j)
}

// tooLate reports whether the task was started again before the end of the run
// was told of.
func (j *job) tooLate(t *task, run int) bool {
	return run < t.run || j.driving && !t.Done && run != t.run && run <= j.driven
}

// settleOf settles or voids the end of a run of a job that has ended.
func (m *Machine) settleOf(j *job, e TaskEnded) {
	if i := j.index(e.End.Run); i >= 0 && e.End.Run.Run != j.tasks[i].run {
		m.void(e)
		return
	}
	m.settle(e)
}

func (m *Machine) void(e TaskEnded) {
	m.emit(Settle{Agent: e.Agent, Runs: []wire.RunRef{e.End.Run}, Void: true})
}

// touch has the job's status recorded with the next append.
func (m *Machine) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		m.dirty = append(m.dirty, j)
	}
}

// ended takes the end of a drive. What has neither succeeded nor failed for good
// waits to be driven again.
func (m *Machine) ended(now time.Duration, e Ended) {
	j := m.jobs[e.Job]
	if j == nil || !j.driving {
		return
	}
	j.driving, j.halting = false, false
	m.driving--
	m.reportLeft()
	if j.state.Final() || !m.mine(j) {
		return
	}
	switch {
	case e.Outcome == entry.Complete:
		m.finish(j, Completed)
	case j.cancelled:
		m.finish(j, Cancelled)
	case e.Outcome == entry.Failed && e.Reason == entry.ReasonTaskFailed:
		m.finish(j, Failed)
	default:
		j.freeAt = now + redriveDelay
		m.wait(j)
	}
}

// finish records the job's last state.
func (m *Machine) finish(j *job, s State) {
	j.next = s
	m.touch(j)
}

// leave halts every job; once all have ended, that is recorded, so that other
// processes take them over without waiting for the lease.
func (m *Machine) leave() {
	m.leaving = true
	m.reportLeft()
}

func (m *Machine) reportLeft() {
	if !m.leaving || m.left || m.driving > 0 || m.inFlight != nil {
		return
	}
	if m.own == 0 || m.superseded {
		m.left = true
		m.emit(Left{})
	}
}
