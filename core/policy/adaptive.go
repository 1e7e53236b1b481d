package policy

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Adaptive is the scheduler used in production. It is deterministic for a given
// seed and sequence of calls, and not safe for concurrent use.
type Adaptive struct {
	opts             Options
	enabled          enabledParts
	rand             random
	settings         Settings
	quotas           map[string]int // by name of the team
	classes          map[string]*classState
	classList        []*classState
	agents           map[wire.Incarnation]*agentState
	connected        []*agentState // the first usableCount of them are not evacuated
	usableCount      int
	evacuatedZones   []string
	returning        []returnGroup // of the agents that count as capacity in part
	freed            []*agentState // freed a slot recently, oldest first
	queue            *queue
	budget           budget
	window           window
	allRuns          estimate      // of all classes
	outcomes         ratio         // of tasks of all entries at all agents
	asideClasses     []*classState // set aside in the current call of Next
	containedUntil   time.Duration // when the last contained class is released
	containedClasses []*classState // may include classes that were released since
	othersBusyAt     time.Duration // when a class that is not contained last had tasks
	gang             gangPlan
	interference     *interferenceState // nil if off
	unavailable      int                // agents suspended or ejected that are not evacuated
	inFlight         int                // attempts
	standing         int                // of these, standing ones
	// evacuatedInFlight and evacuatedStanding are the part of inFlight and standing at
	// evacuated agents.
	evacuatedInFlight, evacuatedStanding int
	// zoneReturns holds when zones were last removed from evacuatedZones.
	zoneReturns map[string]time.Duration

	meanInService float64  // mean number of this entry's tasks in service under backlog
	newWork       workRate // of admitted jobs that are not resubmitted
	reserve       reserve
	waitScale     float64       // scales the accepted queueing delay
	meanLogRatio  float64       // mean of the agents' speed.logRatio
	now           time.Duration // process time of the last Admit or Next
	resumedAt     time.Duration // end of the last pause of the process, see Resumed

	nextCleanup          time.Duration // next call of removeDisconnectedAgents that has an effect
	nextContentionUpdate time.Duration // next update of the contention state
}

// enabledParts holds the enabled parts.
type enabledParts struct {
	estimates, slackOrder, spread, speed, health bool
	maxWait, lookAhead, ageing, admission        bool
	containment, resubmitted                     bool
}

// New returns a scheduler without classes or agents.
func New(o Options) *Adaptive {
	o = o.withDefaults()
	return &Adaptive{
		opts: o,
		enabled: enabledParts{
			estimates: o.enabled(PartEstimates), slackOrder: o.enabled(PartSlackOrder),
			spread: o.enabled(PartSpread), speed: o.enabled(PartSpeed), health: o.enabled(PartHealth),
			maxWait: o.enabled(PartMaxWait), lookAhead: o.enabled(PartLookAhead),
			ageing: o.enabled(PartAgeing), admission: o.enabled(PartAdmission),
			containment: o.enabled(PartContainment), resubmitted: o.enabled(PartResubmitted),
		},
		rand:      newRandom(o.Seed),
		quotas:    make(map[string]int),
		classes:   make(map[string]*classState),
		agents:    make(map[wire.Incarnation]*agentState),
		queue:     newQueue(o.enabled(PartFairness), o.enabled(PartSlackOrder)),
		budget:    budget{tokens: retryBurst},
		window:    newWindow(),
		waitScale: waitScaleStart,

		interference: newInterferenceState(o.Interference),
	}
}

// Configure implements Scheduler. Classes that are no longer published keep
// their statistics and their waiting tasks but admit no job.
func (s *Adaptive) Configure(_ time.Duration, settings Settings) {
	s.settings = settings
	clear(s.quotas)
	for _, t := range settings.Teams {
		s.quotas[t.Name] = t.Quota
	}
	for _, c := range s.classList {
		c.published = false
	}
	for _, class := range settings.Classes {
		c := s.class(class)
		if c.class.CallerTimeout != class.CallerTimeout {
			c.shortShare = 0
		}
		c.class = class
		c.published = true
	}
	for _, c := range s.classList {
		if !c.published {
			c.followAddress(settings.Classes)
		}
	}
	s.rankClasses()
	s.reorderQueue()
	s.configureInterference()
}

// followAddress makes the jobs of a class that is no longer published follow the class that
// is published at its address.
func (c *classState) followAddress(published []Class) {
	i := slices.IndexFunc(published, func(p Class) bool { return p.Address != "" && p.Address == c.class.Address })
	if i < 0 {
		return
	}
	name := c.class.Name
	c.class = published[i]
	c.class.Name = name
}

