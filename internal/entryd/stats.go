package entryd

import "github.com/limpettrail/limpettrail/core/entry"

// Stats is a snapshot of an entry's counters.
type Stats struct {
	Messages entry.Stats
	Jobs     int // submissions in progress
	Links    int // agents connected
}

// Stats returns a snapshot, or false if the entry has ended or does not answer.
func (e *Entry) Stats() (Stats, bool) {
	s, ok := e.coreAnswers()
	return Stats{Messages: s.Stats, Jobs: s.Jobs, Links: len(s.Agents)}, ok
}
