package policy

import "time"

// aloneMaxWait is the queueing delay that is accepted for a task that is to run alone:
// the agent starts it once its other tasks have ended.
const aloneMaxWait = 2 * time.Second

// AlonePlacer is implemented by schedulers that can place a task on a worker that runs
// nothing else beside it.
type AlonePlacer interface {
	// PlaceAlone places a task that is not waiting, on the worker with the least work,
	// while a class is contained on one of those that run the contained classes. It
	// returns false if no worker can take it now.
	PlaceAlone(now time.Duration, task *Task) (Placement, bool)
}

// PlaceAlone implements AlonePlacer.
func (s *Adaptive) PlaceAlone(now time.Duration, task *Task) (Placement, bool) {
	j := s.queue.jobs[task.Job]
	if j == nil {
		j = s.newJob(task.Job)
	}
	var best *agentState
	for _, a := range s.usable() {
		if s.mayPlaceAlone(now, j, a) && (best == nil || s.aloneCost(now, a) < s.aloneCost(now, best)) {
			best = a
		}
	}
	if best == nil {
		return Placement{}, false
	}
	s.queue.push(j, task)
	return s.place(now, j, choice{agent: best, maxWait: aloneMaxWait}), true
}

// mayPlaceAlone reports whether the agent can take a task that is to run alone.
func (s *Adaptive) mayPlaceAlone(now time.Duration, j *jobState, a *agentState) bool {
	healthy := !s.enabled.health || a.answersDue() < a.health.maxInFlight(now)
	return a.acceptsStarts() && healthy && a.eligible(j) && (now >= s.containedUntil || a.quarantined)
}

// aloneCost returns the estimated number of the agent's slots in use.
func (s *Adaptive) aloneCost(now time.Duration, a *agentState) float64 {
	return a.usedSlots(now, max(s.allRuns.meanOrPrior(0), minMeanRun), s.enabled.ageing)
}
