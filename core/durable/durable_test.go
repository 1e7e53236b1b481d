package durable_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
)

// recoveryTime is enough for every lease to expire and every job to end once
// the faults are over.
const recoveryTime = 45 * time.Second

// Guards against a task that runs twice at the same time or again after its
// success, and against the loss of an accepted job, while processes are killed,
// paused and cut off from a log that loses replies and carries out appends
// late.
func TestJobsRunOnceAndAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, durable.Options{}, rapid.IntRange(1, 3).Draw(t, "processes"))
		w.advance(100 * time.Millisecond)
		jobs := 0
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 13).Draw(t, "event") {
			case 0:
				w.restart(i)
			case 1:
				w.pause(p, span)
			case 2:
				w.cut(p, span)
			case 12: // cut off until its lease has nearly expired, then paused
				w.cut(p, 2*span)
				w.advance(min(span, 2400*time.Millisecond))
				w.pause(p, span)
			case 3:
				w.logDown = !w.logDown
			case 4: // the same job at another process
				if jobs > 0 {
					job := fmt.Sprintf("j%d", rapid.IntRange(1, jobs).Draw(t, "again"))
					w.submit(p, job, w.tasks[job])
				}
			default:
				jobs++
				w.submit(p, fmt.Sprintf("j%d", jobs), rapid.IntRange(1, 4).Draw(t, "tasks"))
			}
			w.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
		}
		w.endFaults()
		w.advance(recoveryTime)
		w.requireAllCompleted()
	})
}

// pause stops a process for the given time.
func (w *world) pause(p *process, span time.Duration) {
	w.loseLinks(p)
	p.pausedUntil = w.now + span
}

// cut cuts a process off from the log for the given time, in one direction or in both.
func (w *world) cut(p *process, span time.Duration) {
	p.cutUntil = w.now + span
	p.cutOneWay = rapid.Bool().Draw(w.t, "one way")
}

// endFaults ends every fault.
func (w *world) endFaults() {
	w.logDown = false
	for _, p := range w.processes {
		p.cutUntil, p.pausedUntil = 0, min(p.pausedUntil, w.now)
	}
}

// requireAllCompleted checks that each accepted job is completed in every view, or
// cancelled if a caller asked for it, that no finished run remains unacknowledged, that no
// refused request was recorded, and that every request was answered.
func (w *world) requireAllCompleted() {
	w.requireAllAnswered()
	w.requireRefusedNotRecorded()
	for job := range w.accepted {
		for _, p := range w.processes {
			s, ok := p.machine.State(job)
			if !ok || s != durable.Completed && !(s == durable.Cancelled && w.cancelled[job]) {
				w.t.Fatalf("%s: %s was accepted and is %v (known: %v)", p.name, job, s, ok)
			}
		}
	}
	if len(w.retained) > 0 {
		w.t.Fatalf("%d finished runs are never acknowledged, the first is %v", len(w.retained), w.retained[0].run.Run)
	}
}

// Guards against telling a caller that a job is stored before it is in the log.
func TestJobIsStoredBeforeTheCallerIsTold(t *testing.T) {
	m := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 7, Name: "vm"}})
	m.Step(1, durable.Read{Snapshot: true, RequestedAt: 1})
	actions := m.Step(2, durable.Submit{Token: 1, Spec: durable.Spec{ID: "j"}})
	assert.Equal(t, len(actions), 1)
	_, appends := actions[0].(durable.Append)
	assert.Assert(t, appends)
	actions = m.Step(3, durable.Appended{Outcome: durable.NotRecorded, SentAt: 2})
	assert.Equal(t, actions[0].(durable.Reply).Result, durable.Unavailable)
}

// Guards against a machine that takes an incremental read for the whole log.
func TestIncrementalReadIsNotTakenForTheWholeLog(t *testing.T) {
	m := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 7, Name: "vm"}})
	m.Step(1, durable.Read{RequestedAt: 1})
	assert.Assert(t, !m.Loaded())
	actions := m.Step(2, durable.Cancel{Token: 1, Job: "j"})
	assert.Equal(t, len(actions), 0, "nothing is known of the job yet")
}
