package main

import (
	"net/http"
	"time"
)

const (
	lastingTasks   = 4
	maxUnavailable = 1
	// calmTime is how long the tasks of the lasting job are at work before the disruption.
	calmTime = 5 * time.Second
	// watchTime is how long the case watches them afterwards.
	watchTime = 15 * time.Second
)

// playAvail stops the entry that accepted a lasting job with SIGTERM, and checks that no
// more of its tasks are stopped at a time than the job allows.
func playAvail(s *system) (bool, error) {
	if err := s.start(3, 4, fullCPU); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b0021"
	body := job{Spec: "cpu=6200", LongRunning: true, Phases: []phase{{Count: lastingTasks, CPU: 6200, MemMb: 64, AntiAffinity: 1, MaxUnavailable: maxUnavailable}}}
	if r := s.call(s.nodes[0], http.MethodPost, id, body, 1500*time.Millisecond); r.status != http.StatusOK {
		s.rec.printf("the job was not accepted")
		return false, nil
	}
	for end := time.Now().Add(startTimeout); len(s.runsOf(id)) < lastingTasks; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			s.rec.printf("the tasks have not started")
			return false, nil
		}
	}
	time.Sleep(calmTime)
	if s.trouble {
		if err := s.restart(s.nodes[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	return s.tooManyStopped(id), nil
}

// tooManyStopped reports whether a task of a job was stopped at work while as many others as
// may be unavailable were away, ended by such stops.
func (s *system) tooManyStopped(id string) bool {
	away := make(map[string]bool) // tasks that were stopped and have not started again
	broken := false
	for _, e := range s.runsOf(id) {
		switch e.what {
		case "start":
			delete(away, e.task)
		case "stopped":
			if len(away) >= maxUnavailable {
				s.rec.printf("task %s was stopped while %d others were away, %d may be", e.task, len(away), maxUnavailable)
				broken = true
			}
			away[e.task] = true
		}
	}
	return broken
}
