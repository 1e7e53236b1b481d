package load

import (
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// reasonCounter counts the starts that were not run, by reason, over all entries of
// a run.
type reasonCounter struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (r *reasonCounter) add(reason wire.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]uint64)
	}
	r.counts[reason.String()]++
}

// snapshot returns a copy of the counts.
func (r *reasonCounter) snapshot() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]uint64, len(r.counts))
	for name, n := range r.counts {
		counts[name] = n
	}
	return counts
}

// countingScheduler wraps a scheduler and counts, by reason, the starts that were not
// run.
type countingScheduler struct {
	policy.Scheduler
	reasons *reasonCounter
}

// AttemptDone implements policy.Scheduler.
func (c countingScheduler) AttemptDone(now time.Duration, agent wire.Incarnation, task *policy.Task, r *wire.Result) {
	if r.Outcome == wire.NotRun {
		c.reasons.add(r.Reason)
	}
	c.Scheduler.AttemptDone(now, agent, task, r)
}
