package policy

import (
	"math"
	"slices"
	"time"
)

const (
	spreadPenalty    = 2 * time.Millisecond  // for each task of the job per slot in the rack
	failedPenalty    = time.Second           // for an agent on which the job has failed
	speedWeightTight = 1.0                   // of the run time that a fast worker saves a tight job
	fastReserve      = 10 * time.Millisecond // cost of a worker twice as fast, to a job that does not need it
	farRackSlowdown  = 0.5                   // of the run time, away from a job's data or its other tasks
	linkShare        = 2.0                   // weight of the time in which a payload passes the entry's link: others wait behind it
	tieJitter        = time.Millisecond      // random part of the cost, so that entries differ
	riskShare        = 0.5                   // chance that an agent with one free slot is full
	freeMargin       = 0.5                   // believed free slots that count as a free slot
	lookAhead        = 0.75                  // tasks queued at each agent under backlog
	freeMaxWait      = 4 * time.Millisecond  // accepted queueing while others are believed free
	unbounded        = time.Hour             // accepted queueing without PartMaxWait
	fullMaxWait      = 8                     // accepted queueing in waits per queued task while all are believed full
	minRun           = 5 * time.Millisecond  // least mean run time used for rates
	freedMemory      = 64                    // agents remembered as having freed a slot
	freedSample      = 8                     // of them, examined for one decision
)

// choice is the outcome of the search for an agent.
type choice struct {
	agent   *agentState
	maxWait time.Duration
	misfit  bool // an agent had room but does not offer what the job needs
}

// candidate is the best agent so far.
type candidate struct {
	agent *agentState
	cost  float64 // seconds
	free  float64 // believed free slots
}

// choose finds the agent with the least expected cost for a task of the job.
func (s *Adaptive) choose(now time.Duration, j *jobState) choice {
	run := s.meanRun(j)
	p := pick{tight: s.tightness(now, j), now: now, job: j, run: run, meanRun: max(s.runs.mean(0), minRun)}
	if len(s.up) <= s.opts.SampleAgents {
		for _, a := range s.up {
			s.consider(&p, a)
		}
	} else {
		s.sample(&p)
	}
	if p.best.agent == nil {
		return choice{misfit: p.misfit}
	}
	return choice{agent: p.best.agent, maxWait: s.maxWait(&p)}
}

// pick is the state of one search.
type pick struct {
	now     time.Duration
	job     *jobState
	run     time.Duration // expected run time of the task
	meanRun time.Duration // over all classes
	tight   float64       // how much the job depends on a fast worker, 0 to 1
	best    candidate
	free    float64 // believed free slots at the agents seen
	misfit  bool
}

// sample examines a random subset and the agents that freed a slot lately.
func (s *Adaptive) sample(p *pick) {
	for n := 0; n < freedSample && len(s.freed) > 0; n++ {
		a := s.freed[len(s.freed)-1-n%len(s.freed)]
		s.consider(p, a)
		if n >= len(s.freed)-1 {
			break
		}
	}
	for n := s.opts.SampleAgents - freedSample; n > 0; n-- {
		s.consider(p, s.up[s.rand.below(len(s.up))])
	}
}

// consider compares one agent with the best so far.
func (s *Adaptive) consider(p *pick, a *agentState) {
	if !a.open() {
		return
	}
	if s.on.health && a.placed >= a.health.cap(p.now) {
		return
	}
	limit := a.limit()
	if !a.offers(p.job) {
		p.misfit = p.misfit || limit-a.believed(p.now, p.meanRun, s.on.ageing) >= freeMargin
		return
	}
	// free counts the slots left beyond what the task needs itself, plus one: a
	// task of one slot finds the slots that are free.
	free := limit - a.believed(p.now, p.meanRun, s.on.ageing) - a.slotsOf(p.job.job) + 1
	if free <= -s.lookAhead()+freeMargin-1e-9 {
		return
	}
	p.free += max(0, free)
	cost := s.cost(p, a, limit, free)
	if p.best.agent == nil || cost < p.best.cost {
		p.best = candidate{agent: a, cost: cost, free: free}
	}
}

// offers reports whether the agent's worker can run tasks of the job at all.
func (a *agentState) offers(j *jobState) bool {
	return a.suits(j.class.class.Pool, j.job) && (j.job.PerWorker == 0 || j.at[a] < j.job.PerWorker)
}

