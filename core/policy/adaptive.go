package policy

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Adaptive is the scheduler of a production entry. It is deterministic for a
// given seed and sequence of calls, and not safe for concurrent use.
type Adaptive struct {
	opts      Options
	on        switches
	rand      random
	settings  Settings
	quotas    map[string]int
	classes   map[string]*classState
	classList []*classState
	agents    map[wire.Incarnation]*agentState
	up        []*agentState
	freed     []*agentState
	queue     *queue
	budget    budget
	window    window
	runs      estimate // over all classes
	outcomes  ratio    // of tasks at all agents, all entries
	parked    []*jobState
	gang      gangPlan
	ejected   int // agents that are held or ejected
	inFlight  int
	service   float64 // own tasks in service under backlog
	waitScale float64
	meanSpeed float64       // mean of the agents' speed.log
	now       time.Duration // of the last Admit or Next

	forgetAt     time.Duration // next search for agents that left
	contentionAt time.Duration // next comparison of the backlog with the targets
}

// switches are the parts that are on.
type switches struct {
	estimates, slackOrder, spread, speed, health bool
	maxWait, lookAhead, ageing, admission        bool
}

// New returns a scheduler without classes or agents.
func New(o Options) *Adaptive {
	o = o.withDefaults()
	return &Adaptive{
		opts: o,
		on: switches{
			estimates: o.on(PartEstimates), slackOrder: o.on(PartSlackOrder),
			spread: o.on(PartSpread), speed: o.on(PartSpeed), health: o.on(PartHealth),
			maxWait: o.on(PartMaxWait), lookAhead: o.on(PartLookAhead),
			ageing: o.on(PartAgeing), admission: o.on(PartAdmission),
		},
		rand:      newRandom(o.Seed),
		quotas:    make(map[string]int),
		classes:   make(map[string]*classState),
		agents:    make(map[wire.Incarnation]*agentState),
		queue:     newQueue(o.on(PartFairness), o.on(PartSlackOrder)),
		budget:    budget{tokens: retryBurst},
		window:    newWindow(),
		waitScale: waitScaleStart,
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
		c.class = class
		c.published = true
	}
	s.rankClasses()
	s.requeue()
}

// rankClasses gives every class the lead that its priority grants to others.
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
		c.lead = time.Duration(slices.Index(levels, c.class.Priority)) * priorityLead
	}
}

func (s *Adaptive) class(class Class) *classState {
	c := s.classes[class.Name]
	if c == nil {
		c = s.queue.newClass(class)
		s.classes[class.Name] = c
		s.classList = append(s.classList, c)
	}
	return c
}

// requeue restores the queue's order after quotas or targets changed.
func (s *Adaptive) requeue() {
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
	s.forget(now)
	a := s.agents[info.Agent]
	if a == nil {
		a = &agentState{rtt: rttInitial}
		s.agents[info.Agent] = a
	}
	a.info = info
	a.rack = rackBucket(info.Rack)
	a.remote = info.Zone != s.opts.Zone
	a.reported = false
	a.others, a.meanOthers = 0, 0
	if !a.up {
		a.up = true
		a.index = len(s.up)
		s.up = append(s.up, a)
		s.resetMeanSpeed()
	}
}

// AgentDown implements Scheduler.
func (s *Adaptive) AgentDown(now time.Duration, agent wire.Incarnation) {
	a := s.agents[agent]
	if a == nil || !a.up {
		return
	}
	a.up = false
	a.downAt = now
	s.dropFreed(a)
	last := len(s.up) - 1
	s.up[a.index] = s.up[last]
	s.up[a.index].index = a.index
	s.up[last] = nil
	s.up = s.up[:last]
	s.resetMeanSpeed()
}

// forget drops the agents that left long ago and have nothing in flight.
func (s *Adaptive) forget(now time.Duration) {
	if len(s.agents) == len(s.up) || now < s.forgetAt {
		return
	}
	s.forgetAt = now + forgetDownAgent/4
	for id, a := range s.agents {
		if a.up || a.placed > 0 || now-a.downAt < forgetDownAgent {
			continue
		}
		if a.health.ejected || a.health.held {
			s.ejected--
		}
		delete(s.agents, id)
	}
}

// Admit implements Scheduler.
func (s *Adaptive) Admit(now time.Duration, job *Job) Verdict { return s.admit(now, job) }

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
	work := max(s.high(c, job), s.jobWork(c, job))
	return s.queue.add(job, c, t, job.Arrived+s.within(c)-work)
}

// team returns the team's part of the class. Teams that are not published share
// one part, so callers cannot grow the table by inventing names.
func (s *Adaptive) team(c *classState, name string) *teamState {
	quota, known := s.quotas[name]
	if !known {
		name = ""
	}
	return c.team(name, quota)
}

// jobWork is the job's total work divided by the slots of all agents.
func (s *Adaptive) jobWork(c *classState, job *Job) time.Duration {
	slots := 0
	for _, a := range s.up[:min(len(s.up), s.opts.SampleAgents)] {
		slots += a.info.Slots
	}
	if len(s.up) > s.opts.SampleAgents {
		slots = slots * len(s.up) / s.opts.SampleAgents
	}
	return s.mean(c, job.Declared) * time.Duration(job.Tasks) / time.Duration(max(slots, 1))
}

// Remove implements Scheduler.
func (s *Adaptive) Remove(_ time.Duration, task *Task) {
	if j := s.queue.jobs[task.Job]; j != nil && task.Slot > 0 {
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
	if complete && now-job.Arrived <= s.within(c) {
		met = 1
	}
	c.success += (met - c.success) * successWeight
	if complete {
		s.team(c, job.Team).learnPatience(met == 1)
	}
	if c.byDue.Len() > 0 {
		s.queue.classes.Put(c)
	}
	j := s.queue.jobs[job]
	if j == nil {
		return
	}
	j.ended = true
	s.judge(now, j)
	s.queue.release(j)
}

const successWeight = 0.01 // of the newest job in the class's success share

// within is the response time that the class aims for, given what its tasks
// were observed to take.
func (s *Adaptive) within(c *classState) time.Duration {
	if c.class.Stretch == 0 {
		return c.class.Within
	}
	return c.class.Within + time.Duration(c.class.Stretch*float64(s.mean(c, 0)))
}

func (s *Adaptive) mean(c *classState, declared time.Duration) time.Duration {
	if !s.on.estimates {
		return priorOr(declared)
	}
	mean := c.est.mean(s.prior(declared))
	if !c.est.known() {
		return mean
	}
	return time.Duration(float64(mean) * c.forecast.scale(declared))
}

func (s *Adaptive) high(c *classState, job *Job) time.Duration {
	if !s.on.estimates {
		return priorOr(job.Declared)
	}
	high := c.est.high(s.prior(job.Declared))
	if !c.est.known() {
		return high
	}
	return time.Duration(float64(high) * c.forecast.scale(job.Declared))
}

// prior is the declared run time, or else that of all classes together.
func (s *Adaptive) prior(declared time.Duration) time.Duration {
	if declared > 0 || !s.runs.known() {
		return declared
	}
	return s.runs.mean(0)
}

func (s *Adaptive) meanRun(j *jobState) time.Duration { return s.mean(j.class, j.job.Declared) }

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
