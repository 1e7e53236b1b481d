package policy

import (
	"math"
	"slices"
	"time"
)

// A caller whose connection broke, or who was refused, sends its job again with the time
// that it still waits. After a loss of many entries such jobs arrive together with as many
// new ones, above the capacity of the workers. They have missed their target already, so
// the jobs that can still meet theirs go first, and the others run in what is left.

const (
	// statedWindow is the number of recent jobs of a class whose stated times are compared.
	statedWindow = 128
	// minStatedTimes is the number of jobs from which a class's stated times are known.
	minStatedTimes = 8
	// statedRefresh is the number of jobs between updates of the percentiles.
	statedRefresh = 4
	// typicalPercentile of the stated times stands for the time that callers state with
	// their first attempt. It holds while up to half of the jobs are sent again.
	typicalPercentile = 0.75
	upperPercentile   = 0.95
	// statedSpreadFactor, times the spread of the stated times above the typical one, is
	// how much less a job must state to count as sent again.
	statedSpreadFactor = 3
	// minResubmitDelay is the least difference that counts. Callers send a job again more
	// than a second after its connection broke; what first attempts state varies by half
	// of that.
	minResubmitDelay = time.Second
	// minTimeoutDelay is the same for a job that states less than Class.CallerTimeout, which
	// a first attempt does not.
	minTimeoutDelay = 500 * time.Millisecond
	// maxStatedTime excludes jobs without a real deadline.
	maxStatedTime = time.Hour
	// statedDecay and statedPrior are the weight of earlier jobs after each job, and the
	// number of jobs for which the slope of statedTimes is shrunk towards zero.
	statedDecay = 0.995
	statedPrior = 20
	// resubmittedDeadlineShare is the share of its remaining time that a job that was sent
	// again may wait: new jobs that arrive later go before it.
	resubmittedDeadlineShare = 0.5
	// resubmittedReserve is the share of the workers' slots that jobs that were sent again
	// leave free. Other entries need them for new jobs at the same time.
	resubmittedReserve = 0.1
	// lastStartFactor, times the 90th percentile of the run time, is the time to the
	// deadline from which such a job may use the reserve when it is the turn of late jobs,
	// so that resubmitted jobs do not starve.
	lastStartFactor = 1.5
	// newWorkPeriod is the time constant of the mean rate at which new jobs bring work.
	newWorkPeriod = 500 * time.Millisecond
	// minSpareShare is the least share of the service slots that is assumed to be left for
	// jobs that were sent again: one start in lateStartInterval is theirs.
	minSpareShare = 1.0 / lateStartInterval
)

// statedTimes are the times to the deadline that callers of a class state, relative to a
// linear regression on the declared run time: callers wait longer for longer jobs.
type statedTimes struct {
	weight, x, y, xx, xy float64 // decayed sums, in seconds
	recent               [statedWindow]statedTime
	observed             int
	typical, spread      float64 // seconds at a declared run time of 0, at the last refresh
}

// statedTime is what one job stated, in seconds.
type statedTime struct{ declared, left float64 }

// observe adds a job.
func (s *statedTimes) observe(declared, left time.Duration) {
	x, y := declared.Seconds(), left.Seconds()
	s.weight = s.weight*statedDecay + 1
	s.x = s.x*statedDecay + x
	s.y = s.y*statedDecay + y
	s.xx = s.xx*statedDecay + x*x
	s.xy = s.xy*statedDecay + x*y
	s.recent[s.observed%statedWindow] = statedTime{x, y}
	s.observed++
	if s.observed%statedRefresh == 0 {
		s.refresh()
	}
}

// slope returns the additional stated seconds per second of declared run time.
func (s *statedTimes) slope() float64 {
	variance := s.xx/s.weight - s.x/s.weight*s.x/s.weight
	if variance <= 1e-9 {
		return 0
	}
	covariance := s.xy/s.weight - s.x/s.weight*s.y/s.weight
	return max(covariance/variance, 0) * s.weight / (s.weight + statedPrior)
}

