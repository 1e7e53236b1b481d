package policy

import (
	"math"
	"time"
)

const (
	forecastDecay = 0.999 // weight of the past after each task
	// forecastPrior draws the slope to zero while it rests on few tasks.
	forecastPrior = 40
	// forecastMinimum is the weight below which the spread is not relied on.
	forecastMinimum = 100
	// spreadOfWidth is the growth of the longest of n like tasks over their mean,
	// in logarithms, for each e-fold of n.
	spreadOfWidth = 0.11
	// leastChance is the chance of meeting the deadline below which a job is
	// refused: it would take the room of jobs that can be served.
	leastChance = 0.2
)

// forecast relates what callers declare to what tasks take, by a line between
// the logarithms of both. Declared run times are rough, but a job that declares
// twice the usual takes longer than usual.
type forecast struct {
	weight, x, y, xx, xy, yy float64 // decayed sums
}

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

// moments returns the variances and the covariance.
func (f *forecast) moments() (xx, xy, yy float64) {
	w := f.weight
	xx = f.xx/w - f.x/w*f.x/w
	xy = f.xy/w - f.x/w*f.y/w
	yy = f.yy/w - f.y/w*f.y/w
	return xx, xy, yy
}

// slope returns by how much a declared e-fold shows in the run time, 0 to 1.
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

// scale returns the expected run time of a job as a multiple of its class's.
func (f *forecast) scale(declared time.Duration) float64 {
	if declared <= 0 || f.weight == 0 {
		return 1
	}
	return math.Exp(f.slope() * (math.Log(declared.Seconds()) - f.x/f.weight))
}

// spread returns the standard deviation of the logarithm of a run time around
// its forecast. ok is false if too little was observed.
func (f *forecast) spread() (sd float64, ok bool) {
	if f.weight < forecastMinimum {
		return 0, false
	}
	xx, xy, yy := f.moments()
	slope := f.slope()
	return math.Sqrt(max(yy-2*slope*xy+slope*slope*xx, 1e-4)), true
}

// chance estimates the probability that every task of the job ends within left
// on the fastest workers. It is 1 while too little is known.
func (s *Adaptive) chance(c *classState, job *Job, left time.Duration) float64 {
	sd, ok := c.forecast.spread()
	if !ok || left <= 0 {
		return 1
	}
	expected := c.est.logMean() + math.Log(c.forecast.scale(job.Declared)) +
		spreadOfWidth*math.Log(float64(job.Tasks)) + s.fastest()
	return normal((math.Log(left.Seconds()) - expected) / sd)
}

// fastest returns the lowest relative logarithm of run times of any agent.
func (s *Adaptive) fastest() float64 {
	best := 0.0
	for _, a := range s.up[:min(len(s.up), s.opts.SampleAgents)] {
		best = min(best, a.speed.relative(s.meanSpeed))
	}
	return best
}

// normal is the distribution function of the standard normal distribution.
func normal(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }
