package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// storedRetry is the delay of a start of a stored job that the scheduler's
	// retry rule would give up.
	storedRetry = 200 * time.Millisecond
	// lostRunBound is how long after an agent was given up its runs of stored jobs
	// may still go on: the agent stops them 0.5 s after the last sign of this
	// entry, and if it fails as well they end with their lease, 0.72 s later.
	// Options.AgentLease has passed of it.
	lostRunBound = time.Second
)

// storedResult takes the outcome of an attempt of a stored job. What tells of
// the task is recorded; an attempt that is lost is repeated once its run must
// have ended.
func (m *Machine) storedResult(now time.Duration, link *agentLink, t *task, r *wire.Result) {
	if t.job.lasting && !t.job.ending && (r.Outcome == wire.Succeeded || r.Outcome == wire.Failed) {
		m.startAgain(now, t)
		return
	}
	failed := r.Outcome == wire.Failed && r.Reason == wire.ReasonUpstreamError
	if r.Outcome == wire.Succeeded || failed {
		m.emit(TaskEnded{Agent: link.agent, End: wire.RunEnd{Run: t.ref(), Failed: failed}})
	}
	if r.Outcome == wire.Unknown {
		t.state = taskBackoff
		t.lost = true
		t.retryAt = now + lostRunBound
		m.retries.Put(t)
		return
	}
	m.apply(now, t, r)
}

// endUnleased ends the stored jobs in progress once the lease on them is over.
func (m *Machine) endUnleased(now time.Duration) {
	if m.stored == 0 || now < m.storedUntil {
		return
	}
	var over []*job
	for _, j := range m.jobs {
		if j.stored && !j.ending {
			over = append(over, j)
		}
	}
	slices.SortFunc(over, func(a, b *job) int { return strings.Compare(a.name, b.name) })
	for _, j := range over {
		m.cancelJob(now, j, ReasonCancelled)
	}
}

// startAgain repeats a task of a lasting job, whose end says nothing of the job.
// The delay bounds the starts of one that fails at once, again and again.
func (m *Machine) startAgain(now time.Duration, t *task) {
	t.state = taskBackoff
	t.retryAt = now + storedRetry
	m.retries.Put(t)
}

// ref names the task's current run.
func (t *task) ref() wire.RunRef {
	j := t.job
	return wire.RunRef{Job: j.name, Step: t.step, Index: t.sched.Index - j.steps[t.step].first, Run: t.run}
}

// settled tells an agent which ends it need not keep. Without a link nothing is
// sent: the agent tells of its kept ends when it connects again.
func (m *Machine) settled(e Settled) {
	link := m.agents[e.Agent]
	if link == nil || !link.up {
		return
	}
	if e.Void {
		link.out.Voided = append(link.out.Voided, e.Runs...)
	} else {
		link.out.Settled = append(link.out.Settled, e.Runs...)
	}
	m.touch(link)
}

// adoptEnds applies ends that an agent kept to attempts that are in doubt at an
// earlier incarnation of it, and passes all on.
func (m *Machine) adoptEnds(now time.Duration, link *agentLink, ends []wire.RunEnd) {
	for _, end := range ends {
		if older, seq, ok := m.attemptOf(link, end.Run); ok {
			m.result(now, older, endResult(seq, end))
		}
		m.emit(TaskEnded{Agent: link.agent, End: end})
	}
}

// attemptOf finds the attempt of a run at an earlier incarnation of the agent.
func (m *Machine) attemptOf(link *agentLink, run wire.RunRef) (older *agentLink, seq wire.Seq, ok bool) {
	for _, l := range m.agentList {
		if l == link || l.name != link.name {
			continue
		}
		l.attempts.each(func(s wire.Seq, t *task) {
			if t.job.stored && t.state == taskSent && t.ref() == run {
				older, seq, ok = l, s, true
			}
		})
	}
	return older, seq, ok
}

func endResult(seq wire.Seq, end wire.RunEnd) *wire.Result {
	if end.Failed {
		return &wire.Result{Seq: seq, Outcome: wire.Failed, Reason: wire.ReasonUpstreamError}
	}
	return &wire.Result{Seq: seq, Outcome: wire.Succeeded}
}
