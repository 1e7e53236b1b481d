package entry_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// strictScheduler places tasks on any connected agent and fails the test if the
// machine violates the contract of policy.Scheduler.
type strictScheduler struct {
	t       *rapid.T
	queue   []*policy.Task
	queued  map[*policy.Task]bool
	placed  map[*policy.Task]int
	agents  []wire.Incarnation
	blocked bool // Next places nothing, so tasks stay queued
	done    int  // number of calls of AttemptDone
}

func (s *strictScheduler) Configure(time.Duration, policy.Settings) {}

func (s *strictScheduler) AgentUp(_ time.Duration, info policy.AgentInfo) {
	s.AgentDown(0, info.Agent)
	s.agents = append(s.agents, info.Agent)
}

func (s *strictScheduler) AgentDown(_ time.Duration, agent wire.Incarnation) {
	for i, a := range s.agents {
		if a == agent {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			return
		}
	}
}

func (s *strictScheduler) Observe(time.Duration, wire.Incarnation, wire.Load) {}

func (s *strictScheduler) Admit(time.Duration, *policy.Job) policy.AdmitResult {
	return policy.AdmitResult{}
}

func (s *strictScheduler) Enqueue(_ time.Duration, t *policy.Task) {
	if s.queued[t] || s.placed[t] > 0 {
		s.t.Fatalf("Enqueue was called with a task that is queued or placed")
	}
	s.queued[t] = true
	s.queue = append(s.queue, t)
}

func (s *strictScheduler) Remove(_ time.Duration, t *policy.Task) {
	if !s.queued[t] {
		s.t.Fatalf("Remove was called with a task that is not queued")
	}
	delete(s.queued, t)
}

func (s *strictScheduler) Next(time.Duration) (policy.Placement, bool) {
	for len(s.queue) > 0 && !s.blocked && len(s.agents) > 0 {
		t := s.queue[0]
		s.queue = s.queue[1:]
		if !s.queued[t] {
			continue
		}
		delete(s.queued, t)
		s.placed[t]++
		agent := s.agents[(t.Index+t.NotRunAttempts)%len(s.agents)]
		return policy.Placement{Task: t, Agent: agent, MaxWait: time.Second}, true
	}
	return policy.Placement{}, false
}

func (s *strictScheduler) AttemptDone(_ time.Duration, _ wire.Incarnation, t *policy.Task, _ *wire.Result) {
	if s.placed[t] != 1 {
		s.t.Fatalf("AttemptDone was called with a task that is placed %d times, want 1", s.placed[t])
	}
	delete(s.placed, t)
	s.done++
}

func (s *strictScheduler) Retry(_ time.Duration, t *policy.Task, _ wire.Reason) (time.Duration, bool) {
	return time.Duration(t.NotRunAttempts) * 5 * time.Millisecond, t.NotRunAttempts < 4
}

func (s *strictScheduler) SetEvacuatedZones(time.Duration, []string) {}
func (s *strictScheduler) Retain(time.Duration, policy.Class)        {}
func (s *strictScheduler) JobDone(time.Duration, *policy.Job, bool)  {}

type taskID struct {
	sub   wire.SubmissionID
	index int
}

type attemptState int

const (
	inTransit attemptState = iota // sent by the entry, not yet at the agent
	queued
	running
	ended
)

// modelAttempt is the model's state of one attempt at its agent.
type modelAttempt struct {
	task   taskID
	seq    wire.Seq
	state  attemptState
	result wire.Result
}

// modelAgent models one agent incarnation with the guarantees of core/agent.
type modelAgent struct {
	name        string
	incarnation wire.Incarnation
	epoch       wire.Epoch
	up          bool
	dead        bool
	attempts    map[wire.Seq]*modelAttempt
	notReceived map[wire.Seq]bool // attempts that were reported as not received
	inbox       []*wire.ToAgent
	downAt      time.Duration // when its connection was lost
	forgotten   bool          // it was without a connection for so long that the entry has removed it
}

// attemptsIn returns the attempts in a state, in the order of Seq.
func (a *modelAgent) attemptsIn(state attemptState) []*modelAttempt {
	var out []*modelAttempt
	for seq := wire.Seq(1); len(a.attempts) > 0 && seq < 4000; seq++ {
		if at := a.attempts[seq]; at != nil && at.state == state {
			out = append(out, at)
		}
	}
	return out
}

func expectedBody(id taskID) string { return fmt.Sprintf("%s/%d", id.sub, id.index) }

// modelJob is the expected state of one submission.
type modelJob struct {
	tasks    int
	deadline time.Duration
	claimed  bool // it needs a claim
	won      bool // its claim was won
	released bool // its claim was released
	answer   *entry.JobAnswer
}
