package policy

import (
	"math"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// Target shares of starts that agents refuse as busy, by emphasis. Each refusal
	// costs two messages, so the share for EmphasisResponse keeps the waste below
	// 0.05 messages per task and leaves a margin for other wasted messages.
	responseRefusalShare = 0.01
	messageRefusalShare  = 0.002
	waitScaleStart       = 8 // initial Adaptive.waitScale
	waitScaleMin         = 0.25
	waitScaleMax         = 64
	waitScaleGrowth      = 0.2 // relative increase of the accepted wait by one refusal
)

// Next implements Scheduler.
func (s *Adaptive) Next(now time.Duration) (Placement, bool) {
	if p, ok := s.nextOfGang(now); ok {
		return p, true
	}
	p, ok := Placement{}, false
	s.now = now
	s.updateContention(now)
	s.observeOthers(now)
	s.queue.unparkDue(now)
	for parked := 0; parked < maxParkedPerDecision && !s.windowFull(); parked++ {
		j := s.queue.head(now, s.mayStartResubmitted)
		if j == nil || s.usableCount == 0 {
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
			if j.class.contained(now) && !j.inResubmitted() {
				s.setAside(j.class)
				continue
			}
			if !c.unmetRequirements && !j.class.contained(now) {
				break
			}
		}
		s.park(now, j)
	}
	s.restoreAside()
	s.observeInService()
	return p, ok
}

// place commits the placement of a task. From here until AttemptDone,
// Task.SchedulerState is the negated send time minus one.
func (s *Adaptive) place(now time.Duration, j *jobState, c choice) Placement {
	t := s.queue.start(j)
	t.SchedulerState = -int(now) - 1
	a := c.agent
	a.recordStart(now, a.slotsOf(j.job), s.classIndex(j.job))
	s.recordClassSlots(a, j.job, a.slotsOf(j.job))
	s.countAttempts(a, 1, 0)
	a.attempts.add(now)
	if j.job.LongRunning {
		a.longRunning.add(now, t.NotRunAttempts > 0)
	}
	j.parkDelay = 0
	j.racks[a.rackBucket]++
	j.lastAgent = a
	if j.job.MaxPerWorker > 0 {
		if j.inFlightAt == nil {
			j.inFlightAt = make(map[*agentState]int)
		}
		j.inFlightAt[a]++
	}
	if t.NotRunAttempts == 0 {
		s.budget.recordStart(now)
	}
	if a.health.ejected {
		a.health.beginTrial(now, s.rand.float())
	}
	s.removeFreed(a)
	slack := j.due + j.class.priorityDelay - now
	if j.late || !s.enabled.slackOrder {
		slack = j.job.Deadline - now
	}
	return Placement{Task: t, Agent: a.info.Agent, Slack: slack, MaxWait: c.maxWait}
}

// AttemptDone implements Scheduler.
func (s *Adaptive) AttemptDone(now time.Duration, agent wire.Incarnation, task *Task, r *wire.Result) {
	a := s.agents[agent]
	if a == nil || task.SchedulerState >= 0 {
		return
	}
	sentAt := time.Duration(-task.SchedulerState - 1)
	task.SchedulerState = 0
	a.recordEnd(a.slotsOf(task.Job))
	s.recordClassSlots(a, task.Job, -a.slotsOf(task.Job))
	if task.Job.LongRunning {
		a.longRunning.remove(sentAt)
	}
	standing := 0
	if a.attempts.remove(sentAt) {
		standing = 1
	}
	s.countAttempts(a, -1, -standing)
	s.addFreed(a)
	if r.Reason != wire.ReasonAgentLost && sentAt >= s.resumedAt {
		rtt := now - sentAt - r.QueueTime.Duration() - r.RunTime.Duration()
		a.observeRoundTrip(rtt)
		s.window.observe(now, sentAt, rtt, s.answersDue())
	}
	s.adjustWait(r)
	if r.Reason == wire.ReasonEvacuated { // also before the agent's next report
		a.info.Load.Evacuated = true
		s.observeEvacuated(now, a)
	}
	if task.NotRunAttempts > 0 && r.Outcome == wire.Succeeded {
		s.budget.recordSuccess(now)
	}
	if r.Reason == wire.ReasonStuck {
		task.StuckRuns++
	}
	j := s.queue.jobs[task.Job]
	if j == nil {
		return
	}
	if j.job.MaxPerWorker > 0 {
		j.inFlightAt[a]--
	}
	j.recordRefusals(a, r)
	if r.Reason == wire.ReasonWorkerCrashed {
		s.recordCrash(now, a, j.class, task, r)
	}
	if task.StuckRuns <= blamedStuckRuns || r.Reason != wire.ReasonStuck {
		s.recordOutcome(now, sentAt, a, j, r)
	}
	s.queue.finish(j)
	s.slotFreed(a)
}