// Retain implements Scheduler.
func (s *Adaptive) Retain(_ time.Duration, class Class) {
	if c := s.class(class); !c.published {
		c.class = class
		s.rankClasses()
	}
}

// rankClasses sets the priority delay of every class. The priority of a class that is not
// published need not be one of the published levels.
func (s *Adaptive) rankClasses() {
	var levels []int
	for _, c := range s.classList {
		if c.published {
			levels = append(levels, c.class.Priority)
		}
	}
	slices.Sort(levels)
	levels = slices.Compact(levels)
	for _, c := range s.classList {
		level, _ := slices.BinarySearch(levels, c.class.Priority)
		c.priorityDelay = time.Duration(level) * delayPerPriority
	}
}

// class returns the state of the class, created on the first call.
func (s *Adaptive) class(class Class) *classState {
	c := s.classes[class.Name]
	if c == nil {
		c = s.queue.newClass(class)
		s.classes[class.Name] = c
		s.classList = append(s.classList, c)
	}
	return c
}

// reorderQueue restores the queue's order after quotas or targets changed.
func (s *Adaptive) reorderQueue() {
	for _, c := range s.classList {
		for name, t := range c.teams {
			t.quota = quotaWeight(s.quotas[name])
		}
		c.byShare.Reorder()
		c.lateByShare.Reorder()
	}
	s.queue.classes.Reorder()
}

// AgentUp implements Scheduler.
func (s *Adaptive) AgentUp(now time.Duration, info AgentInfo) {
	s.removeDisconnectedAgents(now)
	a := s.agents[info.Agent]
	if a == nil {
		a = &agentState{rtt: initialRTT}
		s.agents[info.Agent] = a
	}
	info.Load.Evacuated = info.Load.Evacuated || a.info.Load.Evacuated // until its next report
	a.info = info
	a.rackBucket = rackBucket(info.Rack)
	a.otherZone = info.Zone != s.opts.Zone
	a.reported = false
	a.otherSlots, a.meanOtherSlots = 0, 0
	clear(a.classSlots.others)
	if !a.connected {
		a.connected = true
		s.setEvacuated(a, s.isEvacuated(a))
		a.index = len(s.connected)
		s.connected = append(s.connected, a)
		if !a.evacuated {
			s.makeUsable(a)
		}
		s.continueReturn(now, a)
		s.resetMeanLogRatio()
	}
	s.observeEvacuated(now, a)
	s.renewQuarantine(now)
	s.workerConnected(a)
}

// AgentDown implements Scheduler.
func (s *Adaptive) AgentDown(now time.Duration, agent wire.Incarnation) {
	a := s.agents[agent]
	if a == nil || !a.connected {
		return
	}
	a.connected = false
	a.disconnectedAt = now
	s.removeFreed(a)
	if !a.evacuated {
		s.makeUnusable(a)
	}
	last := len(s.connected) - 1
	s.connected[a.index] = s.connected[last]
	s.connected[a.index].index = a.index
	s.connected[last] = nil
	s.connected = s.connected[:last]
	s.resetMeanLogRatio()
}

// removeDisconnectedAgents removes the state of agents that disconnected at least
// disconnectedAgentRetention ago and have no attempt in flight.
func (s *Adaptive) removeDisconnectedAgents(now time.Duration) {
	if len(s.agents) == len(s.connected) || now < s.nextCleanup {
		return
	}
	s.nextCleanup = now + disconnectedAgentRetention/4
	for id, a := range s.agents {
		if a.connected || a.inFlight > 0 || now-a.disconnectedAt < disconnectedAgentRetention {
			continue
		}
		if a.health.unavailable() {
			s.countUnavailable(a, -1)
		}
		delete(s.agents, id)
		if s.interference != nil {
			s.interference.estimator.ForgetAgent(uint64(id))
		}
	}
}

// Admit implements Scheduler.
func (s *Adaptive) Admit(now time.Duration, job *Job) AdmitResult {
	result := s.admit(now, job)
	if result.Refusal == Admitted && !job.Resubmitted {
		s.newWork.add(now, time.Duration(job.Tasks)*s.expectedRun(s.classes[job.Class], job.DeclaredRunTime))
	}
	return result
}

