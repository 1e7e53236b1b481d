package policy

import (
	"math"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// ejectStreak is the least number of failures in a row before ejection.
	ejectStreak = 3
	// failingPeerWeight is the number of failures by which the square of the
	// number of peers that failed within failureMemory raises ejectStreak: two
	// agents may well be faulty at once, but six of eleven are not.
	failingPeerWeight = 2
	failureMemory     = 20 * time.Second
	// ejectChance is the probability, given the peers' failure share, below
	// which a streak is taken for a fault of the agent.
	ejectChance = 1e-5
	// holdStreak and holdChance are the same for a hold, which costs little if
	// it is wrong.
	holdStreak = 2
	holdChance = 1e-3
	// limitChance is the same for a limit to one attempt at a time.
	limitChance = 0.02
	// failureFloor is the failure share that is assumed at least.
	failureFloor = 0.02
	// classSuccessFloor: a failure in a class that fails more often than this
	// everywhere says nothing about the agent.
	classSuccessFloor = 0.5
	ejectLimit        = 3 // agents ejected at once, one rack's worth
	ejectDivisor      = 3 // at most a third of the agents
	ejectBase         = 2 * time.Second
	ejectCeiling      = time.Minute
	// holdPeriod separates suspicion and ejection. It exceeds a heartbeat, so
	// that the peers' counters are current when the agent is judged.
	holdPeriod   = 600 * time.Millisecond
	downBase     = time.Second // the agent reports when its upstream is back
	downCeiling  = 10 * time.Second
	rampStep     = 2 // tasks in flight gained by each success of a slow start
	rampEnd      = 16
	faultyAgents = 2 // a job that failed on as many agents with no success is faulty
)

// failure counts the failed tasks of a job at one agent.
type failure struct {
	agent *agentState
	tasks int
}

// health is what the scheduler concludes about one agent from outcomes. The
// counters in its load report cover all entries, so an entry learns of
// failures that its own tasks did not see.
type health struct {
	known     bool  // a load report was seen
	outcomes  ratio // recent, all entries
	successes uint64
	failures  uint64
	streak    int // failures since the agent last proved healthy, all entries
	excused   int // of these, failures blamed on faulty jobs
	blamed    int // own failures blamed on the agent since then
	failedAt  time.Duration
	first     int  // tasks that ran beside the first failure of the streak
	beside    int  // tasks that ran beside the last failure
	since     int  // successes since the last failure, all entries
	mixed     int  // successes since the first failure of the streak
	ramp      int  // successes counted towards the end of a slow start
	failing   bool // an own task failed since then
	limited   bool // the failures are unlikely by chance: one attempt at a time

	heldAt    time.Duration
	held      bool // no starts until the agent is judged
	ejected   bool
	ejectedAt time.Duration
	ejections int
	probeAt   time.Duration // when a probe may be sent
	probing   bool

	down      bool // refuses connections or limits starts
	downs     int
	downUntil time.Duration
}

// observe takes the counters of a load report.
func (h *health) observe(now time.Duration, load *wire.Load) (good, bad uint64) {
	if !h.known || load.Successes < h.successes || load.Failures < h.failures {
		h.known = true
		h.successes, h.failures = load.Successes, load.Failures
		if load.Successes > 0 {
			h.ramp = rampEnd
			return 0, 0
		}
		h.failed(now, load.Failures, load.Running)
		return 0, 0
	}
	good, bad = load.Successes-h.successes, load.Failures-h.failures
	h.successes, h.failures = load.Successes, load.Failures
	h.outcomes.addCounts(good, bad)
	h.failed(now, bad, load.Running)
	if good > 0 && bad == 0 { // with failures, their order is not known
		h.succeeded(int(min(good, math.MaxInt16)))
	}
	return good, bad
}

func (h *health) failed(now time.Duration, n uint64, running int) {
	if n == 0 {
		return
	}
	if h.streak == 0 {
		h.first = running
		h.mixed = 0
	}
	h.streak += int(min(n, math.MaxInt16))
	h.failedAt = now
	h.beside = running
	h.since = 0
}

// succeeded counts reported successes. They end a streak only once every task
// that ran beside the last failure must have been replaced: an upstream that
// begins to fail still completes the tasks that it started before.
func (h *health) succeeded(n int) {
	h.since += n
	h.mixed += n
	if h.streak > 0 && h.since <= h.beside {
		return
	}
	if h.streak > 0 {
		h.clear()
	}
	h.ramp = min(h.ramp+n, rampEnd)
}

