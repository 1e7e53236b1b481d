package load_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/load"
)

func shape(seed uint64) load.Shape {
	return load.Shape{
		Seed: seed, Duration: 20 * time.Second, Load: 0.7, Slots: 88, Classes: load.DefaultClasses(),
		Bursts: 2, BurstShare: 0.2, CancelWaves: 2, CancelShare: 0.5, FailShare: 0.05, DeclaredError: 10,
	}
}

// TestSameSeedGivesSameWorkload guards against comparisons in which two schedulers
// get different jobs.
func TestSameSeedGivesSameWorkload(t *testing.T) {
	assert.DeepEqual(t, load.Generate(shape(7)), load.Generate(shape(7)))
	a, b := load.Generate(shape(7)), load.Generate(shape(8))
	assert.Assert(t, len(a) != len(b) || a[0].SendAt != b[0].SendAt)
}

// TestWorkloadOffersTheRequestedLoad guards against a workload that offers more or
// less load than requested, or that does not divide it among the classes by their
// shares.
func TestWorkloadOffersTheRequestedLoad(t *testing.T) {
	s := shape(1)
	var work time.Duration
	byClass := make(map[string]time.Duration)
	for i, j := range load.Generate(s) {
		work += j.Work()
		byClass[j.Class] += j.Work()
		assert.Assert(t, j.SendAt >= 0 && j.SendAt <= s.Duration+time.Second, "job %d at %s", i, j.SendAt)
		assert.Assert(t, len(j.RunTimes) >= 1 && len(j.RunTimes) <= wire.MaxTasksPerJob)
		assert.Assert(t, j.CancelAt == 0 || j.CancelAt > j.SendAt)
		ratio := float64(j.DeclaredRun) / float64(j.LongestRun())
		assert.Assert(t, ratio > 0.099 && ratio < 10.01, "declared over actual run time is %v", ratio)
	}
	offered := work.Seconds() / (float64(s.Slots) * s.Duration.Seconds())
	assert.Assert(t, offered >= s.Load && offered < 1.1*s.Load, "offered %v", offered)
	for _, c := range s.Classes {
		share := byClass[c.Name].Seconds() / work.Seconds()
		assert.Assert(t, share > c.Share-0.1 && share < c.Share+0.1, "class %s has %v of the work", c.Name, share)
	}
}

// TestMixedJobsIncludeAJobOfTheLargestSize guards against a small workload without
// a job of the largest size.
func TestMixedJobsIncludeAJobOfTheLargestSize(t *testing.T) {
	jobs := load.Generate(load.MixedShape(1, 100, 88, 0.6))
	assert.Equal(t, len(jobs), 100)
	largest := 0
	for _, j := range jobs {
		largest = max(largest, len(j.RunTimes))
	}
	assert.Equal(t, largest, wire.MaxTasksPerJob)
}

// TestIdealIsTheLargerOfLongestTaskAndWorkPerSlot guards against an ideal response
// time that leaves out the longest task, the work per slot or the round trip.
func TestIdealIsTheLargerOfLongestTaskAndWorkPerSlot(t *testing.T) {
	j := load.Job{RunTimes: []time.Duration{time.Second, time.Second, 4 * time.Second}}
	assert.Equal(t, j.IdealResponse(2, time.Millisecond), 4*time.Second+time.Millisecond)
	assert.Equal(t, j.IdealResponse(1, time.Millisecond), 6*time.Second+time.Millisecond)
}
