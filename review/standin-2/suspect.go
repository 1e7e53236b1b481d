package main

import (
	"net/http"
	"time"
)

const (
	// poisonJobs jobs of poisonTasks tasks can never be done.
	poisonJobs  = 2
	poisonTasks = 8
	// poisonWait is how long they may take to fail.
	poisonWait = 10 * time.Second
	// recoverTime is the pause after their end.
	recoverTime = 10 * time.Second
)

// playSuspect runs one task of a lasting job on each executor, submits a few jobs whose tasks
// always fail, and checks that a job that is submitted later runs.
func playSuspect(s *system) (bool, error) {
	if err := s.start(3, 3, fullCPU); err != nil {
		return false, err
	}
	const lasting, later = "5c0e7a21d94b0041", "5c0e7a21d94b0049"
	body := job{Spec: "cpu=6200", LongRunning: true, Phases: []phase{{Count: 3, CPU: 6200, MemMb: 64, AntiAffinity: 1}}}
	s.call(s.nodes[0], http.MethodPost, lasting, body, 1500*time.Millisecond)
	for end := time.Now().Add(startTimeout); len(s.runsOf(lasting)) < 3; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			s.rec.printf("the lasting tasks have not started")
			return false, nil
		}
	}
	time.Sleep(calmTime)
	poison := []string{"5c0e7a21d94b0042", "5c0e7a21d94b0043"}[:poisonJobs]
	spec := "cpu=6200 run=60"
	if s.trouble {
		spec += " fail=1"
	}
	for i, id := range poison {
		body := job{Spec: spec, Phases: []phase{{Count: poisonTasks, CPU: 6200, MemMb: 64, EstimatedMs: 60}}}
		s.call(s.nodes[i], http.MethodPost, id, body, 1500*time.Millisecond)
	}
	time.Sleep(poisonWait)
	for _, id := range poison {
		s.call(s.nodes[0], http.MethodGet, id, nil, 2*time.Second)
	}
	time.Sleep(recoverTime)
	body = job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 200}}}
	accepted := s.call(s.nodes[0], http.MethodPost, later, body, 1500*time.Millisecond)
	s.rec.printf("client: the traffic has ended")
	for end := time.Now().Add(finishTime + idleTime); time.Now().Before(end) && len(s.runsOf(later)) < 8; time.Sleep(pollInterval) {
	}
	state := s.call(s.nodes[1], http.MethodGet, later, nil, 2*time.Second)
	// Not judged: the callers of jobs that need not be stored.
	body = job{Spec: "cpu=6200 run=20", BestEffort: true, Phases: []phase{{Count: 1, CPU: 6200, MemMb: 64, EstimatedMs: 20}}}
	s.call(s.nodes[2], http.MethodPost, "5c0e7a21d94b004a", body, 1500*time.Millisecond)
	stuck := accepted.status == http.StatusOK && len(s.runsOf(later)) == 0
	s.rec.printf("job %s: accepted %v, state %s, nothing of it started: %v", later, accepted.status == http.StatusOK, state.body, stuck)
	return stuck, nil
}
