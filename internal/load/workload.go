// Package load generates an open-loop workload, sends it to a running system and
// reports wasted messages and response times relative to the ideal.
//
// A workload is a pure function of its options, including the seed, so several
// schedulers can be given exactly the same jobs at the same times.
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
	// Share is the class's weight in the offered work, relative to the shares of
	// the other classes.
	Share float64
	// MaxTasks bounds the number of tasks of a job, which follows a bounded
	// Pareto distribution from 1.
	MaxTasks int
	// MinRun and MaxRun bound the usual run time of a task, which is log-uniform.
	MinRun, MaxRun time.Duration
	// LongShare is the share of tasks that take between MaxRun and LongRun.
	LongShare float64
	LongRun   time.Duration
	Deadline  time.Duration
}

// Shape holds the parameters from which a workload is generated.
type Shape struct {
	Seed     uint64
	Duration time.Duration
	// Jobs, if set, is the number of jobs. Otherwise jobs are drawn until their
	// total run time reaches Load x Slots x Duration.
	Jobs    int
	Load    float64
	Slots   int
	Classes []ClassLoad
	// BurstShare is the share of jobs that arrive within one of Bursts short windows.
	Bursts     int
	BurstShare float64
	// CancelWaves is the number of times at which callers abandon CancelShare of
	// the jobs sent within the last cancelHorizon.
	CancelWaves int
	CancelShare float64
	// FailShare is the share of jobs that fail on every upstream.
	FailShare float64
	// DeclaredError is the largest factor by which a declared run time differs
	// from the actual one.
	DeclaredError float64
	// SendDeclared includes declared run times in the requests, which requires
	// entries that accept the field `needs`.
	SendDeclared bool
	// KeyedShare is the share of jobs that are not idempotent: they carry a key and
	// are resubmitted to the next entry when the connection breaks.
	KeyedShare float64
}

// Job is one generated job.
type Job struct {
	SendAt      time.Duration // intended send time, from the start of the run
	Class       string
	RunTimes    []time.Duration // run time of each task
	DeclaredRun time.Duration   // declared run time of the longest task
	Deadline    time.Duration
	CancelAt    time.Duration // when the caller abandons the job; 0: never
	Fails       bool          // on every upstream
	// Keyed jobs are not idempotent and carry a key. SendDeclared includes
	// DeclaredRun in the request.
	Keyed, SendDeclared bool
}

const (
	// workloadStream keeps the workload's random numbers independent of those of
	// schedulers with the same seed.
	workloadStream = 0x6c6f6164
	paretoExponent = 1.1 // of the number of tasks of a job
	burstWindow    = 200 * time.Millisecond
	// cancelHorizon is the longest time from the sending of a job to a cancel wave
	// that may affect it.
	cancelHorizon = 2 * time.Second
	// maxJobWorkShare bounds one job's share of all work, so that the offered load
	// of a short run stays close to its target. Jobs of at most 1 s of work are
	// exempt.
	maxJobWorkShare = 0.1
	// minJobsForLargest is the smallest Shape.Jobs for which the workload includes
	// a job of the largest size. In a smaller workload that job would be most of
	// the work.
	minJobsForLargest = 20
)

// DefaultClasses returns a mix of small urgent jobs and bulk jobs of up to 570
// tasks.
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

// MixedShape returns the shape of a workload with the given number of jobs of the
// default classes. Its duration is such that the jobs offer the given load on the
// given number of slots. From minJobsForLargest jobs, the last job drawn has the
// largest size allowed, so that the whole range of sizes is covered.
func MixedShape(seed uint64, jobs, slots int, load float64) Shape {
	s := Shape{Seed: seed, Jobs: jobs, Slots: slots, Load: load, Classes: DefaultClasses(), DeclaredError: 10}
	rng := rand.New(rand.NewPCG(seed, workloadStream))
	var work time.Duration
	for _, j := range s.drawJobs(rng) {
		work += j.Work()
	}
	s.Duration = time.Duration(float64(work) / (load * float64(slots)))
	return s
}

// Generate returns the jobs in order of their send times.
func Generate(s Shape) []Job {
	rng := rand.New(rand.NewPCG(s.Seed, workloadStream))
	jobs := s.drawJobs(rng)
	s.setSendTimes(rng, jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.SendAt - b.SendAt) })
	s.setCancelTimes(rng, jobs)
	return jobs
}

