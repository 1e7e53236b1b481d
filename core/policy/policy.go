// Package policy makes the decisions of an entry: which tasks to admit, in
// which order to start them, on which agent, and when to retry.
//
// The entry machine (core/entry) owns the protocol and its safety; it sees the
// decisions only through the Scheduler interface. A Scheduler does no I/O, has
// no clock and draws randomness only from a source in its options.
package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Class is what operators state about a class of work.
type Class struct {
	Name string
	// Within is the response time that the class aims for.
	Within time.Duration
	// Success is the share of jobs, 0 to 1, that must be complete within it.
	Success float64
	// Stretch adds a multiple of the job's own expected run time to Within.
	Stretch float64
	// Pool is the group of workers that run the class; empty means all.
	Pool string
	// Priority orders classes under contention, lowest first.
	Priority int
}

// Team is a group of callers with an optional quota.
type Team struct {
	Name string
	// Quota bounds the team's tasks in service at this entry under contention;
	// 0 means no bound.
	Quota int
}

// Emphasis selects which of the two measures is weighed more.
type Emphasis uint8

// Values of Emphasis.
const (
	EmphasisResponse Emphasis = iota
	EmphasisMessages
)

// Settings are the operator's published targets.
type Settings struct {
	Classes  []Class
	Teams    []Team
	Emphasis Emphasis
}

// Job is what the scheduler knows about one submission.
type Job struct {
	Submission wire.SubmissionID
	Class      string
	Team       string
	Tasks      int
	// PayloadBytes is what is sent to each agent that runs tasks of the job.
	PayloadBytes int
	// Label is what the worker must be labelled with, empty for any.
	Label string
	// PerWorker bounds the job's tasks on one worker, 0 for no bound.
	PerWorker int
	// Gang says that the tasks work only together: they are placed all at once.
	Gang bool
	// SameRack says that the tasks are slower if they run in more than one rack.
	SameRack bool
	// DataRack is the rack near the job's data, empty for none. Tasks are slower in
	// every other one.
	DataRack string
	Need     wire.Capacity // largest need of any of its tasks
	Declared time.Duration // declared run time of the longest task, 0 if none
	Arrived  time.Duration // process time
	Deadline time.Duration // process time
}

// Task is one task that waits to be placed or has been placed.
type Task struct {
	Job   *Job
	Index int
	// Attempts counts the attempts that ended as not run.
	Attempts int
	// Slot is reserved for the scheduler, e.g. its position in a queue.
	Slot int
}

// AgentInfo describes an agent when its link comes up.
type AgentInfo struct {
	Agent    wire.Incarnation
	Name     string
	Zone     string
	Rack     string
	Pool     string
	Labels   []string
	Slots    int
	Capacity wire.Capacity
	Load     wire.Load
}

// Refusal says why a job is not admitted.
type Refusal uint8

// Values of Refusal.
const (
	Admitted Refusal = iota
	// RefusedOverload: the backlog would make the job miss its deadline.
	RefusedOverload
	// RefusedNeverFits: no known worker offers what the job needs.
	RefusedNeverFits
	// RefusedDeadline: the deadline is below the class's own run time.
	RefusedDeadline
	// RefusedUnknownClass: no such class is published.
	RefusedUnknownClass
	// RefusedQuota: the team has as many tasks waiting as its quota allows.
	RefusedQuota
	// RefusedNoUpstream: no agent is connected.
	RefusedNoUpstream
)

var refusalNames = [...]string{
	"admitted", "overload", "never_fits", "deadline_too_short",
	"unknown_class", "quota", "no_upstream",
}

// String returns the machine-readable name of the refusal.
func (r Refusal) String() string { return refusalNames[r] }

// Verdict is the answer to Admit.
type Verdict struct {
	Refusal    Refusal
	RetryAfter time.Duration // 0 if a retry cannot succeed
	Detail     string        // the figures that decided a refusal, for the log
}

// Placement is one decision: start the task on the agent.
type Placement struct {
	Task    *Task
	Agent   wire.Incarnation
	Slack   time.Duration // urgency at the agent's queue; lower is more urgent
	MaxWait time.Duration // queueing delay accepted at the agent
}

// Scheduler decides for one entry. Times are monotonic process times.
type Scheduler interface {
	// Configure replaces the published targets.
	Configure(now time.Duration, s Settings)
	// AgentUp adds an agent or replaces what is known of it.
	AgentUp(now time.Duration, info AgentInfo)
	// AgentDown removes an agent from placement. Attempts there stay placed.
	AgentDown(now time.Duration, agent wire.Incarnation)
	// Observe records the load that an agent reported.
	Observe(now time.Duration, agent wire.Incarnation, load wire.Load)
	// Admit decides on a new job. An admitted job's tasks are then enqueued.
	Admit(now time.Duration, job *Job) Verdict
	// Enqueue adds a task to those that wait.
	Enqueue(now time.Duration, task *Task)
	// Remove drops a waiting task.
	Remove(now time.Duration, task *Task)
	// Next removes the task to start next and says where. It returns false if
	// no waiting task can be placed now.
	Next(now time.Duration) (Placement, bool)
	// Done reports how an attempt ended.
	Done(now time.Duration, agent wire.Incarnation, task *Task, r *wire.Result)
	// Retry decides whether a task that was not run may be placed again, and
	// after which delay.
	Retry(now time.Duration, task *Task, reason wire.Reason) (time.Duration, bool)
	// JobDone reports the end of a job for the class's success share.
	JobDone(now time.Duration, job *Job, complete bool)
}
