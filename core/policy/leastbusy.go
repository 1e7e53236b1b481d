package policy

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	leastBusyMaxWait     = 10 * time.Second
	leastBusyRetryDelay  = 2 * time.Millisecond
	leastBusyMaxAttempts = 50
)

// LeastBusy is a baseline scheduler. It places tasks in order of arrival on the
// agent with the most free slots, according to its last report and the attempts of
// this entry.
type LeastBusy struct {
	classes map[string]Class
	agents  []*leastBusyAgent
	waiting []*Task
	// evacuatedZones are the zones whose agents get no starts.
	evacuatedZones []string
}

type leastBusyAgent struct {
	info       AgentInfo
	inFlight   int // this entry's attempts in flight
	otherTasks int // other entries' tasks in the last report
}

// NewLeastBusy returns a LeastBusy scheduler without classes or agents.
func NewLeastBusy() *LeastBusy { return &LeastBusy{classes: make(map[string]Class)} }

// Configure implements Scheduler.
func (s *LeastBusy) Configure(_ time.Duration, settings Settings) {
	clear(s.classes)
	for _, c := range settings.Classes {
		s.classes[c.Name] = c
	}
}

// Retain implements Scheduler. The tasks of every class run on all agents.
func (s *LeastBusy) Retain(time.Duration, Class) {}

// AgentUp implements Scheduler.
func (s *LeastBusy) AgentUp(_ time.Duration, info AgentInfo) {
	if a := s.find(info.Agent); a != nil {
		a.info = info
		return
	}
	s.agents = append(s.agents, &leastBusyAgent{info: info})
}

// AgentDown implements Scheduler.
func (s *LeastBusy) AgentDown(_ time.Duration, agent wire.Incarnation) {
	for i, a := range s.agents {
		if a.info.Agent == agent {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			return
		}
	}
}

// SetEvacuatedZones implements Scheduler.
func (s *LeastBusy) SetEvacuatedZones(_ time.Duration, zones []string) {
	s.evacuatedZones = slices.Clone(zones)
}

// Observe implements Scheduler.
func (s *LeastBusy) Observe(_ time.Duration, agent wire.Incarnation, load wire.Load) {
	if a := s.find(agent); a != nil {
		a.info.Load = load
		a.otherTasks = max(0, load.Running+load.Queued-a.inFlight)
	}
}

// Admit implements Scheduler.
func (s *LeastBusy) Admit(_ time.Duration, job *Job) AdmitResult {
	if _, ok := s.classes[job.Class]; !ok {
		return AdmitResult{Refusal: RefusedUnknownClass}
	}
	return AdmitResult{}
}

// Enqueue implements Scheduler.
func (s *LeastBusy) Enqueue(_ time.Duration, task *Task) { s.waiting = append(s.waiting, task) }

// Remove implements Scheduler.
func (s *LeastBusy) Remove(_ time.Duration, task *Task) {
	for i, t := range s.waiting {
		if t == task {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Next implements Scheduler.
func (s *LeastBusy) Next(now time.Duration) (Placement, bool) {
	if len(s.waiting) == 0 {
		return Placement{}, false
	}
	best := s.mostFree()
	if best == nil {
		return Placement{}, false
	}
	t := s.waiting[0]
	s.waiting = s.waiting[1:]
	best.inFlight++
	return Placement{
		Task:    t,
		Agent:   best.info.Agent,
		Slack:   t.Job.Deadline - now,
		MaxWait: leastBusyMaxWait,
	}, true
}

func (s *LeastBusy) mostFree() *leastBusyAgent {
	var best *leastBusyAgent
	bestFree := 0
	for _, a := range s.agents {
		if a.info.Load.Draining || a.info.Load.Down || a.info.Load.Evacuated || slices.Contains(s.evacuatedZones, a.info.Zone) {
			continue
		}
		free := a.info.Slots - a.inFlight - a.otherTasks
		if free > bestFree {
			best, bestFree = a, free
		}
	}
	return best
}

// AttemptDone implements Scheduler.
func (s *LeastBusy) AttemptDone(_ time.Duration, agent wire.Incarnation, _ *Task, _ *wire.Result) {
	if a := s.find(agent); a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// Retry implements Scheduler.
func (s *LeastBusy) Retry(_ time.Duration, task *Task, _ wire.Reason) (time.Duration, bool) {
	return leastBusyRetryDelay, task.NotRunAttempts < leastBusyMaxAttempts
}

// JobDone implements Scheduler.
func (s *LeastBusy) JobDone(time.Duration, *Job, bool) {}

func (s *LeastBusy) find(agent wire.Incarnation) *leastBusyAgent {
	for _, a := range s.agents {
		if a.info.Agent == agent {
			return a
		}
	}
	return nil
}