// drawJobs generates jobs, without send times, until the requested number of jobs or
// amount of work is reached. The classes' shares are shares of the work, not of
// the number of jobs.
func (s Shape) drawJobs(rng *rand.Rand) []Job {
	var jobs []Job
	targetWork := s.Load * float64(s.Slots) * s.Duration.Seconds()
	workByClass := make([]float64, len(s.Classes))
	totalWork := 0.0
	for {
		if s.Jobs > 0 && len(jobs) >= s.Jobs || s.Jobs == 0 && totalWork >= targetWork {
			return jobs
		}
		c := leastServedClass(s.Classes, workByClass)
		j := s.drawJob(rng, s.Classes[c], 0)
		if len(jobs) == s.Jobs-1 && s.Jobs >= minJobsForLargest {
			c = largestClass(s.Classes)
			j = s.drawJob(rng, s.Classes[c], s.Classes[c].MaxTasks)
		}
		work := j.Work().Seconds()
		if s.Jobs == 0 && work > maxJobWorkShare*targetWork && work > 1 {
			continue
		}
		jobs = append(jobs, j)
		workByClass[c] += work
		totalWork += work
	}
}

// leastServedClass returns the index of the class with the least work relative to
// its share.
func leastServedClass(classes []ClassLoad, work []float64) int {
	best := 0
	for i, c := range classes {
		if work[i]/c.Share < work[best]/classes[best].Share {
			best = i
		}
	}
	return best
}

// largestClass returns the index of the class with the highest MaxTasks.
func largestClass(classes []ClassLoad) int {
	best := 0
	for i, c := range classes {
		if c.MaxTasks > classes[best].MaxTasks {
			best = i
		}
	}
	return best
}

// drawJob draws one job of the class. If tasks is 0, the number of tasks is drawn
// too.
func (s Shape) drawJob(rng *rand.Rand, c ClassLoad, tasks int) Job {
	j := Job{Class: c.Name, Deadline: c.Deadline, SendDeclared: s.SendDeclared}
	j.Fails = rng.Float64() < s.FailShare
	j.Keyed = rng.Float64() < s.KeyedShare
	if tasks == 0 {
		tasks = drawJobSize(rng, c.MaxTasks)
	}
	j.RunTimes = make([]time.Duration, tasks)
	for i := range j.RunTimes {
		j.RunTimes[i] = c.drawRunTime(rng)
	}
	j.DeclaredRun = j.LongestRun()
	if s.DeclaredError > 1 {
		errorFactor := math.Pow(s.DeclaredError, 2*rng.Float64()-1)
		j.DeclaredRun = time.Duration(float64(j.DeclaredRun) * errorFactor)
	}
	return j
}

// drawJobSize draws a number of tasks from a bounded Pareto distribution on
// 1..limit.
func drawJobSize(rng *rand.Rand, limit int) int {
	tail := math.Pow(float64(limit+1), -paretoExponent)
	u := rng.Float64()
	n := int(math.Pow(1-u*(1-tail), -1/paretoExponent))
	return min(max(n, 1), limit)
}

func (c ClassLoad) drawRunTime(rng *rand.Rand) time.Duration {
	if rng.Float64() < c.LongShare {
		return logUniform(rng, c.MaxRun, c.LongRun)
	}
	return logUniform(rng, c.MinRun, c.MaxRun)
}

func logUniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	if low <= 0 || high <= low {
		return low
	}
	factor := math.Pow(float64(high)/float64(low), rng.Float64())
	return time.Duration(float64(low) * factor).Round(time.Microsecond)
}

// setSendTimes spreads the jobs uniformly over the duration, except for those
// that arrive in bursts.
func (s Shape) setSendTimes(rng *rand.Rand, jobs []Job) {
	bursts := make([]time.Duration, s.Bursts) // start of each burst
	for i := range bursts {
		bursts[i] = time.Duration(rng.Float64() * float64(s.Duration))
	}
	for i := range jobs {
		jobs[i].SendAt = time.Duration(rng.Float64() * float64(s.Duration))
		if len(bursts) > 0 && rng.Float64() < s.BurstShare {
			burst := bursts[rng.IntN(len(bursts))]
			jobs[i].SendAt = burst + time.Duration(rng.Float64()*float64(burstWindow))
		}
	}
}

// setCancelTimes draws the cancel waves and the jobs that each of them cancels.
func (s Shape) setCancelTimes(rng *rand.Rand, jobs []Job) {
	for range s.CancelWaves {
		at := time.Duration(rng.Float64() * float64(s.Duration))
		for i := range jobs {
			j := &jobs[i]
			if j.SendAt < at && at-j.SendAt < cancelHorizon && rng.Float64() < s.CancelShare {
				j.CancelAt = at
			}
		}
	}
}

// LongestRun returns the run time of the longest task.
func (j Job) LongestRun() time.Duration { return slices.Max(j.RunTimes) }

// Work returns the total run time of all tasks.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, r := range j.RunTimes {
		sum += r
	}
	return sum
}

// IdealResponse returns the ideal response time on the given number of slots: the
// larger of the longest task's run time and the total work divided by the slots,
// plus the round-trip time.
func (j Job) IdealResponse(slots int, roundTrip time.Duration) time.Duration {
	return max(j.LongestRun(), j.Work()/time.Duration(slots)) + roundTrip
}
