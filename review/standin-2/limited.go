package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// calmTime is how long lasting tasks are at work before a disruption.
	calmTime = 5 * time.Second
	// warmUpJobs are served before, as on a day with traffic.
	warmUpJobs = 60
	// loadPause is the pause between two jobs of the traffic that goes on.
	loadPause = 200 * time.Millisecond
	// lastingIdle is how long after its last run a lasting task may be away, and idleTime more.
	lastingIdle = 6 * time.Second
)

// playLimited lets the task of a lasting job fail and checks that it is started again.
func playLimited(s *system) (bool, error) {
	if err := s.start(3, 3, fullCPU); err != nil {
		return false, err
	}
	for i := range warmUpJobs {
		body := job{Spec: "cpu=6200 run=20", BestEffort: true, Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 20}}}
		s.call(s.nodes[0], http.MethodPost, fmt.Sprintf("5c0e7a21d94c%04x", i), body, 1500*time.Millisecond)
	}
	only := s.workers[len(s.workers)-1] // of its kind
	ids := []string{"5c0e7a21d94b0061", "5c0e7a21d94b0062"}
	for _, id := range ids {
		body := job{Spec: "cpu=6200", LongRunning: true, Phases: []phase{{Count: 1, CPU: 6200, MemMb: 64, Requirements: only.opts.kind}}}
		s.call(s.nodes[0], http.MethodPost, id, body, 1500*time.Millisecond)
	}
	for end := time.Now().Add(startTimeout); len(s.runsOf(ids[0]))+len(s.runsOf(ids[1])) < 2; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false, errors.New("the lasting tasks have not started")
		}
	}
	time.Sleep(calmTime)
	if s.trouble {
		s.rec.printf("executor %s: a task of job %s fails", only.opts.id, ids[0])
		only.failTaskOf(ids[0])
	}
	// From loadPause later on there is traffic at the same entry.
	for i, end := 0, time.Now().Add(lastingIdle+idleTime+8*time.Second); time.Now().Before(end); i++ {
		time.Sleep(loadPause)
		body := job{Spec: "cpu=6200 run=20", BestEffort: true, Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 20}}}
		s.call(s.nodes[0], http.MethodPost, fmt.Sprintf("5c0e7a21d94d%04x", i), body, 1500*time.Millisecond)
	}
	return s.lastingAway(ids[0], lastingIdle+idleTime), nil
}

// lastingAway reports whether a task of a lasting job has not been at work for longer than
// the given time.
func (s *system) lastingAway(id string, longest time.Duration) bool {
	endedAt := make(map[string]time.Time)
	broken := false
	check := func(task string, until time.Time) {
		if at, away := endedAt[task]; away && until.Sub(at) > longest {
			s.rec.printf("task %s was away for %v after its last run", task, until.Sub(at).Round(time.Millisecond))
			broken = true
		}
	}
	for _, e := range s.runsOf(id) {
		if e.what == "start" {
			check(e.task, e.at)
			delete(endedAt, e.task)
			continue
		}
		endedAt[e.task] = e.at
	}
	for task := range endedAt {
		check(task, time.Now())
	}
	return broken
}

// failTaskOf ends a task of the job by its own fault.
func (w *worker) failTaskOf(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, r := range w.running {
		if strings.HasPrefix(r.task, id+".") {
			w.end(key, "failed")
		}
	}
}
