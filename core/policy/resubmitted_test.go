package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	resubmittedAt = 10 * time.Second
	callerTimeout = 1500 * time.Millisecond
)

// newResubmitted returns a scheduler with classes that publish callerTimeout: c, which any
// worker runs, and p of the given pool.
func newResubmitted(agents int, pool string) *Adaptive {
	s := newTest(agents, Options{SampleAgents: 100})
	s.Configure(0, Settings{
		Classes: []Class{
			{Name: "c", ResponseTarget: time.Second, TargetShare: 0.99, CallerTimeout: callerTimeout},
			{Name: "p", ResponseTarget: time.Second, TargetShare: 0.99, CallerTimeout: callerTimeout, Pool: pool},
		},
		Teams: []Team{{Name: "A", Quota: 10}, {Name: "B", Quota: 10}},
	})
	return s
}

// submitStated admits a job of a class and team whose caller states the given time, and
// enqueues its tasks.
func submitStated(s *Adaptive, class, team string, tasks int, left time.Duration) (*Job, AdmitResult) {
	job := &Job{Class: class, Team: team, Tasks: tasks, Arrived: resubmittedAt, Deadline: resubmittedAt + left}
	r := s.Admit(resubmittedAt, job)
	for i := range tasks {
		if r.Refusal == Admitted {
			s.Enqueue(resubmittedAt, &Task{Job: job, Index: i})
		}
	}
	return job, r
}

// occupy starts tasks of new jobs.
func occupy(t *testing.T, s *Adaptive, tasks int) {
	t.Helper()
	job, _ := submitStated(s, "c", "B", tasks, time.Minute)
	for range tasks {
		p, ok := s.Next(resubmittedAt)
		assert.Assert(t, ok && p.Task.Job == job)
	}
}

// Guards against first attempts that are taken for resubmitted jobs, which would make them
// wait: callers of several kinds, a setting that most callers do not keep to, and a setting
// that changes.
func TestOnlyJobsBelowThePublishedTimeoutCountAsResubmitted(t *testing.T) {
	s := newResubmitted(2, "")
	for i, left := range []time.Duration{callerTimeout, 10 * time.Second, 10 * time.Second, callerTimeout} {
		job, _ := submitStated(s, "c", "", 1, left)
		assert.Assert(t, !job.Resubmitted, i)
	}
	job, _ := submitStated(s, "c", "", 1, callerTimeout-time.Millisecond)
	assert.Assert(t, job.Resubmitted)

	for range 500 {
		s.Admit(resubmittedAt, &Job{Class: "c", Tasks: 1, Arrived: resubmittedAt, Deadline: resubmittedAt + time.Second})
	}
	job, _ = submitStated(s, "c", "", 1, time.Second)
	assert.Assert(t, !job.Resubmitted, "all callers of the class state less than its timeout")

	s.Configure(0, Settings{Classes: []Class{{Name: "c", ResponseTarget: time.Second, CallerTimeout: time.Second}, {Name: "none", ResponseTarget: time.Second}}})
	job, _ = submitStated(s, "c", "", 1, time.Second)
	assert.Assert(t, !job.Resubmitted)
	job, _ = submitStated(s, "c", "", 1, time.Second/2)
	assert.Assert(t, job.Resubmitted)
	job, _ = submitStated(s, "none", "", 1, time.Millisecond)
	assert.Assert(t, !job.Resubmitted, "a class without a published timeout")
}

// Guards against resubmitted jobs that start before new ones, and against those that wait
// until their deadline beside a free slot, also if no other job arrives.
func TestResubmittedJobsYieldToNewOnes(t *testing.T) {
	s := newResubmitted(2, "")
	occupy(t, s, 13)
	old, _ := submitStated(s, "c", "", 1, time.Second)
	fresh, _ := submitStated(s, "c", "", 2, 3*time.Second)
	for range fresh.Tasks {
		p, ok := s.Next(resubmittedAt)
		assert.Assert(t, ok && p.Task.Job == fresh)
	}
	_, ok := s.Next(resubmittedAt)
	assert.Assert(t, !ok, "a resubmitted job took the last free slot of 16")
	p, ok := s.Next(old.Deadline - 250*time.Millisecond)
	assert.Assert(t, ok && p.Task.Job == old, "a resubmitted job waits until its deadline")
}

