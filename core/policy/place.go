package policy

import (
	"math"
	"slices"
	"time"
)

const (
	rackSpreadCost      = 2 * time.Millisecond  // cost of each task of the job in the agent's rack, divided by the agent's limit
	failedAgentCost     = time.Second           // cost of an agent on which the job has failed
	refusingAgentCost   = time.Hour             // cost of an agent that keeps refusing the job's tasks
	speedCostWeight     = 1.0                   // weight of the run time saved on a fast worker, for a job under full deadline pressure
	fastAgentCost       = 10 * time.Millisecond // cost of a fast agent per fraction of the run time saved, for a job without deadline pressure
	crossRackSlowdown   = 0.5                   // added share of the run time away from the job's data or its other tasks
	linkTimeWeight      = 2.0                   // weight of the time to send a payload over the entry's link, since other frames queue behind it
	costJitter          = time.Millisecond      // random part of the cost, so that entries choose differently
	fullProbability     = 0.5                   // assumed probability that an agent with one estimated free slot is full
	minFreeSlots        = 0.5                   // estimated free slots from which an agent counts as having a free slot
	lookAhead           = 0.75                  // tasks that may queue at each agent under backlog
	maxWaitIfFree       = 4 * time.Millisecond  // accepted queueing delay while other agents have estimated free slots
	unboundedMaxWait    = time.Hour             // accepted queueing delay without PartMaxWait
	maxWaitIfFullFactor = 8                     // accepted queueing delay while all agents look full, as a multiple of the wait per queued task
	minMeanRun          = 5 * time.Millisecond  // lower bound of the mean run time in rates
	maxFreed            = 64                    // maximum length of the list of agents that freed a slot
	sampleFreed         = 8                     // of these agents, how many are examined for one decision
)

// choice is the result of the search for an agent.
type choice struct {
	agent             *agentState
	maxWait           time.Duration
	unmetRequirements bool // an agent had a free slot but does not meet the job's requirements
}

// candidate is the cheapest agent found so far.
type candidate struct {
	agent *agentState
	cost  float64 // seconds
	free  float64 // estimated free slots
	// leastDelay is the lowest cost of the agents compared, without that of interference.
	leastDelay float64
}

// add compares an agent with the candidate.
func (c *candidate) add(a *agentState, delay, interference, free float64) {
	least := delay
	if c.agent != nil {
		least = min(least, c.leastDelay)
	}
	if cost := delay + interference; c.agent == nil || cost < c.cost {
		*c = candidate{agent: a, cost: cost, free: free}
	}
	c.leastDelay = least
}

// choose returns the agent with the lowest expected cost for a task of the job.
func (s *Adaptive) choose(now time.Duration, j *jobState) choice {
	p := s.newSearch(now, j)
	agents := s.usable()
	if len(agents) <= s.opts.SampleAgents {
		for _, a := range agents {
			s.evaluate(&p, a)
		}
	} else {
		s.sample(&p)
	}
	if p.best.agent == nil && p.unmetRequirements && len(agents) > s.opts.SampleAgents {
		s.evaluateEligible(&p)
	}
	if p.best.agent == nil {
		return choice{unmetRequirements: p.unmetRequirements}
	}
	return choice{agent: p.best.agent, maxWait: s.maxWait(&p)}
}

// search is the state of one search for an agent.
type search struct {
	now               time.Duration
	job               *jobState
	run               time.Duration // expected run time of the task
	meanRun           time.Duration // over all classes
	pressure          float64       // deadline pressure of the job, 0 to 1
	best              candidate     // the better of the next two
	withFree          candidate     // of the agents with a free slot
	queueing          candidate     // of the agents at which the task would queue
	totalFree         float64       // estimated free slots at all examined agents
	unmetRequirements bool          // see choice
	// slowedBy and slows are the pairs of the class of the job, if classes are separated.
	slowedBy, slows []pairEffect
}

