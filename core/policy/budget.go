package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	retryShare      = 0.1 // retries as a share of starts
	retryFloorRate  = 2.0 // retries a second that are always allowed
	retryBurst      = 20  // unused budget that is kept
	retryBase       = 10 * time.Millisecond
	retryCeiling    = time.Second
	startRateWindow = time.Second // time constant of the measured start rate
)

// budget paces retries to a share of the starts. A retry beyond the budget is
// delayed until the budget allows it rather than refused: nothing has run, so
// waiting is safe, and the traffic stays bounded either way.
type budget struct {
	tokens float64 // negative: retries already granted at later times
	rate   float64 // starts a second
	at     time.Duration
}

// advance adds the floor that has accrued and decays the start rate.
func (b *budget) advance(now time.Duration) {
	dt := (now - b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.rate /= 1 + dt/startRateWindow.Seconds()
	b.deposit(retryFloorRate * dt)
}

func (b *budget) deposit(n float64) { b.tokens = min(b.tokens+n, retryBurst) }

// started records one start that is not a retry.
func (b *budget) started(now time.Duration) {
	b.advance(now)
	b.rate += 1 / startRateWindow.Seconds()
	b.deposit(retryShare)
}

// take reserves one retry and returns how long it must wait.
func (b *budget) take(now time.Duration) time.Duration {
	b.advance(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	perSecond := retryFloorRate + retryShare*b.rate
	return time.Duration(-b.tokens / perSecond * float64(time.Second))
}

// refund returns a reservation that is not used.
func (b *budget) refund() { b.deposit(1) }

// backoff returns the delay before attempt number n+1 after a refusal. A busy
// or draining agent said so with its load, so the task goes elsewhere at once;
// any other reason may hold everywhere and backs off.
func backoff(reason wire.Reason, attempts int, random float64) time.Duration {
	if reason == wire.ReasonBusy || reason == wire.ReasonDraining {
		return 0
	}
	d := retryBase << min(max(attempts-1, 0), 10)
	d = min(d, retryCeiling)
	return time.Duration(float64(d) * (0.5 + random))
}
