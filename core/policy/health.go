package policy

import (
	"math"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// ejectStreak is the minimum number of consecutive failures before ejection.
	ejectStreak = 3
	// failingPeerWeight, times the square of the number of peers that failed within
	// recentFailurePeriod, is added to the failures required: two agents may be
	// faulty at the same time, but six of eleven are unlikely to be.
	failingPeerWeight   = 2
	recentFailurePeriod = 20 * time.Second
	// ejectProbability: an agent is ejected if its consecutive failures have a lower
	// probability than this, given the failure share of its peers.
	ejectProbability = 1e-5
	// suspendStreak and suspendProbability are the same limits for a suspension,
	// which costs little if the agent turns out to be healthy.
	suspendStreak      = 2
	suspendProbability = 1e-3
	// limitProbability is the same limit for allowing only one attempt at a time.
	limitProbability = 0.02
	// minFailureShare is the lower bound of the failure share that is assumed.
	minFailureShare = 0.02
	// minClassSuccess: if the success share of a class is lower than this at all
	// agents together, its failures are not evidence against an agent.
	minClassSuccess = 0.5
	maxEjected      = 3 // agents suspended or ejected at the same time, about one rack
	ejectDivisor    = 3 // at most a third of the agents
	minTrialDelay   = 2 * time.Second
	maxTrialDelay   = time.Minute
	// suspendPeriod is the time from suspension to ejection. It is longer than the
	// heartbeat interval, so that the peers' counters are current for the decision.
	suspendPeriod   = 600 * time.Millisecond
	minDownDelay    = time.Second // the agent reports when its upstream is available again
	maxDownDelay    = 10 * time.Second
	rampStep        = 2  // additional attempts in flight for each success during slow start
	rampSuccesses   = 16 // successes that end a slow start
	faultyJobAgents = 2  // a job that failed on at least this many agents and succeeded on none is faulty
)

// failure is the number of failed tasks of a job at one agent.
type failure struct {
	agent *agentState
	tasks int
}

// health is the state of one agent, derived from the results of tasks. The counters
// in the agent's load reports cover all entries, so an entry also learns of failures
// of other entries' tasks.
type health struct {
	reported            bool          // a load report was received
	outcomes            ratio         // recent tasks of all entries
	successes           uint64        // counter of the last load report
	failures            uint64        // counter of the last load report
	streak              int           // failures of all entries since the agent last proved healthy
	unattributed        int           // of these, failures not attributed to the agent
	attributed          int           // jobs of this entry whose failures since then were attributed to the agent
	failedAt            time.Duration // process time of the last report of failures
	runningAtFirst      int           // tasks running at the first failure of the streak
	runningAtLast       int           // tasks running at the last failure
	successesSinceLast  int           // successes of all entries since the last failure
	successesSinceFirst int           // successes of all entries since the first failure of the streak
	ramp                int           // successes counted in slow start
	ownFailure          bool          // a task of this entry failed since the agent last proved healthy
	limited             bool          // one attempt at a time, since the failures are unlikely to be random

	suspendedAt time.Duration
	suspended   bool // no starts until the agent is ejected or cleared
	ejected     bool
	ejectedAt   time.Duration
	ejections   int           // exponent of the delay before the next trial
	trialAt     time.Duration // earliest time of the next trial, a single task that tests an ejected agent
	scheduledAt time.Duration // when trialAt was set
	onTrial     bool          // a trial was sent and its result is not known yet

	down      bool // the upstream is unreachable, or the agent limits starts
	downs     int  // calls of markDown since the last markUp
	downUntil time.Duration
}

// observe applies the counters of a load report and returns the new successes and
// failures.
func (h *health) observe(now time.Duration, load *wire.Load) (successes, failures uint64) {
	if !h.reported || load.Successes < h.successes || load.Failures < h.failures {
		// On the first report, or after the counters restarted, there is no earlier
		// value to subtract. An agent that has completed tasks needs no slow start.
		h.reported = true
		h.successes, h.failures = load.Successes, load.Failures
		if load.Successes > 0 {
			h.ramp = rampSuccesses
			return 0, 0
		}
		h.recordFailures(now, load.Failures, load.Running)
		return 0, 0
	}
	successes, failures = load.Successes-h.successes, load.Failures-h.failures
	h.successes, h.failures = load.Successes, load.Failures
	h.outcomes.addCounts(successes, failures)
	h.recordFailures(now, failures, load.Running)
	// With failures in the same report, the order of the results is unknown.
	if successes > 0 && failures == 0 {
		h.recordSuccesses(int(min(successes, math.MaxInt16)))
	}
	return successes, failures
}

// recordFailures counts n reported failures.
func (h *health) recordFailures(now time.Duration, n uint64, running int) {
	if n == 0 {
		return
	}
	if h.streak == 0 {
		h.runningAtFirst = running
		h.successesSinceFirst = 0
	}
	h.streak += int(min(n, math.MaxInt16))
	h.failedAt = now
	h.runningAtLast = running
	h.successesSinceLast = 0
}

// recordSuccesses counts n reported successes. They end a streak only after more
// successes than tasks were running at the last failure: an upstream that begins to
// fail still completes tasks that it started before.
func (h *health) recordSuccesses(n int) {
	h.successesSinceLast += n
	h.successesSinceFirst += n
	if h.streak > 0 && h.successesSinceLast <= h.runningAtLast {
		return
	}
	if h.streak > 0 {
		h.resetStreak()
	}
	h.ramp = min(h.ramp+n, rampSuccesses)
}

