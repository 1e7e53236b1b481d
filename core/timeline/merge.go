package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Step is one event of a merged time line.
type Step struct {
	Event
	// Gap is the wall-clock time since the previous step as the stamps show it;
	// 0 for the first.
	Gap time.Duration `json:"gap_ns"`
}

// Merge orders the events of several processes. An event that happened before
// another, as far as messages between the processes show, comes before it.
// Exact duplicates (a process asked twice) are dropped.
func Merge(lists ...[]Event) []Step {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.Stamp, b.Stamp),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	all = slices.Compact(all)
	steps := make([]Step, len(all))
	for i, e := range all {
		steps[i].Event = e
		if i > 0 {
			steps[i].Gap = time.Duration(e.Stamp.Micros()-all[i-1].Stamp.Micros()) * time.Microsecond
		}
	}
	return steps
}
