package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// standingWork is a scheduler with agents that report every 0.1 s, and what is in flight.
type standingWork struct {
	s        *Adaptive
	now      time.Duration
	inFlight map[*Task]wire.Incarnation
	loads    map[wire.Incarnation]*wire.Load
	frozen   wire.Incarnation // this agent reports nothing
	placed   func(p Placement)
}

func newStandingWork(agents int) *standingWork {
	x := &standingWork{
		s: New(Options{}), inFlight: make(map[*Task]wire.Incarnation), loads: make(map[wire.Incarnation]*wire.Load),
		placed: func(Placement) {},
	}
	x.s.Configure(0, Settings{Classes: []Class{{Name: "c", ResponseTarget: time.Second}}})
	for id := wire.Incarnation(1); id <= wire.Incarnation(agents); id++ {
		x.loads[id] = &wire.Load{Slots: 8, Limit: 8}
		x.s.AgentUp(0, AgentInfo{Agent: id, Zone: "z", Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
	}
	return x
}

// advance places what can be placed for a time, with reports every 0.1 s.
func (x *standingWork) advance(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += 100 * time.Millisecond {
		for p, ok := x.s.Next(x.now); ok; p, ok = x.s.Next(x.now) {
			x.inFlight[p.Task] = p.Agent
			x.loads[p.Agent].Running++
			x.placed(p)
		}
		for id := wire.Incarnation(1); int(id) <= len(x.loads); id++ {
			if id != x.frozen {
				x.s.Observe(x.now, id, *x.loads[id])
			}
		}
	}
}

// end ends the attempt of a task, if it is in flight.
func (x *standingWork) end(task *Task, o wire.Outcome, reason wire.Reason) {
	agent, ok := x.inFlight[task]
	if !ok {
		return
	}
	delete(x.inFlight, task)
	load := x.loads[agent]
	load.Running--
	switch o {
	case wire.Succeeded:
		load.Successes++
	case wire.Failed:
		load.Failures++
	}
	x.s.AttemptDone(x.now, agent, task, &wire.Result{Outcome: o, Reason: reason, RunTime: wire.MicrosOf(20 * time.Millisecond)})
}

// longRunning enqueues a job of long-running tasks and waits until they are at work.
func (x *standingWork) longRunning(t *testing.T, tasks int) []*Task {
	job, list := newTestJob("c", x.now, tasks)
	job.LongRunning, job.Deadline = true, time.Hour
	for _, task := range list {
		x.s.Enqueue(x.now, task)
	}
	x.advance(10 * time.Second)
	for _, task := range list {
		assert.Assert(t, x.inFlight[task] != 0, "task %d is not at work", task.Index)
	}
	return list
}

// restartTime is how long after its last run a long-running task may be away.
const restartTime = 6 * time.Second

// Guards against an entry that starts nothing any more: starts that a frozen agent answers
// late shrink the window of attempts, and long-running tasks fill it for good, because it
// grows only with attempts that end.
func TestLongRunningTasksDoNotFillWindow(t *testing.T) {
	x := newStandingWork(3)
	x.longRunning(t, 6)
	x.frozen = 1
	_, small := enqueue(x.s, x.now, "c", 2)
	x.advance(4 * time.Second)
	for _, task := range small {
		x.end(task, wire.NotRun, wire.ReasonBusy)
	}
	x.frozen = 0
	assert.Assert(t, x.s.window.full(6), "the window is not smaller than the long-running tasks: %.0f", x.s.window.size)
	_, later := enqueue(x.s, x.now, "c", 1)
	x.advance(restartTime)
	assert.Assert(t, x.inFlight[later[0]] != 0, "a later task is not placed")
}

// Guards against a long-running task that is never restarted: after a failure its agent is
// limited to one attempt at a time, and a long-running task of another job is that one. It
// guards as well against a limit that stays because no attempt ever succeeds.
func TestFailedLongRunningTaskIsRestartedBesideAnother(t *testing.T) {
	x := newStandingWork(1)
	_, short := enqueue(x.s, x.now, "c", 400)
	for x.loads[1].Successes < 400 {
		x.advance(100 * time.Millisecond)
		for _, task := range short {
			x.end(task, wire.Succeeded, wire.ReasonNone)
		}
	}
	x.longRunning(t, 1)
	failing := x.longRunning(t, 1)[0]
	x.end(failing, wire.Failed, wire.ReasonNone)
	x.advance(100 * time.Millisecond)
	assert.Assert(t, x.s.agents[1].health.limited)
	x.s.Enqueue(x.now, failing)
	x.advance(restartTime)
	assert.Assert(t, x.inFlight[failing] != 0, "the failed task is not restarted")
	more, _ := newTestJob("c", x.now, 3)
	more.LongRunning = true
	for i := range 3 {
		x.s.Enqueue(x.now, &Task{Job: more, Index: i})
	}
	x.advance(restartTime)
	assert.Equal(t, len(x.inFlight), 5)
	assert.Assert(t, !x.s.agents[1].health.limited, "a long-running task at work shows no health")
}

// Guards against an ejected agent that never gets its trial, because it is given only with
// nothing else in flight there, and against one that gets its trials without a growing
// delay.
func TestEjectedAgentGetsTrialBesideLongRunningTask(t *testing.T) {
	x := newStandingWork(1)
	x.longRunning(t, 1)
	h := &x.s.agents[1].health
	x.s.unavailable++
	h.eject(x.now, 0)
	var trials []time.Duration
	x.placed = func(Placement) { trials = append(trials, x.now) }
	_, tasks := enqueue(x.s, x.now, "c", 4)
	x.advance(40 * time.Second) // no trial ends
	assert.Assert(t, len(trials) >= 3, "%d trials", len(trials))
	for i := 2; i < len(trials); i++ {
		assert.Assert(t, trials[i]-trials[i-1] > trials[i-1]-trials[i-2], "trials at %v", trials)
	}
	for _, task := range tasks {
		x.end(task, wire.Succeeded, wire.ReasonNone)
	}
	assert.Assert(t, !h.ejected, "a successful trial does not end the ejection")
}

// Guards against a task that is sent to the same agent for good, which refuses it each time
// because of runs that last, while another agent is idle: the idle one is away from the
// task's data, which seems to cost more than the wait for a run to end.
func TestTaskThatAgentKeepsRefusingGoesElsewhere(t *testing.T) {
	x := newStandingWork(2)
	for id, rack := range map[wire.Incarnation]string{1: "r1", 2: "r2"} {
		x.s.AgentUp(0, AgentInfo{Agent: id, Zone: "z", Rack: rack, Slots: 8, Capacity: wire.Capacity{MilliCores: 64000}})
	}
	_, warmUp := enqueue(x.s, x.now, "c", 40)
	for x.loads[1].Successes+x.loads[2].Successes < 40 {
		x.advance(100 * time.Millisecond)
		for _, task := range warmUp {
			x.end(task, wire.Succeeded, wire.ReasonNone)
		}
	}
	need := wire.Capacity{MilliCores: 24000}
	lasting, list := newTestJob("c", x.now, 1)
	lasting.LongRunning, lasting.DataRack, lasting.Need, lasting.Deadline = true, "r1", need, time.Hour
	x.s.Enqueue(x.now, list[0])
	x.advance(10 * time.Second)
	assert.Equal(t, x.inFlight[list[0]], wire.Incarnation(1))
	x.loads[1].Limit, x.loads[1].Occupied = 5, 3000 // its capacity has shrunk to 40 cores
	x.advance(time.Second)
	job, list := newTestJob("c", x.now, 1)
	job.DataRack, job.Need, job.DeclaredRunTime = "r1", need, 200*time.Millisecond
	task := list[0]
	for range 10 {
		x.s.Enqueue(x.now, task)
		x.advance(500 * time.Millisecond)
		if x.inFlight[task] == 2 {
			return
		}
		task.NotRunAttempts++
		x.end(task, wire.NotRun, wire.ReasonBusy)
	}
	t.Fatal("the task was sent to the agent that refuses it 10 times")
}

// Guards against a worker that is out of use for a minute after a short fault: each failure
// in a burst, of tasks that other entries had placed before, doubled the delay until the
// next trial.
func TestBurstOfFailuresPostponesTrialOnce(t *testing.T) {
	x := newStandingWork(1)
	x.advance(time.Second)
	h := &x.s.agents[1].health
	x.s.unavailable++
	h.eject(x.now, 0)
	for range 10 {
		x.loads[1].Failures++
		x.advance(100 * time.Millisecond)
	}
	assert.Assert(t, h.trialAt <= x.now+2*minTrialDelay, "the trial is due %v after the burst", h.trialAt-x.now)
	x.advance(minTrialDelay)
	x.loads[1].Failures++
	x.advance(100 * time.Millisecond)
	assert.Assert(t, h.trialAt >= x.now+minTrialDelay, "a later failure does not postpone the trial")
}

// Guards against long-running tasks that wait minutes for a retry: each refusal takes from
// the retry budget, and only the success of a retry gives back.
func TestRetriedLongRunningTasksReleaseFurtherRetries(t *testing.T) {
	const refused = 200
	x := newStandingWork(3)
	for range refused {
		x.s.Retry(x.now, &Task{Job: &Job{Deadline: time.Hour}, NotRunAttempts: 1}, wire.ReasonBusy)
	}
	job, list := newTestJob("c", x.now, 4)
	job.LongRunning = true
	for _, task := range list {
		task.NotRunAttempts = 1
		x.s.Enqueue(x.now, task)
	}
	x.advance(restartTime)
	assert.Equal(t, len(x.inFlight), len(list))
	assert.Equal(t, x.s.ReleasedRetries(), retriesPerSuccess*len(list))
}