// Guards against a resubmitted job that holds up jobs behind it while it waits for free slots.
func TestWaitingResubmittedJobHoldsUpNoOther(t *testing.T) {
	s := newResubmitted(2, "")
	occupy(t, s, 15)
	submitStated(s, "c", "A", 1, 1400*time.Millisecond)
	near, _ := submitStated(s, "c", "A", 1, time.Second)
	late := &Job{Class: "c", Team: "B", Tasks: 1, Arrived: resubmittedAt - 2*time.Second, Deadline: resubmittedAt + time.Minute}
	task := &Task{Job: late}
	s.Enqueue(resubmittedAt, task)
	p, ok := s.Next(resubmittedAt)
	assert.Assert(t, ok && p.Task.Job == late)
	s.AttemptDone(resubmittedAt, p.Agent, task, &wire.Result{Outcome: wire.Succeeded})
	p, ok = s.Next(near.Deadline - 200*time.Millisecond)
	assert.Assert(t, ok && p.Task.Job == near, "the job with the nearest deadline")
}

// Guards against free slots of other pools that let a resubmitted job wait or start, and
// against workers whose zone has just returned and that count neither as free nor as busy.
func TestReserveCountsTheWorkersThatCanRunTheJob(t *testing.T) {
	s := newResubmitted(3, "own")
	s.AgentUp(0, AgentInfo{Agent: 100, Name: "own", Zone: "z", Pool: "own", Slots: 8, Load: wire.Load{Slots: 8, Limit: 8}})
	s.Observe(0, 100, wire.Load{Slots: 8, Limit: 8, Successes: 100})
	for i := range 3 {
		s.Observe(resubmittedAt, wire.Incarnation(i+1), wire.Load{Slots: 8, Limit: 8, Running: 8, Successes: 100})
	}
	old, _ := submitStated(s, "p", "", 1, time.Second)
	p, ok := s.Next(resubmittedAt)
	assert.Assert(t, ok && p.Task.Job == old, "held although the worker of its pool is idle")

	s = newResubmitted(3, "")
	zone := s.agents[1].info.Zone
	s.SetEvacuatedZones(time.Second, []string{zone})
	s.SetEvacuatedZones(resubmittedAt, nil)
	submitStated(s, "c", "", 1, time.Second)
	_, ok = s.Next(resubmittedAt)
	assert.Assert(t, ok, "held although all workers are idle")
}

// Guards against new jobs that are refused because of resubmitted ones that wait behind them,
// and against resubmitted jobs that are admitted although they cannot be served in time, or
// refused because of stored jobs without a deadline.
func TestResubmittedBacklogDoesNotRefuseNewJobs(t *testing.T) {
	s := newResubmitted(1, "")
	admitted := 0
	for ; admitted < 1000; admitted++ {
		if _, r := submitStated(s, "c", "", 8, callerTimeout-1); r.Refusal != Admitted {
			assert.Equal(t, r.Refusal, RefusedOverload)
			assert.Assert(t, r.RetryAfter > 0)
			break
		}
	}
	assert.Assert(t, admitted > 1 && admitted < 20, "%d resubmitted jobs admitted", admitted)
	_, r := submitStated(s, "c", "", 1, 3*time.Second)
	assert.Equal(t, r.Refusal, Admitted)

	s = newResubmitted(2, "")
	stored := &Job{Class: "p", Tasks: 5000, Arrived: resubmittedAt, Deadline: resubmittedAt + 30*24*time.Hour}
	for i := range stored.Tasks {
		s.Enqueue(resubmittedAt, &Task{Job: stored, Index: i})
	}
	_, r = submitStated(s, "c", "", 1, callerTimeout-1)
	assert.Equal(t, r.Refusal, Admitted)
}

// BenchmarkNextWithHeldJob measures a decision while a resubmitted job waits for free slots.
func BenchmarkNextWithHeldJob(b *testing.B) {
	for _, agents := range []int{11, 1375} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			s := newResubmitted(agents, "")
			for i := range agents {
				s.Observe(resubmittedAt, wire.Incarnation(i+1), wire.Load{Slots: 8, Limit: 8, Running: 8, Successes: 100})
			}
			submitStated(s, "c", "", 1, callerTimeout-1)
			for now := resubmittedAt; b.Loop(); now += time.Microsecond {
				s.Next(min(now, resubmittedAt+time.Second))
			}
		})
	}
}
