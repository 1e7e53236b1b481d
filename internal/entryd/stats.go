package entryd

import "github.com/limpettrail/limpettrail/core/entry"

// Stats is a snapshot of an entry's counters.
type Stats struct {
	Messages entry.Stats
	Jobs     int // jobs in progress
	Links    int // connected agents
}

// Stats returns a snapshot, or false if the entry has stopped or does not respond.
func (e *Entry) Stats() (Stats, bool) {
	s, ok := e.queryCoreStatus()
	return Stats{Messages: s.Stats, Jobs: s.Jobs, Links: len(s.Agents)}, ok
}