// adjustWait keeps the share of starts refused as busy close to the target of the
// emphasis: a refusal raises the accepted wait, any other result lowers it slightly.
func (s *Adaptive) adjustWait(r *wire.Result) {
	target := responseRefusalShare
	if s.settings.Emphasis == EmphasisMessages {
		target = messageRefusalShare
	}
	if r.Outcome == wire.NotRun && r.Reason == wire.ReasonBusy {
		s.waitScale *= 1 + waitScaleGrowth
	} else {
		s.waitScale *= 1 - waitScaleGrowth*target
	}
	s.waitScale = min(max(s.waitScale, waitScaleMin), waitScaleMax)
}

// recordOutcome updates the estimates and the health of the agent from a result.
func (s *Adaptive) recordOutcome(now, sentAt time.Duration, a *agentState, j *jobState, r *wire.Result) {
	switch {
	case r.Outcome == wire.Succeeded:
		s.observeInterference(now, a, j, r)
		s.recordSuccess(a, j, sentAt, r.RunTime.Duration())
	case agentFault(r):
		j.class.outcomes.add(false)
		j.addFailure(a)
		a.health.ownFailure = true
	case r.Reason == wire.ReasonRunLimit:
		a.health.unattributed++ // the deadline passed, but the agent's counters include it as a failure
	case r.Reason == wire.ReasonUpstreamDown || r.Reason == wire.ReasonSuspect:
		a.health.markDown(now, s.rand.float())
	}
}

func (s *Adaptive) recordSuccess(a *agentState, j *jobState, sentAt, run time.Duration) {
	c := j.class
	if c.runs.known() {
		s.observeSpeed(a, run, c.runs.logMean())
	}
	// The longest tasks go to the fastest workers, so the estimate of the class uses
	// the run time that a worker of mean speed would need.
	normalized := time.Duration(float64(run) * math.Exp(-a.speed.relative(s.meanLogRatio)))
	c.runs.observe(normalized)
	c.forecast.observe(j.job.DeclaredRunTime, normalized)
	s.allRuns.observe(run)
	c.outcomes.add(true)
	j.succeeded++
	a.health.markUp()
	s.recordHealthy(a, sentAt)
}

// recordHealthy records that an attempt that was sent at sentAt succeeded, or lasts as it
// is meant to. It ends an ejection unless the agent has failed since.
func (s *Adaptive) recordHealthy(a *agentState, sentAt time.Duration) {
	if a.health.recordOwnSuccess(sentAt) && a.health.ejected {
		s.countUnavailable(a, -1)
		a.health.readmit()
	}
}

// observeSpeed adds one run to the agent's speed and updates the unweighted mean
// over all connected agents. expectedLog is described at speed.observe.
func (s *Adaptive) observeSpeed(a *agentState, run time.Duration, expectedLog float64) {
	before := a.speed.logRatio
	a.speed.observe(run, expectedLog)
	s.meanLogRatio += (a.speed.logRatio - before) / float64(max(len(s.connected), 1))
}

// resetMeanLogRatio recomputes the mean after an agent connected or disconnected.
func (s *Adaptive) resetMeanLogRatio() {
	s.meanLogRatio = 0
	for _, a := range s.connected {
		s.meanLogRatio += a.speed.logRatio / float64(len(s.connected))
	}
}

