package agent

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	limitCut = 0.7 // factor applied to the limit on a sign of overload
	// inflationFactor is how far the recent run times must exceed the long-term
	// ones. Run times of one class vary widely; at a lower factor chance alone
	// would lower the limit.
	inflationFactor  = 2.5
	inflationSamples = 100 // runs of a class before its inflation is judged
	recentWeight     = 0.05
	baselineWeight   = 0.002
	meanWeight       = 0.1
	initialMeanRun   = 200 * time.Millisecond
	maxClasses       = 512 // classes with their own statistics
)

// limiter adapts the number of tasks that run at once: additive increase by
// one for each full round of successes, multiplicative decrease on overload.
type limiter struct {
	slots float64
	value float64
	cutAt time.Duration
	cut   bool // cutAt is set
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), value: float64(slots)}
}

func (l *limiter) limit() int { return max(1, int(l.value)) }

func (l *limiter) grow() { l.value = min(l.slots, l.value+1/l.value) }

// overloaded lowers the limit, not below floor. A run that did not begin after the
// last cut says nothing about the lowered limit, so one burst cuts once.
func (l *limiter) overloaded(now, started time.Duration, floor float64) {
	if l.cut && started <= l.cutAt {
		return
	}
	l.value = max(min(floor, l.value), l.value*limitCut)
	l.cut = true
	l.cutAt = now
}

// classStats are the run times of one class at this upstream.
type classStats struct {
	mean     time.Duration // moving average
	samples  int
	recent   float64 // moving averages of the logarithm of run times: one
	baseline float64 // straggler of a heavy tail must not look like inflation
}

func (c *classStats) observe(run time.Duration) {
	log := math.Log(float64(max(run, time.Microsecond)))
	c.samples++
	if c.samples == 1 {
		c.mean, c.recent, c.baseline = run, log, log
		return
	}
	c.mean += time.Duration(max(meanWeight, 1/float64(c.samples)) * float64(run-c.mean))
	c.recent += max(recentWeight, 1/float64(c.samples)) * (log - c.recent)
	c.baseline += max(baselineWeight, 1/float64(c.samples)) * (log - c.baseline)
}

// inflated says that recent runs took much longer than they used to.
func (c *classStats) inflated() bool {
	return c.samples >= inflationSamples && c.recent-c.baseline > math.Log(inflationFactor)
}

// class returns the statistics of a class. Classes beyond maxClasses share one
// record, so an entry cannot grow the table without bound.
func (m *Machine) class(name string) *classStats {
	c := m.classes[name]
	if c != nil {
		return c
	}
	if len(m.classes) >= maxClasses {
		return &m.otherClasses
	}
	c = &classStats{mean: initialMeanRun}
	m.classes[name] = c
	return c
}

// expectedWait estimates the queueing delay of a start due at due that takes
// the given slots.
//
// A running task is taken to leave at the rate 1/residual, where the residual
// is its class's mean or, for a straggler, the time it has run already (run
// times are heavy-tailed: the longer a task has run, the longer it will). The
// rates of all running tasks add up; each queued task ahead then takes its
// class's mean on one of the slots.
func (m *Machine) expectedWait(now, due time.Duration, slots float64) time.Duration {
	limit := float64(m.allowed())
	ahead, work := m.queue.workAhead(due)
	hold := max(0, m.holdUntil-now)
	if m.occupied+ahead+slots <= limit+slotRounding || len(m.active)+m.queue.Len() == 0 {
		return hold
	}
	wait := time.Duration(float64(work) / limit)
	if missing := m.occupied + slots - limit; missing > 0 && len(m.active) > 0 {
		departures := math.Ceil(missing / (m.occupied / float64(len(m.active))))
		wait += time.Duration(departures / m.departureRate(now))
	}
	return max(hold, wait)
}

// departureRate returns the expected number of runs that end in a nanosecond.
func (m *Machine) departureRate(now time.Duration) float64 {
	rate := 0.0
	for _, a := range m.active {
		residual := max(a.class.mean, now-a.started, time.Microsecond)
		rate += 1 / float64(residual)
	}
	return rate
}