// proven records the success of an own attempt sent at the given time.
func (h *health) proven(sentAt time.Duration) bool {
	if sentAt <= h.failedAt && h.streak > 0 {
		return false
	}
	h.clear()
	return true
}

func (h *health) clear() {
	h.streak, h.excused, h.blamed, h.since, h.mixed = 0, 0, 0, 0, 0
	h.failing, h.limited = false, false
}

// suspicion is the number of failures in a row that no faulty job explains.
func (h *health) suspicion() int { return max(0, h.streak-h.excused) }

// cap returns the number of own attempts that may be in flight.
func (h *health) cap(now time.Duration) int {
	switch {
	case h.ejected:
		if now >= h.probeAt {
			return 1
		}
		return 0
	case h.held && now < h.heldAt+2*holdPeriod:
		return 0
	case h.down:
		if now >= h.downUntil {
			return 1
		}
		return 0
	case h.limited:
		return 1
	case h.ramp < rampEnd:
		return 1 + rampStep*h.ramp
	}
	return math.MaxInt32
}

// gangCap returns the number of own attempts that may be in flight when a gang is
// placed. A gang cannot be tried in part, so where nothing but gangs waits, an agent
// that may be given one task would never prove itself: it takes what fits, at once
// if it only has not succeeded yet, after the gang's patience if there are doubts.
func (h *health) gangCap(now time.Duration, impatient bool) int {
	n := h.cap(now)
	doubted := h.ejected || h.down || h.limited
	if n > 0 && (impatient || !doubted) {
		return math.MaxInt32
	}
	return n
}

// markDown keeps starts away for a growing time.
func (h *health) markDown(now time.Duration, random float64) {
	if h.down && now < h.downUntil {
		return
	}
	h.down = true
	h.downUntil = now + grow(downBase, downCeiling, h.downs, random)
	h.downs++
}

func (h *health) markUp() {
	h.down = false
	h.downs = 0
}

// eject keeps starts away until the next probe.
func (h *health) eject(now time.Duration, random float64) {
	h.ejected = true
	h.ejectedAt = now
	h.postpone(now, random)
}

// postpone sets the time of the next probe, later after each failure.
func (h *health) postpone(now time.Duration, random float64) {
	h.probing = false
	h.probeAt = now + grow(ejectBase, ejectCeiling, h.ejections, random)
	h.ejections++
}

// readmit ends an ejection; the slow start begins again.
func (h *health) readmit() {
	h.ejected = false
	h.probing = false
	h.ramp = 1
	h.ejections = max(h.ejections-1, 0)
}

// grow returns base doubled n times, at most ceiling, with jitter of a half.
func grow(base, ceiling time.Duration, n int, random float64) time.Duration {
	d := min(base<<min(n, 20), ceiling)
	return time.Duration(float64(d) * (1 + random/2))
}

// weigh decides whether starts are limited, given the share of tasks that fail
// at all agents together.
func (h *health) weigh(failures float64) {
	chance := math.Pow(max(failures, failureFloor), float64(h.suspicion()))
	// Without an own failure, those of faulty jobs and passed deadlines at
	// other entries may explain the counters.
	h.limited = h.failing && chance <= limitChance || chance < ejectChance
	if h.limited {
		h.ramp = 0
	}
}

// guilty reports whether the streak is too unlikely for a healthy agent, given
// the share of tasks that fail at its peers and the number of peers that had a
// failure lately. Several failing peers point to faulty jobs, which this entry
// cannot tell from a faulty agent when another entry accepted them.
func (h *health) guilty(peerFailures float64, failingPeers, streak int, limit float64) bool {
	n := h.suspicion()
	need := streak + failingPeerWeight*failingPeers*failingPeers + max(0, h.mixed-h.first)
	if h.blamed == 0 || n < need {
		return false
	}
	return math.Pow(max(peerFailures, failureFloor), float64(n)) < limit
}

// mayEject reports whether one more of total agents may be ejected.
func mayEject(ejected, total int) bool {
	return ejected < ejectLimit && (ejected+1)*ejectDivisor <= total && ejected+1 < total
}

// agentFault reports whether a failed outcome may be a fault of the agent.
func agentFault(r *wire.Result) bool {
	switch r.Outcome {
	case wire.Failed:
		return r.Reason != wire.ReasonStopped && r.Reason != wire.ReasonRunEnded
	case wire.Unknown:
		return r.Reason == wire.ReasonConnectionLost
	}
	return false
}
