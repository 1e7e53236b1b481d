package entry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// workerChain connects an entry, the two state machines of an agent and a worker that
// lists a run as failed only if failing is set.
type workerChain struct {
	t       *testing.T
	now     time.Duration
	entry   *entry.Machine
	agent   *agent.Machine
	lease   *lease.Machine
	frozen  bool          // the entry does not run
	inbox   []entry.Event // of the entry while it is frozen
	pending []func()
	answers []entry.JobAnswer
	stops   int // stops that the agent requested for a run of an entry that is lost

	// State of the worker.
	loseStarts bool             // starts are left unanswered and carried out with the next stop
	late       []wire.RunRef    // starts that are still to be carried out
	running    []wire.RunRef    // runs in progress
	startedAt  time.Duration    // of the newest run
	runTime    time.Duration    // of each run
	failing    bool             // runs fail
	starts     int              // runs that began
	ended      []lease.EndedRun // list of ended runs
	kinds      map[lease.EndKind]int
}

func newWorkerChain(t *testing.T, submit entry.Submit) *workerChain {
	c := &workerChain{
		t: t, now: time.Second, runTime: 900 * time.Millisecond, kinds: make(map[lease.EndKind]int),
		entry: entry.New(entry.Options{Incarnation: 1, Scheduler: &oneAgentScheduler{}, HeartbeatInterval: 200 * time.Millisecond, ResendDelay: 1300 * time.Millisecond}),
		agent: agent.New(agent.Options{Incarnation: 1, Slots: 4, RunLease: 500 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond}),
		lease: lease.New(lease.Options{}),
	}
	c.stepAgent(agent.LinkUp{Entry: 1, Epoch: 1, HelloSentAt: c.now})
	c.stepEntry(entry.LinkUp{Hello: wire.AgentHello{Agent: 1, Epoch: 1, Name: "a", Slots: 4}})
	c.stepEntry(entry.StoredLease{Until: time.Hour})
	c.stepEntry(submit)
	return c
}

func (c *workerChain) stepEntry(ev entry.Event) {
	if c.frozen {
		c.inbox = append(c.inbox, ev)
		return
	}
	for _, a := range c.entry.Step(c.now, ev) {
		switch x := a.(type) {
		case entry.Send:
			c.pending = append(c.pending, func() { c.stepAgent(agent.Received{Entry: 1, Epoch: 1, Frame: x.Frame}) })
		case entry.Answer:
			c.answers = append(c.answers, x.Answer)
		case entry.RunFinished:
			c.pending = append(c.pending, func() {
				c.stepEntry(entry.AcknowledgedRuns{Agent: x.Agent, Runs: []wire.RunRef{x.Run.Run}, Superseded: x.Superseded})
			})
		}
	}
}

func (c *workerChain) stepAgent(ev agent.Event) {
	for _, a := range c.agent.Step(c.now, ev) {
		switch x := a.(type) {
		case *agent.Send:
			c.pending = append(c.pending, func() { c.stepEntry(entry.Received{Agent: 1, Epoch: 1, Frame: x.Frame}) })
		case *agent.Run:
			start := lease.StartOf(x)
			c.pending = append(c.pending, func() { c.stepLease(start) })
		case agent.Stop:
			if x.Orphan {
				c.stops++
			}
			c.pending = append(c.pending, func() { c.stepLease(lease.StopOf(x)) })
		case agent.Permissions:
			c.pending = append(c.pending, func() { c.stepLease(lease.Permissions{List: x.List}) })
		case agent.AcknowledgeRun:
			c.pending = append(c.pending, func() { c.stepLease(lease.AcknowledgeRun{Run: x.Run}) })
		}
	}
}

func (c *workerChain) stepLease(ev lease.Event) {
	for _, a := range c.lease.Step(c.now, ev) {
		switch x := a.(type) {
		case lease.CallStart:
			c.pending = append(c.pending, func() { c.stepLease(c.handleStart(x.Run)) })
		case lease.CallStop:
			c.pending = append(c.pending, func() { c.stepLease(c.handleStop(x.Run)) })
		case lease.CallPoll:
			c.pending = append(c.pending, func() { c.stepLease(c.handlePoll(x.AckUpTo)) })
		case lease.Finished:
			c.pending = append(c.pending, func() {
				c.stepAgent(agent.Finished{Attempt: x.Attempt, Outcome: x.Outcome, Reason: x.Reason, RunTime: x.RunTime, Checkpoint: x.Checkpoint})
			})
		}
	}
}

func (c *workerChain) handleStart(run wire.RunRef) lease.Event {
	if c.loseStarts {
		c.late = []wire.RunRef{run}
		return lease.Started{Run: run, Result: lease.StartUnanswered}
	}
	c.begin(run)
	return lease.Started{Run: run, Result: lease.StartAccepted, Clock: c.now}
}

func (c *workerChain) begin(run wire.RunRef) {
	c.starts++
	c.running = append(c.running, run)
	c.startedAt = c.now
}

