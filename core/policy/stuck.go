package policy

import "time"

const (
	// stuckFactor is how far a run must exceed the longest of a hundred of its
	// class, scaled by its job's forecast, to be given up.
	stuckFactor = 2.5
	// stuckMinimum keeps short classes from being given up for a hiccup.
	stuckMinimum = 250 * time.Millisecond
)

// StuckDetector is implemented by schedulers that can tell a run that stands
// still from a long one.
type StuckDetector interface {
	// Stuck reports whether the placed task's run should be stopped and repeated
	// elsewhere.
	Stuck(now time.Duration, task *Task) bool
}

// Stuck implements StuckDetector. It answers workers on which runs stand still
// while others go on: without it their tasks are lost with their deadline, and
// their slots with them. A run is not given up if its repetition could not end
// before the deadline.
func (s *Adaptive) Stuck(now time.Duration, task *Task) bool {
	c := s.classes[task.Job.Class]
	if !s.on.health || c == nil || !c.est.known() || task.Slot >= 0 {
		return false
	}
	sentAt := time.Duration(-task.Slot - 1)
	scale := max(1, c.forecast.scale(task.Job.Declared))
	limit := max(stuckMinimum, time.Duration(stuckFactor*scale*float64(c.est.p99)))
	return now-sentAt > limit && now+s.mean(c, task.Job.Declared) < task.Job.Deadline
}
