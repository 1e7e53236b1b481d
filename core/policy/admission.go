package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// completionMargin is the share of the time to the deadline that the expected
	// completion time may use, since estimates of heavy-tailed run times are rough.
	completionMargin = 0.8
	// backlogSlackShare is the share of the class's slack that a new job may spend
	// waiting for the backlog ahead of it.
	backlogSlackShare = 0.5
	// maxWaitingPerQuota bounds a team's waiting tasks of one class as a multiple of
	// its quota.
	maxWaitingPerQuota = 16
	// backlogFactorDecrease and backlogFactorIncrease keep the factor constant if a
	// tenth of the jobs are late: 0.93^0.1 x 1.008^0.9 is 1.
	backlogFactorDecrease = 0.93
	backlogFactorIncrease = 1.008
	minBacklogFactor      = 0.05
	// minSlackDivisor: the slack of a class is at least its target divided by this,
	// also if the run time takes up the whole target.
	minSlackDivisor      = 8
	minRetryAfter        = 100 * time.Millisecond
	maxRetryAfter        = 30 * time.Second
	noUpstreamRetryAfter = time.Second
	// contentionShare is the share of the shortest target that the time to serve the
	// backlog may reach before classes above their share must yield.
	contentionShare  = 0.25
	contentionPeriod = 5 * time.Millisecond // between updates of the contention state
	// usableFreeShare is the share of the estimated free slots that this entry
	// counts on, since other entries use them as well.
	usableFreeShare = 0.5
	inServiceWeight = 0.02 // weight of a new sample in the mean number of tasks in service
)

// admit decides whether to accept a new job.
func (s *Adaptive) admit(now time.Duration, job *Job) AdmitResult {
	s.now = now
	c := s.classes[job.Class]
	if c == nil || !c.published {
		return AdmitResult{Refusal: RefusedUnknownClass}
	}
	if s.usableCount == 0 {
		return AdmitResult{Refusal: RefusedNoUpstream, RetryAfter: s.jittered(noUpstreamRetryAfter)}
	}
	if !fits(s.usable(), c, job) {
		if s.fitsIfReturned(c, job) {
			return AdmitResult{
				Refusal: RefusedNoUpstream, RetryAfter: s.jittered(noUpstreamRetryAfter),
				Detail: "the workers that can run the job are in evacuated zones",
			}
		}
		return AdmitResult{Refusal: RefusedNeverFits}
	}
	left := job.Deadline - now
	s.noteResubmitted(c, job)
	if c.runs.known() && s.enabled.estimates && left < c.runs.p50 {
		return AdmitResult{Refusal: RefusedDeadline}
	}
	if !s.enabled.admission {
		return AdmitResult{}
	}
	if s.enabled.estimates {
		if probability := s.completionProbability(c, job, left); probability < minCompletionProbability {
			return AdmitResult{
				Refusal: RefusedDeadline,
				Detail:  fmt.Sprintf("probability %.2f of completing within %v", probability, left.Round(time.Millisecond)),
			}
		}
	}
	if s.overQuota(c, job) {
		return AdmitResult{Refusal: RefusedQuota, RetryAfter: s.jittered(s.expectedWait(c, job.Team))}
	}
	return s.admitBacklog(c, job, left)
}

// admitBacklog refuses a job if the backlog ahead of it would make it late.
func (s *Adaptive) admitBacklog(c *classState, job *Job, left time.Duration) AdmitResult {
	if c.contained(s.now) {
		return s.admitContained(c, job, s.allowedWait(c, job, left))
	}
	wait := s.expectedWait(c, job.Team)
	if s.queue.waiting+job.Tasks > s.opts.MaxWaiting {
		return AdmitResult{Refusal: RefusedOverload, RetryAfter: s.jittered(wait)}
	}
	if s.queue.waiting == 0 {
		return AdmitResult{}
	}
	if job.Resubmitted {
		return s.admitResubmitted(c, job, left)
	}
	allowed := s.allowedWait(c, job, left)
	if wait <= allowed {
		return AdmitResult{}
	}
	return AdmitResult{
		Refusal: RefusedOverload, RetryAfter: s.jittered(wait - allowed),
		Detail: fmt.Sprintf("expected wait %v exceeds the limit of %v: %d tasks waiting, %d attempts in flight of at most %.0f, %.1f tasks in service, %.1f slots free",
			wait.Round(time.Millisecond), allowed.Round(time.Millisecond), s.queue.waiting,
			s.inFlight, s.window.size, s.meanInService, s.freeSlots()),
	}
}

