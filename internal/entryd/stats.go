package entryd

import "github.com/limpettrail/limpettrail/core/entry"

// Stats is a snapshot of an entry's counters.
type Stats struct {
	Messages entry.Stats
	Jobs     int // submissions in progress
	Links    int // agents connected
}

// statsRequest asks the core goroutine for a snapshot.
type statsRequest struct{ reply chan<- Stats }

// Stats returns a snapshot, or false if the entry has ended.
func (e *Entry) Stats() (Stats, bool) {
	reply := make(chan Stats, 1)
	e.send(statsRequest{reply: reply})
	select {
	case s := <-reply:
		return s, true
	case <-e.ctx.Done():
		return Stats{}, false
	}
}
