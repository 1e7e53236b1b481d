package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// runOnce places the task and runs it for as long as it takes, or until the detector
// stops it. It returns the time at the end and whether the run completed.
func runOnce(t *testing.T, s *Adaptive, now, length time.Duration, task *Task) (time.Duration, bool) {
	t.Helper()
	s.Enqueue(now, task)
	p, ok := s.Next(now)
	assert.Assert(t, ok)
	for sentAt := now; now < sentAt+length; now += 50 * time.Millisecond {
		if s.Stuck(now, task) {
			r := &wire.Result{Outcome: wire.Failed, Reason: wire.ReasonStuck, RunTime: wire.MicrosOf(now - sentAt)}
			s.AttemptDone(now, p.Agent, task, r)
			return now, false
		}
	}
	s.AttemptDone(now, p.Agent, task, &wire.Result{Outcome: wire.Succeeded, RunTime: wire.MicrosOf(length)})
	return now, true
}

// Guards against long tasks that are stopped and repeated without end: after a restart
// the first runs of a queue are short, and the limit for stuck runs is learned from runs
// that succeeded, so that no long run could correct it. Their workers must not be blamed.
func TestLongTasksAreNotStoppedWithoutEnd(t *testing.T) {
	const long = 900 * time.Millisecond
	s := newTest(3, Options{})
	now := time.Second
	run := func(length time.Duration) (runs int) {
		job, tasks := newTestJob("c", now, 1)
		job.DeclaredRunTime = length
		for completed := false; !completed; {
			runs++
			assert.Assert(t, runs <= 3, "a run of %v was stopped %d times", length, runs-1)
			now, completed = runOnce(t, s, now, length, tasks[0])
		}
		s.JobDone(now, job, true)
		return runs
	}
	for range 30 {
		run(60 * time.Millisecond)
	}
	first := run(long)
	assert.Assert(t, first > 1, "the run was not taken for stuck, so the test shows nothing")
	for range 20 {
		run(long)
	}
	assert.Equal(t, run(long), 1, "the limit was not corrected")
	for _, a := range s.connected {
		assert.Assert(t, !a.health.ejected && !a.health.suspended)
	}
}

// Guards against runs that make no progress on some workers and are no longer stopped.
func TestStuckRunIsStoppedAtFirst(t *testing.T) {
	s := newTest(3, Options{})
	now := time.Second
	for range 30 {
		_, tasks := newTestJob("c", now, 1)
		now, _ = runOnce(t, s, now, 60*time.Millisecond, tasks[0])
	}
	_, tasks := newTestJob("c", now, 1)
	end, completed := runOnce(t, s, now, time.Hour, tasks[0])
	assert.Assert(t, !completed && end-now <= 2*stuckMinimum, "stopped after %v", end-now)
}
