package durable_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	// lastingRun is longer than a world of these tests plays.
	lastingRun = time.Hour
	shortRun   = 60 * time.Millisecond
)

// Guards against two owners of a job at the same time, whatever the owner has written
// lately: lasting jobs, many short ones and the removal of their records, in any order,
// beside cuts, pauses, restarts and planned stops.
func TestLeaseEndsBeforeJobsAreTakenOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t)
		for range rapid.IntRange(4, 16).Draw(t, "events") {
			i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			p := w.processes[i]
			span := time.Duration(rapid.IntRange(100, 6000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				w.cut(p, span)
			case 1:
				w.pause(p, span)
			case 2:
				w.restart(i)
			case 3:
				w.requestLeave(p)
			case 4:
				w.advance(span)
			default:
				w.playLoad(p)
			}
			w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
		}
		w.endFaults()
		w.advance(recoveryTime)
		w.requireRefusedNotRecorded()
	})
}

// Guards against a healthy owner whose jobs are taken over: the others see no record of it
// while all that it writes are removals.
func TestHealthyProcessKeepsItsJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t)
		w.appendFaults = false
		for range rapid.IntRange(2, 8).Draw(t, "events") {
			w.playLoad(w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")])
			w.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
		}
		w.advance(w.opts.Retention + recoveryTime)
		assert.Equal(t, len(w.fenced), 0)
	})
}

// newLeaseWorld returns a world in which the states of ended jobs are removed while the
// lasting jobs run.
func newLeaseWorld(t *rapid.T) *world {
	retention := time.Duration(rapid.IntRange(5, 20).Draw(t, "retention")) * time.Second
	w := newWorld(t, durable.Options{Retention: retention}, rapid.IntRange(2, 3).Draw(t, "processes"))
	w.runTimes = make(map[string]time.Duration)
	w.advance(100 * time.Millisecond)
	return w
}

// playLoad submits a lasting job to a process, or up to 20 short ones one after the other.
func (w *world) playLoad(p *process) {
	if rapid.Bool().Draw(w.t, "lasting") {
		w.submitFor(p, lastingRun)
		return
	}
	gap := time.Duration(rapid.IntRange(20, 1000).Draw(w.t, "gap")) * time.Millisecond
	for range rapid.IntRange(1, 20).Draw(w.t, "short jobs") {
		w.submitFor(p, shortRun)
		w.advance(gap)
	}
}

// submitFor submits a job of one task that runs for the given time.
func (w *world) submitFor(p *process, runTime time.Duration) {
	job := fmt.Sprintf("j%da", len(w.runTimes)) // the name of a job that does not recur
	w.runTimes[job] = runTime
	w.submit(p, job, 1)
}

// Guards against two owners of a job at the same time during an upgrade: a process of an
// earlier build skips records of kinds that it does not know, and takes the jobs over from
// their writer if nothing else renews its lease.
func TestRecordsUnknownToEarlierBuildsDoNotRenewLease(t *testing.T) {
	m := durable.New(durable.Options{Self: durable.ProcessID{Incarnation: 7, Name: "vm"}})
	var until, renewedAt, now time.Duration
	knownKinds := "jsctl" // of the first build
	shown := false        // the append in flight has a record that every build reads
	var step func(durable.Event)
	step = func(ev durable.Event) {
		now += 30 * time.Millisecond
		for _, action := range slices.Clone(m.Step(now, ev)) {
			switch x := action.(type) {
			case durable.Append:
				shown = slices.ContainsFunc(x.Records, func(r durable.Record) bool {
					return len(r.Value) > 0 && strings.Contains(knownKinds, r.Key[:1])
				})
				sent, records := now, slices.Clone(x.Records)
				step(durable.Appended{Outcome: durable.Recorded, SentAt: sent})
				step(durable.Read{Records: records, RequestedAt: now})
			case durable.LeaseRenewed:
				assert.Assert(t, shown || x.Until == until, "%v: the lease is renewed by records that earlier builds skip", now)
				if x.Until > until {
					until, renewedAt = x.Until, now
				}
			}
		}
	}
	step(durable.Read{Snapshot: true, RequestedAt: now})
	step(durable.Submit{Token: 1, Spec: durable.Spec{ID: "j", Class: "c", MaxFailedRuns: 9, Steps: []entry.Step{{Tasks: 1}}}})
	for crashes := 1; now < 10*time.Second; crashes++ {
		step(durable.RunCrashed{Run: wire.RunRef{Job: "j", Run: crashes}, Crashes: crashes})
		assert.Assert(t, now-renewedAt < durable.DefaultLease, "the lease has expired at %v", now)
	}
}
