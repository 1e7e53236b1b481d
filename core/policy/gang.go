package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// gangHoldBackDelay is how long jobs behind a blocked gang may still start before they
// are held back. It is a few mean run times, in which most gangs find enough free
// slots anyway.
const gangHoldBackDelay = 300 * time.Millisecond

// gangPlan is a gang whose tasks are being placed one after the other.
type gangPlan struct {
	job    *jobState
	agents []*agentState // of the tasks that are not placed yet
}

// nextOfGang places the next task of the planned gang. No other call may come between
// the placements of one gang.
func (s *Adaptive) nextOfGang(now time.Duration) (Placement, bool) {
	n := len(s.gang.agents)
	if n == 0 {
		return Placement{}, false
	}
	a := s.gang.agents[n-1]
	s.gang.agents = s.gang.agents[:n-1]
	// No queueing is accepted: a task that queues would make the others wait.
	return s.place(now, s.gang.job, choice{agent: a}), true
}

// planGang finds free slots for all tasks of a gang and reports whether it found
// enough. Without it, small tasks would take every slot that becomes free before
// enough slots for the gang are free.
func (s *Adaptive) planGang(now time.Duration, j *jobState) bool {
	tasks := len(j.waiting)
	if tasks < j.job.Tasks {
		return false // attempts of other tasks of the gang have not ended
	}
	candidates := s.gangCandidates(now, j, tasks)
	if j.job.SameRack {
		if one := bestRack(candidates, tasks); one != nil {
			candidates = one
		} else if !j.overdue(now) {
			return false // wait for a rack with enough free slots
		}
	}
	agents := make([]*agentState, 0, tasks)
	for _, c := range candidates {
		for range min(c.tasks, tasks-len(agents)) {
			agents = append(agents, c.agent)
		}
	}
	if len(agents) < tasks {
		return false
	}
	s.gang = gangPlan{job: j, agents: agents}
	j.blockedAt = 0
	return true
}

// overdue reports whether the gang was blocked for at least gangHoldBackDelay.
func (j *jobState) overdue(now time.Duration) bool {
	return j.blockedAt > 0 && now-j.blockedAt >= gangHoldBackDelay
}

// holdsBack records that the gang is blocked and reports whether the jobs behind it
// must wait. A gang that does not fit on all workers together holds back no job.
func (s *Adaptive) holdsBack(now time.Duration, j *jobState) bool {
	if j.blockedAt == 0 {
		j.blockedAt = max(now, 1)
	}
	return j.overdue(now) && len(j.waiting) == j.job.Tasks && gangFits(s.usable(), j.class, j.job)
}

// gangCandidate is an agent that can start tasks of a gang without queueing.
type gangCandidate struct {
	agent *agentState
	tasks int     // number of tasks that it can start
	cost  float64 // seconds
}

// gangCandidates returns the agents that can start tasks of the gang, ordered by
// cost. If more agents are connected than SampleAgents, it may examine only a part
// of them, at least twice the number of tasks.
func (s *Adaptive) gangCandidates(now time.Duration, j *jobState, tasks int) []gangCandidate {
	p := s.newSearch(now, j)
	agents := s.usable()
	examined := min(len(agents), max(s.opts.SampleAgents, 2*tasks))
	first := 0
	if examined < len(agents) {
		first = s.rand.below(len(agents))
	}
	var out []gangCandidate
	for i := range examined {
		a := agents[(first+i)%len(agents)]
		if n := s.startableTasks(&p, a); n > 0 {
			limit := a.limit()
			out = append(out, gangCandidate{agent: a, tasks: n, cost: s.cost(&p, a, limit, limit) + s.interferenceCost(&p, a)})
		}
	}
	slices.SortStableFunc(out, func(x, y gangCandidate) int { return cmp.Compare(x.cost, y.cost) })
	return out
}

// startableTasks estimates how many tasks of the gang the agent can start without
// queueing.
func (s *Adaptive) startableTasks(p *search, a *agentState) int {
	if !a.acceptsStarts() || !a.eligible(p.job) {
		return 0
	}
	free := a.limit() - a.usedSlots(p.now, p.meanRun, s.enabled.ageing)
	n := int(math.Floor(free/a.slotsOf(p.job.job) + 1e-6))
	if s.enabled.health {
		n = min(n, a.health.gangMaxInFlight(p.now, p.job.overdue(p.now))-a.answersDue())
	}
	if limit := p.job.job.MaxPerWorker; limit > 0 {
		n = min(n, limit-p.job.inFlightAt[a])
	}
	return n
}

// bestRack returns the candidates in the rack of the cheapest agent among the racks
// with enough free slots for all tasks, or nil if there is no such rack.
func bestRack(candidates []gangCandidate, tasks int) []gangCandidate {
	byRack := make(map[string][]gangCandidate)
	total := make(map[string]int)
	for _, c := range candidates {
		rack := c.agent.info.Rack
		byRack[rack] = append(byRack[rack], c)
		total[rack] += c.tasks
	}
	for _, c := range candidates {
		if rack := c.agent.info.Rack; total[rack] >= tasks {
			return byRack[rack]
		}
	}
	return nil
}

// gangFits reports whether the workers of the agents could run all tasks of the gang at
// the same time if they were idle.
func gangFits(agents []*agentState, c *classState, job *Job) bool {
	left := job.Tasks
	for _, a := range agents {
		if !a.matches(c.class.Pool, job) {
			continue
		}
		n := int(math.Floor(float64(a.info.Slots)/a.slotsOf(job) + 1e-6))
		if job.MaxPerWorker > 0 {
			n = min(n, job.MaxPerWorker)
		}
		if left -= n; left <= 0 {
			return true
		}
	}
	return false
}
