// Package baseline holds simple schedulers that the chosen policy is compared
// with. Each binds a task to an agent as soon as the agent's queue has room,
// in order of arrival, and differs only in which agent it picks. Agents run
// the tasks in order of arrival too, unless ByDeadline is used.
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
	// queueFactor is the number of tasks per slot that an agent holds, running
	// ones included: its queue has room for twice its slots.
	queueFactor = 3
)

// pick chooses among agents with room. The slice is never empty.
type pick func(s *Scheduler, room []*agent) *agent

// Scheduler implements policy.Scheduler.
type Scheduler struct {
	pick    pick
	rng     *rand.Rand
	classes map[string]bool
	agents  []*agent
	waiting []*policy.Task
	room    []*agent // reused by Next
	turn    int
	// byDeadline gives agents the time left as the urgency of a task.
	byDeadline bool
}

type agent struct {
	info   policy.AgentInfo
	placed int // attempts of this entry in flight
	others int // tasks of other entries, as last reported
}

func newScheduler(seed uint64, p pick) *Scheduler {
	return &Scheduler{
		pick:    p,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		classes: make(map[string]bool),
	}
}

// NewRandom picks an agent uniformly.
func NewRandom(seed uint64) *Scheduler {
	return newScheduler(seed, func(s *Scheduler, room []*agent) *agent {
		return room[s.rng.IntN(len(room))]
	})
}

// NewRoundRobin takes the agents in turn.
func NewRoundRobin(seed uint64) *Scheduler {
	s := newScheduler(seed, func(s *Scheduler, room []*agent) *agent {
		s.turn++
		return room[s.turn%len(room)]
	})
	s.turn = s.rng.IntN(1 << 16) // entries do not go round in step
	return s
}

// NewLeastOutstanding picks the agent with the fewest attempts of this entry
// in flight, at random among equals.
func NewLeastOutstanding(seed uint64) *Scheduler {
	return newScheduler(seed, func(s *Scheduler, room []*agent) *agent {
		first := s.rng.IntN(len(room))
		best := room[first]
		for i := range room {
			if a := room[(first+i)%len(room)]; a.placed < best.placed {
				best = a
			}
		}
		return best
	})
}

// NewPowerOfTwo picks the less loaded of two random agents, by this entry's
// attempts in flight and the others' last reported.
func NewPowerOfTwo(seed uint64) *Scheduler {
	return newScheduler(seed, func(s *Scheduler, room []*agent) *agent {
		a, b := room[s.rng.IntN(len(room))], room[s.rng.IntN(len(room))]
		if b.placed+b.others < a.placed+a.others {
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
		a.others = max(0, load.Running+load.Queued-a.placed)
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
	s.room = s.room[:0]
	for _, a := range s.agents {
		if a.hasRoom() {
			s.room = append(s.room, a)
		}
	}
	if len(s.room) == 0 {
		return policy.Placement{}, false
	}
	a := s.pick(s, s.room)
	t := s.waiting[0]
	s.waiting = s.waiting[1:]
	a.placed++
	p := policy.Placement{Task: t, Agent: a.info.Agent, MaxWait: t.Job.Deadline - now}
	if s.byDeadline {
		p.Slack = p.MaxWait
	}
	return p, true
}

func (a *agent) hasRoom() bool {
	l := a.info.Load
	return !l.Draining && !l.Down && a.placed+a.others < queueFactor*a.info.Slots
}

// AttemptDone implements policy.Scheduler.
func (s *Scheduler) AttemptDone(_ time.Duration, id wire.Incarnation, _ *policy.Task, _ *wire.Result) {
	if a := s.find(id); a != nil && a.placed > 0 {
		a.placed--
	}
}

// Retry implements policy.Scheduler.
func (s *Scheduler) Retry(_ time.Duration, task *policy.Task, _ wire.Reason) (time.Duration, bool) {
	return retryDelay, task.Attempts < maxAttempts
}

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
