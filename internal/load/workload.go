// Package load generates open-loop load, drives a running system with it and
// reports response time relative to the ideal and wasted messages.
//
// A workload is a pure function of its options: one seed gives one workload,
// so several schedulers can be given exactly the same jobs at the same times.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// ClassLoad describes the jobs of one class.
type ClassLoad struct {
	Name string
	// Share is this class's part of the offered work, relative to the others'.
	Share float64
	// MaxTasks bounds the tasks of a job; sizes follow a bounded Pareto
	// distribution from 1.
	MaxTasks int
	// MinRun and MaxRun bound the usual run time of a task, log-uniform.
	MinRun, MaxRun time.Duration
	// LongShare is the share of tasks that take between MaxRun and LongRun.
	LongShare float64
	LongRun   time.Duration
	Deadline  time.Duration
}

// Shape is what a workload is generated from.
type Shape struct {
	Seed     uint64
	Duration time.Duration
	// Jobs, if set, is the number of jobs; otherwise jobs are drawn until their
	// work is Load x Slots x Duration.
	Jobs    int
	Load    float64
	Slots   int
	Classes []ClassLoad
	// BurstShare of the jobs arrive within Bursts short windows.
	Bursts     int
	BurstShare float64
	// CancelWaves are moments at which CancelShare of the recent jobs are given up.
	CancelWaves int
	CancelShare float64
	// FailShare of the jobs fail on every upstream.
	FailShare float64
	// DeclaredError is the largest factor by which a declared run time is off.
	DeclaredError float64
	// SendDeclared sends declared run times, which needs an entry that accepts
	// the field `needs`.
	SendDeclared bool
	// KeyedShare of the jobs are not idempotent: they carry a key and are
	// resubmitted to the next entry when the connection breaks.
	KeyedShare float64
}

// Job is one generated job.
type Job struct {
	At       time.Duration // intended send time
	Class    string
	Runs     []time.Duration // run time of each task
	Declared time.Duration   // declared run time of the longest task
	Deadline time.Duration
	CancelAt time.Duration // 0: never
	Fails    bool
	// Keyed jobs are not idempotent. SendDeclared sends Declared along.
	Keyed, SendDeclared bool
}

const (
	// workloadStream separates the workload's random numbers from those of
	// schedulers that are given the same seed.
	workloadStream = 0x6c6f6164
	sizeExponent   = 1.1
	burstWindow    = 200 * time.Millisecond
	cancelHorizon  = 2 * time.Second
	// maxJobWork bounds one job's share of all work drawn, so that the offered
	// load of a short run stays near its target.
	maxJobWork = 0.1
	// minJobsForLargest is the number of jobs from which a fixed number of jobs
	// includes one of the largest size; in a smaller set it would be most of
	// the work.
	minJobsForLargest = 20
)

// DefaultClasses mixes small urgent jobs with bulk jobs of up to 570 tasks.
func DefaultClasses() []ClassLoad {
	return []ClassLoad{
		{
			Name: "quote", Share: 0.4, MaxTasks: 16,
			MinRun: 50 * time.Millisecond, MaxRun: 300 * time.Millisecond,
			Deadline: 20 * time.Second,
		},
		{
			Name: "render", Share: 0.6, MaxTasks: wire.MaxTasksPerJob,
			MinRun: 50 * time.Millisecond, MaxRun: time.Second,
			LongShare: 0.01, LongRun: 4 * time.Second, Deadline: time.Minute,
		},
	}
}

// MixedJobs returns a shape of that many jobs of the default classes, spread
// over the time in which they offer the given load. Small numbers of jobs still
// include the whole range of sizes: the last job has the largest size allowed.
func MixedJobs(seed uint64, jobs, slots int, load float64) Shape {
	s := Shape{Seed: seed, Jobs: jobs, Slots: slots, Load: load, Classes: DefaultClasses(), DeclaredError: 10}
	rng := rand.New(rand.NewPCG(seed, workloadStream))
	var work time.Duration
	for _, j := range s.draw(rng) {
		work += j.Work()
	}
	s.Duration = time.Duration(float64(work) / (load * float64(slots)))
	return s
}

// Generate returns the jobs in order of their send times.
func Generate(s Shape) []Job {
	rng := rand.New(rand.NewPCG(s.Seed, workloadStream))
	jobs := s.draw(rng)
	s.setTimes(rng, jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.At - b.At) })
	s.setCancels(rng, jobs)
	return jobs
}