func (s *statedTimes) refresh() {
	var buf [statedWindow]float64
	list := buf[:min(s.observed, statedWindow)]
	slope := s.slope()
	for i := range list {
		list[i] = s.recent[i].left - slope*s.recent[i].declared
	}
	slices.Sort(list)
	percentile := func(p float64) float64 { return list[int(p*float64(len(list)-1))] }
	s.typical = percentile(typicalPercentile)
	s.spread = percentile(upperPercentile) - s.typical
}

// waited estimates how long the caller of a job had waited before the job arrived, 0 if
// the job states about as much time as others of its class.
func (s *statedTimes) waited(declared, left, callerTimeout time.Duration) time.Duration {
	if s.observed < minStatedTimes {
		return 0
	}
	typical := s.typical + s.slope()*declared.Seconds()
	missing := typical - left.Seconds()
	least := max(minResubmitDelay.Seconds(), statedSpreadFactor*s.spread)
	if left < callerTimeout && typical >= callerTimeout.Seconds() {
		least = minTimeoutDelay.Seconds()
	}
	if missing < least {
		return 0
	}
	return time.Duration(missing * float64(time.Second))
}

// noteResubmitted sets the job's Waited, and learns what callers of its class state.
func (s *Adaptive) noteResubmitted(c *classState, job *Job) {
	left := job.Deadline - job.Arrived
	if !s.enabled.resubmitted || left <= 0 || left > maxStatedTime {
		return
	}
	if c.stated == nil {
		c.stated = new(statedTimes) // most of the published classes have no jobs
	}
	job.Waited = c.stated.waited(job.DeclaredRunTime, left, c.class.CallerTimeout)
	c.stated.observe(job.DeclaredRunTime, left)
}

// resubmitted reports whether the caller had sent the job before.
func (j *Job) resubmitted() bool { return j.Waited > 0 }

// holdsResubmitted reports whether a job that was sent again waits for free slots.
func (s *Adaptive) holdsResubmitted(j *jobState, lateTurn bool) bool {
	if !j.job.resubmitted() || j.started {
		return false
	}
	if lateTurn && j.job.Deadline-s.now < time.Duration(lastStartFactor*float64(s.p90Run(j.class, j.job))) {
		return false
	}
	return s.freeSlots() < resubmittedReserve*s.sumOverUsable((*agentState).limit)
}

// admitResubmitted refuses a job that was sent again if it would hardly be served before its
// deadline, behind all that waits now.
func (s *Adaptive) admitResubmitted(c *classState, job *Job, left time.Duration) AdmitResult {
	slots := s.serviceSlots()
	spare := max(minSpareShare*slots, slots-s.newWork.rate(s.now))
	wait := time.Duration(s.totalWaitingWork() / spare)
	allowed := time.Duration(resubmittedDeadlineShare*float64(left)) - s.jobTime(c, job)
	if wait <= allowed {
		return AdmitResult{}
	}
	return AdmitResult{
		Refusal: RefusedOverload, RetryAfter: s.jittered(wait - allowed),
		Detail: "sent again after " + job.Waited.Round(time.Millisecond).String() + ", expected wait " + wait.Round(time.Millisecond).String(),
	}
}

// workRate is an exponentially weighted mean of the rate at which jobs bring work.
type workRate struct {
	sum float64 // nanoseconds of run time within newWorkPeriod
	at  time.Duration
}

func (w *workRate) add(now, work time.Duration) {
	w.decay(now)
	w.sum += float64(work)
}

// rate returns the work per time, which is the number of slots that it occupies.
func (w *workRate) rate(now time.Duration) float64 {
	w.decay(now)
	return w.sum / float64(newWorkPeriod)
}

func (w *workRate) decay(now time.Duration) {
	w.sum *= math.Exp(-float64(now-w.at) / float64(newWorkPeriod))
	w.at = now
}

// totalWaitingWork returns the expected work of all waiting tasks, in nanoseconds.
func (s *Adaptive) totalWaitingWork() float64 {
	work := 0.0
	for _, c := range s.classList {
		if c.waiting > 0 && !c.contained(s.now) {
			work += float64(c.waiting) * float64(s.expectedRun(c, 0))
		}
	}
	return work
}