// suits reports whether the agent's worker offers what the job asks for.
func (a *agentState) suits(pool string, job *Job) bool {
	if pool != "" && pool != a.info.Pool || !a.info.Capacity.Fits(job.Need) {
		return false
	}
	return job.Label == "" || slices.Contains(a.info.Labels, job.Label)
}

// lookAhead returns the number of tasks that may queue at each agent.
func (s *Adaptive) lookAhead() float64 {
	if !s.on.lookAhead {
		return 0
	}
	return lookAhead
}

// cost returns the expected delay in seconds that the agent adds to a task.
func (s *Adaptive) cost(p *pick, a *agentState, limit, free float64) float64 {
	unit := p.meanRun.Seconds() / limit // time until the next of limit tasks ends
	cost := s.rand.float() * tieJitter.Seconds()
	if free < freeMargin {
		cost += unit * (1 + freeMargin - free)
	} else {
		// The view is uncertain: the fewer slots are believed free, the more
		// likely the agent is full by the time the start arrives.
		cost += unit * riskShare / (free * free)
	}
	if a.remote {
		cost += 2 * s.opts.ZoneDelay.Seconds()
	}
	if p.job.failedOnAgent(a) {
		cost += failedPenalty.Seconds()
	}
	if s.opts.LinkBytes > 0 && p.job.last != a {
		cost += linkShare * float64(p.job.job.PayloadBytes) / s.opts.LinkBytes
	}
	if s.on.spread && !p.job.job.SameRack {
		cost += spreadPenalty.Seconds() * float64(p.job.racks[a.rack]) / limit
	}
	if s.awayFromData(p.job, a) {
		cost += farRackSlowdown * p.run.Seconds()
	}
	if s.on.speed {
		cost += (a.speed.factor(s.meanSpeed) - 1) * p.run.Seconds()
		cost += s.speedCost(p, a)
	}
	return cost
}

// awayFromData reports whether tasks of the job are slower at the agent for its
// rack: the data, or the tasks that were placed before, are in another one.
func (s *Adaptive) awayFromData(j *jobState, a *agentState) bool {
	if rack := j.job.DataRack; rack != "" && rack != a.info.Rack {
		return true
	}
	return j.job.SameRack && j.last != nil && j.last.info.Rack != a.info.Rack
}

// speedCost weighs an agent's speed by how much the job depends on it: the share
// of its time that a slow run of its class takes. Long tasks that would miss
// their deadline on a mean worker go to the fast ones, and short tasks leave
// those free for them.
func (s *Adaptive) speedCost(p *pick, a *agentState) float64 {
	relative := math.Exp(a.speed.relative(s.meanSpeed)) - 1
	return relative*p.run.Seconds()*p.tight*speedWeightTight - relative*fastReserve.Seconds()*(1-p.tight)
}

// tightness returns the share, 0 to 1, of the job's time that a slow run takes.
func (s *Adaptive) tightness(now time.Duration, j *jobState) float64 {
	left := j.job.Deadline - now
	if left <= 0 {
		return 1
	}
	share := float64(s.high(j.class, j.job)) / float64(left)
	return min(1, share*share)
}

// maxWait returns the queueing delay that the entry accepts at the agent.
func (s *Adaptive) maxWait(p *pick) time.Duration {
	if !s.on.maxWait {
		return unbounded
	}
	a := p.best.agent
	unit := max(a.waitUnit, time.Duration(float64(p.meanRun)/a.limit()), minWaitUnit)
	wait := time.Duration(fullMaxWait * max(1, s.waitScale/waitScaleStart) * float64(unit))
	if p.best.free >= freeMargin && p.free-p.best.free >= 1 {
		// A refusal costs a round trip; then a free slot is found elsewhere.
		wait = min(wait, time.Duration(float64(freeMaxWait)*s.waitScale))
	}
	return wait
}

// noteFreed remembers an agent that freed a slot, for the sampled search.
func (s *Adaptive) noteFreed(a *agentState) {
	if a.listed || len(s.up) <= s.opts.SampleAgents {
		return
	}
	if len(s.freed) == freedMemory {
		s.freed[0].listed = false
		copy(s.freed, s.freed[1:])
		s.freed = s.freed[:freedMemory-1]
	}
	a.listed = true
	s.freed = append(s.freed, a)
}

// dropFreed forgets an agent that was noted.
func (s *Adaptive) dropFreed(a *agentState) {
	if !a.listed {
		return
	}
	a.listed = false
	for i, f := range s.freed {
		if f == a {
			s.freed = append(s.freed[:i], s.freed[i+1:]...)
			return
		}
	}
}
