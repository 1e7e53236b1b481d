package timeline

import (
	"cmp"
	"slices"
	"time"
)

// MergedEvent is one event of a merged timeline.
type MergedEvent struct {
	Event
	// Gap is the difference of the wall-clock parts of the stamps of this event
	// and the previous one, 0 for the first.
	Gap time.Duration `json:"gap_ns"`
}

// Merge merges the events of several processes into one list, ordered by stamp. If
// one event happened before another according to the messages between the processes,
// it comes first. Exact duplicates are dropped; they occur if the events of one
// process were read twice.
func Merge(lists ...[]Event) []MergedEvent {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.Stamp, b.Stamp),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	all = slices.Compact(all)
	merged := make([]MergedEvent, len(all))
	for i, e := range all {
		merged[i].Event = e
		if i > 0 {
			merged[i].Gap = time.Duration(e.Stamp.Micros()-all[i-1].Stamp.Micros()) * time.Microsecond
		}
	}
	return merged
}
