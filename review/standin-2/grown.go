package main

import (
	"net/http"
	"time"
)

const (
	fullCPU   = 64000 // thousandths of a core
	shrunkCPU = 16000
	largeCPU  = 24000 // of a task: more than the shrunk capacity, less than half of the full one
	// rollGap is the pause between two restarts of agents.
	rollGap = 2 * time.Second
	// finishTime is finish_s, idleTime how long a job may have nothing running after that.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// playGrown restarts the agents one after the other while the capacity of their executors is
// reduced, and checks that jobs run that fit once the full capacity is back.
func playGrown(s *system) (bool, error) {
	if err := s.start(3, 3, fullCPU); err != nil {
		return false, err
	}
	s.setCapacities(shrunkCPU)
	time.Sleep(2 * heartbeatInterval)
	for _, n := range s.nodes {
		if n.role != "agent" {
			continue
		}
		if s.trouble {
			if err := s.restart(n); err != nil {
				return false, err
			}
		}
		time.Sleep(rollGap)
	}
	time.Sleep(2 * heartbeatInterval)
	s.setCapacities(fullCPU)
	time.Sleep(4 * heartbeatInterval)
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	const large, small = "5c0e7a21d94b0011", "5c0e7a21d94b0012"
	spec := phase{Count: 3, CPU: largeCPU, MemMb: 64, EstimatedMs: 200}
	accepted := s.call(s.nodes[0], http.MethodPost, large, job{Spec: "cpu=24000 run=200", Phases: []phase{spec}}, 1500*time.Millisecond)
	spec.CPU = shrunkCPU / 4
	s.call(s.nodes[0], http.MethodPost, small, job{Spec: "cpu=4000 run=200", Phases: []phase{spec}}, 1500*time.Millisecond)
	s.rec.printf("client: the traffic has ended")
	for end := time.Now().Add(finishTime + idleTime); time.Now().Before(end) && len(s.runsOf(large)) < 6; time.Sleep(pollInterval) {
	}
	state := s.call(s.nodes[1], http.MethodGet, large, nil, 2*time.Second)
	s.call(s.nodes[1], http.MethodGet, small, nil, 2*time.Second)
	stuck := accepted.status == http.StatusOK && len(s.runsOf(large)) == 0
	s.rec.printf("job %s: accepted %v, state %s, nothing of it started: %v", large, accepted.status == http.StatusOK, state.body, stuck)
	return stuck, nil
}

func (s *system) setCapacities(cpu int64) {
	for _, w := range s.workers {
		w.setCPU(cpu)
	}
}
