package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Delays after trouble at the upstream. Each doubles up to its maximum and is
// reset by a success.
const (
	probeDelay      = 100 * time.Millisecond // between probes of an unreachable upstream
	maxProbeDelay   = 2 * time.Second
	refusedDelay    = 25 * time.Millisecond // after the upstream itself refused a task
	maxRefusedDelay = time.Second
	// suspectDelay separates the trial runs of a suspect upstream. It exceeds a
	// heartbeat, so every entry sees the failures before the next trial.
	suspectDelay    = time.Second
	maxSuspectDelay = 8 * time.Second
)

// suspectRuns is how many runs must fail in a row before the upstream is
// suspect. With 2, failing jobs made healthy upstreams suspect; with 5 and
// more, an upstream of 8 slots that fails everything cost over 10 tasks.
const suspectRuns = 4

// failureStreak describes the runs that failed since the upstream last proved
// healthy.
type failureStreak struct {
	runs    int
	began   time.Duration // when the first of them started
	first   wire.SubmissionID
	several bool // runs of at least two submissions failed
}

func (s *failureStreak) add(a *attempt) {
	if s.runs == 0 {
		s.first = a.start.Submission
		s.began = a.started
	}
	s.runs++
	s.several = s.several || a.start.Submission != s.first
}

// succeeded ends the streak unless the run started before the streak did: an
// upstream that begins to fail still completes the tasks that it has.
func (s *failureStreak) succeeded(a *attempt) {
	if a.started >= s.began {
		*s = failureStreak{}
	}
}

// suspect says that the upstream seems to fail everything. Failures of one
// submission are not enough: that job may fail everywhere.
func (m *Machine) suspect() bool { return m.streak.several && m.streak.runs >= suspectRuns }

// allowed is the number of tasks that may run at once now. Each failure of a
// streak lowers it by one, even if all are of one submission: otherwise an
// upstream that fails at once would consume the queue before tasks of a second
// submission prove it faulty.
func (m *Machine) allowed() int {
	if m.suspect() {
		return 1
	}
	return max(1, m.limiter.limit()-m.streak.runs)
}

// doubled returns the next delay of a backoff.
func doubled(d, first, most time.Duration) time.Duration {
	return min(max(first, 2*d), most)
}

// observe updates counters, limit and health from one ended run.
func (m *Machine) observe(now time.Duration, a *attempt, e *Finished) {
	switch e.Outcome {
	case wire.Succeeded:
		m.ranWell(now, a, e.Run)
	case wire.NotRun:
		m.upstreamRefused(now, a, e)
	default:
		m.ranBadly(now, a, e)
	}
}

func (m *Machine) ranWell(now time.Duration, a *attempt, run time.Duration) {
	m.successes++
	m.reached()
	m.refusedFor = 0
	m.endStreak(a)
	a.class.observe(run)
	if a.class.inflated() {
		m.limiter.overloaded(now, a.started, float64(m.opts.Slots)/2)
		return
	}
	m.limiter.grow()
}

func (m *Machine) endStreak(a *attempt) {
	was := m.suspect()
	m.streak.succeeded(a)
	if m.suspect() {
		return
	}
	m.holdUntil = 0
	m.suspectFor = 0
	if was {
		m.greetAll()
	}
}

// ranBadly counts a failed run. A run that was stopped by a cancel, for its
// entry's silence or by the task's own deadline says nothing about the upstream's
// health: under overload deadlines pass everywhere.
func (m *Machine) ranBadly(now time.Duration, a *attempt, e *Finished) {
	if e.Reason == wire.ReasonStopped || a.stopping && e.Reason == wire.ReasonRunEnded {
		return
	}
	m.failures++
	if e.Reason == wire.ReasonRunLimit {
		return
	}
	m.reached()
	if overloadStatus(e.Status) {
		m.limiter.overloaded(now, a.started, 1)
	}
	was := m.suspect()
	m.streak.add(a)
	if !m.suspect() {
		return
	}
	if !was || len(m.active) == 0 {
		m.suspectFor = doubled(m.suspectFor, suspectDelay, maxSuspectDelay)
		m.holdUntil = now + m.suspectFor
	}
	m.handBack(wire.ReasonSuspect, everyAttempt)
	m.greetAll()
}

// upstreamRefused handles a run that certainly did not start.
func (m *Machine) upstreamRefused(now time.Duration, a *attempt, e *Finished) {
	switch e.Reason {
	case wire.ReasonUpstreamDown:
		m.unreachable(now)
	case wire.ReasonBusy:
		m.limiter.overloaded(now, a.started, 1)
		m.refusedFor = doubled(m.refusedFor, refusedDelay, maxRefusedDelay)
		m.holdUntil = max(m.holdUntil, now+m.refusedFor)
	}
}

// overloadStatus says whether an HTTP status signals overload.
func overloadStatus(status int) bool { return status == 429 || status == 503 }

func (m *Machine) unreachable(now time.Duration) {
	if m.down {
		return
	}
	m.down = true
	m.probeAt = now
	m.probeFor = 0
	m.handBack(wire.ReasonUpstreamDown, everyAttempt)
	m.greetAll()
	m.probe(now)
}

// reached ends the unreachable state.
func (m *Machine) reached() {
	if m.down {
		m.down = false
		m.greetAll()
	}
}

// probe asks for a connection attempt to an unreachable upstream when one is due.
func (m *Machine) probe(now time.Duration) {
	if !m.down || m.probing || now < m.probeAt {
		return
	}
	m.probing = true
	m.probeFor = doubled(m.probeFor, probeDelay, maxProbeDelay)
	m.emit(Probe{})
}

func (m *Machine) probed(now time.Duration, e Probed) {
	m.probing = false
	m.probeAt = now + m.probeFor
	if e.Reachable {
		m.reached()
	}
}
