package agent

import (
	"math"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Backoff delays after faults of the upstream. Each doubles up to its maximum and
// is reset after the upstream recovers.
const (
	probeDelay      = 100 * time.Millisecond // between probes of an unreachable upstream
	maxProbeDelay   = 2 * time.Second
	refusalDelay    = 25 * time.Millisecond // after the upstream refused a task
	maxRefusalDelay = time.Second
	// suspectDelay is the first interval between trial runs at a suspect upstream.
	// It exceeds the heartbeat interval, so every entry sees the failures before
	// the next trial run.
	suspectDelay    = time.Second
	maxSuspectDelay = 8 * time.Second
)

// suspectRuns is how many runs must fail in a row before the upstream is
// suspect. With 2, failing jobs made healthy upstreams suspect. With 5 or more,
// an upstream with 8 slots that failed every task cost over 10 tasks.
const suspectRuns = 4

// failureStreak describes the consecutive failed runs since the last success that
// showed the upstream to be healthy.
type failureStreak struct {
	failures            int
	firstStarted        time.Duration // when the first of them started
	firstSubmission     wire.SubmissionID
	multipleSubmissions bool          // runs of at least two submissions failed
	changedAt           time.Duration // when the last of them failed, or one was forgotten
}

func (s *failureStreak) add(now time.Duration, a *attempt) {
	s.changedAt = now
	if s.failures == 0 {
		s.firstSubmission = a.start.Submission
		s.firstStarted = a.started
	}
	s.failures++
	s.multipleSubmissions = s.multipleSubmissions || a.start.Submission != s.firstSubmission
}

// forget forgets one failure for each limitRecoveryTime in which no run failed: the task that
// waits may need more than the runs that are still allowed, so that no success would come.
// Failures beyond slots count once, since they lower the allowed runs no further.
func (s *failureStreak) forget(now time.Duration, slots int) {
	if s.failures == 0 || now-s.changedAt < limitRecoveryTime {
		return
	}
	s.failures = min(s.failures, slots) - 1
	s.changedAt = now
	if s.failures == 0 {
		*s = failureStreak{}
	}
}

// succeeded ends the streak unless the run started before it: an upstream that
// begins to fail may still complete the tasks that it is running.
func (s *failureStreak) succeeded(a *attempt) {
	if a.started >= s.firstStarted {
		*s = failureStreak{}
	}
}

// suspect reports whether the upstream seems to fail every task. Failures of one
// submission are not sufficient: that job may fail at every upstream.
func (m *Machine) suspect() bool {
	return m.streak.multipleSubmissions && m.streak.failures >= suspectRuns
}

// allowedRuns returns the number of slots that may be used at once now. Each failure of a
// streak lowers it by one, even if all belong to one submission: otherwise an upstream that
// fails immediately would consume the queue before tasks of a second submission show it to
// be faulty. One run is allowed beside those that are standing, because the limit rises only
// with a success and these may never end.
func (m *Machine) allowedRuns(now time.Duration) int {
	limit := m.limiter.limit()
	if m.streak.failures == 0 {
		return limit
	}
	allowed := limit - m.streak.failures
	if m.suspect() {
		allowed = 1
	}
	return max(1, min(limit, max(allowed, m.standingSlots(now)+1)))
}

// standingTime is how long a run must be at work until it counts as standing.
const standingTime = 2 * time.Second

func (a *attempt) standing(now time.Duration) bool { return now-a.started >= standingTime }

// standingSlots returns how many slots the standing runs use, rounded up.
func (m *Machine) standingSlots(now time.Duration) int {
	slots := 0.0
	for _, a := range m.active {
		if a.standing(now) {
			slots += a.slots
		}
	}
	return int(math.Ceil(slots - slotTolerance))
}

// allStanding reports whether every run is standing.
func (m *Machine) allStanding(now time.Duration) bool {
	return !slices.ContainsFunc(m.active, func(a *attempt) bool { return !a.standing(now) })
}

// nextBackoff returns the next delay of an exponential backoff.
func nextBackoff(d, first, limit time.Duration) time.Duration {
	return min(max(first, 2*d), limit)
}

// observe updates the counters, the concurrency limit and the health state after a
// run.
func (m *Machine) observe(now time.Duration, a *attempt, e *Finished) {
	switch e.Outcome {
	case wire.Succeeded:
		m.runSucceeded(now, a, e.RunTime)
	case wire.NotRun:
		m.upstreamRefused(now, a, e)
	default:
		m.runFailed(now, a, e)
	}
}

func (m *Machine) runSucceeded(now time.Duration, a *attempt, run time.Duration) {
	m.successes++
	m.reachable()
	m.refusalBackoff = 0
	m.endStreak(a)
	a.class.observe(run)
	if a.class.inflated() {
		m.limiter.decrease(now, a.started, float64(m.opts.Slots)/2)
		return
	}
	m.limiter.increase()
}

func (m *Machine) endStreak(a *attempt) {
	wasSuspect := m.suspect()
	m.streak.succeeded(a)
	if m.suspect() {
		return
	}
	m.pausedUntil = 0
	m.suspectBackoff = 0
	if wasSuspect {
		m.heartbeatAll()
	}
}

// runFailed counts a failed run. A run that was stopped by a cancel, because its
// entry was unresponsive or at the task's own deadline says nothing about the
// health of the upstream: under overload, deadlines pass everywhere.
func (m *Machine) runFailed(now time.Duration, a *attempt, e *Finished) {
	ended := e.Reason == wire.ReasonRunEnded || e.Reason == wire.ReasonWorkerCrashed
	if e.Reason == wire.ReasonStopped || a.stopping && ended {
		return
	}
	if e.Reason == wire.ReasonWorkerCrashed {
		m.unreachable(now)
		return
	}
	m.failures++
	if e.Reason == wire.ReasonRunLimit {
		return
	}
	m.reachable()
	if overloadStatus(e.Status) {
		m.limiter.decrease(now, a.started, 1)
	}
	wasSuspect := m.suspect()
	m.streak.add(now, a)
	if !m.suspect() {
		return
	}
	if !wasSuspect || m.allStanding(now) {
		m.suspectBackoff = nextBackoff(m.suspectBackoff, suspectDelay, maxSuspectDelay)
		m.pausedUntil = now + m.suspectBackoff
	}
	m.returnQueued(wire.ReasonSuspect, allAttempts)
	m.heartbeatAll()
}

// upstreamRefused handles a run that the upstream did not start.
func (m *Machine) upstreamRefused(now time.Duration, a *attempt, e *Finished) {
	switch e.Reason {
	case wire.ReasonUpstreamDown:
		m.unreachable(now)
	case wire.ReasonBusy:
		m.limiter.decrease(now, a.started, 1)
		m.refusalBackoff = nextBackoff(m.refusalBackoff, refusalDelay, maxRefusalDelay)
		m.pausedUntil = max(m.pausedUntil, now+m.refusalBackoff)
	}
}

// overloadStatus reports whether an HTTP status signals overload.
func overloadStatus(status int) bool { return status == 429 || status == 503 }

// unreachable marks the upstream as unreachable and starts probing it. It is not a
// failure of the upstream's health: the entries see that it is down.
func (m *Machine) unreachable(now time.Duration) {
	if m.down {
		return
	}
	m.down = true
	m.probeAt = now
	m.probeBackoff = 0
	m.returnQueued(wire.ReasonUpstreamDown, allAttempts)
	m.heartbeatAll()
	m.probe(now)
}

// reachable marks the upstream as reachable.
func (m *Machine) reachable() {
	if m.down {
		m.down = false
		m.heartbeatAll()
	}
}

// probe emits a Probe if the upstream is unreachable and the next probe is due.
func (m *Machine) probe(now time.Duration) {
	if !m.down || m.probing || now < m.probeAt {
		return
	}
	m.probing = true
	m.probeBackoff = nextBackoff(m.probeBackoff, probeDelay, maxProbeDelay)
	m.emit(Probe{})
}

func (m *Machine) probed(now time.Duration, e Probed) {
	m.probing = false
	m.probeAt = now + m.probeBackoff
	if e.Reachable {
		m.reachable()
	}
}
