package policy

import (
	"fmt"
	"math"
	"time"
)

const (
	// completionMargin is the share of the time to the deadline that the
	// expected completion may use; estimates of heavy-tailed work are rough.
	completionMargin = 0.8
	// backlogShare is the part of the slack to the class's target that a job may
	// spend behind the backlog.
	backlogShare = 0.5
	// quotaWaiting bounds a team's waiting tasks, as a multiple of its quota.
	quotaWaiting = 16
	// A tenth of late jobs holds the patience: 0.93^0.1 x 1.008^0.9 is 1.
	patienceLoss  = 0.93
	patienceGain  = 1.008
	patienceFloor = 0.05
	// slackFloor divides the target of a class whose jobs take all of it.
	slackFloor     = 8
	minRetryAfter  = 100 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
	noUpstreamWait = time.Second
	// contentionShare is the part of the tightest target that draining the
	// backlog may take before classes above their share must yield.
	contentionShare  = 0.25
	contentionPeriod = 5 * time.Millisecond
	// freeShare is the part of the slots believed free that this entry may count
	// on; other entries see them as well.
	freeShare     = 0.5
	serviceWeight = 0.02 // of the newest sample in the mean number of tasks in service
)

// admit decides on a new job.
func (s *Adaptive) admit(now time.Duration, job *Job) Verdict {
	s.now = now
	c := s.classes[job.Class]
	if c == nil || !c.published {
		return Verdict{Refusal: RefusedUnknownClass}
	}
	if len(s.up) == 0 {
		return Verdict{Refusal: RefusedNoUpstream, RetryAfter: s.jittered(noUpstreamWait)}
	}
	if !s.fitsSomewhere(job) || job.Gang && !s.gangFits(c, job) {
		return Verdict{Refusal: RefusedNeverFits}
	}
	left := job.Deadline - now
	if c.est.known() && s.on.estimates && left < c.est.p50 {
		return Verdict{Refusal: RefusedDeadline}
	}
	if !s.on.admission {
		return Verdict{}
	}
	if s.on.estimates {
		if chance := s.chance(c, job, left); chance < leastChance {
			return Verdict{
				Refusal: RefusedDeadline,
				Detail:  fmt.Sprintf("chance %.2f to end within %v", chance, left.Round(time.Millisecond)),
			}
		}
	}
	if s.overQuota(c, job) {
		return Verdict{Refusal: RefusedQuota, RetryAfter: s.jittered(s.wait(c, job.Team))}
	}
	return s.admitBacklog(c, job, left)
}

// admitBacklog refuses a job that the backlog ahead would make miss its deadline.
func (s *Adaptive) admitBacklog(c *classState, job *Job, left time.Duration) Verdict {
	wait := s.wait(c, job.Team)
	if s.queue.waiting+job.Tasks > s.opts.MaxWaiting {
		return Verdict{Refusal: RefusedOverload, RetryAfter: s.jittered(wait)}
	}
	if s.queue.waiting == 0 {
		return Verdict{}
	}
	// A backlog near the target makes the jobs behind it late, and late jobs
	// expire with work half done; so it stops growing before.
	allowed := min(
		time.Duration(completionMargin*float64(left))-s.jobTime(c, job),
		time.Duration(backlogShare*s.team(c, job.Team).patience*float64(s.slack(c))),
	)
	if wait <= allowed {
		return Verdict{}
	}
	return Verdict{
		Refusal: RefusedOverload, RetryAfter: s.jittered(wait - allowed),
		Detail: fmt.Sprintf("wait %v of %v allowed, %d tasks waiting, %d sent of %.0f at most, %.1f in service, %.1f free",
			wait.Round(time.Millisecond), allowed.Round(time.Millisecond), s.queue.waiting,
			s.inFlight, s.window.size, s.service, s.freeSlots()),
	}
}

// learnPatience adapts the backlog that new jobs of a team may find to what
// became of its jobs that were admitted: while more than a tenth of them miss their target,
// fewer are admitted. It answers a load above capacity that lasts: estimates of
// the wait are too low then, since other entries' tasks fill the workers as well,
// and every job would be late.
func (t *teamState) learnPatience(met bool) {
	if met {
		t.patience = min(1, t.patience*patienceGain)
		return
	}
	t.patience = max(patienceFloor, t.patience*patienceLoss)
}

// slack is the delay that a usual job of the class can bear within its target.
func (s *Adaptive) slack(c *classState) time.Duration {
	return max(s.within(c)-s.mean(c, 0), s.within(c)/slackFloor)
}

// jobTime is the expected time from a job's first start to its completion.
func (s *Adaptive) jobTime(c *classState, job *Job) time.Duration {
	longest := s.high(c, job)
	work := float64(s.mean(c, job.Declared)) * float64(job.Tasks) / s.drain()
	return max(longest, time.Duration(work))
}