// draw makes jobs until the number or the work asked for is reached. Each class
// gets its share of the work, not of the jobs.
func (s Shape) draw(rng *rand.Rand) []Job {
	var jobs []Job
	target := s.Load * float64(s.Slots) * s.Duration.Seconds()
	done := make([]float64, len(s.Classes))
	total := 0.0
	for {
		if s.Jobs > 0 && len(jobs) >= s.Jobs || s.Jobs == 0 && total >= target {
			return jobs
		}
		c := furthestBehind(s.Classes, done)
		j := s.job(rng, s.Classes[c], 0)
		if len(jobs) == s.Jobs-1 && s.Jobs >= minJobsForLargest {
			c = largest(s.Classes)
			j = s.job(rng, s.Classes[c], s.Classes[c].MaxTasks)
		}
		work := j.Work().Seconds()
		if s.Jobs == 0 && work > maxJobWork*target && work > 1 {
			continue
		}
		jobs = append(jobs, j)
		done[c] += work
		total += work
	}
}

func furthestBehind(classes []ClassLoad, done []float64) int {
	best := 0
	for i, c := range classes {
		if done[i]/c.Share < done[best]/classes[best].Share {
			best = i
		}
	}
	return best
}

// largest returns the class with the largest jobs.
func largest(classes []ClassLoad) int {
	best := 0
	for i, c := range classes {
		if c.MaxTasks > classes[best].MaxTasks {
			best = i
		}
	}
	return best
}

// job draws one job. A number of tasks of 0 is drawn as well.
func (s Shape) job(rng *rand.Rand, c ClassLoad, tasks int) Job {
	j := Job{Class: c.Name, Deadline: c.Deadline, SendDeclared: s.SendDeclared}
	j.Fails = rng.Float64() < s.FailShare
	j.Keyed = rng.Float64() < s.KeyedShare
	if tasks == 0 {
		tasks = size(rng, c.MaxTasks)
	}
	j.Runs = make([]time.Duration, tasks)
	for i := range j.Runs {
		j.Runs[i] = c.run(rng)
	}
	j.Declared = j.Longest()
	if s.DeclaredError > 1 {
		off := math.Pow(s.DeclaredError, 2*rng.Float64()-1)
		j.Declared = time.Duration(float64(j.Declared) * off)
	}
	return j
}

// size draws from a bounded Pareto distribution on 1..limit.
func size(rng *rand.Rand, limit int) int {
	h := math.Pow(float64(limit+1), -sizeExponent)
	u := rng.Float64()
	n := int(math.Pow(1-u*(1-h), -1/sizeExponent))
	return min(max(n, 1), limit)
}

func (c ClassLoad) run(rng *rand.Rand) time.Duration {
	if rng.Float64() < c.LongShare {
		return logUniform(rng, c.MaxRun, c.LongRun)
	}
	return logUniform(rng, c.MinRun, c.MaxRun)
}

func logUniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	if low <= 0 || high <= low {
		return low
	}
	f := math.Pow(float64(high)/float64(low), rng.Float64())
	return time.Duration(float64(low) * f).Round(time.Microsecond)
}

func (s Shape) setTimes(rng *rand.Rand, jobs []Job) {
	starts := make([]time.Duration, s.Bursts)
	for i := range starts {
		starts[i] = time.Duration(rng.Float64() * float64(s.Duration))
	}
	for i := range jobs {
		jobs[i].At = time.Duration(rng.Float64() * float64(s.Duration))
		if len(starts) > 0 && rng.Float64() < s.BurstShare {
			window := starts[rng.IntN(len(starts))]
			jobs[i].At = window + time.Duration(rng.Float64()*float64(burstWindow))
		}
	}
}

func (s Shape) setCancels(rng *rand.Rand, jobs []Job) {
	for range s.CancelWaves {
		at := time.Duration(rng.Float64() * float64(s.Duration))
		for i := range jobs {
			j := &jobs[i]
			if j.At < at && at-j.At < cancelHorizon && rng.Float64() < s.CancelShare {
				j.CancelAt = at
			}
		}
	}
}

// Longest returns the run time of the longest task.
func (j Job) Longest() time.Duration { return slices.Max(j.Runs) }

// Work returns the sum of the run times.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, r := range j.Runs {
		sum += r
	}
	return sum
}

// Ideal returns the ideal response time on that many slots: the larger of the
// longest task and the total work over the slots, plus the round trip.
func (j Job) Ideal(slots int, roundTrip time.Duration) time.Duration {
	return max(j.Longest(), j.Work()/time.Duration(slots)) + roundTrip
}
