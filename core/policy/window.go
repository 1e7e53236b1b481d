package policy

import "time"

const (
	// congestedTrip is the time beyond wait and run, smoothed over attempts, at
	// which this entry's own link or processor is taken to be the bottleneck. A
	// healthy round trip takes a few milliseconds.
	congestedTrip = 80 * time.Millisecond
	tripWeight    = 0.1  // of the newest attempt in the smoothed trip
	windowCut     = 0.75 // of the attempts in flight that are kept on congestion
	windowGrowth  = 1.01 // by which one attempt with a short trip raises the bound
	windowMinimum = 4    // attempts that are always allowed
	windowStart   = 1 << 20
)

// window bounds the attempts in flight of one entry. It answers a load that
// exceeds the entry's own link or processor share: frames then queue behind each
// other, leases are not renewed in time, and all work is lost. As in congestion
// control of a transport, the bound falls by a factor when round trips grow. It
// rises again by a percent for each short one, which doubles it within a bound's
// worth of attempts: a bound that outlives the burst would refuse jobs while
// workers are free.
type window struct {
	size  float64
	trip  time.Duration // smoothed
	cutAt time.Duration // attempts that were sent before do not cut again
}

func newWindow() window { return window{size: windowStart} }

// observe takes the round trip of one attempt that was sent at sentAt.
func (w *window) observe(now, sentAt, trip time.Duration, inFlight int) {
	w.trip += time.Duration(tripWeight * float64(trip-w.trip))
	switch {
	case w.trip > congestedTrip && trip > congestedTrip && sentAt >= w.cutAt:
		w.size = max(windowMinimum, min(w.size, float64(inFlight))*windowCut)
		w.cutAt = now
	case w.trip <= congestedTrip/2:
		w.size = min(windowStart, w.size*windowGrowth)
	}
}

// full reports whether no further attempt may be sent.
func (w *window) full(inFlight int) bool { return float64(inFlight) >= w.size }
