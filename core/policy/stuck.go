package policy

import "time"

const (
	// stuckFactor: a run is stuck if it takes longer than the 99th percentile of its
	// class, scaled by the forecast of its job, times this factor.
	stuckFactor = 2.5
	// stuckMinimum is the lower bound of this run time, so that runs of classes with
	// short run times are not stopped because of a brief delay.
	stuckMinimum = 250 * time.Millisecond
	// maxStuckDoublings bounds the growth of this run time, against overflow.
	maxStuckDoublings = 16
	// blamedStuckRuns is how many stuck runs of one task are evidence against their
	// workers. A task that is stuck on more of them takes long.
	blamedStuckRuns = 1
)

// StuckDetector is implemented by schedulers that can distinguish a stuck run from a
// long one.
type StuckDetector interface {
	// Stuck reports whether the run of the placed task should be stopped and
	// repeated on another worker.
	Stuck(now time.Duration, task *Task) bool
}

// Stuck implements StuckDetector. It handles workers on which some runs make no
// progress while others do: without it such tasks miss their deadline and occupy
// their slots until then. A run is not stopped if its repetition is not expected to
// end before the deadline.
//
// Each run of a task that was stopped doubles the limit for its next one. The limit is
// learned from runs that succeeded, so a constant one would stop all runs of a class
// that are longer than those before, and none of them could correct it.
func (s *Adaptive) Stuck(now time.Duration, task *Task) bool {
	c := s.classes[task.Job.Class]
	if !s.enabled.health || c == nil || !c.runs.known() || task.SchedulerState >= 0 {
		return false
	}
	sentAt := time.Duration(-task.SchedulerState - 1)
	scale := max(1, c.forecast.scale(task.Job.DeclaredRunTime))
	limit := max(stuckMinimum, time.Duration(stuckFactor*scale*float64(c.runs.p99)))
	limit <<= min(task.StuckRuns, maxStuckDoublings)
	return now-sentAt > limit && now+s.expectedRun(c, task.Job.DeclaredRunTime) < task.Job.Deadline
}
