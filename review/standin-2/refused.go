package main

import (
	"net/http"
	"time"
)

const (
	// cutTime is how long entry-0 is partitioned from the store, one way.
	cutTime = 5500 * time.Millisecond
	// submitAfter is when a job is submitted after the cut has begun.
	submitAfter = 100 * time.Millisecond
	// clientWait is how long the client waits for the answer, as X-Deadline-Ms states.
	clientWait = 8 * time.Second
	// runWait is how long the case waits for a start of the job after the answer.
	runWait = 12 * time.Second
)

// playRefused submits a job to an entry that is partitioned from the store, and checks that
// no task of it starts if the answer was a rejection.
func playRefused(s *system) (bool, error) {
	if err := s.start(3, 3, 64000); err != nil {
		return false, err
	}
	const before, id = "5c0e7a21d94b0000", "5c0e7a21d94b0001"
	time.Sleep(3 * time.Second)
	body := job{Spec: "cpu=6200 run=60", Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 60}}}
	s.call(s.nodes[0], http.MethodPost, before, body, 1500*time.Millisecond) // acknowledged last
	time.Sleep(time.Second)                                                  // until its end is recorded
	if s.trouble {
		s.rec.printf("store: answers to entry-0 are lost from now on (one-way partition)")
		s.nodes[0].proxy.setCut(true)
		time.AfterFunc(cutTime, func() {
			s.rec.printf("store: the partition of entry-0 has healed")
			s.nodes[0].proxy.setCut(false)
		})
	}
	time.Sleep(submitAfter)
	body = job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 200}}}
	answer := s.call(s.nodes[0], http.MethodPost, id, body, clientWait)
	for end := time.Now().Add(runWait); time.Now().Before(end) && len(s.runsOf(id)) < 8; time.Sleep(pollInterval) {
	}
	s.call(s.nodes[1], http.MethodGet, id, nil, 2*time.Second)
	started := len(s.runsOf(id)) > 0
	rejected := answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests
	s.rec.printf("the only attempt to hand in job %s was answered with status %d; a task of it started: %v", id, answer.status, started)
	return rejected && started, nil
}