// sample examines a random subset of the agents and some that freed a slot lately.
func (s *Adaptive) sample(p *search) {
	for n := 0; n < sampleFreed && len(s.freed) > 0; n++ {
		a := s.freed[len(s.freed)-1-n%len(s.freed)]
		s.evaluate(p, a)
		if n >= len(s.freed)-1 {
			break
		}
	}
	for n := s.opts.SampleAgents - sampleFreed; n > 0; n-- {
		s.evaluate(p, s.connected[s.rand.below(s.usableCount)])
	}
}

// evaluateEligible examines all agents that meet the job's requirements: if these are
// few, a sample may contain none of them.
func (s *Adaptive) evaluateEligible(p *search) {
	for _, a := range s.usable() {
		if a.eligible(p.job) {
			s.evaluate(p, a)
		}
	}
}

// evaluate compares an agent with the best candidate so far.
func (s *Adaptive) evaluate(p *search, a *agentState) {
	if !a.acceptsStarts() {
		return
	}
	if s.enabled.health && a.answersDue() >= a.health.maxInFlight(p.now) {
		return
	}
	limit := a.limit()
	containing := p.now < s.containedUntil
	if containing && !s.mayUse(p.now, p.job.class, p.job.job, a) {
		return
	}
	if !a.eligible(p.job) {
		p.unmetRequirements = p.unmetRequirements || limit-a.usedSlots(p.now, p.meanRun, s.enabled.ageing) >= minFreeSlots
		return
	}
	// free is the number of slots that stay free after the task has started, plus
	// one. For a task of one slot it is the number of free slots.
	free := limit - a.usedSlots(p.now, p.meanRun, s.enabled.ageing) - a.slotsOf(p.job.job) + 1
	if free <= -s.lookAhead()+minFreeSlots-1e-9 { // the slots and the look-ahead are used up
		return
	}
	p.totalFree += max(0, free)
	cost := s.cost(p, a, limit, free)
	if containing && a.quarantined && !p.job.class.contained(p.now) {
		cost += quarantineCost.Seconds()
	}
	p.add(a, cost, s.interferenceCost(p, a), free)
}

// add compares an agent with the candidates. Interference decides between agents with a
// free slot, and between those without, but not whether the task queues: it would wait
// at a full worker to be apart from others on an idle one.
func (p *search) add(a *agentState, delay, interference, free float64) {
	if free >= minFreeSlots {
		p.withFree.add(a, delay, interference, free)
	} else {
		p.queueing.add(a, delay, interference, free)
	}
	p.best = p.withFree
	if p.withFree.agent == nil || p.queueing.agent != nil && p.queueing.leastDelay < p.withFree.leastDelay {
		p.best = p.queueing
	}
}

// eligible reports whether the agent's worker meets the requirements of the job
// and is below the job's bound per worker.
func (a *agentState) eligible(j *jobState) bool {
	return a.matches(j.class.class.Pool, j.job) && (j.job.MaxPerWorker == 0 || j.inFlightAt[a] < j.job.MaxPerWorker)
}

// matches reports whether the agent's worker meets the requirements of the job.
func (a *agentState) matches(pool string, job *Job) bool {
	if pool != "" && pool != a.info.Pool || !a.info.Capacity.Fits(job.Need) {
		return false
	}
	return job.RequiredLabel == "" || slices.Contains(a.info.Labels, job.RequiredLabel)
}

// lookAhead returns the number of tasks that may queue at each agent under backlog.
func (s *Adaptive) lookAhead() float64 {
	if !s.enabled.lookAhead {
		return 0
	}
	return lookAhead
}

