package policy

import (
	"math"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	maxParked = 8 // jobs passed over in one decision because they fit nowhere free
	// These are the shares of starts that may be refused as busy, by emphasis.
	// Each refusal costs two messages, so the first stays inside 0.05 wasted
	// messages a task with room for other kinds.
	responseRefusals = 0.01
	messageRefusals  = 0.002
	waitScaleStart   = 8
	waitScaleMin     = 0.25
	waitScaleMax     = 64
	waitScaleGrowth  = 0.2 // by which one refusal raises the accepted wait
)

// Next implements Scheduler.
func (s *Adaptive) Next(now time.Duration) (Placement, bool) {
	if p, ok := s.nextOfGang(now); ok {
		return p, true
	}
	p, ok := Placement{}, false
	s.now = now
	s.updateContention(now)
	for len(s.parked) < maxParked && !s.window.full(s.inFlight) {
		j := s.queue.head(now)
		if j == nil || len(s.up) == 0 {
			break
		}
		if j.job.Gang {
			if s.planGang(now, j) {
				p, ok = s.nextOfGang(now)
				break
			}
			if s.holdsBack(now, j) {
				break
			}
		} else {
			c := s.choose(now, j)
			if c.agent != nil {
				p, ok = s.place(now, j, c), true
				break
			}
			if !c.misfit {
				break
			}
		}
		s.queue.detach(j)
		s.parked = append(s.parked, j)
	}
	for _, j := range s.parked {
		s.queue.attach(j)
	}
	s.parked = s.parked[:0]
	s.observeService()
	return p, ok
}

// place commits to a choice. From here until Done, Task.Slot holds the time of
// the send, negative.
func (s *Adaptive) place(now time.Duration, j *jobState, c choice) Placement {
	t := s.queue.start(j)
	t.Slot = -int(now) - 1
	a := c.agent
	a.sent(now, a.slotsOf(j.job))
	s.inFlight++
	j.racks[a.rack]++
	j.last = a
	if j.job.PerWorker > 0 {
		if j.at == nil {
			j.at = make(map[*agentState]int)
		}
		j.at[a]++
	}
	if t.Attempts == 0 {
		s.budget.started(now)
	}
	if a.health.ejected {
		a.health.probing = true
		a.health.probeAt = now + ejectBase
	}
	s.dropFreed(a)
	slack := j.due + j.class.lead - now
	if j.late || !s.on.slackOrder {
		slack = j.job.Deadline - now
	}
	return Placement{Task: t, Agent: a.info.Agent, Slack: slack, MaxWait: c.maxWait}
}

// Done implements Scheduler.
func (s *Adaptive) Done(now time.Duration, agent wire.Incarnation, task *Task, r *wire.Result) {
	a := s.agents[agent]
	if a == nil || task.Slot >= 0 {
		return
	}
	sentAt := time.Duration(-task.Slot - 1)
	task.Slot = 0
	a.ended(a.slotsOf(task.Job))
	s.inFlight--
	s.noteFreed(a)
	if r.Reason != wire.ReasonAgentLost {
		trip := now - sentAt - r.Wait.Duration() - r.Run.Duration()
		a.roundTrip(trip)
		s.window.observe(now, sentAt, trip, s.inFlight)
	}
	s.adjustWait(r)
	j := s.queue.jobs[task.Job]
	if j == nil {
		return
	}
	if j.job.PerWorker > 0 {
		j.at[a]--
	}
	s.outcome(now, sentAt, a, j, r)
	s.queue.finish(j)
}

// adjustWait steers the share of busy refusals towards that of the emphasis: a
// refusal raises the accepted wait, every other outcome lowers it a little.
func (s *Adaptive) adjustWait(r *wire.Result) {
	target := responseRefusals
	if s.settings.Emphasis == EmphasisMessages {
		target = messageRefusals
	}
	if r.Outcome == wire.NotRun && r.Reason == wire.ReasonBusy {
		s.waitScale *= 1 + waitScaleGrowth
	} else {
		s.waitScale *= 1 - waitScaleGrowth*target
	}
	s.waitScale = min(max(s.waitScale, waitScaleMin), waitScaleMax)
}

// outcome feeds the estimates and the health of the agent.
func (s *Adaptive) outcome(now, sentAt time.Duration, a *agentState, j *jobState, r *wire.Result) {
	switch {
	case r.Outcome == wire.Succeeded:
		s.succeeded(a, j, sentAt, r.Run.Duration())
	case agentFault(r):
		j.class.outcomes.add(false)
		j.blame(a)
		a.health.failing = true
	case r.Reason == wire.ReasonRunLimit:
		a.health.excused++ // the deadline passed; the counters include it
	case r.Reason == wire.ReasonUpstreamDown || r.Reason == wire.ReasonSuspect:
		a.health.markDown(now, s.rand.float())
	}
}

