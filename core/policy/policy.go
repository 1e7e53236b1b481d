// Package policy implements the scheduling decisions of an entry: which jobs to
// admit, in which order to start their tasks, on which agent, and when to retry.
//
// The state machine of the entry (core/entry) implements the protocol and its
// safety; it uses this package only through the Scheduler interface. A Scheduler
// does no I/O, reads no clock and takes randomness only from a generator that its
// options seed.
package policy

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Class holds the operators' settings for a class of jobs.
type Class struct {
	Name string
	// ResponseTarget is the target response time.
	ResponseTarget time.Duration
	// TargetShare is the share of jobs, 0 to 1, that must complete within the target.
	TargetShare float64
	// RunTimeFactor is the multiple of the class's mean run time that is added to
	// ResponseTarget. 0 adds nothing.
	RunTimeFactor float64
	// Pool is the group of workers that run the class; empty means all.
	Pool string
	// Priority orders the classes when tasks wait; the lowest value goes first.
	Priority int
	// CallerTimeout is how long callers wait at least for the answer to a job that they
	// send for the first time. The deadline of a job that is sent again leaves less. 0 means
	// that it is not known.
	CallerTimeout time.Duration
	// Address is where callers submit jobs of the class. A class that is published at the
	// same address under another name is the same class. Empty means that it has none.
	Address string
}

// Team is a group of callers with an optional quota.
type Team struct {
	Name string
	// Quota is the weight of the team in the fair shares within a class. A multiple
	// of it (maxWaitingPerQuota) also bounds the team's waiting tasks of each class
	// at this entry. 0 means the default weight and no bound.
	Quota int
}

// Emphasis selects what a trade-off favours: short response times or few messages.
type Emphasis uint8

// Values of Emphasis.
const (
	EmphasisResponse Emphasis = iota
	EmphasisMessages
)

// Settings are the classes, quotas and targets that operators published.
type Settings struct {
	Classes  []Class
	Teams    []Team
	Emphasis Emphasis
}

// Job describes one submission to the scheduler.
type Job struct {
	Submission wire.SubmissionID
	Class      string
	Team       string
	Tasks      int
	// PayloadBytes is the size of the data sent to each agent that runs tasks of the job.
	PayloadBytes int
	// RequiredLabel is the label that a worker must have; empty means any worker.
	RequiredLabel string
	// MaxPerWorker bounds the job's tasks in flight on one worker; 0 means no bound.
	MaxPerWorker int
	// Gang requires that all tasks run at the same time; they are placed together.
	Gang bool
	// LongRunning states that the tasks run until the job is cancelled. Each must be at
	// work within seconds, so they are not contained.
	LongRunning bool
	// SameRack states that the tasks run slower if they are spread over racks.
	SameRack bool
	// DataRack is the rack closest to the job's data; empty means none. Tasks run
	// slower in every other rack.
	DataRack        string
	Need            wire.Capacity // largest requirement of any of its tasks
	DeclaredRunTime time.Duration // declared run time of the longest task; 0 if none is declared
	Arrived         time.Duration // process time
	Deadline        time.Duration // process time
	// Resubmitted states that the caller seems to have sent the job before: it states less
	// time than Class.CallerTimeout. Admit sets it.
	Resubmitted bool
}

// Task is a task that waits for placement or has been placed.
type Task struct {
	Job   *Job
	Index int
	// NotRunAttempts counts the attempts that ended without running the task.
	NotRunAttempts int
	// StartCrashes counts the workers that crashed soon after the task was started on
	// them. The scheduler sets it.
	StartCrashes int
	// StuckRuns counts the runs that were stopped because Stuck reported them. The
	// scheduler sets it.
	StuckRuns int
	// SchedulerState is private state of the scheduler, for example a position in its queue.
	SchedulerState int
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

// Refusal is the reason why a job is not admitted.
type Refusal uint8

// Values of Refusal.
const (
	Admitted Refusal = iota
	// RefusedOverload: the backlog would make the job late, or too many tasks wait.
	RefusedOverload
	// RefusedNeverFits: the connected workers cannot run the job, even if idle.
	RefusedNeverFits
	// RefusedDeadline: the time to the deadline is below the median run time of
	// the class, or the job is unlikely to complete within it.
	RefusedDeadline
	// RefusedUnknownClass: the class is not published.
	RefusedUnknownClass
	// RefusedQuota: the team already has as many waiting tasks in the class as its
	// quota allows.
	RefusedQuota
	// RefusedNoUpstream: no agent is connected, or the workers that can run the job are
	// in evacuated zones.
	RefusedNoUpstream
	// RefusedContained: jobs of the class make workers crash, and the workers that are
	// left to it cannot take the job.
	RefusedContained
)

var refusalNames = [...]string{
	"admitted", "overload", "never_fits", "deadline_too_short",
	"unknown_class", "quota", "no_upstream", "contained",
}

// String returns the machine-readable name of the refusal.
func (r Refusal) String() string { return refusalNames[r] }

// AdmitResult is the result of Admit.
type AdmitResult struct {
	Refusal    Refusal
	RetryAfter time.Duration // 0 if a retry would not succeed
	Detail     string        // the estimates behind a refusal, for the log
}

// Placement is the decision to start a task on an agent.
type Placement struct {
	Task    *Task
	Agent   wire.Incarnation
	Slack   time.Duration // priority in the agent's queue; lower is more urgent
	MaxWait time.Duration // longest queueing delay accepted at the agent
}

// Scheduler makes the scheduling decisions of one entry. Times are monotonic
// process times.
type Scheduler interface {
	// Configure replaces the published settings.
	Configure(now time.Duration, s Settings)
	// Retain defines a class whose tasks run although it is not published, because its
	// jobs were accepted before. It has no effect on a class that is published.
	Retain(now time.Duration, c Class)
	// AgentUp adds an agent or replaces its description.
	AgentUp(now time.Duration, info AgentInfo)
	// AgentDown stops placements on an agent. Attempts in flight there remain.
	AgentDown(now time.Duration, agent wire.Incarnation)
	// SetEvacuatedZones replaces the set of the zones whose agents get no starts.
	SetEvacuatedZones(now time.Duration, zones []string)
	// Observe records the load that an agent reported.
	Observe(now time.Duration, agent wire.Incarnation, load wire.Load)
	// Admit decides whether to accept a new job. The caller then enqueues its tasks.
	Admit(now time.Duration, job *Job) AdmitResult
	// Enqueue adds a task to the waiting tasks.
	Enqueue(now time.Duration, task *Task)
	// Remove removes a waiting task.
	Remove(now time.Duration, task *Task)
	// Next removes the waiting task to start next and returns its placement. It
	// returns false if no waiting task can be placed now.
	Next(now time.Duration) (Placement, bool)
	// AttemptDone records the result of an attempt, which is then no longer in flight.
	AttemptDone(now time.Duration, agent wire.Incarnation, task *Task, r *wire.Result)
	// Retry decides whether a task that did not run may be placed again, and
	// returns the delay before that.
	Retry(now time.Duration, task *Task, reason wire.Reason) (time.Duration, bool)
	// JobDone records the end of a job. complete states whether all of its tasks
	// succeeded.
	JobDone(now time.Duration, job *Job, complete bool)
}
