package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// placeAndEndAll places tasks until no more can be placed, and ends each of them at once.
func placeAndEndAll(s *Adaptive, now time.Duration) (placed int) {
	for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
		placed++
		s.AttemptDone(now, p.Agent, p.Task, &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
	}
	return placed
}

// enqueueLabelled enqueues a job with one task that needs a label.
func enqueueLabelled(s *Adaptive, now time.Duration, label string) *Task {
	job, tasks := newTestJob("c", now, 1)
	job.RequiredLabel = label
	s.Enqueue(now, tasks[0])
	return tasks[0]
}

// connectLabelled connects an idle agent with a label.
func connectLabelled(s *Adaptive, now time.Duration, agent wire.Incarnation, label string) {
	s.AgentUp(now, AgentInfo{Agent: agent, Zone: "z", Slots: 8, Capacity: wire.Capacity{MilliCores: 1000}, Labels: []string{label}})
	s.Observe(now, agent, wire.Load{Slots: 8, Limit: 8, Successes: 100})
}

// Guards against an entry that starts nothing any more: jobs that no worker can run, or a
// gang that does not fit, stay at the head of the queue for good once it is their turn as
// late jobs. They must not count as backlog either, and have to run once a worker comes.
func TestJobsThatCannotBePlacedDoNotStopTheQueue(t *testing.T) {
	s := newTest(3, Options{})
	const hopeless = 300
	for range hopeless {
		enqueueLabelled(s, 0, "none")
	}
	gang, members := newTestJob("c", 0, 100)
	gang.Gang = true
	for _, task := range members {
		s.Enqueue(0, task)
	}
	now := 20 * time.Second // all of them are late
	for range 200 {
		now += 10 * time.Millisecond
		enqueue(s, now, "c", 2)
		placeAndEndAll(s, now)
	}
	assert.Equal(t, s.queue.waiting, 0)
	assert.Equal(t, s.Admit(now, &Job{Class: "c", Tasks: 2, Arrived: now, Deadline: now + time.Second}).Refusal, Admitted)
	connectLabelled(s, now, 9, "none")
	placed := 0
	for range 100 {
		now += 10 * time.Millisecond
		placed += placeAndEndAll(s, now)
	}
	assert.Equal(t, placed, hopeless)
}

// Guards against jobs that wait for a busy worker and stop all others, and against ones
// that are not placed when that worker frees a slot.
func TestJobsThatWaitForOneWorkerDoNotStopTheQueue(t *testing.T) {
	s := newTest(3, Options{})
	connectLabelled(s, 0, 9, "rare")
	s.Observe(0, 9, wire.Load{Slots: 8, Limit: 8, Running: 8, Queued: 8, Successes: 100})
	for range 40 {
		enqueueLabelled(s, 0, "rare")
	}
	now := 20 * time.Second
	s.Observe(now, 9, wire.Load{Slots: 8, Limit: 8, Running: 8, Queued: 8, Successes: 100})
	_, others := enqueue(s, now, "d", 10)
	assert.Equal(t, placeAndEndAll(s, now), len(others))
	assert.Equal(t, s.queue.waiting, 40, "jobs that a worker can run count as backlog")

	now += 5 * time.Millisecond
	s.Observe(now, 9, wire.Load{Slots: 8, Limit: 8, Successes: 100})
	s.slotFreed(s.agents[9])
	p, ok := s.Next(now)
	assert.Assert(t, ok)
	assert.Equal(t, p.Agent, wire.Incarnation(9))
	s.AttemptDone(now, 9, p.Task, &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
	assert.Equal(t, 1+placeAndEndAll(s, now), 40)
}

// Guards against a parked job that returns to the queue after its caller has cancelled
// it, and against tasks that are counted twice or never.
func TestParkedJobsCanBeCancelled(t *testing.T) {
	s := newTest(3, Options{})
	var tasks []*Task
	for range 20 {
		tasks = append(tasks, enqueueLabelled(s, 0, "none"))
	}
	assert.Equal(t, placeAndEndAll(s, time.Second), 0)
	assert.Equal(t, s.queue.parked.unplaceable.Len(), 20)
	for _, task := range tasks[:10] {
		s.Remove(time.Second, task)
		s.JobDone(time.Second, task.Job, false)
	}
	assert.Equal(t, s.queue.parked.unplaceable.Len(), 10)
	assert.Equal(t, len(s.queue.jobs), 10)
	connectLabelled(s, time.Second, 9, "none")
	assert.Equal(t, placeAndEndAll(s, time.Second), 10)
	assert.Equal(t, s.queue.waiting, 0)
	assert.Equal(t, s.queue.parked.unplaceable.Len()+s.queue.parked.waiting.Len(), 0)
}

// Guards against a job whose few workers are in no sample of a large deployment.
func TestRareWorkerIsFoundAmongMany(t *testing.T) {
	s := newTest(300, Options{})
	connectLabelled(s, 0, 999, "rare")
	enqueueLabelled(s, 0, "rare")
	p, ok := s.Next(0)
	assert.Assert(t, ok)
	assert.Equal(t, p.Agent, wire.Incarnation(999))
}