func (s *Adaptive) succeeded(a *agentState, j *jobState, sentAt, run time.Duration) {
	c := j.class
	if c.est.known() {
		s.observeSpeed(a, run, c.est.logMean())
	}
	// Tasks that run longest go to the fastest workers. Their class is judged by
	// what they would take on a worker of mean speed.
	usual := time.Duration(float64(run) * math.Exp(-a.speed.relative(s.meanSpeed)))
	c.est.observe(usual)
	c.forecast.observe(j.job.Declared, usual)
	s.runs.observe(run)
	c.outcomes.add(true)
	j.succeeded++
	a.health.markUp()
	if a.health.proven(sentAt) && a.health.ejected {
		s.ejected--
		a.health.readmit()
	}
}

// observeSpeed adds one run to the agent's speed and keeps the mean over all
// connected agents, each weighing the same.
func (s *Adaptive) observeSpeed(a *agentState, run time.Duration, expectedLog float64) {
	before := a.speed.log
	a.speed.observe(run, expectedLog)
	s.meanSpeed += (a.speed.log - before) / float64(max(len(s.up), 1))
}

// resetMeanSpeed computes the mean anew after an agent came or went.
func (s *Adaptive) resetMeanSpeed() {
	s.meanSpeed = 0
	for _, a := range s.up {
		s.meanSpeed += a.speed.log / float64(len(s.up))
	}
}

func (j *jobState) blame(a *agentState) {
	for i := range j.failedOn {
		if j.failedOn[i].agent == a {
			j.failedOn[i].tasks++
			return
		}
	}
	j.failedOn = append(j.failedOn, failure{agent: a, tasks: 1})
}

func (j *jobState) failedOnAgent(a *agentState) bool {
	for i := range j.failedOn {
		if j.failedOn[i].agent == a {
			return true
		}
	}
	return false
}

// judge attributes the failures of a job that ended: to the job if it failed
// on several agents and succeeded on none, else to the agents.
func (s *Adaptive) judge(now time.Duration, j *jobState) {
	if len(j.failedOn) == 0 {
		return
	}
	faulty := len(j.failedOn) >= faultyAgents && j.succeeded == 0
	faulty = faulty || j.class.outcomes.share() < classSuccessFloor
	for _, f := range j.failedOn {
		if faulty {
			f.agent.health.excused += f.tasks
			f.agent.health.weigh(1 - s.outcomes.share())
			continue
		}
		f.agent.health.blamed++
		f.agent.health.excused += f.tasks - 1 // one job is one piece of evidence
		if f.agent.health.probing {
			f.agent.health.eject(now, s.rand.float()) // the probe failed
			continue
		}
		s.consult(now, f.agent)
	}
}

// consult holds an agent whose failures stand out from those of its peers, and
// ejects it if they still do once every peer has reported.
func (s *Adaptive) consult(now time.Duration, a *agentState) {
	h := &a.health
	if !s.on.health || h.ejected || h.held && now < h.heldAt+holdPeriod {
		return
	}
	if !h.held && (h.blamed == 0 || h.suspicion() < holdStreak || !mayEject(s.ejected, len(s.up))) {
		return
	}
	share, failing := s.peers(now, a)
	switch {
	case h.held && h.guilty(share, failing, ejectStreak, ejectChance):
		h.held = false
		h.eject(now, s.rand.float())
	case h.held:
		h.held = false
		s.ejected--
	case h.guilty(share, failing, holdStreak, holdChance):
		h.held = true
		h.heldAt = now
		s.ejected++
	}
}

// peers returns the share of failed tasks at the agents other than a, and how
// many of them had a failure lately or no success since.
func (s *Adaptive) peers(now time.Duration, a *agentState) (failures float64, failing int) {
	good, all := 0.0, 0.0
	for _, o := range s.up {
		if o == a || o.health.ejected {
			continue
		}
		good += o.health.outcomes.good
		all += o.health.outcomes.all
		if at := o.health.failedAt; o.health.streak > 0 || at > 0 && now-at < failureMemory {
			failing++
		}
	}
	return 1 - (good+1)/(all+1), failing
}

// Observe implements Scheduler.
func (s *Adaptive) Observe(now time.Duration, agent wire.Incarnation, load wire.Load) {
	a := s.agents[agent]
	if a == nil {
		return
	}
	a.observe(now, load)
	h := &a.health
	good, bad := h.observe(now, &load)
	s.outcomes.addCounts(good, bad)
	h.weigh(1 - s.outcomes.share())
	switch {
	case load.Down:
		h.markDown(now, s.rand.float())
	case h.down && h.downUntil <= now:
		h.markUp()
	}
	switch {
	case !h.ejected:
		s.consult(now, a)
	case h.probing:
	case bad > 0:
		h.postpone(now, s.rand.float()) // a probe of another entry failed
	case good > 0 && now-h.ejectedAt >= ejectBase:
		h.probeAt = min(h.probeAt, now) // one succeeded
	}
}

// Retry implements Scheduler. A retry beyond the budget waits for it; it is
// denied only if the task could not start before its deadline.
func (s *Adaptive) Retry(now time.Duration, task *Task, reason wire.Reason) (time.Duration, bool) {
	if reason == wire.ReasonExpired {
		return 0, false
	}
	delay := backoff(reason, task.Attempts, s.rand.float())
	delay = max(delay, s.budget.take(now))
	if now+delay >= task.Job.Deadline {
		s.budget.refund()
		return 0, false
	}
	return delay, true
}
