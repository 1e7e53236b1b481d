package policy

import "time"

const (
	// congestedRTT is the smoothed round-trip time, without wait and run time at the
	// agent, above which the entry's own link or processor is assumed to be the
	// bottleneck. A normal round trip takes a few milliseconds.
	congestedRTT    = 80 * time.Millisecond
	rttSampleWeight = 0.1  // weight of a new attempt in the smoothed round-trip time
	windowDecrease  = 0.75 // share of the attempts in flight that is allowed after congestion
	windowIncrease  = 1.01 // growth of the bound by one attempt while round trips are short
	windowMinimum   = 4    // attempts that are always allowed in flight
	windowMaximum   = 1 << 20
)

// window bounds the attempts in flight of one entry. If the load exceeds the entry's
// own link or processor share, frames queue behind each other, leases are not renewed
// in time, and all work is lost. As in transport congestion control, the bound falls
// by a factor when round trips become long. It rises by a percent for each short round
// trip, and so doubles within about as many attempts as it allows: a bound that stays
// low after a burst would cause jobs to be refused while workers are free.
type window struct {
	size        float64       // maximum number of attempts in flight
	smoothedRTT time.Duration // smoothed round-trip time
	decreasedAt time.Duration // last decrease; attempts sent before it cause no further one
}

func newWindow() window { return window{size: windowMaximum} }

// observe records the round-trip time of an attempt that was sent at sentAt.
func (w *window) observe(now, sentAt, rtt time.Duration, inFlight int) {
	w.smoothedRTT += time.Duration(rttSampleWeight * float64(rtt-w.smoothedRTT))
	switch {
	case w.smoothedRTT > congestedRTT && rtt > congestedRTT && sentAt >= w.decreasedAt:
		w.size = max(windowMinimum, min(w.size, float64(inFlight))*windowDecrease)
		w.decreasedAt = now
	case w.smoothedRTT <= congestedRTT/2:
		w.size = min(windowMaximum, w.size*windowIncrease)
	}
}

// full reports whether the bound is reached.
func (w *window) full(inFlight int) bool { return float64(inFlight) >= w.size }
