package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	retryShare      = 0.1 // retries as a share of starts
	minRetryRate    = 2.0 // retries per second that are always allowed
	retryBurst      = 20  // maximum of unused budget
	minRetryDelay   = 10 * time.Millisecond
	maxRetryDelay   = time.Second
	startRateWindow = time.Second // time constant of the measured start rate
	// retriesPerSuccess is how many retries a retry that ran allows beyond the budget.
	// With more than one, the tasks that a passing fault has refused are retried at a
	// rate that grows while they succeed.
	retriesPerSuccess = 2
)

// budget limits the rate of retries to a share of the starts. A retry that exceeds the
// budget is delayed rather than denied: nothing has run, so it is safe to wait, and
// the traffic is bounded in both cases.
type budget struct {
	tokens    float64       // retries allowed now; negative if retries were granted for later times
	startRate float64       // starts per second
	updatedAt time.Duration // last update
	released  int           // retries granted for later times that may be made now
}

// advance adds the budget that is always allowed since the last update and decays
// the start rate.
func (b *budget) advance(now time.Duration) {
	dt := (now - b.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	b.updatedAt = now
	b.startRate /= 1 + dt/startRateWindow.Seconds()
	b.deposit(minRetryRate * dt)
}

func (b *budget) deposit(n float64) { b.tokens = min(b.tokens+n, retryBurst) }

// recordStart records one start that is not a retry.
func (b *budget) recordStart(now time.Duration) {
	b.advance(now)
	b.startRate += 1 / startRateWindow.Seconds()
	b.deposit(retryShare)
}

// reserve reserves one retry and returns its delay.
func (b *budget) reserve(now time.Duration) time.Duration {
	b.advance(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	perSecond := minRetryRate + retryShare*b.startRate
	return time.Duration(-b.tokens / perSecond * float64(time.Second))
}

// recordSuccess records a retry that ran. Retries granted for later times then need not
// wait for as long: the delay of each was computed from the rate of starts at its
// refusal, which is low while most starts are refused.
func (b *budget) recordSuccess(now time.Duration) {
	b.advance(now)
	b.released += retriesPerSuccess
	b.deposit(retriesPerSuccess)
}

// takeReleased returns how many retries granted for later times may be made now. What is
// not used is lost.
func (b *budget) takeReleased() int {
	n := b.released
	b.released = 0
	return n
}

// refund returns a reservation that is not used.
func (b *budget) refund() { b.deposit(1) }

// backoff returns the delay before attempt number attempts+1 after a refusal. A busy or
// draining agent also reports its load, so the task goes to another agent at once; any
// other reason may apply to all agents, so the delay grows exponentially.
func backoff(reason wire.Reason, attempts int, random float64) time.Duration {
	if reason == wire.ReasonBusy || reason == wire.ReasonDraining {
		return 0
	}
	d := minRetryDelay << min(max(attempts-1, 0), 10)
	d = min(d, maxRetryDelay)
	return time.Duration(float64(d) * (0.5 + random))
}