// cost returns the expected delay, in seconds, of a task that is placed on the agent.
func (s *Adaptive) cost(p *search, a *agentState, limit, free float64) float64 {
	turnover := p.meanRun.Seconds() / limit // mean time until one of the agent's running tasks ends
	cost := s.rand.float() * costJitter.Seconds()
	if free < minFreeSlots {
		cost += turnover * (1 + minFreeSlots - free)
	} else {
		// The estimate is uncertain: the fewer slots look free, the more likely
		// the agent is full when the start arrives.
		cost += turnover * fullProbability / (free * free)
	}
	if a.otherZone {
		cost += 2 * s.opts.ZoneDelay.Seconds()
	}
	if p.job.failedOnAgent(a) {
		cost += failedAgentCost.Seconds()
	}
	if p.job.keepsRefusing(a) {
		cost += refusingAgentCost.Seconds()
	}
	if s.opts.LinkBytesPerSecond > 0 && p.job.lastAgent != a {
		cost += linkTimeWeight * float64(p.job.job.PayloadBytes) / s.opts.LinkBytesPerSecond
	}
	if s.enabled.spread && !p.job.job.SameRack {
		cost += rackSpreadCost.Seconds() * float64(p.job.racks[a.rackBucket]) / limit
	}
	if s.awayFromData(p.job, a) {
		cost += crossRackSlowdown * p.run.Seconds()
	}
	if s.enabled.speed {
		cost += (a.speed.factor(s.meanLogRatio) - 1) * p.run.Seconds()
		cost += s.speedCost(p, a)
	}
	return cost
}

// awayFromData reports whether tasks of the job run slower in the agent's rack,
// because the data or the tasks placed before are in another one.
func (s *Adaptive) awayFromData(j *jobState, a *agentState) bool {
	if rack := j.job.DataRack; rack != "" && rack != a.info.Rack {
		return true
	}
	return j.job.SameRack && j.lastAgent != nil && j.lastAgent.info.Rack != a.info.Rack
}

// speedCost returns the cost of the agent's speed, weighted by the deadline
// pressure of the job. Long tasks that would miss their deadline on a worker of
// mean speed go to fast workers; other tasks avoid fast workers to keep them free.
func (s *Adaptive) speedCost(p *search, a *agentState) float64 {
	relative := math.Exp(a.speed.relative(s.meanLogRatio)) - 1
	return relative*p.run.Seconds()*p.pressure*speedCostWeight - relative*fastAgentCost.Seconds()*(1-p.pressure)
}

// deadlinePressure returns how much the job depends on a fast worker, 0 to 1: the
// square of the share of its remaining time that a slow run of its class takes.
func (s *Adaptive) deadlinePressure(now time.Duration, j *jobState) float64 {
	left := j.job.Deadline - now
	if left <= 0 {
		return 1
	}
	share := float64(s.p90Run(j.class, j.job)) / float64(left)
	return min(1, share*share)
}

// maxWait returns the queueing delay that the entry accepts at the chosen agent.
func (s *Adaptive) maxWait(p *search) time.Duration {
	if !s.enabled.maxWait {
		return unboundedMaxWait
	}
	a := p.best.agent
	perTask := max(a.waitPerTask, time.Duration(float64(p.meanRun)/a.limit()), minWaitPerTask)
	wait := time.Duration(maxWaitIfFullFactor * max(1, s.waitScale/waitScaleStart) * float64(perTask))
	if p.best.free >= minFreeSlots && p.totalFree-p.best.free >= 1 {
		// Another agent has a free slot: a refusal costs one round trip, then the
		// task goes there.
		wait = min(wait, time.Duration(float64(maxWaitIfFree)*s.waitScale))
	}
	return wait
}

// addFreed adds the agent to the list of agents that freed a slot, for sample.
func (s *Adaptive) addFreed(a *agentState) {
	if a.inFreed || a.evacuated || len(s.connected) <= s.opts.SampleAgents {
		return
	}
	if len(s.freed) == maxFreed {
		s.freed[0].inFreed = false
		copy(s.freed, s.freed[1:])
		s.freed = s.freed[:maxFreed-1]
	}
	a.inFreed = true
	s.freed = append(s.freed, a)
}

// removeFreed removes the agent from the list of agents that freed a slot.
func (s *Adaptive) removeFreed(a *agentState) {
	if !a.inFreed {
		return
	}
	a.inFreed = false
	for i, f := range s.freed {
		if f == a {
			s.freed = append(s.freed[:i], s.freed[i+1:]...)
			return
		}
	}
}
