package agent

import (
	"math"
	"time"
)

// Parameters of the concurrency limit and of the statistics of classes. The weights
// are those of new samples in moving averages.
const (
	limitDecreaseFactor = 0.7             // multiplicative decrease of the limit on a sign of overload
	limitRecoveryTime   = 5 * time.Second // for an increase of the limit by one without a success
	// inflationFactor is the ratio of recent to long-term run times above which a
	// class counts as inflated. Run times of one class vary widely; with a lower
	// factor, random variation alone would lower the limit.
	inflationFactor  = 2.5
	inflationSamples = 100 // minimum number of runs before a class can count as inflated
	recentWeight     = 0.05
	baselineWeight   = 0.002
	meanWeight       = 0.1
	initialMeanRun   = 200 * time.Millisecond // assumed before the first run of a class
	maxClasses       = 512                    // number of classes with statistics of their own
)

// limiter is the adaptive concurrency limit (AIMD): additive increase by one for
// each full round of successes, multiplicative decrease on overload.
type limiter struct {
	slots       float64
	value       float64
	decreasedAt time.Duration
	decreased   bool          // decreasedAt is set
	recoveredAt time.Duration // last increase without a success
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), value: float64(slots)}
}

func (l *limiter) limit() int { return max(1, int(l.value)) }

func (l *limiter) increase() { l.value = min(l.slots, l.value+1/l.value) }

// recover raises the limit by one for each limitRecoveryTime without a decrease: if all runs
// last, no success raises it.
func (l *limiter) recover(now time.Duration) {
	if l.value >= l.slots || now-max(l.decreasedAt, l.recoveredAt) < limitRecoveryTime {
		return
	}
	l.value = min(l.slots, l.value+1)
	l.recoveredAt = now
}

// decrease lowers the limit, but not below floor. A run that did not start after
// the last decrease says nothing about the lowered limit, so one burst of overload
// signals lowers the limit only once.
func (l *limiter) decrease(now, started time.Duration, floor float64) {
	if l.decreased && started <= l.decreasedAt {
		return
	}
	l.value = max(min(floor, l.value), l.value*limitDecreaseFactor)
	l.decreased = true
	l.decreasedAt = now
}

// classStats holds statistics of the run times of one class at this upstream.
type classStats struct {
	mean    time.Duration // moving average
	samples int
	// recent and baseline are moving averages of the logarithm of run times, so
	// that one straggler of a heavy tail does not look like inflation.
	recent   float64
	baseline float64
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

// inflated reports whether recent runs took much longer than the long-term average.
func (c *classStats) inflated() bool {
	return c.samples >= inflationSamples && c.recent-c.baseline > math.Log(inflationFactor)
}

// classStatsFor returns the statistics of a class. Classes beyond maxClasses
// share one record, so that entries cannot grow the table without bound.
func (m *Machine) classStatsFor(name string) *classStats {
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

// expectedWait estimates the queueing delay of a start with the given due time that
// takes the given slots.
//
// A running task is assumed to end at the rate 1/residual, where the residual is
// the mean of its class or, for a straggler, the time for which it has run (run
// times are heavy-tailed: the longer a task has run, the longer it will run on).
// The rates of all running tasks add up. Each queued task ahead then takes the
// mean of its class on one of the slots.
func (m *Machine) expectedWait(now, due time.Duration, slots float64) time.Duration {
	limit := min(float64(m.allowedRuns(now)), m.roomLimit())
	ahead, work := m.queue.workAhead(due)
	pause := max(0, m.pausedUntil-now)
	if m.occupied+ahead+slots <= limit+slotTolerance || len(m.active)+m.queue.Len() == 0 {
		return pause
	}
	wait := time.Duration(float64(work) / max(1, limit))
	if missing := m.occupied + slots - limit; missing > 0 && len(m.active) > 0 {
		departures := math.Ceil(missing / (m.occupied / float64(len(m.active))))
		wait += time.Duration(departures / m.departureRate(now))
	}
	return max(pause, wait)
}

// departureRate returns the expected number of runs that end per nanosecond.
func (m *Machine) departureRate(now time.Duration) float64 {
	rate := 0.0
	for _, a := range m.active {
		residual := max(a.class.mean, now-a.started, time.Microsecond)
		rate += 1 / float64(residual)
	}
	return rate
}