// allowedWait returns how long a new job may wait for the backlog ahead of it. A backlog
// close to the target makes the jobs behind it late, and late jobs expire after part of
// their work was done. So the backlog is kept shorter.
func (s *Adaptive) allowedWait(c *classState, job *Job, left time.Duration) time.Duration {
	return min(
		time.Duration(completionMargin*float64(left))-s.jobTime(c, job),
		time.Duration(backlogSlackShare*s.team(c, job.Team).backlogFactor*float64(s.slack(c))),
	)
}

// adaptBacklogFactor adapts the backlog at which jobs of the team are admitted to
// the results of its admitted jobs: while more than a tenth of them miss their
// target, fewer are admitted. This handles sustained load above capacity: tasks of
// other entries fill the workers as well, so the estimated waits are too low and
// every job would be late.
func (t *teamState) adaptBacklogFactor(met bool) {
	if met {
		t.backlogFactor = min(1, t.backlogFactor*backlogFactorIncrease)
		return
	}
	t.backlogFactor = max(minBacklogFactor, t.backlogFactor*backlogFactorDecrease)
}

// slack returns the delay with which a typical job of the class still meets its
// target.
func (s *Adaptive) slack(c *classState) time.Duration {
	return max(s.responseTarget(c)-s.expectedRun(c, 0), s.responseTarget(c)/minSlackDivisor)
}

// jobTime returns the expected time from the first start of a job to its completion.
func (s *Adaptive) jobTime(c *classState, job *Job) time.Duration {
	longest := s.p90Run(c, job)
	work := float64(s.expectedRun(c, job.DeclaredRunTime)) * float64(job.Tasks) / s.serviceSlots()
	return max(longest, time.Duration(work))
}

// expectedWait returns the expected delay until the first start of a new job of the
// team and class.
func (s *Adaptive) expectedWait(c *classState, team string) time.Duration {
	contended := s.backlogTime() > contentionShare*float64(s.responseTarget(c))
	own := s.tasksAhead(c, team) * float64(s.expectedRun(c, 0))
	work := own
	for _, other := range s.classList {
		if other != c && other.waiting > other.resubmitted && !other.contained(s.now) {
			work += s.workAhead(c, other, own, contended)
		}
	}
	if s.queue.late.Len() > 0 {
		work *= lateStartInterval / (lateStartInterval - 1.0) // a share of the starts goes to late jobs
	}
	return time.Duration(work / s.serviceSlots())
}

// tasksAhead estimates the number of the class's tasks that are served before a
// new task of the team. A team below its share is not refused because of the
// backlog of another team.
func (s *Adaptive) tasksAhead(c *classState, team string) float64 {
	waiting := c.waiting - c.resubmitted // those are served after it
	if !s.queue.fair {
		return float64(waiting)
	}
	t := s.team(c, team)
	quotas := 0.0
	if t.viable.Len() == 0 {
		quotas = t.quota
	}
	for _, other := range c.byShare.Items {
		quotas += other.quota
	}
	return min(float64(waiting), float64(t.waiting-t.resubmitted)*quotas/t.quota)
}

// workAhead estimates the work of another class that is served before a new task
// of class c; own is the work ahead of that task in its own class.
func (s *Adaptive) workAhead(c, other *classState, own float64, contended bool) float64 {
	work := float64(other.waiting-other.resubmitted) * float64(s.expectedRun(other, 0))
	switch {
	case !s.enabled.slackOrder:
		return work
	case contended:
		return min(work, own) // equal shares
	case s.responseTarget(other) <= s.responseTarget(c):
		return work
	}
	// The slack of the waiting tasks is assumed to be spread evenly up to the
	// target of their class.
	return work * float64(s.responseTarget(c)) / float64(s.responseTarget(other))
}