// Enqueue implements Scheduler.
func (s *Adaptive) Enqueue(_ time.Duration, task *Task) {
	j := s.queue.jobs[task.Job]
	if j == nil {
		j = s.newJob(task.Job)
	}
	s.queue.push(j, task)
}

func (s *Adaptive) newJob(job *Job) *jobState {
	c := s.class(Class{Name: job.Class})
	t := s.team(c, job.Team)
	work := max(s.p90Run(c, job), s.workPerSlot(c, job))
	return s.queue.addJob(job, c, t, job.Arrived+s.responseTarget(c)-work)
}

// team returns the state of the team in the class. Teams that are not published
// share one state, so callers cannot grow the table with arbitrary names.
func (s *Adaptive) team(c *classState, name string) *teamState {
	quota, known := s.quotas[name]
	if !known {
		name = ""
	}
	return c.team(name, quota)
}

// workPerSlot returns the expected work of the job divided by the slots of all
// agents, which are extrapolated from SampleAgents agents if more are connected.
func (s *Adaptive) workPerSlot(c *classState, job *Job) time.Duration {
	slots := 0
	agents := s.usable()
	for _, a := range agents[:min(len(agents), s.opts.SampleAgents)] {
		slots += a.info.Slots
	}
	if len(agents) > s.opts.SampleAgents {
		slots = slots * len(agents) / s.opts.SampleAgents
	}
	return s.expectedRun(c, job.DeclaredRunTime) * time.Duration(job.Tasks) / time.Duration(max(slots, 1))
}

// Remove implements Scheduler.
func (s *Adaptive) Remove(_ time.Duration, task *Task) {
	if j := s.queue.jobs[task.Job]; j != nil && task.SchedulerState > 0 {
		s.queue.remove(j, task)
	}
}

// JobDone implements Scheduler.
func (s *Adaptive) JobDone(now time.Duration, job *Job, complete bool) {
	c := s.classes[job.Class]
	if c == nil {
		return
	}
	met := 0.0
	if complete && now-job.Arrived <= s.responseTarget(c) {
		met = 1
	}
	// A resubmitted job had missed its target before it was admitted.
	if !job.Resubmitted {
		c.metShare += (met - c.metShare) * metShareWeight
		if complete {
			s.team(c, job.Team).adaptBacklogFactor(met == 1)
		}
	}
	if c.byDue.Len() > 0 {
		s.queue.classes.Put(c)
	}
	j := s.queue.jobs[job]
	if j == nil {
		return
	}
	j.ended = true
	s.attributeFailures(now, j)
	s.queue.release(j)
}

const metShareWeight = 0.01 // weight of a new job in classState.metShare

// responseTarget returns the target response time of the class, which may depend on
// its mean run time.
func (s *Adaptive) responseTarget(c *classState) time.Duration {
	if c.class.RunTimeFactor == 0 {
		return c.class.ResponseTarget
	}
	return c.class.ResponseTarget + time.Duration(c.class.RunTimeFactor*float64(s.expectedRun(c, 0)))
}

// expectedRun returns the mean run time of tasks of the class with the declared run
// time; 0 means none is declared.
func (s *Adaptive) expectedRun(c *classState, declared time.Duration) time.Duration {
	if !s.enabled.estimates {
		return priorOrDefault(declared)
	}
	mean := c.runs.meanOrPrior(s.prior(declared))
	if !c.runs.known() {
		return mean
	}
	return time.Duration(float64(mean) * c.forecast.scale(declared))
}

// p90Run returns the 90th percentile of the run time of the job's tasks.
func (s *Adaptive) p90Run(c *classState, job *Job) time.Duration {
	if !s.enabled.estimates {
		return priorOrDefault(job.DeclaredRunTime)
	}
	p90 := c.runs.p90OrPrior(s.prior(job.DeclaredRunTime))
	if !c.runs.known() {
		return p90
	}
	return time.Duration(float64(p90) * c.forecast.scale(job.DeclaredRunTime))
}

// prior returns the declared run time, or the mean of all classes if none is
// declared.
func (s *Adaptive) prior(declared time.Duration) time.Duration {
	if declared > 0 || !s.allRuns.known() {
		return declared
	}
	return s.allRuns.meanOrPrior(0)
}

func (s *Adaptive) expectedRunOf(j *jobState) time.Duration {
	return s.expectedRun(j.class, j.job.DeclaredRunTime)
}

// Ejected returns the number of agents that are ejected.
func (s *Adaptive) Ejected() int {
	n := 0
	for _, a := range s.agents {
		if a.health.ejected {
			n++
		}
	}
	return n
}
