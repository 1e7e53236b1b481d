package policy

import (
	"math"
	"time"
)

const (
	forecastDecay = 0.999 // weight of earlier tasks after each task
	// forecastPrior shrinks the slope towards zero if there are few tasks.
	forecastPrior = 40
	// forecastMinimum is the weight below which the standard deviation is not used.
	forecastMinimum = 100
	// longestTaskGrowth is by how much the logarithm of the run time of the longest
	// of n similar tasks, relative to their mean, grows with the logarithm of n.
	longestTaskGrowth = 0.11
	// minCompletionProbability: a job that meets its deadline with a lower
	// probability is refused, since it would use slots that other jobs need.
	minCompletionProbability = 0.2
)

// forecast is a linear regression of the logarithm of observed run times on the
// logarithm of declared ones. Declared run times are rough, but a job that declares
// twice the usual run time takes longer than usual.
type forecast struct {
	weight, x, y, xx, xy, yy float64 // decayed sums
}

// observe adds the run time of a task that succeeded, if its job declared one.
func (f *forecast) observe(declared, run time.Duration) {
	if declared <= 0 {
		return
	}
	x, y := math.Log(declared.Seconds()), math.Log(max(run, time.Millisecond).Seconds())
	f.weight = f.weight*forecastDecay + 1
	f.x = f.x*forecastDecay + x
	f.y = f.y*forecastDecay + y
	f.xx = f.xx*forecastDecay + x*x
	f.xy = f.xy*forecastDecay + x*y
	f.yy = f.yy*forecastDecay + y*y
}

// moments returns the variances of x and y and their covariance.
func (f *forecast) moments() (xx, xy, yy float64) {
	w := f.weight
	xx = f.xx/w - f.x/w*f.x/w
	xy = f.xy/w - f.x/w*f.y/w
	yy = f.yy/w - f.y/w*f.y/w
	return xx, xy, yy
}

// slope returns the slope of the regression, from 0 to 1.
func (f *forecast) slope() float64 {
	if f.weight == 0 {
		return 0
	}
	xx, xy, _ := f.moments()
	if xx <= 1e-9 {
		return 0
	}
	return min(max(xy/xx, 0), 1) * f.weight / (f.weight + forecastPrior)
}

// scale returns the expected run time of a job relative to the mean of its class. It
// is 1 if the job declares no run time.
func (f *forecast) scale(declared time.Duration) float64 {
	if declared <= 0 || f.weight == 0 {
		return 1
	}
	return math.Exp(f.slope() * (math.Log(declared.Seconds()) - f.x/f.weight))
}

// stdDev returns the standard deviation of the logarithm of run times around the
// regression line. ok is false if there are too few observations.
func (f *forecast) stdDev() (sd float64, ok bool) {
	if f.weight < forecastMinimum {
		return 0, false
	}
	xx, xy, yy := f.moments()
	slope := f.slope()
	return math.Sqrt(max(yy-2*slope*xy+slope*slope*xx, 1e-4)), true
}

// completionProbability estimates the probability that all tasks of the job end
// within the duration left on the fastest workers. It is 1 if there are too few
// observations.
func (s *Adaptive) completionProbability(c *classState, job *Job, left time.Duration) float64 {
	sd, ok := c.forecast.stdDev()
	if !ok || left <= 0 {
		return 1
	}
	expected := c.runs.logMean() + math.Log(c.forecast.scale(job.DeclaredRunTime)) +
		longestTaskGrowth*math.Log(float64(job.Tasks)) + s.fastestLogRatio()
	return normalCDF((math.Log(left.Seconds()) - expected) / sd)
}

// fastestLogRatio returns the logarithm of the run times of the fastest agent
// relative to the mean of all agents. It is at most 0. If more than SampleAgents
// agents are connected, it examines only so many.
func (s *Adaptive) fastestLogRatio() float64 {
	best := 0.0
	agents := s.usable()
	for _, a := range agents[:min(len(agents), s.opts.SampleAgents)] {
		best = min(best, a.speed.relative(s.meanLogRatio))
	}
	return best
}

// normalCDF is the cumulative distribution function of the standard normal
// distribution.
func normalCDF(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }
