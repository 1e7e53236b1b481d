package policy

import (
	"math"
	"time"
)

// A caller whose connection broke, or who was refused, sends its job again with the time
// that it still waits. After a loss of many entries such jobs arrive together with as many
// new ones, above the capacity of the workers. They have missed their target already, so
// the jobs that can still meet theirs go first, and the others run in what is left.
//
// A job counts as resubmitted if its caller states less time than Class.CallerTimeout.

const (
	// shortWeight is the weight of a new job in classState.shortShare.
	shortWeight = 1.0 / 64
	// maxShortShare is the share of jobs below CallerTimeout from which the setting says
	// nothing about the callers of the class. In a surge of resubmitted jobs two of three
	// were below it.
	maxShortShare = 0.85
	// resubmittedDeadlineShare is the share of its remaining time that a resubmitted job may
	// wait: new jobs that arrive later go before it.
	resubmittedDeadlineShare = 0.5
	// resubmittedReserve is the share of the workers' slots that resubmitted jobs leave free.
	// Other entries need them for new jobs at the same time.
	resubmittedReserve = 0.1
	// reservePeriod is how long an estimate of the free slots holds.
	reservePeriod = 5 * time.Millisecond
	// lastStartFactor, times the 90th percentile of the run time, is the time to the
	// deadline from which a resubmitted job may use the reserve, so that it does not starve.
	lastStartFactor = 1.5
	// newWorkPeriod is the time constant of the mean rate at which new jobs bring work.
	newWorkPeriod = 500 * time.Millisecond
	// minSpareShare is the least share of the service slots that is assumed to be left for
	// resubmitted jobs: one start in lateStartInterval goes to late jobs.
	minSpareShare = 1.0 / lateStartInterval
)

// noteResubmitted sets the job's Resubmitted.
func (s *Adaptive) noteResubmitted(c *classState, job *Job) {
	if !s.enabled.resubmitted || c.class.CallerTimeout <= 0 || c.contained(s.now) {
		return
	}
	short := 0.0
	if job.Deadline-job.Arrived < c.class.CallerTimeout {
		short = 1
	}
	c.shortShare += (short - c.shortShare) * shortWeight
	job.Resubmitted = short > 0 && c.shortShare < maxShortShare
}

// inResubmitted reports whether the job waits in queue.resubmitted unless it is parked. Once a
// task has started, it is late like others.
func (j *jobState) inResubmitted() bool { return j.job.Resubmitted && !j.started }

// lessResubmitted orders resubmitted jobs by deadline, so that the first of them that must
// start now is the top.
func lessResubmitted(a, b *jobState) bool { return a.job.Deadline < b.job.Deadline }

// mayStartResubmitted reports whether a resubmitted job may start now.
func (s *Adaptive) mayStartResubmitted(j *jobState) bool {
	lastStart := j.job.Deadline - time.Duration(lastStartFactor*float64(s.p90Run(j.class, j.job)))
	return s.now >= lastStart || s.hasReserve(j)
}

// reserve is an estimate of whether more than resubmittedReserve of the slots are free.
type reserve struct {
	pool, label string
	until       time.Duration
	free        bool
}

// hasReserve reports whether the workers that can run the job have more than
// resubmittedReserve of their slots free.
func (s *Adaptive) hasReserve(j *jobState) bool {
	r := &s.reserve
	if s.now < r.until && r.pool == j.class.class.Pool && r.label == j.job.RequiredLabel {
		return r.free
	}
	free, slots := s.sampleSlots(j)
	*r = reserve{pool: j.class.class.Pool, label: j.job.RequiredLabel, until: s.now + reservePeriod, free: free >= resubmittedReserve*slots}
	return r.free
}

// sampleSlots returns the estimated number of free slots, and of all slots, of up to
// SampleAgents workers that can run the job. It examines four times as many at most.
func (s *Adaptive) sampleSlots(j *jobState) (free, slots float64) {
	agents := s.usable()
	run := max(s.allRuns.meanOrPrior(0), minMeanRun)
	first := 0
	if len(agents) > s.opts.SampleAgents {
		first = s.rand.below(len(agents))
	}
	matching := 0
	for i := 0; i < min(len(agents), 4*s.opts.SampleAgents) && matching < s.opts.SampleAgents; i++ {
		a := agents[(first+i)%len(agents)]
		if !a.matches(j.class.class.Pool, j.job) {
			continue
		}
		matching++
		if a.acceptsStarts() && !a.health.ejected && !a.health.suspended && !a.health.down {
			share := a.capacityShare(s.now)
			free += share * max(0, a.limit()-a.usedSlots(s.now, run, s.enabled.ageing))
			slots += share * a.limit()
		}
	}
	return free, slots
}

// admitResubmitted refuses a resubmitted job if it would hardly be served before its
// deadline, behind the new jobs that wait and arrive and the other resubmitted ones.
func (s *Adaptive) admitResubmitted(c *classState, job *Job, left time.Duration) AdmitResult {
	slots := s.serviceSlots()
	spare := max(minSpareShare*slots, slots-s.newWork.rate(s.now))
	work := float64(s.expectedWait(c, job.Team)) * slots
	for _, other := range s.classList {
		if other.resubmitted > 0 {
			work += float64(other.resubmitted) * float64(s.expectedRun(other, 0))
		}
	}
	wait := time.Duration(work / spare)
	allowed := time.Duration(resubmittedDeadlineShare*float64(left)) - s.jobTime(c, job)
	if wait <= allowed {
		return AdmitResult{}
	}
	return AdmitResult{
		Refusal: RefusedOverload, RetryAfter: s.jittered(wait - allowed),
		Detail: "resubmitted, expected wait " + wait.Round(time.Millisecond).String() + " exceeds the limit of " + allowed.Round(time.Millisecond).String(),
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
