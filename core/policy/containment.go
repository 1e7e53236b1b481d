package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Containment answers a load in which jobs of one class end the process of each worker
// that starts them. Each such job takes workers down for seconds, so a few a second
// leave none for any class. While a class is contained, its tasks run only on a third
// of the workers, and the other classes use those last. Gangs and long-running tasks are
// not contained.

const (
	// startCrashPeriod: if a worker crashes within it after the start of a run, that
	// run may be the reason. Runs that have lasted longer are less likely to be.
	startCrashPeriod = 100 * time.Millisecond
	// containScore: a class is contained if its recent offences reach this score and
	// outweigh those of all other classes, whose tasks ran beside them.
	containScore = 2
	// minCrashedShare of the workers must have crashed within containmentPeriod. Fewer
	// crashes cost the other classes less than containment costs the class.
	minCrashedShare = 0.1
	// containmentPeriod is how long a class stays contained after a worker last crashed
	// soon after the start of one of its tasks. The period doubles with each containment
	// that begins within maxContainmentPeriod after the last.
	containmentPeriod    = 10 * time.Second
	maxContainmentPeriod = time.Minute
	// quarantineDivisor: one in quarantineDivisor workers of a pool runs the contained
	// classes, and at least one.
	quarantineDivisor = 3
	// quarantineCost is the cost of a quarantined agent for other classes, which use it
	// if no other agent has room.
	quarantineCost = time.Second
	// othersIdlePeriod: a contained class may use all workers once no other class has had
	// a task at this entry for this long. There is nobody to protect then, and stored
	// jobs must not wait while workers are idle.
	othersIdlePeriod = time.Second
	// containedRetryAfter is the RetryAfter of a refused job of a contained class while
	// none of its workers is up. A crashed worker takes seconds to return.
	containedRetryAfter = 2 * time.Second
)

// offenceScores is the score of the n-th worker that crashes soon after the start of one
// task. Tasks that ran beside an offender have one such crash, seldom two.
var offenceScores = [...]int{2: 1, 3: 2}

// offence is the crash of a worker under a task that an earlier worker crashed under.
type offence struct {
	at    time.Duration
	score int
}

// recordCrash counts the crash of a worker under a task.
func (s *Adaptive) recordCrash(now time.Duration, a *agentState, c *classState, t *Task, r *wire.Result) {
	a.crashedAt = now
	if !s.enabled.containment || r.RunTime.Duration() > startCrashPeriod {
		return
	}
	if c.contained(now) {
		s.contain(now, c)
	}
	t.StartCrashes++
	if t.StartCrashes >= len(offenceScores) || offenceScores[t.StartCrashes] == 0 {
		return
	}
	c.offences = append(c.offences, offence{at: now, score: offenceScores[t.StartCrashes]})
	s.updateContainment(now, c)
}

// updateContainment contains the class if its tasks are the likely reason of the recent
// crashes.
func (s *Adaptive) updateContainment(now time.Duration, c *classState) {
	others := 0
	for _, other := range s.classList {
		if other != c {
			others += other.recentScore(now)
		}
	}
	own := c.recentScore(now)
	if own < containScore || own <= others || s.crashedShare(now) < minCrashedShare {
		return
	}
	if !c.contained(now) {
		c.beginContainment(now)
		s.containedClasses = slices.DeleteFunc(s.containedClasses, func(other *classState) bool { return other == c || !other.contained(now) })
		s.containedClasses = append(s.containedClasses, c)
	}
	s.contain(now, c)
	s.quarantine(c.class.Pool)
}

// beginContainment sets the period of a containment that begins now.
func (c *classState) beginContainment(now time.Duration) {
	if c.containedUntil > 0 && now-c.containedUntil < maxContainmentPeriod {
		c.containmentPeriod = min(2*c.containmentPeriod, maxContainmentPeriod)
		return
	}
	c.containmentPeriod = containmentPeriod
}

// contain contains the class for its period from now on.
func (s *Adaptive) contain(now time.Duration, c *classState) {
	c.containedUntil = now + c.containmentPeriod
	s.containedUntil = max(s.containedUntil, c.containedUntil)
}

// crashedShare returns the share of the workers that crashed within containmentPeriod.
func (s *Adaptive) crashedShare(now time.Duration) float64 {
	crashed := 0
	for _, a := range s.agents {
		if a.crashedAt > 0 && now-a.crashedAt <= containmentPeriod {
			crashed++
		}
	}
	return float64(crashed) / float64(max(1, len(s.connected)))
}