// wait is the expected delay before a new job of the class gets its first start.
func (s *Adaptive) wait(c *classState, team string) time.Duration {
	contended := s.backlog() > contentionShare*float64(s.within(c))
	own := s.aheadInClass(c, team) * float64(s.mean(c, 0))
	work := own
	for _, other := range s.classList {
		if other != c && other.waiting > 0 {
			work += s.ahead(c, other, own, contended)
		}
	}
	if s.queue.late.Len() > 0 {
		work *= lateShare / (lateShare - 1.0) // starts given to late jobs
	}
	return time.Duration(work / s.drain())
}

// aheadInClass estimates the class's tasks that are served before a new one of
// the team. A team that waits less than its share is not refused for the
// backlog of another.
func (s *Adaptive) aheadInClass(c *classState, team string) float64 {
	if !s.queue.fair {
		return float64(c.waiting)
	}
	t := s.team(c, team)
	quotas := 0.0
	if t.viable.Len() == 0 {
		quotas = t.quota
	}
	for _, other := range c.byShare.Items {
		quotas += other.quota
	}
	return min(float64(c.waiting), float64(t.waiting)*quotas/t.quota)
}

// ahead estimates the work of another class that is served before a new task
// of class c, which has the work own ahead of it in its own class.
func (s *Adaptive) ahead(c, other *classState, own float64, contended bool) float64 {
	work := float64(other.waiting) * float64(s.mean(other, 0))
	switch {
	case !s.on.slackOrder:
		return work
	case contended:
		return min(work, own) // equal shares
	case s.within(other) <= s.within(c):
		return work
	}
	// The waiting tasks' slack is spread over the class's target time.
	return work * float64(s.within(c)) / float64(s.within(other))
}

// backlog is the expected time in nanoseconds to serve all waiting tasks.
func (s *Adaptive) backlog() float64 {
	work := 0.0
	for _, c := range s.classList {
		if c.waiting > 0 {
			work += float64(c.waiting) * float64(s.mean(c, 0))
		}
	}
	return work / s.drain()
}

// updateContention compares the backlog with the tightest target of the
// classes that have work.
func (s *Adaptive) updateContention(now time.Duration) {
	if now < s.contentionAt {
		return
	}
	s.contentionAt = now + contentionPeriod
	if s.queue.waiting == 0 || s.queue.active < 2 {
		s.queue.contend(false)
		return
	}
	tightest := time.Duration(math.MaxInt64)
	for _, c := range s.classList {
		if c.tasks() > 0 {
			tightest = min(tightest, s.within(c))
		}
	}
	limit := contentionShare * float64(tightest)
	if s.queue.contended {
		limit /= 2
	}
	s.queue.contend(s.backlog() > limit)
}

// drain returns the number of slots that serve this entry's tasks: what it was
// observed to hold. Before any run time is known every slot counts: agents are
// then given one task each until the first succeeds, and taking that for the
// capacity would refuse the first burst after a restart of everything.
func (s *Adaptive) drain() float64 {
	if s.runs.known() {
		slots := max(s.service, float64(s.inFlight)+freeShare*s.freeSlots())
		return max(1, min(slots, s.window.size))
	}
	slots := 0
	for _, a := range s.up {
		slots += a.info.Slots
	}
	return max(1, s.service, float64(slots))
}

// observeService samples the number of own tasks in service.
func (s *Adaptive) observeService() {
	n := float64(s.inFlight)
	if s.queue.waiting == 0 || n > s.service {
		// Without a backlog the number in service says nothing about what
		// could be, so the mean only grows.
		s.service = max(s.service, n)
		return
	}
	s.service += (n - s.service) * serviceWeight
}

// freeSlots sums the slots that are believed free at the agents which take
// starts. After a restart or at the begin of a burst they are there although
// this entry has not held them yet.
func (s *Adaptive) freeSlots() float64 {
	free := 0.0
	run := max(s.runs.mean(0), minRun)
	agents := s.up[:min(len(s.up), s.opts.SampleAgents)]
	for _, a := range agents {
		if a.open() && !a.health.ejected && !a.health.held && !a.health.down {
			free += max(0, a.limit()-a.believed(s.now, run, s.on.ageing))
		}
	}
	return free * float64(len(s.up)) / float64(max(1, len(agents)))
}

// fitsSomewhere reports whether some worker can run tasks of the job at all.
func (s *Adaptive) fitsSomewhere(job *Job) bool {
	pool := s.classes[job.Class].class.Pool
	for _, a := range s.up {
		if a.suits(pool, job) {
			return true
		}
	}
	return false
}

// overQuota reports whether the team has as many tasks waiting as allowed.
func (s *Adaptive) overQuota(c *classState, job *Job) bool {
	quota := s.quotas[job.Team]
	t := c.teams[job.Team]
	return quota > 0 && t != nil && t.waiting >= quota*quotaWaiting
}

func (s *Adaptive) jittered(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(s.rand.float()*float64(d)/2)
}
