package durable_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
)

// Guards against a job that fails although none of its tasks has failed as often as it
// may, against a task that is started after it has, and against a job that never ends.
// Runs fail, workers crash, and processes are killed, paused and cut off.
func TestJobsFailOnlyAfterMaxFailedRuns(t *testing.T) {
	failed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, durable.Options{}, rapid.IntRange(1, 3).Draw(t, "processes"))
		w.faultyRuns = true
		w.advance(100 * time.Millisecond)
		jobs := 0
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.restart(i)
			case 1:
				w.pause(p, span)
			case 2:
				w.cut(p, span)
			case 3:
				w.logDown = !w.logDown
			case 4: // cut off until its lease has nearly expired, then paused
				w.cut(p, 2*span)
				w.advance(min(span, 2400*time.Millisecond))
				w.pause(p, span)
			default:
				jobs++
				w.submit(p, fmt.Sprintf("j%d", jobs), rapid.IntRange(1, 4).Draw(t, "tasks"))
			}
			w.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			w.checkFailedJobs()
		}
		w.endFaults()
		w.faultyRuns = false
		w.advance(recoveryTime)
		failed += w.checkFailedJobs()
		w.requireAllEnded()
	})
	t.Logf("%d jobs failed", failed)
}

// checkFailedJobs checks that a task of each job that a process shows as failed has failed
// or lost its workers often enough, and returns the number of these jobs.
func (w *world) checkFailedJobs() int {
	failed := make(map[string]bool)
	for job := range w.tasks {
		for _, p := range w.processes {
			if s, _ := p.machine.State(job); s != durable.Failed {
				continue
			}
			failed[job] = true
			if !w.mayFail(job) {
				w.t.Fatalf("%v %s: %s is shown as failed; failed runs by task %v, crashes %v", w.now, p.name, job, w.failedRuns, w.crashedRuns)
			}
		}
	}
	return len(failed)
}

// mayFail reports whether the job may be shown as failed.
func (w *world) mayFail(job string) bool {
	for occurrence := range 2 {
		for i := range w.tasks[job] {
			task := fmt.Sprintf("%s.%d.%d", job, occurrence, i)
			if w.failedRuns[task] >= maxFailedRuns || w.crashedRuns[task] >= maxWorkerCrashes {
				return true
			}
		}
	}
	return false
}

// requireAllEnded checks that each accepted job has ended in every view and that no
// finished run remains unacknowledged.
func (w *world) requireAllEnded() {
	for job := range w.accepted {
		for _, p := range w.processes {
			if s, ok := p.machine.State(job); !ok || !s.Final() {
				w.t.Fatalf("%s: %s was accepted and is %v (known: %v)", p.name, job, s, ok)
			}
		}
	}
	if len(w.retained) > 0 {
		w.t.Fatalf("%d finished runs are never acknowledged, the first is %v", len(w.retained), w.retained[0].run.Run)
	}
}

// Guards against a job that is recorded as failed because a drive of it ended for another
// reason than its tasks: such a job is driven again.
func TestJobIsDrivenAgainUnlessItsTasksFailed(t *testing.T) {
	final := map[string]bool{entry.ReasonTaskFailed: true, entry.ReasonWorkersCrashed: true}
	reasons := []string{
		"", entry.ReasonTaskFailed, entry.ReasonWorkersCrashed, entry.ReasonTaskUnknown, entry.ReasonCancelled, entry.ReasonDraining,
		entry.ReasonDeadline, entry.ReasonEntryPaused, entry.ReasonRetriesExhausted, entry.ReasonAnswerTooLarge, entry.ReasonBadSteps,
	}
	for _, outcome := range []entry.JobOutcome{entry.Failed, entry.Refused, entry.Unknown} {
		for _, reason := range reasons {
			l := newScriptedLog(7, nil)
			l.step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", MaxFailedRuns: 2, Steps: []entry.Step{{Tasks: 1}}}})
			l.step(durable.Tick{})
			assert.Equal(t, len(l.drives), 1)
			l.step(durable.DriveEnded{Job: "j", Outcome: outcome, Reason: reason})
			for range 20 {
				l.step(durable.Tick{})
			}
			state, _ := l.machine.State("j")
			if outcome == entry.Failed && final[reason] {
				assert.Equal(t, state, durable.Failed, "%v %s", outcome, reason)
				continue
			}
			assert.Equal(t, state, durable.Queued, "%v %s", outcome, reason)
			assert.Equal(t, len(l.drives), 2, "%v %s", outcome, reason)
		}
	}
}
