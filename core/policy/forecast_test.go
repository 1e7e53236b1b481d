package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// declaredJobs observes n jobs with run times around 0.9 s. In logarithms, the run times
// have a standard deviation of 0.4, and the declared ones an error with a standard
// deviation of 0.4.
func declaredJobs(f *forecast, n int) {
	r := rand.New(rand.NewPCG(1, 2))
	for range n {
		run := 0.9 * math.Exp(0.4*r.NormFloat64())
		f.observe(seconds(run*math.Exp(0.4*r.NormFloat64())), seconds(run))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against declared run times that are ignored, or relied on without regard to
// their error.
func TestForecastUsesDeclaredRunTimesWithTheirError(t *testing.T) {
	f := new(forecast)
	assert.Equal(t, f.scale(time.Second), 1.0)
	declaredJobs(f, 2000)
	twice := f.scale(1800*time.Millisecond) / f.scale(900*time.Millisecond)
	assert.Assert(t, twice > 1.25 && twice < 1.6, "scale for twice the declared run time: %.2f", twice)
	sd, ok := f.stdDev()
	assert.Assert(t, ok && sd > 0.23 && sd < 0.33, "standard deviation %.2f", sd)
}

// Guards against admitting jobs that are unlikely to meet their deadline, which use
// slots that others need, and against refusing jobs that are likely to meet it.
func TestJobUnlikelyToMeetItsDeadlineIsRefused(t *testing.T) {
	s := newTest(4, Options{Seed: 1})
	c := s.classes["c"]
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		run := 0.9 * math.Exp(0.4*r.NormFloat64())
		c.runs.observe(seconds(run))
		c.forecast.observe(seconds(run), seconds(run))
	}
	job := &Job{Class: "c", Tasks: 4, DeclaredRunTime: 3 * time.Second, Deadline: 1500 * time.Millisecond}
	assert.Equal(t, s.Admit(0, job).Refusal, RefusedDeadline)
	job.DeclaredRunTime = 700 * time.Millisecond
	assert.Equal(t, s.Admit(0, job).Refusal, Admitted)
}

// Guards against long tasks on slow workers while fast workers are free, and against
// short tasks that use the fast workers first.
func TestLongTasksGoToFastWorkers(t *testing.T) {
	s := newTest(3, Options{Seed: 1})
	for i, a := range s.connected {
		a.speed = speed{logRatio: []float64{0.2, 0, -0.2}[i], runs: 1 / speedWeight}
	}
	s.resetMeanLogRatio()
	slow, fast := s.connected[0], s.connected[2]
	place := func(class string, run, left time.Duration) wire.Incarnation {
		c := s.classes[class]
		c.runs = estimate{}
		for range 50 {
			c.runs.observe(run)
		}
		s.Enqueue(0, &Task{Job: &Job{Class: class, Tasks: 1, Deadline: left}})
		p, ok := s.Next(0)
		assert.Assert(t, ok)
		s.AttemptDone(0, p.Agent, p.Task, &wire.Result{Outcome: wire.Succeeded, RunTime: wire.MicrosOf(run)})
		return p.Agent
	}
	assert.Equal(t, place("c", time.Second, 1200*time.Millisecond), fast.info.Agent)
	assert.Equal(t, place("d", 50*time.Millisecond, 2*time.Second), slow.info.Agent)
}

// Guards against refusing jobs because of a backlog while agents report free slots:
// after a restart an entry has used almost none of them.
func TestUnusedFreeSlotsCountAsCapacity(t *testing.T) {
	s := newTest(4, Options{Seed: 1})
	for range 20 {
		s.allRuns.observe(100 * time.Millisecond)
	}
	s.meanInService = 2
	assert.Assert(t, s.serviceSlots() > 8, "service slots %.1f", s.serviceSlots())
	for _, a := range s.connected {
		s.Observe(0, a.info.Agent, wire.Load{Slots: 8, Limit: 8, Running: 8, Successes: 100})
	}
	assert.Equal(t, s.serviceSlots(), 2.0)
}

// Guards against tasks on workers without the required label, and against more tasks
// of a job on one worker than Job.MaxPerWorker allows.
func TestLabelAndPerWorkerBoundAreRespected(t *testing.T) {
	s := newTest(3, Options{Seed: 1})
	for _, a := range s.connected[1:] {
		a.info.Labels = []string{"big"}
	}
	job := &Job{Class: "c", Tasks: 4, RequiredLabel: "big", MaxPerWorker: 1, Deadline: time.Minute}
	for i := range 4 {
		s.Enqueue(0, &Task{Job: job, Index: i})
	}
	seen := make(map[wire.Incarnation]int)
	var placed []Placement
	for p, ok := s.Next(0); ok; p, ok = s.Next(0) {
		seen[p.Agent]++
		placed = append(placed, p)
	}
	assert.Equal(t, len(seen), 2)
	assert.Equal(t, seen[s.connected[0].info.Agent], 0)
	assert.Equal(t, len(placed), 2)
	s.AttemptDone(0, placed[0].Agent, placed[0].Task, &wire.Result{Outcome: wire.Succeeded, RunTime: 1000})
	p, ok := s.Next(0)
	assert.Assert(t, ok)
	assert.Equal(t, p.Agent, placed[0].Agent)
}