// backlogTime returns the expected time, in nanoseconds, to serve all waiting tasks but those
// of resubmitted jobs.
func (s *Adaptive) backlogTime() float64 {
	work := 0.0
	for _, c := range s.classList {
		if c.waiting > c.resubmitted && !c.contained(s.now) {
			work += float64(c.waiting-c.resubmitted) * float64(s.expectedRun(c, 0))
		}
	}
	return work / s.serviceSlots()
}

// updateContention compares the backlog with the shortest target of the classes
// that have tasks. To end contention, the backlog must fall to half of the limit.
func (s *Adaptive) updateContention(now time.Duration) {
	if now < s.nextContentionUpdate {
		return
	}
	s.nextContentionUpdate = now + contentionPeriod
	if s.queue.waiting == 0 || s.queue.active < 2 {
		s.queue.setContended(false)
		return
	}
	shortest := time.Duration(math.MaxInt64)
	for _, c := range s.classList {
		if c.tasks() > 0 {
			shortest = min(shortest, s.responseTarget(c))
		}
	}
	limit := contentionShare * float64(shortest)
	if s.queue.contended {
		limit /= 2
	}
	s.queue.setContended(s.backlogTime() > limit)
}

// serviceSlots estimates the number of slots that serve this entry's tasks: the
// slots that it was observed to use, or a share of the free ones. Before any run
// time is known all slots count: until its first success each agent is sent one task
// at a time, and if only that counted, the first burst after a restart of the whole
// system would be refused.
func (s *Adaptive) serviceSlots() float64 {
	if s.allRuns.known() {
		slots := max(s.meanInService, s.inService(s.now)+usableFreeShare*s.freeSlots())
		return max(1, min(slots, s.window.size))
	}
	slots := 0
	for _, a := range s.usable() {
		slots += a.info.Slots
	}
	return max(1, s.meanInService, float64(slots))
}

// observeInService samples the number of this entry's tasks in service.
func (s *Adaptive) observeInService() {
	n := s.inService(s.now)
	if s.queue.waiting == 0 || n > s.meanInService {
		// Without a backlog the number in service does not show how many tasks
		// could be in service, so the mean only grows.
		s.meanInService = max(s.meanInService, n)
		return
	}
	s.meanInService += (n - s.meanInService) * inServiceWeight
}

// freeSlots estimates the number of free slots at the agents that accept starts.
// After a restart or at the start of a burst they are available although this entry
// has not used them yet.
func (s *Adaptive) freeSlots() float64 {
	run := max(s.allRuns.meanOrPrior(0), minMeanRun)
	return s.sumOverUsable(func(a *agentState) float64 {
		return max(0, a.limit()-a.usedSlots(s.now, run, s.enabled.ageing)) * a.capacityShare(s.now)
	})
}

// sumOverUsable returns the sum of a figure over the agents that take starts now. It is
// extrapolated from SampleAgents agents if more are connected.
func (s *Adaptive) sumOverUsable(figure func(*agentState) float64) float64 {
	sum := 0.0
	agents := s.usable()
	agents = agents[:min(len(agents), s.opts.SampleAgents)]
	for _, a := range agents {
		if a.acceptsStarts() && !a.health.ejected && !a.health.suspended && !a.health.down {
			sum += figure(a)
		}
	}
	return sum * float64(s.usableCount) / float64(max(1, len(agents)))
}

// fits reports whether the workers of the agents could run the job if they were idle.
func fits(agents []*agentState, c *classState, job *Job) bool {
	if job.Gang {
		return gangFits(agents, c, job)
	}
	return slices.ContainsFunc(agents, func(a *agentState) bool { return a.matches(c.class.Pool, job) })
}

// overQuota reports whether the job's team already has as many waiting tasks in the
// class as its quota allows.
func (s *Adaptive) overQuota(c *classState, job *Job) bool {
	quota := s.quotas[job.Team]
	t := c.teams[job.Team]
	return quota > 0 && t != nil && t.waiting >= quota*maxWaitingPerQuota
}

// jittered clamps d to the bounds of RetryAfter and adds up to half of it at random.
func (s *Adaptive) jittered(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(s.rand.float()*float64(d)/2)
}
