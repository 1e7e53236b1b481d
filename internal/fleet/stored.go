package fleet

import (
	"context"
	"time"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// StoredJobs is the interface of a front end to the stored jobs.
type StoredJobs interface {
	// Submit records a job. It returns 0 if no answer came in time: the job may have
	// been recorded.
	Submit(ctx context.Context, spec durable.Spec) durable.Result
	// Cancel records the cancellation of a job. It returns 0 in the same case as
	// Submit.
	Cancel(ctx context.Context, job string) durable.Result
	// State returns the state of a job and the age of the view of the log that the
	// answer is from. ok is false if the job is not in the view.
	State(job string) (s durable.State, age time.Duration, ok bool)
	// Pending returns the number of the class's jobs of which no task has started.
	// loaded is false until the log has been read for the first time.
	Pending(class policy.Class) (n int, loaded bool)
}

// handOverTimeout bounds the time that a leaving entry spends on handing over
// its stored jobs.
const handOverTimeout = 1500 * time.Millisecond

// storedJobs passes requests on to the keeper and logs them.
type storedJobs struct{ node *EntryNode }

// Submit implements StoredJobs.
func (s storedJobs) Submit(ctx context.Context, spec durable.Spec) durable.Result {
	began := time.Now()
	result := s.node.keeper.Submit(ctx, spec)
	s.node.opts.Log.Emit(eventlog.StoredJobAccepted, eventlog.Fields{
		Job: spec.ID, Class: spec.Class, Detail: result.String(), Duration: time.Since(began), Version: s.node.ConfigVersion(),
	})
	return result
}

// Cancel implements StoredJobs.
func (s storedJobs) Cancel(ctx context.Context, job string) durable.Result {
	began := time.Now()
	result := s.node.keeper.Cancel(ctx, job)
	s.node.opts.Log.Emit(eventlog.StoredJobCancelled, eventlog.Fields{
		Job: job, Detail: result.String(), Duration: time.Since(began),
	})
	return result
}

// State implements StoredJobs.
func (s storedJobs) State(job string) (durable.State, time.Duration, bool) {
	return s.node.keeper.State(job)
}

// Pending implements StoredJobs.
func (s storedJobs) Pending(class policy.Class) (int, bool) {
	return s.node.keeper.Pending(class)
}

// storedEvents passes the events of driven jobs on to the keeper.
type storedEvents struct{ node *EntryNode }

// ready reports whether the keeper is set.
func (s storedEvents) ready() bool {
	select {
	case <-s.node.serving:
		return true
	default:
		return false
	}
}

// wait waits until the keeper is set. Its first drives may report before that.
func (s storedEvents) wait() {
	select {
	case <-s.node.serving:
	case <-s.node.ctx.Done():
	}
}

// JobStarted implements entryd.StoredJobObserver.
func (s storedEvents) JobStarted(job string) {
	if s.wait(); s.ready() {
		s.node.keeper.JobStarted(job)
	}
}

// ClassFound implements entryd.StoredJobObserver.
func (s storedEvents) ClassFound(job string, class policy.Class) {
	if s.wait(); s.ready() {
		s.node.keeper.ClassFound(job, class)
	}
}

// RunFinished implements entryd.StoredJobObserver. Events before the keeper is set
// are dropped: the agent reports the run again when it next connects.
func (s storedEvents) RunFinished(x entry.RunFinished) {
	if s.ready() {
		s.node.keeper.RunFinished(x)
	}
}

// RunCrashed implements entryd.StoredJobObserver.
func (s storedEvents) RunCrashed(x entry.RunCrashed) {
	if s.wait(); s.ready() {
		s.node.keeper.RunCrashed(x)
	}
}

// RunRepeated implements entryd.StoredJobObserver.
func (s storedEvents) RunRepeated(x entry.RunRepeated) {
	if s.wait(); s.ready() {
		s.node.keeper.RunRepeated(x)
	}
}

// DriveEnded implements entryd.StoredJobObserver.
func (s storedEvents) DriveEnded(job string, outcome entry.JobOutcome, reason string) {
	if s.wait(); s.ready() {
		s.node.keeper.DriveEnded(job, outcome, reason)
	}
}

// handOverJobs hands the stored jobs over to other processes.
func (n *EntryNode) handOverJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	n.keeper.Leave(ctx)
}
