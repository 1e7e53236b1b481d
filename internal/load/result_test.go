package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// TestEveryKindOfWastedMessageCounts guards against a count that leaves out a kind
// of wasted message, or that counts a refusal without the refused start.
func TestEveryKindOfWastedMessageCounts(t *testing.T) {
	s := entry.Stats{Starts: 14, Results: 10, Refused: 2, Cancels: 3, Queries: 4, Late: 5, Heartbeats: 100}
	assert.Equal(t, wastedMessages(s, 1).PerTask, float64(2*2+3+4+5+1)/10)
	assert.Equal(t, wastedMessages(entry.Stats{Refused: 1}, 0).PerTask, 0.0)
}

// TestOnlyCompleteJobsHaveResponseTimes guards against response times that include
// jobs which did not complete.
func TestOnlyCompleteJobsHaveResponseTimes(t *testing.T) {
	o := Options{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: 250 * time.Millisecond}}}}
	o.Duration = time.Second
	o = o.WithDefaults()
	job := &Job{Class: "c", RunTimes: []time.Duration{100 * time.Millisecond}}
	late := &Job{Class: "c", SendAt: 900 * time.Millisecond, RunTimes: job.RunTimes}
	r := &Result{Slots: 1}
	r.summarise([]JobResult{
		{Job: job, Outcome: observer.Complete, ResponseTime: 200 * time.Millisecond},
		{Job: late, Outcome: observer.Complete, ResponseTime: 400 * time.Millisecond},
		{Job: job, Outcome: observer.NotRun, ResponseTime: time.Millisecond},
		{Job: job, Outcome: observer.Abandoned, ResponseTime: time.Millisecond},
	}, o, 0)
	assert.Equal(t, r.All.Ratio.Count, int64(2))
	assert.Equal(t, r.All.Refused, 1)
	assert.Equal(t, r.All.Abandoned, 1)
	assert.Equal(t, r.All.WithinTarget, 1.0/3)
	assert.Assert(t, r.All.Ratio.Mean > 2.99 && r.All.Ratio.Mean < 3.01)
	assert.Assert(t, r.All.Goodput > 0.099 && r.All.Goodput < 0.101, "a job that completes after arrivals have ended must not count")
}

// TestIdealExcludesSlotsOfFailedUpstreams guards against an ideal response time
// that assumes slots of upstreams which fail every task or have been killed.
func TestIdealExcludesSlotsOfFailedUpstreams(t *testing.T) {
	o := Options{Faults: Faults{Bad: 1, Kill: 2}}
	o.Duration = 3 * time.Second
	o = o.WithDefaults()
	assert.Equal(t, o.usableSlotsAt(0), 80)
	assert.Equal(t, o.usableSlotsAt(2*time.Second), 64)
}
