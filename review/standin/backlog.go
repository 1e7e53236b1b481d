package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of the rule LOST on jobs that wait after the end of the traffic.
const (
	finishTime  = 14 * time.Second
	nothingTime = 3 * time.Second
)

// playShrunkRoom: the room of every worker shrinks for some seconds and grows again, while
// callers send stored jobs. After the traffic has ended, no job may wait for seconds while
// the workers are idle.
func playShrunkRoom(s *system, trouble bool) ([]string, error) {
	const (
		before = 6 * time.Second
		shrunk = 10 * time.Second
		after  = 2 * time.Second
		part   = 4 // the room shrinks to one part in this many
		watch  = 15 * time.Second
	)
	kinds := []kindOfJob{{name: "order", perSecond: 46, tasks: 20, cpu: 500, length: 250 * time.Millisecond}}
	t := newTraffic(s)
	t.run(before, kinds)
	if trouble {
		s.setRoom(fullCPU / part)
	}
	t.run(shrunk, kinds)
	if trouble {
		s.setRoom(fullCPU)
	}
	t.run(after, kinds)
	t.wait()
	jobs := t.accepted()
	s.rec.printf("the traffic has ended, %d jobs accepted", len(jobs))
	out := s.idleJobs(jobs, watch)
	s.ledger.writeRuns()
	return firstOf(shown, "LOST", out), nil
}

// idleJobs waits for finishTime after the end of the traffic, watches the jobs for some
// time and returns those that had nothing running for more than nothingTime although they
// were open and under half of the service's capacity was in use. The jobs have one step.
func (s *system) idleJobs(jobs []sentJob, watch time.Duration) []string {
	time.Sleep(finishTime)
	from := time.Now()
	s.rec.printf("%v after the end of the traffic", finishTime)
	time.Sleep(watch)
	until := time.Now()
	runs := s.ledger.snapshot()
	halfUsed := s.underHalfUsed(runs, from, until)
	var out []string
	open := 0
	for _, j := range jobs {
		state := s.state(1, j.id)
		if state == "completed" && !ranAfter(runs, j.id, from) {
			continue
		}
		open++
		if idle := longestIdle(runs, j.id, halfUsed, state != "completed"); idle.length > nothingTime {
			out = append(out, fmt.Sprintf("job %s (shown as %q now) had nothing running for %v from %.3f s on, and under half of the capacity was in use",
				j.id, state, idle.length.Round(time.Millisecond), idle.from.Sub(s.rec.began).Seconds()))
		}
	}
	s.rec.printf("%d of %d jobs were not completed %v after the end of the traffic", open, len(jobs), finishTime)
	return out
}

// playPoison: among the stored jobs that callers send are, three times for 3 s, some that can
// never be done. The others must not wait because of them.
func playPoison(s *system, trouble bool) ([]string, error) {
	const (
		before = 5 * time.Second
		poison = 3 * time.Second
		share  = 0.05
		times  = 3
		pause  = 3 * time.Second
		after  = 10 * time.Second
		watch  = 10 * time.Second
	)
	kind := kindOfJob{name: "order", perSecond: 100, tasks: 2, cpu: 1000, length: 200 * time.Millisecond}
	poisoned := kind
	if trouble {
		poisoned.hopelessShare = share
	}
	t := newTraffic(s)
	t.run(before, []kindOfJob{kind})
	for range times {
		t.run(poison, []kindOfJob{poisoned})
		t.run(pause, []kindOfJob{kind})
	}
	t.run(after, []kindOfJob{kind})
	t.wait()
	jobs := t.accepted()
	var sound []sentJob
	for _, j := range jobs {
		if j.hopeless {
			s.rec.printf("job %s can never be done", j.id)
			continue
		}
		sound = append(sound, j)
	}
	s.rec.printf("the traffic has ended, %d jobs accepted, %d of them can be done", len(jobs), len(sound))
	out := s.idleJobs(sound, watch)
	s.ledger.writeRuns()
	return firstOf(shown, "LOST", out), nil
}

// setRoom changes the capacity of every worker, which their next heartbeats show.
func (s *system) setRoom(cpu int64) {
	for _, w := range s.workers {
		s.rec.printf("the room of %s is %d now", w.id, cpu)
		w.setCPU(cpu)
	}
}

// ranAfter reports whether a run of the job was started after a time.
func ranAfter(runs []run, id string, at time.Time) bool {
	return slices.ContainsFunc(runs, func(r run) bool { return strings.HasPrefix(r.task, id+".") && r.started.After(at) })
}

// span is a stretch of time.
type span struct {
	from   time.Time
	length time.Duration
}

// change is a change of the capacity in use.
type change struct {
	at  time.Time
	cpu int64
}

// underHalfUsed returns the stretches between two times in which under half of the
// service's capacity was in use.
func (s *system) underHalfUsed(runs []run, from, until time.Time) []span {
	var changes []change
	for i := range runs {
		r := &runs[i]
		step, known := s.ledger.phaseOf(r.task)
		if !known {
			continue
		}
		changes = append(changes, change{r.started, step.CPU})
		if !r.ended.IsZero() {
			changes = append(changes, change{r.ended, -step.CPU})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	half := int64(len(s.workers)) * fullCPU / 2
	var out []span
	used, at := int64(0), from
	add := func(end time.Time) {
		if used < half && end.After(at) {
			if n := len(out); n > 0 && out[n-1].from.Add(out[n-1].length).Equal(at) {
				out[n-1].length += end.Sub(at)
			} else {
				out = append(out, span{at, end.Sub(at)})
			}
		}
	}
	for _, c := range changes {
		if c.at.After(from) && c.at.Before(until) {
			add(c.at)
			at = c.at
		}
		if c.at.Before(until) {
			used += c.cpu
		}
	}
	add(until)
	return out
}

// longestIdle returns the longest part of the given stretches in which nothing of a job
// ran. runs are in the order of their starts. The time after the job's last run counts
// only if the job is still open then.
func longestIdle(runs []run, id string, within []span, stillOpen bool) span {
	var longest span
	for _, w := range within {
		idleFrom, end := w.from, w.from.Add(w.length)
		note := func(to time.Time) {
			if idle := to.Sub(idleFrom); idle > longest.length {
				longest = span{idleFrom, idle}
			}
		}
		open := true
		for i := range runs {
			r := &runs[i]
			if !strings.HasPrefix(r.task, id+".") || !r.ended.IsZero() && r.ended.Before(w.from) {
				continue
			}
			if r.started.After(end) {
				break
			}
			note(r.started)
			if r.ended.IsZero() {
				open = false
				break
			}
			if r.ended.After(idleFrom) {
				idleFrom = r.ended
			}
		}
		if open && idleFrom.Before(end) && (stillOpen || ranAfter(runs, id, idleFrom)) {
			note(end)
		}
	}
	return longest
}
