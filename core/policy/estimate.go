package policy

import (
	"math"
	"time"
)

const (
	defaultRun       = 200 * time.Millisecond // assumed if no run time is declared or observed
	estimateMinimum  = 8                      // number of observations below which the prior is used
	estimateGrowth   = 1.002                  // growth of the weight per observation: about the last 500 count
	estimateRescale  = 1e12                   // weight at which all weights are scaled down
	bucketsPerOctave = 4
	bucketCount      = 18 * bucketsPerOctave // 1 ms to 262 s
	refreshEvery     = 16                    // observations between updates of the quantiles
)

// estimate is a histogram of observed run times with exponential decay.
type estimate struct {
	counts       [bucketCount]float64
	weight       float64 // of the next observation
	total        float64
	sum          float64 // weighted seconds
	sumLog       float64 // weighted logarithms of seconds
	observations int

	p50, p90, p99 time.Duration // at the last refresh
}

// observe adds the run time of a task that succeeded.
func (e *estimate) observe(run time.Duration) {
	if e.weight == 0 {
		e.weight = 1
	}
	sec := max(run, time.Millisecond).Seconds()
	e.counts[bucketOf(run)] += e.weight
	e.total += e.weight
	e.sum += e.weight * sec
	e.sumLog += e.weight * math.Log(sec)
	e.weight *= estimateGrowth
	e.observations++
	if e.weight > estimateRescale {
		e.rescale()
	}
	if e.observations <= 4*refreshEvery || e.observations%refreshEvery == 0 {
		e.refresh()
	}
}

func (e *estimate) rescale() {
	f := 1 / e.weight
	for i := range e.counts {
		e.counts[i] *= f
	}
	e.total *= f
	e.sum *= f
	e.sumLog *= f
	e.weight = 1
}

func (e *estimate) refresh() {
	e.p50 = e.quantile(0.50)
	e.p90 = e.quantile(0.90)
	e.p99 = e.quantile(0.99)
}

// quantile returns the middle of the bucket that contains the quantile q.
func (e *estimate) quantile(q float64) time.Duration {
	remaining := q * e.total
	for i, c := range e.counts {
		remaining -= c
		if remaining <= 0 {
			return bucketMiddle(i)
		}
	}
	return bucketMiddle(bucketCount - 1)
}

// known reports whether there are enough observations to replace the prior.
func (e *estimate) known() bool { return e.observations >= estimateMinimum }

// meanOrPrior returns the mean run time, or the prior if there are too few observations.
func (e *estimate) meanOrPrior(prior time.Duration) time.Duration {
	if !e.known() {
		return priorOrDefault(prior)
	}
	return time.Duration(e.sum / e.total * float64(time.Second))
}

// p90OrPrior returns the 90th percentile, or the prior if there are too few
// observations.
func (e *estimate) p90OrPrior(prior time.Duration) time.Duration {
	if !e.known() {
		return priorOrDefault(prior)
	}
	return e.p90
}

// logMean returns the mean logarithm of the run time in seconds.
func (e *estimate) logMean() float64 { return e.sumLog / e.total }

func priorOrDefault(prior time.Duration) time.Duration {
	if prior > 0 {
		return prior
	}
	return defaultRun
}

func bucketOf(run time.Duration) int {
	ms := run.Seconds() * 1000
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log2(ms)*bucketsPerOctave), bucketCount-1)
}

func bucketMiddle(i int) time.Duration {
	ms := math.Exp2((float64(i) + 0.5) / bucketsPerOctave)
	return time.Duration(ms * float64(time.Millisecond))
}

const (
	speedWeight   = 0.02 // least weight of a new run in the moving average
	speedPrior    = 8    // weight, in runs, of the prior that the agent has mean speed
	speedDeadBand = 0.25 // excess of the logarithm of the run time below which an agent is not slow
)

// speed compares the run times at one agent with the expected ones. It averages
// logarithms, since the mean of heavy-tailed run times does not converge. Positive
// values mean that the agent is slow.
type speed struct {
	logRatio float64 // mean logarithm of actual over expected run time
	runs     float64 // effective number of runs in the average
}

// observe adds one run; expectedLog is the mean logarithm of the run times of its
// class in seconds.
func (s *speed) observe(run time.Duration, expectedLog float64) {
	logRatio := math.Log(max(run, time.Millisecond).Seconds()) - expectedLog
	logRatio = min(max(logRatio, -2), 2)
	s.runs = min(s.runs+1, 1/speedWeight)
	s.logRatio += (logRatio - s.logRatio) / s.runs
}

// relative returns the logarithm of the agent's run times relative to the mean of
// all agents. It is shrunk towards zero if there are few runs.
func (s *speed) relative(meanLogRatio float64) float64 {
	return (s.logRatio - meanLogRatio) * s.runs / (s.runs + speedPrior)
}

// factor returns the factor by which tasks run longer at the agent, at least 1.
func (s *speed) factor(meanLogRatio float64) float64 {
	relative := s.relative(meanLogRatio)
	if relative < speedDeadBand {
		return 1
	}
	return math.Exp(relative - speedDeadBand)
}
