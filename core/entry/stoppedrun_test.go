package entry_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// workerChainSeeds is the number of seeds that TestJobFailsOnlyIfWorkersListItsRunsAsFailed
// plays.
var workerChainSeeds = flag.Int("workerchain.seeds", 150, "seeds of the model with workers and agents")

// forStoppedRunJobs runs the test with a stored job and one that is not stored. Their task
// may fail twice.
func forStoppedRunJobs(t *testing.T, test func(t *testing.T, c *workerChain)) {
	for name, submit := range map[string]entry.Submit{
		"stored":   {Submission: testJob, Class: "c", Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 2, Stored: true},
		"unstored": {Submission: testJob, Class: "c", Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 2, Deadline: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			c := newWorkerChain(1, 1, &newestAgentScheduler{})
			c.stepEntry(submit)
			test(t, c)
		})
	}
}

// Guards against a job that fails although no run of its task has failed: the worker left
// the starts of its runs unanswered, so that the agent stopped the runs, as often as the
// task may fail.
func TestRunsStoppedAfterUnansweredStartsAreNoFailures(t *testing.T) {
	forStoppedRunJobs(t, func(t *testing.T, c *workerChain) {
		c.hosts[0].loseStarts = true
		stopped := c.advanceUntil(func() bool { return c.ends[lease.EndedStopped] >= 4 })
		assert.Assert(t, stopped, "%d runs were stopped, answers %v", c.ends[lease.EndedStopped], c.answers)
		c.hosts[0].loseStarts = false
		c.advance(3 * time.Second)
		assert.Equal(t, len(c.answers), 1)
		assert.Equal(t, c.answers[0].Outcome, entry.Complete, "%s", c.answers[0].Reason)
	})
}

// Guards against a job that fails although no run of its task has failed: its entry was
// frozen, and its agent stopped the runs, as often as the task may fail.
func TestRunsStoppedWhileEntryIsFrozenAreNoFailures(t *testing.T) {
	forStoppedRunJobs(t, func(t *testing.T, c *workerChain) {
		for n := range 4 {
			assert.Assert(t, c.advanceUntil(func() bool { return c.starts > n }), "run %d, answers %v", n+1, c.answers)
			c.advance(100 * time.Millisecond)
			c.freezeEntry(700 * time.Millisecond)
			assert.Equal(t, c.ends[lease.EndedStopped], n+1)
			assert.Equal(t, c.hosts[0].orphans, n+1)
		}
		c.advance(3 * time.Second)
		assert.Equal(t, len(c.answers), 1)
		assert.Equal(t, c.answers[0].Outcome, entry.Complete, "%s", c.answers[0].Reason)
	})
}

// Guards against a task that is repeated although it has failed as often as it may.
func TestRunsThatFailedEndTheJob(t *testing.T) {
	forStoppedRunJobs(t, func(t *testing.T, c *workerChain) {
		c.nextRun = func() (time.Duration, bool) { return 900 * time.Millisecond, true }
		c.advance(6 * time.Second)
		assert.Equal(t, c.starts, 2)
		assert.Equal(t, len(c.answers), 1)
		assert.Equal(t, c.answers[0].Reason, entry.ReasonTaskFailed)
		assert.Equal(t, c.answers[0].Detail, "task 0.0.0 after run 2: failed runs 2 of 2, worker crashes 0 of 3, last run upstream_error")
	})
}

// Guards against a job whose runs were stopped and that fails, with its entry or with the
// next one, although none of them has failed.
func TestStoppedRunsAreNoFailuresOfTheTask(t *testing.T) {
	for _, reason := range []wire.Reason{wire.ReasonStopped, wire.ReasonRunEnded, wire.ReasonConnectionLost} {
		m := startStoredJob(t, false)
		seq := wire.Seq(1)
		for ; seq <= 5; seq++ {
			actions := deliverResult(m, seq, wire.Failed, reason)
			assert.Equal(t, len(answersIn(actions)), 0, "%v", reason)
			assert.Equal(t, len(finishedRunsIn(actions)), 0, "%v", reason)
		}
		assert.Equal(t, answersIn(deliverResult(m, seq, wire.Succeeded, wire.ReasonNone))[0].Outcome, entry.Complete)
	}
}