// recentScore returns the score of the class's offences within containmentPeriod.
func (c *classState) recentScore(now time.Duration) int {
	c.offences = slices.DeleteFunc(c.offences, func(o offence) bool { return now-o.at > containmentPeriod })
	score := 0
	for _, o := range c.offences {
		score += o.score
	}
	return score
}

// contained reports whether the class is contained.
func (c *classState) contained(now time.Duration) bool { return now < c.containedUntil }

// ContainmentReporter is implemented by schedulers that contain classes.
type ContainmentReporter interface {
	// ContainedClasses returns the names of the classes that are contained, sorted.
	ContainedClasses(now time.Duration) []string
}

// ContainedClasses implements ContainmentReporter.
func (s *Adaptive) ContainedClasses(now time.Duration) []string {
	if now >= s.containedUntil {
		return nil
	}
	var out []string
	for _, c := range s.containedClasses {
		if c.contained(now) {
			out = append(out, c.class.Name)
		}
	}
	slices.Sort(out)
	return out
}

// quarantine selects the agents that run the contained classes of a pool. All entries
// select the same ones, also while some of their workers are down: the choice depends
// on names and on the evacuated zones only.
func (s *Adaptive) quarantine(pool string) {
	byName := make(map[string]uint64)
	for _, a := range s.agents {
		if (pool == "" || a.info.Pool == pool) && !s.zoneEvacuated(a.info.Zone) {
			byName[a.info.Name] = xxhash.Sum64String(a.info.Name)
		}
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(byName[a], byName[b]), cmp.Compare(a, b)) })
	selected := names[:(len(names)+quarantineDivisor-1)/quarantineDivisor]
	for _, a := range s.agents {
		if pool == "" || a.info.Pool == pool {
			a.quarantined = slices.Contains(selected, a.info.Name)
		}
	}
}

// renewQuarantine selects the agents anew for a pool that a new agent has joined.
func (s *Adaptive) renewQuarantine(now time.Duration) {
	if now >= s.containedUntil {
		return
	}
	for _, c := range s.containedClasses {
		if c.contained(now) {
			s.quarantine(c.class.Pool)
		}
	}
}

// observeOthers notes whether classes that are not contained have tasks.
func (s *Adaptive) observeOthers(now time.Duration) {
	if now >= s.containedUntil {
		return
	}
	busy := s.queue.active
	for _, c := range s.containedClasses {
		if c.busy() && c.contained(now) {
			busy--
		}
	}
	if busy > 0 {
		s.othersBusyAt = now
	}
}

// mayUse reports whether a task of the job may run on the agent.
func (s *Adaptive) mayUse(now time.Duration, c *classState, job *Job, a *agentState) bool {
	return a.quarantined || !c.contained(now) || job.LongRunning || now-s.othersBusyAt > othersIdlePeriod
}

// setAside removes a contained class from the order of the current call of Next, so that
// its jobs do not hold up those of other classes.
func (s *Adaptive) setAside(c *classState) {
	s.queue.classes.Remove(c)
	s.queue.late.Remove(c)
	s.asideClasses = append(s.asideClasses, c)
}

// restoreAside ends setAside.
func (s *Adaptive) restoreAside() {
	for _, c := range s.asideClasses {
		putOrRemove(&s.queue.classes, c, c.byDue.Len() > 0)
		putOrRemove(&s.queue.late, c, c.lateByShare.Len() > 0)
	}
	s.asideClasses = s.asideClasses[:0]
}

// admitContained decides whether to accept a job of a contained class, whose tasks have
// only the workers in quarantine that are up.
func (s *Adaptive) admitContained(c *classState, job *Job, allowed time.Duration) AdmitResult {
	slots := 0.0
	for _, a := range s.usable() {
		if s.mayUse(s.now, c, job, a) && a.acceptsStarts() && !a.health.down && a.matches(c.class.Pool, job) {
			slots += a.limit()
		}
	}
	if slots == 0 {
		return AdmitResult{Refusal: RefusedContained, RetryAfter: s.jittered(containedRetryAfter), Detail: "none of its workers is up"}
	}
	wait := time.Duration(float64(c.waiting) * float64(s.expectedRun(c, 0)) / (usableFreeShare * slots))
	if wait > allowed {
		return AdmitResult{Refusal: RefusedContained, RetryAfter: s.jittered(wait - allowed)}
	}
	return AdmitResult{}
}
