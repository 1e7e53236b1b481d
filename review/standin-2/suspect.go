package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// suspectWorkers executors are there, of which the last one is the only one of kind b.
	suspectWorkers = 11
	// greyTime is how long that one fails all that it starts.
	greyTime = 6500 * time.Millisecond
	// greyTasks is the number of tasks of each of the two jobs that come meanwhile.
	greyTasks = 8
	// recoverTime is the pause afterwards.
	recoverTime = 10 * time.Second
)

// playSuspect has one executor fail all that it starts for a while, with a lasting task at
// work there, and checks that a job that needs this executor runs later.
func playSuspect(s *system) (bool, error) {
	if err := s.start(3, suspectWorkers, fullCPU); err != nil {
		return false, err
	}
	const lasting, later = "5c0e7a21d94b0041", "5c0e7a21d94b0049"
	grey := s.workers[suspectWorkers-1]
	body := job{Spec: "cpu=6200", LongRunning: true, Phases: []phase{{Count: 1, CPU: 6200, MemMb: 64, Requirements: grey.opts.kind}}}
	s.call(s.nodes[0], http.MethodPost, lasting, body, 1500*time.Millisecond)
	for end := time.Now().Add(startTimeout); len(s.runsOf(lasting)) < 1; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false, errors.New("the lasting task has not started")
		}
	}
	time.Sleep(calmTime)
	if s.trouble {
		grey.setGrey(true)
		time.AfterFunc(greyTime, func() { grey.setGrey(false) })
	}
	for i, id := range []string{"5c0e7a21d94b0042", "5c0e7a21d94b0043"} {
		body := job{Spec: "cpu=6200 run=60", Phases: []phase{{Count: greyTasks, CPU: 6200, MemMb: 64, EstimatedMs: 60, Requirements: grey.opts.kind}}}
		s.call(s.nodes[i], http.MethodPost, id, body, 1500*time.Millisecond)
	}
	time.Sleep(greyTime + recoverTime)
	body = job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 2, CPU: 6200, MemMb: 64, EstimatedMs: 200, Requirements: grey.opts.kind}}}
	accepted := s.call(s.nodes[2], http.MethodPost, later, body, 1500*time.Millisecond)
	s.rec.printf("client: the traffic has ended")
	for end := time.Now().Add(finishTime + idleTime); time.Now().Before(end) && len(s.runsOf(later)) < 4; time.Sleep(pollInterval) {
	}
	state := s.call(s.nodes[1], http.MethodGet, later, nil, 2*time.Second)
	stuck := accepted.status == http.StatusOK && len(s.runsOf(later)) == 0
	s.rec.printf("job %s: accepted %v, state %s, nothing of it started: %v", later, accepted.status == http.StatusOK, state.body, stuck)
	return stuck, nil
}
