package policy

import (
	"math"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// ejectStreak is the least number of failures in a row before ejection.
	ejectStreak = 3
	// ejectChance is the probability, given the peers' failure share, below
	// which a streak is taken for a fault of the agent.
	ejectChance = 1e-5
	// failureFloor is the failure share that is assumed at least.
	failureFloor = 0.02
	// classSuccessFloor: a failure in a class that fails more often than this
	// everywhere says nothing about the agent.
	classSuccessFloor = 0.5
	ejectLimit        = 3 // agents ejected at once, one rack's worth
	ejectDivisor      = 3 // at most a third of the agents
	ejectBase         = 2 * time.Second
	ejectCeiling      = time.Minute
	downBase          = 100 * time.Millisecond
	downCeiling       = 5 * time.Second
	rampStep          = 2 // tasks in flight gained by each success of a slow start
	rampEnd           = 16
	faultyAgents      = 2 // a job that failed on as many agents with no success is faulty
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
	known     bool // a load report was seen
	successes uint64
	failures  uint64
	streak    int // failures since the last success, all entries
	excused   int // of these, failures blamed on faulty jobs
	blamed    int // own failures blamed on the agent since its last success
	ramp      int // successes counted towards the end of a slow start

	ejected   bool
	ejections int
	probeAt   time.Duration // when a probe may be sent
	probing   bool

	down      bool // refuses connections or limits starts
	downs     int
	downUntil time.Duration
}

// observe takes the counters of a load report.
func (h *health) observe(load *wire.Load) {
	if !h.known || load.Successes < h.successes || load.Failures < h.failures {
		h.known = true
		h.successes, h.failures = load.Successes, load.Failures
		if load.Successes > 0 {
			h.ramp = rampEnd
			return
		}
		h.streak = int(min(load.Failures, math.MaxInt32))
		return
	}
	good, bad := load.Successes-h.successes, load.Failures-h.failures
	h.successes, h.failures = load.Successes, load.Failures
	if good > 0 {
		h.succeeded(int(min(good, rampEnd)))
		return
	}
	h.streak += int(min(bad, math.MaxInt16))
	if bad > 0 {
		h.ramp = 0
	}
}

func (h *health) succeeded(n int) {
	h.streak, h.excused, h.blamed = 0, 0, 0
	h.ramp = min(h.ramp+n, rampEnd)
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
	case h.down:
		if now >= h.downUntil {
			return 1
		}
		return 0
	case h.suspicion() > 0:
		return 1
	case h.ramp < rampEnd:
		return 1 + rampStep*h.ramp
	}
	return math.MaxInt32
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
	h.probing = false
	h.probeAt = now + grow(ejectBase, ejectCeiling, h.ejections, random)
	h.ejections++
}

// readmit ends an ejection; the slow start begins again.
func (h *health) readmit() {
	h.ejected = false
	h.probing = false
	h.ramp = 1
}

// grow returns base doubled n times, at most ceiling, with jitter of a half.
func grow(base, ceiling time.Duration, n int, random float64) time.Duration {
	d := min(base<<min(n, 20), ceiling)
	return time.Duration(float64(d) * (1 + random/2))
}

// guilty reports whether the streak is too unlikely for a healthy agent whose
// peers fail the given share of their tasks.
func (h *health) guilty(peerFailures float64) bool {
	n := h.suspicion()
	if h.blamed == 0 || n < ejectStreak {
		return false
	}
	return math.Pow(max(peerFailures, failureFloor), float64(n)) < ejectChance
}

// mayEject reports whether one more of total agents may be ejected.
func mayEject(ejected, total int) bool {
	return ejected < ejectLimit && (ejected+1)*ejectDivisor <= total && ejected+1 < total
}

// agentFault reports whether a failed outcome may be a fault of the agent.
func agentFault(r *wire.Result) bool {
	switch r.Outcome {
	case wire.Failed:
		return r.Reason != wire.ReasonStopped
	case wire.Unknown:
		return r.Reason == wire.ReasonConnectionLost
	}
	return false
}