// Guards against a stored job that fails although no worker has listed as many runs of one
// of its tasks as failed as its class allows, nor have two workers crashed under one, and
// against one that never ends. Calls and links are lost, agents restart, the entry freezes,
// workers are silent, runs fail, workers crash, and finished runs are acknowledged late, so that they are
// reported again.
func TestJobFailsOnlyIfWorkersListItsRunsAsFailed(t *testing.T) {
	outcomes := make(map[string]int)
	for seed := range *workerChainSeeds {
		outcome, err := playFailingRuns(uint64(seed))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		outcomes[outcome]++
	}
	t.Logf("outcomes: %v", outcomes)
}

// playFailingRuns plays a stored job of three tasks and returns how it ended.
func playFailingRuns(seed uint64) (string, error) {
	const maxFailedRuns = 2
	c := newWorkerChain(seed, 3, policy.New(policy.Options{Seed: seed}))
	c.advance(300 * time.Millisecond)
	failing := []int{0, 10, 30}[c.rng.IntN(3)]
	c.nextRun = func() (time.Duration, bool) { return c.millis(20, 3000), c.rng.IntN(100) < failing }
	c.ackDelay = []time.Duration{0, 100 * time.Millisecond, 2 * time.Second}[c.rng.IntN(3)]
	lost := []int{0, 10, 40}[c.rng.IntN(3)]
	crashes := c.rng.IntN(2)
	for _, h := range c.hosts {
		h.loseCalls = lost
		h.loseStarts = c.rng.IntN(2) == 0
	}
	c.stepEntry(entry.Submit{
		Submission: testJob, Class: "c", Job: "j", Payloads: make([][]byte, 3), MaxFailedRuns: maxFailedRuns, Stored: true,
	})
	for range 60 {
		c.advance(c.millis(10, 200))
		h := c.hosts[c.rng.IntN(len(c.hosts))]
		switch c.rng.IntN(8) {
		case 0:
			c.freezeEntry(c.millis(300, 1500))
		case 1:
			h.loseLink(c.millis(0, 600))
			c.advance(c.millis(10, 900))
			if !h.up {
				h.connect(nil)
			}
		case 2:
			h.restartAgent()
		case 3:
			h.loseStarts = !h.loseStarts
		case 4:
			if crashes > 0 && c.now >= h.goneUntil {
				h.crash(c.millis(100, 800))
			}
		case 5:
			h.silentUntil = c.now + c.millis(100, 1500)
		}
	}
	for _, h := range c.hosts {
		h.loseStarts, h.loseCalls = false, 0
	}
	failing, c.ackDelay = 0, 0
	for range 300 {
		if len(c.answers) > 0 {
			break
		}
		c.advance(100 * time.Millisecond)
	}
	if len(c.answers) != 1 {
		return "", fmt.Errorf("%d answers", len(c.answers))
	}
	mostFailed, mostCrashed := 0, 0
	for i := range 3 {
		mostFailed, mostCrashed = max(mostFailed, c.failed[i]), max(mostCrashed, c.crashed[i])
	}
	a := c.answers[0]
	switch {
	case a.Outcome == entry.Complete:
	case a.Reason == entry.ReasonTaskFailed && mostFailed >= maxFailedRuns:
	case a.Reason == entry.ReasonWorkersCrashed && mostCrashed >= 2:
	default:
		return "", fmt.Errorf("%v %s: %s; failed runs by task %v, crashes %v", a.Outcome, a.Reason, a.Detail, c.failed, c.crashed)
	}
	return a.Outcome.String() + " " + a.Reason, nil
}
