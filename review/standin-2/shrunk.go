package main

import (
	"errors"
	"net/http"
	"time"
)

// reducedCPU is a capacity that holds the lasting task, but not another large one beside it.
const reducedCPU = 40000

// playShrunk reduces the capacity of one executor on which a lasting task is at work, and
// checks that a job runs for which the other executors have room.
func playShrunk(s *system) (bool, error) {
	if err := s.start(3, 3, fullCPU); err != nil {
		return false, err
	}
	const lasting, large = "5c0e7a21d94b0051", "5c0e7a21d94b0052"
	rack := s.workers[0].opts.rack
	body := job{Spec: "cpu=24000", LongRunning: true, Phases: []phase{{Count: 1, CPU: largeCPU, MemMb: 64, DataRack: rack}}}
	s.call(s.nodes[0], http.MethodPost, lasting, body, 1500*time.Millisecond)
	for end := time.Now().Add(startTimeout); len(s.runsOf(lasting)) < 1; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false, errors.New("the lasting task has not started")
		}
	}
	time.Sleep(calmTime)
	if s.trouble {
		s.workers[0].setCPU(reducedCPU)
	}
	time.Sleep(4 * heartbeatInterval)
	body = job{Spec: "cpu=24000 run=200", Phases: []phase{{Count: 2, CPU: largeCPU, MemMb: 64, EstimatedMs: 200, DataRack: rack}}}
	accepted := s.call(s.nodes[0], http.MethodPost, large, body, 1500*time.Millisecond)
	s.rec.printf("client: the traffic has ended")
	for end := time.Now().Add(finishTime + idleTime); time.Now().Before(end) && len(s.runsOf(large)) < 4; time.Sleep(pollInterval) {
	}
	state := s.call(s.nodes[1], http.MethodGet, large, nil, 2*time.Second)
	stuck := accepted.status == http.StatusOK && !s.allStarted(large, 2)
	s.rec.printf("job %s: accepted %v, state %s, a task of it was never at work: %v", large, accepted.status == http.StatusOK, state.body, stuck)
	return stuck, nil
}

// allStarted reports whether n tasks of a job have been at work.
func (s *system) allStarted(id string, n int) bool {
	tasks := make(map[string]bool)
	for _, e := range s.runsOf(id) {
		tasks[e.task] = true
	}
	return len(tasks) == n
}
