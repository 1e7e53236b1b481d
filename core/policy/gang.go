package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// gangPatience is how long a gang lets jobs behind it start before it holds them
// back: a few mean runs, in which most gangs find room by themselves.
const gangPatience = 300 * time.Millisecond

// gangPlan is a gang whose tasks are being placed, one by one.
type gangPlan struct {
	job    *jobState
	agents []*agentState // of the tasks that are still to be placed
}

// nextOfGang places the next task of the gang that was planned last. Nothing may
// happen between the placements of one gang.
func (s *Adaptive) nextOfGang(now time.Duration) (Placement, bool) {
	n := len(s.gang.agents)
	if n == 0 {
		return Placement{}, false
	}
	a := s.gang.agents[n-1]
	s.gang.agents = s.gang.agents[:n-1]
	// A task of a gang that queues at its agent would keep the others waiting.
	return s.place(now, s.gang.job, choice{agent: a}), true
}

// planGang finds room for all tasks of a gang at once. It answers gangs beside
// many small tasks, which would take every slot that becomes free before enough
// of them are free together.
func (s *Adaptive) planGang(now time.Duration, j *jobState) bool {
	tasks := len(j.waiting)
	if tasks < j.job.Tasks {
		return false // a run of the others has not ended
	}
	rooms := s.rooms(now, j, tasks)
	if j.job.SameRack {
		if one := bestRack(rooms, tasks); one != nil {
			rooms = one
		} else if !j.impatient(now) {
			return false // a rack may become free
		}
	}
	agents := make([]*agentState, 0, tasks)
	for _, r := range rooms {
		for range min(r.tasks, tasks-len(agents)) {
			agents = append(agents, r.agent)
		}
	}
	if len(agents) < tasks {
		return false
	}
	s.gang = gangPlan{job: j, agents: agents}
	j.blockedAt = 0
	return true
}

// impatient reports whether the gang has waited for room for its patience.
func (j *jobState) impatient(now time.Duration) bool {
	return j.blockedAt > 0 && now-j.blockedAt >= gangPatience
}

// holdsBack notes that the gang found no room and reports whether jobs behind it
// have to wait. A gang for which all workers together are too small holds back
// nobody.
func (s *Adaptive) holdsBack(now time.Duration, j *jobState) bool {
	if j.blockedAt == 0 {
		j.blockedAt = max(now, 1)
	}
	return j.impatient(now) && len(j.waiting) == j.job.Tasks && s.gangFits(j.class, j.job)
}

// room is how many tasks of a gang an agent can start now.
type room struct {
	agent *agentState
	tasks int
	cost  float64
}

// rooms returns the agents with room for tasks of the gang, the cheapest first.
// Of many agents it examines as many as the gang may need.
func (s *Adaptive) rooms(now time.Duration, j *jobState, tasks int) []room {
	run := s.meanRun(j)
	p := pick{tight: s.tightness(now, j), now: now, job: j, run: run, meanRun: max(s.runs.mean(0), minRun)}
	examined := min(len(s.up), max(s.opts.SampleAgents, 2*tasks))
	first := 0
	if examined < len(s.up) {
		first = s.rand.below(len(s.up))
	}
	var out []room
	for i := range examined {
		a := s.up[(first+i)%len(s.up)]
		if n := s.roomAt(&p, a); n > 0 {
			limit := a.limit()
			out = append(out, room{agent: a, tasks: n, cost: s.cost(&p, a, limit, limit)})
		}
	}
	slices.SortStableFunc(out, func(x, y room) int { return cmp.Compare(x.cost, y.cost) })
	return out
}

// roomAt returns how many tasks of the gang the agent is believed to start at once.
func (s *Adaptive) roomAt(p *pick, a *agentState) int {
	if !a.open() || !a.offers(p.job) {
		return 0
	}
	free := a.limit() - a.believed(p.now, p.meanRun, s.on.ageing)
	n := int(math.Floor(free/a.slotsOf(p.job.job) + 1e-6))
	if s.on.health {
		n = min(n, a.health.gangCap(p.now, p.job.impatient(p.now))-a.placed)
	}
	if limit := p.job.job.PerWorker; limit > 0 {
		n = min(n, limit-p.job.at[a])
	}
	return n
}

// bestRack returns the rooms of the cheapest rack that has room for all tasks, nil
// if there is none.
func bestRack(rooms []room, tasks int) []room {
	byRack := make(map[string][]room)
	total := make(map[string]int)
	for _, r := range rooms {
		rack := r.agent.info.Rack
		byRack[rack] = append(byRack[rack], r)
		total[rack] += r.tasks
	}
	for _, r := range rooms {
		if rack := r.agent.info.Rack; total[rack] >= tasks {
			return byRack[rack]
		}
	}
	return nil
}

// gangFits reports whether the connected workers could run the whole gang at a
// time if nothing else ran.
func (s *Adaptive) gangFits(c *classState, job *Job) bool {
	left := job.Tasks
	for _, a := range s.up {
		if !a.suits(c.class.Pool, job) {
			continue
		}
		n := int(math.Floor(float64(a.info.Slots)/a.slotsOf(job) + 1e-6))
		if job.PerWorker > 0 {
			n = min(n, job.PerWorker)
		}
		if left -= n; left <= 0 {
			return true
		}
	}
	return false
}
