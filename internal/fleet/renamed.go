package fleet

import (
	"context"

	"github.com/limpettrail/limpettrail/core/lease"
)

// probeRenamedLocked asks the worker whether it is the one of an announcement that states
// another name and an earlier start: a worker that restarted under that name with its time of
// day set back, or a late announcement of an earlier one. The poll has no effect at a worker
// with the current name, which refuses calls for another one, nor at one that an agent has
// taken over, whose token is higher. n.mu must be held.
func (n *AgentNode) probeRenamedLocked(a Announcement) {
	if n.probing || a.Draining {
		return
	}
	n.probing = true
	current := n.announced
	n.wg.Go(func() {
		worker := n.opts.NewWorker(a.Worker, a.Incarnation)
		ctx, cancel := context.WithTimeout(n.ctx, workerCallTimeout)
		defer cancel()
		status, _ := worker.Poll(ctx, lease.CallPoll{}) // an error beside no status is a refusal
		n.mu.Lock()
		defer n.mu.Unlock()
		n.probing = false
		isCurrent := status != nil && status.Incarnation != 0 && status.Incarnation == a.Incarnation
		changed := n.announced.Worker != current.Worker || n.announced.Incarnation != current.Incarnation
		if !isCurrent || changed || n.stopped {
			worker.Close()
			return
		}
		n.announced, n.answered = a, 0
		n.replaceLocked(a, worker)
	})
}
