package load

import (
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// reasons counts why starts were not run, over all entries of a run.
type reasons struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (r *reasons) add(reason wire.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]uint64)
	}
	r.counts[reason.String()]++
}

func (r *reasons) snapshot() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint64, len(r.counts))
	for name, n := range r.counts {
		out[name] = n
	}
	return out
}

// counted passes everything on to a scheduler and counts the starts that were
// not run.
type counted struct {
	policy.Scheduler
	reasons *reasons
}

// AttemptDone implements policy.Scheduler.
func (c counted) AttemptDone(now time.Duration, agent wire.Incarnation, task *policy.Task, r *wire.Result) {
	if r.Outcome == wire.NotRun {
		c.reasons.add(r.Reason)
	}
	c.Scheduler.AttemptDone(now, agent, task, r)
}
