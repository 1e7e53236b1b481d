package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against two runs of one task: a start has no answer, the worker restarts under its
// name and leaves polls unanswered, and the run is reported as ended with the lease of the
// earlier process before the next one carries the start out. Runs that were accepted end at
// once.
func TestUnansweredStartOutlastsRestartOfWorker(t *testing.T) {
	for _, gone := range []string{"found by poll", "announced", "not noticed", "behind a cut"} {
		t.Run(gone, func(t *testing.T) {
			m := lease.New(lease.Options{})
			m.Step(0, lease.Tick{})
			m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
			accepted, unanswered := wire.RunRef{Job: "j", Run: 1}, wire.RunRef{Job: "k", Run: 1}
			first, second := agent.AttemptID{Entry: 1, Seq: 1}, agent.AttemptID{Entry: 1, Seq: 2}
			m.Step(2, lease.Start{Attempt: first, Run: accepted})
			m.Step(2, lease.Started{Run: accepted, Result: lease.StartAccepted})
			m.Step(3, lease.Start{Attempt: second, Run: unanswered})
			for range 3 {
				m.Step(3, lease.Started{Run: unanswered, Result: lease.StartUnanswered})
			}
			now := 10 * time.Millisecond
			ended := make(map[agent.AttemptID]time.Duration)
			step := func(ev lease.Event) {
				for _, a := range m.Step(now, ev) {
					if x, ok := a.(lease.Finished); ok {
						ended[x.Attempt] = now
					}
				}
			}
			switch gone {
			case "found by poll":
				step(lease.Polled{ProcessGone: true})
			case "announced":
				step(lease.Polled{})
				step(lease.WorkerReplaced{})
			case "behind a cut": // each poll times out
				step(lease.Polled{})
			case "not noticed": // this process was frozen meanwhile
				step(lease.Polled{})
				now += 400 * time.Millisecond
			}
			// A start is carried out up to 12 s after it was sent, and its run has a lease of 1 s.
			for ; now < 13*time.Second; now += 20 * time.Millisecond {
				step(lease.Tick{})
				step(lease.Polled{})
			}
			_, over := ended[second]
			assert.Assert(t, !over, "ended after %v", ended[second])
			assert.Assert(t, ended[first] > 0 && ended[first] < 2500*time.Millisecond, "ended after %v", ended[first])
			for ; now < 14*time.Second; now += 20 * time.Millisecond {
				step(lease.Tick{})
				step(lease.Polled{})
			}
			_, over = ended[second]
			assert.Assert(t, over, "a worker that is lost for good")
		})
	}
}

// Guards against a start that is sent to the next process of a worker before anything has
// fenced off starts to the earlier one.
func TestNothingIsStartedAtReplacedWorkerBeforeItAnswers(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
	now := 3 * time.Second
	m.Step(now, lease.Tick{}) // sends a poll
	m.Step(now+1, lease.WorkerReplaced{})
	m.Step(now+2, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: now}}) // of the earlier process
	sent := 0
	for _, a := range m.Step(now+3, lease.Start{Run: wire.RunRef{Job: "j", Run: 1}}) {
		if _, ok := a.(lease.CallStart); ok {
			sent++
		}
	}
	assert.Equal(t, sent, 0)
	assert.Equal(t, m.OpenRuns(), 0)
}

// Guards against a task that is not blamed for the crashes of workers, because its start had
// no answer and the next agent reports the run as ended with the earlier incarnation. A run
// that the worker lists as ended is left to that agent.
func TestUnansweredStartsEndWhenWorkerIsFenced(t *testing.T) {
	for _, listed := range []bool{false, true} {
		m := lease.New(lease.Options{})
		m.Step(0, lease.Tick{})
		m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
		run := wire.RunRef{Job: "j", Run: 1}
		m.Step(2, lease.Start{Run: run})
		m.Step(3, lease.Started{Run: run, Result: lease.StartUnanswered})
		m.Step(4, lease.Started{Run: run, Result: lease.StartRefused, Reason: wire.ReasonUpstreamDown, ProcessGone: true})
		m.Step(1500*time.Millisecond, lease.WorkerReplaced{})
		assert.Equal(t, m.OpenRuns(), 1)
		var ended []lease.EndedRun
		if listed {
			ended = append(ended, lease.EndedRun{Number: 1, Run: run, Kind: lease.EndedSucceeded})
		}
		var reasons []wire.Reason
		for _, a := range m.Step(1600*time.Millisecond, lease.WorkerFenced{Ended: ended}) {
			if x, ok := a.(lease.Finished); ok {
				reasons = append(reasons, x.Reason)
			}
		}
		if listed {
			assert.Equal(t, len(reasons), 0)
			continue
		}
		assert.DeepEqual(t, reasons, []wire.Reason{wire.ReasonWorkerCrashed})
	}
}