// recordOwnSuccess records the success of an attempt of this entry that was sent at
// sentAt, and reports whether it shows that the agent is healthy: an attempt sent
// before the last failure of a streak does not.
func (h *health) recordOwnSuccess(sentAt time.Duration) bool {
	if sentAt <= h.failedAt && h.streak > 0 {
		return false
	}
	h.resetStreak()
	return true
}

func (h *health) resetStreak() {
	h.streak, h.unattributed, h.attributed, h.successesSinceLast, h.successesSinceFirst = 0, 0, 0, 0, 0
	h.ownFailure, h.limited = false, false
}

// unexplainedFailures returns the number of consecutive failures that are not
// attributed to other causes than the agent.
func (h *health) unexplainedFailures() int { return max(0, h.streak-h.unattributed) }

// maxInFlight returns how many attempts of this entry may be in flight, without those that
// are standing.
func (h *health) maxInFlight(now time.Duration) int {
	switch {
	case h.ejected:
		if now >= h.trialAt {
			return 1
		}
		return 0
	case h.suspended && now < h.suspendedAt+2*suspendPeriod:
		return 0
	case h.down:
		if now >= h.downUntil {
			return 1
		}
		return 0
	case h.limited:
		return 1
	case h.ramp < rampSuccesses:
		return 1 + rampStep*h.ramp
	}
	return math.MaxInt32
}

// gangMaxInFlight returns how many attempts of this entry may be in flight when a
// gang is placed. A gang cannot be placed in part, so if only gangs wait, an agent
// that is limited to a few tasks would never prove healthy. Such an agent takes as
// many tasks as fit: at once if it is in slow start; if it is ejected, down or
// limited, only after the gang was blocked for gangHoldBackDelay.
func (h *health) gangMaxInFlight(now time.Duration, overdue bool) int {
	n := h.maxInFlight(now)
	suspect := h.ejected || h.down || h.limited
	if n > 0 && (overdue || !suspect) {
		return math.MaxInt32
	}
	return n
}

// markDown stops starts to the agent for a time that doubles with each call until
// markUp. It has no effect while such a time runs.
func (h *health) markDown(now time.Duration, random float64) {
	if h.down && now < h.downUntil {
		return
	}
	h.down = true
	h.downUntil = now + expBackoff(minDownDelay, maxDownDelay, h.downs, random)
	h.downs++
}

func (h *health) markUp() {
	h.down = false
	h.downs = 0
}

// eject stops starts to the agent until the next trial.
func (h *health) eject(now time.Duration, random float64) {
	h.ejected = true
	h.ejectedAt = now
	h.scheduleTrial(now, random)
}

// scheduleTrial sets the time of the next trial, with exponential backoff.
func (h *health) scheduleTrial(now time.Duration, random float64) {
	h.onTrial = false
	h.scheduledAt = now
	h.trialAt = now + expBackoff(minTrialDelay, maxTrialDelay, h.ejections, random)
	h.ejections++
}

// beginTrial notes that a trial was sent. The next one follows no sooner than minTrialDelay
// later, and with exponential backoff if the trial before has not ended.
func (h *health) beginTrial(now time.Duration, random float64) {
	if h.onTrial {
		h.scheduleTrial(now, random)
	} else {
		h.trialAt = now + minTrialDelay
	}
	h.onTrial = true
}

// readmit ends an ejection and begins a slow start.
func (h *health) readmit() {
	h.ejected = false
	h.onTrial = false
	h.ramp = 1
	h.ejections = max(h.ejections-1, 0)
}

// expBackoff returns base doubled n times, at most ceiling, plus a random part of up
// to half of that.
func expBackoff(base, ceiling time.Duration, n int, random float64) time.Duration {
	d := min(base<<min(n, 20), ceiling)
	return time.Duration(float64(d) * (1 + random/2))
}

// updateLimited decides whether the agent is limited to one attempt at a time, given
// the share of tasks that fail at all agents together.
func (h *health) updateLimited(failureShare float64) {
	probability := math.Pow(max(failureShare, minFailureShare), float64(h.unexplainedFailures()))
	// If no task of this entry failed, the counters may be explained by faulty jobs
	// and passed deadlines of other entries, so the probability must be lower.
	h.limited = h.ownFailure && probability <= limitProbability || probability < ejectProbability
	if h.limited {
		h.ramp = 0
	}
}

// isOutlier reports whether the consecutive failures are too unlikely for a healthy
// agent, given the share of tasks that fail at its peers and the number of peers
// that failed a task recently. Several failing peers indicate faulty jobs, which
// this entry cannot distinguish from a faulty agent if another entry accepted them.
func (h *health) isOutlier(peerFailureShare float64, failingPeers, minStreak int, maxProbability float64) bool {
	n := h.unexplainedFailures()
	required := minStreak + failingPeerWeight*failingPeers*failingPeers + max(0, h.successesSinceFirst-h.runningAtFirst)
	if h.attributed == 0 || n < required {
		return false
	}
	return math.Pow(max(peerFailureShare, minFailureShare), float64(n)) < maxProbability
}

// unavailable reports whether the agent is suspended or ejected.
func (h *health) unavailable() bool { return h.suspended || h.ejected }

// mayEject reports whether one more of total agents may be suspended or ejected if
// unavailable ones already are.
func mayEject(unavailable, total int) bool {
	return unavailable < maxEjected && (unavailable+1)*ejectDivisor <= total && unavailable+1 < total
}

// agentFault reports whether the result may be a failure of the agent.
func agentFault(r *wire.Result) bool {
	switch r.Outcome {
	case wire.Failed:
		return r.Reason != wire.ReasonStopped && r.Reason != wire.ReasonRunEnded && r.Reason != wire.ReasonWorkerCrashed
	case wire.Unknown:
		return r.Reason == wire.ReasonConnectionLost
	}
	return false
}
