package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stated draws a declared run time and the time that a caller states with its first attempt.
func stated(rng *rand.Rand) (declared, left time.Duration) {
	run := 0.2 * math.Exp(0.4*rng.NormFloat64())
	return seconds(run * math.Exp(0.3*rng.NormFloat64())), seconds(2 + 2*run)
}

// Guards against new jobs that are taken for resubmitted ones, which would make them wait,
// and against resubmitted jobs that are not found while half of the jobs are.
func TestResubmittedJobsAreFoundByTheTimeTheirCallersState(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, mistaken := new(statedTimes), 0
		for range 5000 {
			declared, left := stated(rng)
			if s.waited(declared, left, 0) > 0 {
				mistaken++
			}
			s.observe(declared, left)
		}
		assert.Assert(t, mistaken < 50, "seed %d: %d of 5000 new jobs", seed, mistaken)

		const callerTimeout = 1500 * time.Millisecond // all first attempts state more
		s, mistaken = new(statedTimes), 0
		found, resubmitted := 0, 0
		for i := range 500 {
			declared, left := stated(rng)
			again := rng.Float64() < 0.5
			if again {
				left -= seconds(1.3 + 0.3*rng.Float64())
			}
			waited := s.waited(declared, left, callerTimeout) > 0
			s.observe(declared, left)
			switch {
			case i < 50: // after a restart nothing is known yet
			case again:
				resubmitted++
				if waited {
					found++
				}
			case waited:
				mistaken++
			}
		}
		assert.Assert(t, found*10 > resubmitted*8 && mistaken < 20, "seed %d: %d of %d found, %d mistaken", seed, found, resubmitted, mistaken)
	}
}

// learnStated lets the scheduler learn that callers of the class wait for three seconds.
func learnStated(s *Adaptive, class string) {
	for range 2 * minStatedTimes {
		s.Admit(0, &Job{Class: class, Tasks: 1, Deadline: 3 * time.Second})
	}
}

// resubmittedAt is a time after learnStated at which the work of its jobs does not count any
// more.
const resubmittedAt = 10 * time.Second

// submitStated admits a job whose caller states the given time, and enqueues its tasks.
func submitStated(s *Adaptive, tasks int, left time.Duration) (*Job, AdmitResult) {
	job := &Job{Class: "c", Tasks: tasks, Arrived: resubmittedAt, Deadline: resubmittedAt + left}
	r := s.Admit(resubmittedAt, job)
	for i := range tasks {
		if r.Refusal == Admitted {
			s.Enqueue(resubmittedAt, &Task{Job: job, Index: i})
		}
	}
	return job, r
}

// Guards against resubmitted jobs that start before new ones, that take the slots which other
// entries need for new jobs, or that wait for the reserve until their deadline has passed.
func TestResubmittedJobsYieldToNewOnes(t *testing.T) {
	s := newTest(2, Options{})
	learnStated(s, "c")
	start := func(want *Job) {
		p, ok := s.Next(resubmittedAt)
		assert.Assert(t, ok)
		assert.Equal(t, p.Task.Job, want)
	}
	first, _ := submitStated(s, 13, 3*time.Second)
	for range first.Tasks {
		start(first)
	}
	old, _ := submitStated(s, 1, 1500*time.Millisecond)
	assert.Assert(t, old.Waited > time.Second)
	fresh, _ := submitStated(s, 2, 3*time.Second)
	assert.Equal(t, fresh.Waited, time.Duration(0))
	start(fresh)
	start(fresh)
	_, ok := s.Next(resubmittedAt)
	assert.Assert(t, !ok, "a resubmitted job took the last free slot of 16")
	s.queue.starts = lateStartInterval - 1 // the next start is the turn of the late jobs
	p, ok := s.Next(old.Deadline - 250*time.Millisecond)
	assert.Assert(t, ok && p.Task.Job == old, "a resubmitted job waits until its deadline")
}

// Guards against new jobs that are refused because of resubmitted ones that wait behind them,
// and against resubmitted jobs that are admitted although they cannot be served in time.
func TestResubmittedBacklogDoesNotRefuseNewJobs(t *testing.T) {
	s := newTest(1, Options{})
	learnStated(s, "c")
	admitted := 0
	for ; admitted < 1000; admitted++ {
		if _, r := submitStated(s, 8, 1900*time.Millisecond); r.Refusal != Admitted {
			assert.Equal(t, r.Refusal, RefusedOverload)
			assert.Assert(t, r.RetryAfter > 0)
			break
		}
	}
	assert.Assert(t, admitted > 1 && admitted < 20, "%d resubmitted jobs admitted", admitted)
	_, r := submitStated(s, 1, 3*time.Second)
	assert.Equal(t, r.Refusal, Admitted)
}
