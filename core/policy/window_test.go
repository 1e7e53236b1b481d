package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry that keeps adding load to a saturated link, and against a
// bound that stays low after the congestion ended.
func TestWindowFollowsRoundTrips(t *testing.T) {
	w := newWindow()
	now := time.Second
	observe := func(n int, rtt time.Duration, inFlight int) {
		for range n {
			now += 5 * time.Millisecond
			w.observe(now, now-rtt, rtt, inFlight)
		}
	}
	observe(100, 5*time.Millisecond, 200)
	assert.Assert(t, !w.full(10_000), "bounded without congestion")
	observe(100, 300*time.Millisecond, 200)
	assert.Assert(t, w.full(200), "bound %.0f", w.size)
	assert.Assert(t, !w.full(windowMinimum-1))
	low := w.size
	observe(200, 5*time.Millisecond, int(low))
	assert.Assert(t, w.size > 2*low, "bound %.0f after %.0f", w.size, low)
}
