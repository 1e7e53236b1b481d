package fleet

import (
	"context"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// stopLeftovers takes over the worker, stops every run there and returns what the worker
// last reported, or nil if ctx ended first. It acknowledges no ended run: finished
// runs of stored jobs may not be recorded by their owner yet. It goes on while the
// worker's announcement is stale, see staleAnnouncement.
//
// The entries repeat every run that the returned status does not list as finished. If
// its list is cut off, stopLeftovers waits until the lease has expired, after which the
// ends of the runs that are not listed no longer count. It waits as well if starts of an
// earlier process may still be carried out: each has a deadline, which is then over.
func (n *AgentNode) stopLeftovers(ctx context.Context, worker Worker, incarnation int64) *lease.WorkerStatus {
	began := n.clock.Now()
	stale := false
	for ; ctx.Err() == nil; ctxsleep.For(ctx, leftoverRetryDelay) {
		// The lease must have expired before the worker makes its lists.
		leaseExpired := n.clock.Now()-began > leftoverLeaseTimeout
		takeover, err := n.takeOver(ctx, worker)
		if err != nil {
			n.opts.Log.Emit(eventlog.WorkerSilent, eventlog.Fields{Err: err})
		}
		status := takeover.Status
		if status == nil {
			continue
		}
		n.stopRuns(ctx, worker, status.Running)
		complete := takeover.Fenced && !status.EndedCutOff
		if len(status.Running) > 0 || !complete && !leaseExpired {
			continue
		}
		if reason := n.staleAnnouncement(incarnation, status, n.clock.Now()-began); reason != "" {
			if !stale {
				n.opts.Log.Emit(eventlog.AnnouncementStale, eventlog.Fields{Count: status.Incarnation, Detail: reason})
			}
			stale = true
			continue
		}
		n.opts.Log.Emit(eventlog.WorkerTakenOver, takeover.fields(n.clock.Now()-began))
		return status
	}
	return nil
}

// stopRuns asks the worker once to stop each of the runs.
func (n *AgentNode) stopRuns(ctx context.Context, worker Worker, runs []wire.RunRef) {
	for _, run := range runs {
		n.opts.Log.Emit(eventlog.LeftoverStopped, eventlog.Fields{Detail: run.Job, Task: run.Index + 1, Count: int64(run.Run)})
		stopCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
		worker.Stop(stopCtx, lease.CallStop{Run: run})
		cancel()
	}
}

// succeededOrFailed returns the ended runs that succeeded or failed by themselves.
func succeededOrFailed(ended []lease.EndedRun) []lease.EndedRun {
	var out []lease.EndedRun
	for _, e := range ended {
		if e.Kind == lease.EndedSucceeded || e.Kind == lease.EndedFailed {
			out = append(out, e)
		}
	}
	return out
}

// finishedRuns converts finished runs to what the agent reports to entries, at most
// wire.MaxFinishedRuns.
func finishedRuns(finished []lease.EndedRun) []wire.FinishedRun {
	out := make([]wire.FinishedRun, 0, len(finished))
	for _, e := range finished[:min(len(finished), wire.MaxFinishedRuns)] {
		out = append(out, wire.FinishedRun{Run: e.Run, Failed: e.Kind == lease.EndedFailed, Checkpoint: e.Checkpoint})
	}
	return out
}
