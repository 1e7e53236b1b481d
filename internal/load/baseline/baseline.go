// Package baseline implements simple schedulers that the default scheduler is
// compared with. Each places tasks in order of arrival, as soon as an agent's
// queue has room, and they differ only in which agent they pick. Agents run the
// tasks in order of arrival too, unless ByDeadline is used.
package baseline

import (
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	retryDelay  = 2 * time.Millisecond
	maxAttempts = 50
	// tasksPerSlot bounds the tasks per slot that an agent holds, including the
	// running ones. Its queue thus has room for twice its number of slots.
	tasksPerSlot = 3
)

// pickFunc picks one of the agents that have room. candidates is never empty.
type pickFunc func(s *Scheduler, candidates []*agent) *agent

// Scheduler implements policy.Scheduler.
type Scheduler struct {
	pick       pickFunc
	rng        *rand.Rand
	classes    map[string]bool
	agents     []*agent
	waiting    []*policy.Task
	candidates []*agent // scratch space of Next
	turn       int      // index of the last pick of the round robin, not wrapped
	// byDeadline passes the time left until the deadline to agents as the
	// urgency of a task.
	byDeadline bool
}

type agent struct {
	info       policy.AgentInfo
	inFlight   int // attempts of this entry
	otherTasks int // tasks of other entries, as last reported
}

func newScheduler(seed uint64, p pickFunc) *Scheduler {
	return &Scheduler{
		pick:    p,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		classes: make(map[string]bool),
	}
}

// NewRandom returns a scheduler that picks an agent uniformly at random.
func NewRandom(seed uint64) *Scheduler {
	return newScheduler(seed, func(s *Scheduler, candidates []*agent) *agent {
		return candidates[s.rng.IntN(len(candidates))]
	})
}

// NewRoundRobin returns a scheduler that picks the agents in turn.
func NewRoundRobin(seed uint64) *Scheduler {
	s := newScheduler(seed, func(s *Scheduler, candidates []*agent) *agent {
		s.turn++
		return candidates[s.turn%len(candidates)]
	})
	s.turn = s.rng.IntN(1 << 16) // keeps entries from picking the same agents in step
	return s
}

// NewLeastOutstanding returns a scheduler that picks the agent with the fewest
// attempts of this entry in flight. Ties are broken by a search from a random
// agent.
func NewLeastOutstanding(seed uint64) *Scheduler {
	return newScheduler(seed, func(s *Scheduler, candidates []*agent) *agent {
		first := s.rng.IntN(len(candidates))
		best := candidates[first]
		for i := range candidates {
			if a := candidates[(first+i)%len(candidates)]; a.inFlight < best.inFlight {
				best = a
			}
		}
		return best
	})
}

// NewPowerOfTwo returns a scheduler that picks the less loaded of two random
// agents. The load is this entry's attempts in flight plus the tasks of other
// entries as last reported.
func NewPowerOfTwo(seed uint64) *Scheduler {
	return newScheduler(seed, func(s *Scheduler, candidates []*agent) *agent {
		a, b := candidates[s.rng.IntN(len(candidates))], candidates[s.rng.IntN(len(candidates))]
		if b.inFlight+b.otherTasks < a.inFlight+a.otherTasks {
			return b
		}
		return a
	})
}

// ByDeadline makes agents run tasks in order of the callers' deadlines.
func (s *Scheduler) ByDeadline() *Scheduler {
	s.byDeadline = true
	return s
}

// Configure implements policy.Scheduler.
func (s *Scheduler) Configure(_ time.Duration, settings policy.Settings) {
	clear(s.classes)
	for _, c := range settings.Classes {
		s.classes[c.Name] = true
	}
}

// AgentUp implements policy.Scheduler.
func (s *Scheduler) AgentUp(_ time.Duration, info policy.AgentInfo) {
	if a := s.find(info.Agent); a != nil {
		a.info = info
		return
	}
	s.agents = append(s.agents, &agent{info: info})
}

// AgentDown implements policy.Scheduler.
func (s *Scheduler) AgentDown(_ time.Duration, id wire.Incarnation) {
	for i, a := range s.agents {
		if a.info.Agent == id {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			return
		}
	}
}

// Observe implements policy.Scheduler.
func (s *Scheduler) Observe(_ time.Duration, id wire.Incarnation, load wire.Load) {
	if a := s.find(id); a != nil {
		a.info.Load = load
		a.otherTasks = max(0, load.Running+load.Queued-a.inFlight)
	}
}

// Admit implements policy.Scheduler.
func (s *Scheduler) Admit(_ time.Duration, job *policy.Job) policy.AdmitResult {
	if !s.classes[job.Class] {
		return policy.AdmitResult{Refusal: policy.RefusedUnknownClass}
	}
	return policy.AdmitResult{}
}

// Enqueue implements policy.Scheduler.
func (s *Scheduler) Enqueue(_ time.Duration, task *policy.Task) { s.waiting = append(s.waiting, task) }

// Remove implements policy.Scheduler.
func (s *Scheduler) Remove(_ time.Duration, task *policy.Task) {
	for i, t := range s.waiting {
		if t == task {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Next implements policy.Scheduler.
func (s *Scheduler) Next(now time.Duration) (policy.Placement, bool) {
	if len(s.waiting) == 0 {
		return policy.Placement{}, false
	}
	s.candidates = s.candidates[:0]
	for _, a := range s.agents {
		if a.hasRoom() {
			s.candidates = append(s.candidates, a)
		}
	}
	if len(s.candidates) == 0 {
		return policy.Placement{}, false
	}
	a := s.pick(s, s.candidates)
	t := s.waiting[0]
	s.waiting = s.waiting[1:]
	a.inFlight++
	p := policy.Placement{Task: t, Agent: a.info.Agent, MaxWait: t.Job.Deadline - now}
	if s.byDeadline {
		p.Slack = p.MaxWait
	}
	return p, true
}

// SetEvacuatedZones implements policy.Scheduler. The agents' reports are enough here.
func (s *Scheduler) SetEvacuatedZones(time.Duration, []string) {}

func (a *agent) hasRoom() bool {
	l := a.info.Load
	return !l.Draining && !l.Down && !l.Evacuated && a.inFlight+a.otherTasks < tasksPerSlot*a.info.Slots
}

// AttemptDone implements policy.Scheduler.
func (s *Scheduler) AttemptDone(_ time.Duration, id wire.Incarnation, _ *policy.Task, _ *wire.Result) {
	if a := s.find(id); a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// Retry implements policy.Scheduler.
func (s *Scheduler) Retry(_ time.Duration, task *policy.Task, _ wire.Reason) (time.Duration, bool) {
	return retryDelay, task.NotRunAttempts < maxAttempts
}

// Retain implements policy.Scheduler. The tasks of every class run on all workers.
func (s *Scheduler) Retain(time.Duration, policy.Class) {}

// JobDone implements policy.Scheduler.
func (s *Scheduler) JobDone(time.Duration, *policy.Job, bool) {}

func (s *Scheduler) find(id wire.Incarnation) *agent {
	for _, a := range s.agents {
		if a.info.Agent == id {
			return a
		}
	}
	return nil
}