func (c *workerChain) handleStop(run wire.RunRef) lease.Event {
	for _, x := range c.late {
		c.begin(x)
	}
	c.late = nil
	if slices.Contains(c.running, run) {
		c.end(run, lease.EndedStopped)
	}
	return lease.Stopped{Run: run, Acknowledged: true, Clock: c.now}
}

func (c *workerChain) end(run wire.RunRef, kind lease.EndKind) {
	c.running = slices.DeleteFunc(c.running, func(r wire.RunRef) bool { return r == run })
	c.ended = append(c.ended, lease.EndedRun{Number: len(c.ended) + 1, Run: run, Kind: kind})
	c.kinds[kind]++
}

func (c *workerChain) handlePoll(ackUpTo int) lease.Event {
	return lease.Polled{Status: &lease.WorkerStatus{
		Incarnation: 1, Clock: c.now, Running: slices.Clone(c.running), Ended: slices.Clone(c.ended[ackUpTo:]),
	}}
}

// advance moves the time forward in ticks of 10 ms.
func (c *workerChain) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 10 * time.Millisecond
		if len(c.running) > 0 && c.now-c.startedAt >= c.runTime {
			kind := lease.EndedSucceeded
			if c.failing {
				kind = lease.EndedFailed
			}
			c.end(c.running[0], kind)
		}
		due := c.pending
		c.pending = nil
		for _, do := range due {
			do()
		}
		if !c.frozen {
			c.stepEntry(entry.Tick{})
		}
		c.stepAgent(agent.Tick{})
		c.stepLease(lease.Tick{})
	}
}

func (c *workerChain) freezeEntry(d time.Duration) {
	c.frozen = true
	c.advance(d)
	c.frozen = false
	inbox := c.inbox
	c.inbox = nil
	for _, ev := range inbox {
		c.stepEntry(ev)
	}
}

// advanceUntil moves the time forward until the condition holds.
func (c *workerChain) advanceUntil(what string, holds func() bool) {
	for limit := c.now + 10*time.Second; !holds(); c.advance(10 * time.Millisecond) {
		if c.now >= limit || len(c.answers) > 0 {
			c.t.Fatalf("%v: waited for: %s; %d answers", c.now, what, len(c.answers))
		}
	}
}

// stoppedRunJobs are jobs whose task may fail twice.
func stoppedRunJobs() map[string]entry.Submit {
	return map[string]entry.Submit{
		"stored":   {Submission: testJob, Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 2, Stored: true},
		"unstored": {Submission: testJob, Job: "j", Payloads: make([][]byte, 1), MaxFailedRuns: 2, Deadline: time.Minute},
	}
}

// Guards against a job that fails although no run of its task has failed: the worker left
// the starts of its runs unanswered, so that the agent stopped the runs, as often as the
// task may fail.
func TestRunsStoppedAfterUnansweredStartsAreNoFailures(t *testing.T) {
	for name, submit := range stoppedRunJobs() {
		t.Run(name, func(t *testing.T) {
			c := newWorkerChain(t, submit)
			c.loseStarts = true
			for n := range 4 {
				c.advanceUntil("a run that is stopped", func() bool { return c.kinds[lease.EndedStopped] > n })
			}
			c.loseStarts = false
			c.advance(3 * time.Second)
			assert.Equal(t, len(c.answers), 1)
			assert.Equal(t, c.answers[0].Outcome, entry.Complete, "%s", c.answers[0].Reason)
		})
	}
}

// Guards against a job that fails although no run of its task has failed: its entry was
// frozen, and its agent stopped the runs, as often as the task may fail.
func TestRunsStoppedWhileEntryIsFrozenAreNoFailures(t *testing.T) {
	for name, submit := range stoppedRunJobs() {
		t.Run(name, func(t *testing.T) {
			c := newWorkerChain(t, submit)
			for n := range 4 {
				c.advanceUntil("a run", func() bool { return c.starts > n })
				c.advance(100 * time.Millisecond)
				c.freezeEntry(700 * time.Millisecond)
				assert.Equal(t, c.kinds[lease.EndedStopped], n+1)
				assert.Equal(t, c.stops, n+1)
			}
			c.advance(3 * time.Second)
			assert.Equal(t, len(c.answers), 1)
			assert.Equal(t, c.answers[0].Outcome, entry.Complete, "%s", c.answers[0].Reason)
		})
	}
}

// Guards against a task that is repeated although it has failed as often as it may.
func TestRunsThatFailedEndTheJob(t *testing.T) {
	for name, submit := range stoppedRunJobs() {
		t.Run(name, func(t *testing.T) {
			c := newWorkerChain(t, submit)
			c.failing = true
			c.advance(6 * time.Second)
			assert.Equal(t, c.starts, 2)
			assert.Equal(t, len(c.answers), 1)
			assert.Equal(t, c.answers[0].Reason, entry.ReasonTaskFailed)
			assert.Equal(t, c.answers[0].Detail, "task 0.0.0 after run 2: failed runs 2 of 2, worker crashes 0 of 3, last run upstream_error")
		})
	}
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
