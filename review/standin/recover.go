package main

import (
	"fmt"
	"time"
)

// recoveryTime is the bound recoveryS.
const recoveryTime = 12 * time.Second

// playKillAll: all processes are killed and come back, while callers send long and short
// jobs to one queue, some stored and some not. Of the jobs that are sent afterwards at least
// a quarter has to be served: a stored job by being shown as completed, another one by its
// answer. The mix changes over the day: many long jobs, then many short ones, then many long
// ones again.
func playKillAll(s *system, trouble bool) ([]string, error) {
	const (
		longOnly = 4 * time.Second
		morning  = 8 * time.Second
		down     = time.Second
		evening  = 20 * time.Second
		settle   = 20 * time.Second
	)
	stored := kindOfJob{name: "long", tasks: 1, cpu: 1000, length: 900 * time.Millisecond}
	direct := stored
	direct.bestEffort = true
	mix := func(long, short float64) []kindOfJob {
		kinds := []kindOfJob{stored, direct, shortJob}
		kinds[0].perSecond, kinds[1].perSecond, kinds[2].perSecond = long/2, long/2, short
		return kinds
	}
	t := newTraffic(s)
	t.run(longOnly, mix(40, 0))
	t.run(morning, mix(40, 3))
	fault := time.Now()
	if trouble {
		for m := range s.procs {
			s.kill(m)
		}
		time.Sleep(down)
		for m := range s.procs {
			if err := s.startProcess(m); err != nil {
				return nil, err
			}
		}
	}
	back := time.Now()
	t.run(recoveryTime, mix(4, 20))
	t.run(evening, mix(40, 3))
	t.wait()
	time.Sleep(settle)
	before := s.served(t.jobs, time.Time{}, fault.Add(-5*time.Second))
	after := s.served(t.jobs, back.Add(recoveryTime), time.Now())
	s.ledger.writeRuns()
	result := fmt.Sprintf("sent until 5 s before the fault: %v; sent later than %v after the processes are back: %v", before, recoveryTime, after)
	s.rec.printf("%s", result)
	fmt.Println(result)
	if 4*after.completed < after.sent && 4*before.completed >= before.sent {
		return []string{"RECOVER: " + result}, nil
	}
	return nil, nil
}

// outcome counts jobs.
type outcome struct{ sent, accepted, completed, long, longCompleted int }

// String returns the counts in words.
func (o outcome) String() string {
	return fmt.Sprintf("%d sent, %d accepted, %d completed (%d of %d long ones)", o.sent, o.accepted, o.completed, o.longCompleted, o.long)
}

// served counts the jobs that were sent between two times and how they are shown now.
func (s *system) served(jobs []*sentJob, from, until time.Time) outcome {
	var o outcome
	for _, j := range jobs {
		if j.sent.Before(from) || j.sent.After(until) {
			continue
		}
		o.sent++
		completed := j.completed
		if j.accepted {
			o.accepted++
			completed = completed || !j.bestEffort && s.state(1, j.id) == "completed"
		}
		if completed {
			o.completed++
		}
		if j.kind == "long" {
			o.long++
			if completed {
				o.longCompleted++
			}
		}
	}
	return o
}

// playLasting: all processes are killed and come back while a lasting job runs. Each of its
// tasks has to run again.
func playLasting(s *system, trouble bool) ([]string, error) {
	const (
		tasks = 12
		down  = time.Second
		calm  = 7 * time.Second // the last 4 s before and the 3 s of the rule
		watch = 40 * time.Second
		since = 6 * time.Second // after the last run of a task
	)
	s.warmUp(shortJob)
	id := s.newID()
	job := &jobRequest{Spec: "last", LongRunning: true, Phases: []phase{{Count: tasks, CPU: 2000, MemMb: 64}}}
	s.ledger.addJob(id, job)
	if !s.submitUntilAccepted(0, id, job, 5*time.Second) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(5 * time.Second)
	if n := s.runningTasks(id); n != tasks {
		return nil, fmt.Errorf("%d tasks of the lasting job run before the disruption", n)
	}
	if trouble {
		for m := range s.procs {
			s.kill(m)
		}
		time.Sleep(down)
		for m := range s.procs {
			if err := s.startProcess(m); err != nil {
				return nil, err
			}
		}
	}
	back := time.Now()
	var out []string
	least := tasks
	for time.Since(back) < watch {
		time.Sleep(500 * time.Millisecond)
		n := s.runningTasks(id)
		s.rec.printf("%d of %d tasks of the lasting job run", n, tasks)
		if time.Since(back) > max(calm, since)+contactTime {
			least = min(least, n)
		}
	}
	// A task counts if it did not run at any time from the end of the calm span on.
	from := back.Add(max(calm, since) + contactTime)
	runs := s.ledger.runsOf(id)
	for i := range tasks {
		name := fmt.Sprintf("%s.0.0.%d", id, i)
		ran := false
		for k := range runs {
			ran = ran || runs[k].task == name && (runs[k].ended.IsZero() || runs[k].ended.After(from))
		}
		if !ran {
			out = append(out, fmt.Sprintf("task %s has not run for %v, which began %v after the processes were back", name, time.Since(from).Round(time.Second), from.Sub(back)))
		}
	}
	s.rec.printf("at least %d of %d tasks ran from then on", least, tasks)
	s.ledger.writeRuns()
	return firstOf(shown, "LOST", out), nil
}

// runningTasks returns how many tasks of a job run now.
func (s *system) runningTasks(id string) int {
	n := 0
	for _, r := range s.ledger.runsOf(id) {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}
