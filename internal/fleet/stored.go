package fleet

import (
	"context"
	"time"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// StoredJobs is what a front end needs of the jobs that are kept.
type StoredJobs interface {
	// Submit records a job. 0 says that it may have been recorded.
	Submit(ctx context.Context, spec durable.Spec) durable.Verdict
	// Cancel records the cancellation of a job.
	Cancel(ctx context.Context, job string) durable.Verdict
	// State returns the state of a job, and how old the answer may be.
	State(job string) (s durable.State, age time.Duration, ok bool)
	// Pending returns the number of the class's jobs of which no task has started.
	// loaded is false before the log was read for the first time.
	Pending(class string) (n int, loaded bool)
}

// leaveJobsBound is the part of a leaving entry's time in which its stored jobs
// are handed over.
const leaveJobsBound = 1500 * time.Millisecond

// storedJobs logs what callers ask of the keeper.
type storedJobs struct{ node *EntryNode }

// Submit implements StoredJobs.
func (s storedJobs) Submit(ctx context.Context, spec durable.Spec) durable.Verdict {
	began := time.Now()
	v := s.node.keeper.Submit(ctx, spec)
	s.node.opts.Log.Emit(eventlog.StoredJobAccepted, eventlog.Fields{
		Job: spec.ID, Class: spec.Class, Detail: v.String(), Duration: time.Since(began), Version: s.node.ConfigVersion(),
	})
	return v
}

// Cancel implements StoredJobs.
func (s storedJobs) Cancel(ctx context.Context, job string) durable.Verdict {
	began := time.Now()
	v := s.node.keeper.Cancel(ctx, job)
	s.node.opts.Log.Emit(eventlog.StoredJobCancelled, eventlog.Fields{
		Job: job, Detail: v.String(), Duration: time.Since(began),
	})
	return v
}

// State implements StoredJobs.
func (s storedJobs) State(job string) (durable.State, time.Duration, bool) {
	return s.node.keeper.State(job)
}

// Pending implements StoredJobs.
func (s storedJobs) Pending(class string) (int, bool) { return s.node.keeper.Pending(class) }

// storedEvents hands what became of driven jobs to the keeper.
type storedEvents struct{ node *EntryNode }

func (s storedEvents) ready() bool {
	select {
	case <-s.node.serving:
		return true
	default:
		return false
	}
}

// Began implements entryd.StoredEvents.
func (s storedEvents) Began(job string) { s.node.keeper.Began(job) }

// TaskEnded implements entryd.StoredEvents. An agent that connects while the
// entry starts tells again when it connects next.
func (s storedEvents) TaskEnded(x entry.TaskEnded) {
	if s.ready() {
		s.node.keeper.TaskEnded(x)
	}
}

// Ended implements entryd.StoredEvents.
func (s storedEvents) Ended(job string, outcome entry.JobOutcome, reason string) {
	s.node.keeper.Ended(job, outcome, reason)
}

// leaveJobs hands the stored jobs over.
func (n *EntryNode) leaveJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveJobsBound)
	defer cancel()
	n.keeper.Leave(ctx)
}