// addFailure counts a failed task of the job at the agent.
func (j *jobState) addFailure(a *agentState) {
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

// attributeFailures attributes the failures of a job that ended: to the job if it
// failed on several agents and succeeded on none, or if its class fails often;
// otherwise to the agents.
func (s *Adaptive) attributeFailures(now time.Duration, j *jobState) {
	if len(j.failedOn) == 0 {
		return
	}
	faultyJob := len(j.failedOn) >= faultyJobAgents && j.succeeded == 0
	faultyJob = faultyJob || j.class.outcomes.share() < minClassSuccess
	for _, f := range j.failedOn {
		if faultyJob {
			f.agent.health.unattributed += f.tasks
			f.agent.health.updateLimited(1 - s.outcomes.share())
			continue
		}
		f.agent.health.attributed++
		f.agent.health.unattributed += f.tasks - 1 // several failures of one job count once
		if f.agent.health.onTrial {
			f.agent.health.eject(now, s.rand.float()) // the trial failed
			continue
		}
		s.checkOutlier(now, f.agent)
	}
}

// checkOutlier suspends an agent whose failures are unlikely compared with those of
// its peers, and ejects it if they still are once every peer has reported. An agent in an
// evacuated zone is judged when the zone returns: it does not count as unavailable, so nothing
// would bound how many of them are ejected.
func (s *Adaptive) checkOutlier(now time.Duration, a *agentState) {
	h := &a.health
	if !s.enabled.health || a.evacuated || h.ejected || h.suspended && now < h.suspendedAt+suspendPeriod {
		return
	}
	if !h.suspended && (h.attributed == 0 || h.unexplainedFailures() < suspendStreak || !mayEject(s.unavailable, s.usableCount)) {
		return
	}
	failureShare, failingPeers := s.peerFailures(now, a)
	switch {
	case h.suspended && h.isOutlier(failureShare, failingPeers, ejectStreak, ejectProbability):
		h.suspended = false
		h.eject(now, s.rand.float())
	case h.suspended:
		h.suspended = false
		s.countUnavailable(a, -1)
	case h.isOutlier(failureShare, failingPeers, suspendStreak, suspendProbability):
		h.suspended = true
		h.suspendedAt = now
		s.countUnavailable(a, 1)
	}
}

// peerFailures returns the share of failed tasks at the other usable agents that are not
// ejected, and how many of these failed a task recently or have not proved healthy
// since their last failure. Failures in an evacuated zone, whose workers may be stopped,
// say nothing about the jobs.
func (s *Adaptive) peerFailures(now time.Duration, a *agentState) (failureShare float64, failingPeers int) {
	successes, total := 0.0, 0.0
	for _, other := range s.usable() {
		if other == a || other.health.ejected {
			continue
		}
		successes += other.health.outcomes.successes
		total += other.health.outcomes.total
		if at := other.health.failedAt; other.health.streak > 0 || at > 0 && now-at < recentFailurePeriod {
			failingPeers++
		}
	}
	return 1 - (successes+1)/(total+1), failingPeers
}

// Observe implements Scheduler.
func (s *Adaptive) Observe(now time.Duration, agent wire.Incarnation, load wire.Load) {
	a := s.agents[agent]
	if a == nil {
		return
	}
	a.observe(now, load)
	s.observeClasses(now, a, &load)
	s.observeEvacuated(now, a)
	s.countAttempts(a, 0, a.attempts.advance(now))
	s.creditLongRunning(now, a)
	h := &a.health
	successes, failures := h.observe(now, &load)
	s.outcomes.addCounts(successes, failures)
	h.updateLimited(1 - s.outcomes.share())
	switch {
	case load.Down:
		h.markDown(now, s.rand.float())
	case h.down && h.downUntil <= now:
		h.markUp()
	}
	switch {
	case !h.ejected:
		s.checkOutlier(now, a)
	case h.onTrial: // the result of the trial decides
	case failures > 0 && now-h.scheduledAt >= minTrialDelay:
		// A trial by another entry failed. Failures in quick succession are of tasks that
		// were there before.
		h.scheduleTrial(now, s.rand.float())
	case successes > 0 && now-h.ejectedAt >= minTrialDelay:
		h.trialAt = min(h.trialAt, now) // a trial by another entry succeeded
	}
}

// RetryReleaser is implemented by schedulers whose delays of retries may turn out too
// long.
type RetryReleaser interface {
	// ReleasedRetries returns how many of the tasks that wait because of Retry may be
	// placed before their delay has passed. Each call returns what has been released
	// since the last one.
	ReleasedRetries() int
}

// ReleasedRetries implements RetryReleaser.
func (s *Adaptive) ReleasedRetries() int { return s.budget.takeReleased() }

// Retry implements Scheduler. A retry that exceeds the budget is delayed; it is
// denied only if the task could not start before its deadline.
func (s *Adaptive) Retry(now time.Duration, task *Task, reason wire.Reason) (time.Duration, bool) {
	switch {
	case reason == wire.ReasonExpired:
		return 0, false
	case reason == wire.ReasonEvacuated: // not a retry: only this zone refuses the task
		return 0, now < task.Job.Deadline
	}
	delay := backoff(reason, task.NotRunAttempts, s.rand.float())
	delay = max(delay, s.budget.reserve(now))
	if now+delay >= task.Job.Deadline {
		s.budget.refund()
		return 0, false
	}
	return delay, true
}

// PauseObserver is implemented by schedulers that learn from the round trips of attempts.
type PauseObserver interface {
	// Resumed reports that the process was paused until now.
	Resumed(now time.Duration)
}

// Resumed implements PauseObserver. The round trips of attempts from before the pause
// contain it and tell nothing about the link.
func (s *Adaptive) Resumed(now time.Duration) { s.resumedAt = now }
