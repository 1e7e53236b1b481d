package main

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// windowWorkers executors are there, each with an agent, of which one is frozen.
	windowWorkers = 11
	// freezeTime is how long that agent stands still.
	freezeTime = 4 * time.Second
)

// playWindow freezes one agent while a task is on its way to it, and checks that a job runs
// that is submitted later to the same entry, which has lasting tasks at work.
func playWindow(s *system) (bool, error) {
	if err := s.start(3, windowWorkers, fullCPU); err != nil {
		return false, err
	}
	const lasting, during, later = "5c0e7a21d94b0091", "5c0e7a21d94b0092", "5c0e7a21d94b0093"
	body := job{Spec: "cpu=6200", LongRunning: true, Phases: []phase{{Count: 6, CPU: 6200, MemMb: 64, AntiAffinity: 2}}}
	s.call(s.nodes[0], http.MethodPost, lasting, body, 1500*time.Millisecond)
	for end := time.Now().Add(startTimeout); len(s.runsOf(lasting)) < 6; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false, errors.New("the lasting tasks have not started")
		}
	}
	time.Sleep(calmTime)
	const before = "5c0e7a21d94b0090"
	small := job{Spec: "cpu=6200 run=60", BestEffort: true, Phases: []phase{{Count: 1, CPU: 6200, MemMb: 64, EstimatedMs: 60}}}
	s.call(s.nodes[0], http.MethodPost, before, small, 1500*time.Millisecond)
	last := s.lastStart()
	if last < 0 {
		return false, errors.New("no task has started")
	}
	agent := s.nodes[3+last] // gave the last order
	if s.trouble {
		s.rec.printf("%s: SIGSTOP", agent.name)
		if err := agent.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		time.AfterFunc(freezeTime, func() {
			s.rec.printf("%s: SIGCONT", agent.name)
			agent.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	time.Sleep(100 * time.Millisecond)
	body = job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 2, CPU: 6200, MemMb: 64, EstimatedMs: 200, DataRack: s.workers[last].opts.rack}}}
	s.call(s.nodes[0], http.MethodPost, during, body, 1500*time.Millisecond)
	time.Sleep(freezeTime + 10*time.Second)
	body = job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 200}}}
	accepted := s.call(s.nodes[0], http.MethodPost, later, body, 1500*time.Millisecond)
	s.rec.printf("client: the traffic has ended")
	for end := time.Now().Add(finishTime + idleTime); time.Now().Before(end) && len(s.runsOf(later)) < 8; time.Sleep(pollInterval) {
	}
	state := s.call(s.nodes[1], http.MethodGet, later, nil, 2*time.Second)
	s.call(s.nodes[1], http.MethodGet, during, nil, 2*time.Second)
	stuck := accepted.status == http.StatusOK && len(s.runsOf(later)) == 0
	s.rec.printf("job %s: accepted %v, state %s, nothing of it started: %v", later, accepted.status == http.StatusOK, state.body, stuck)
	return stuck, nil
}

// lastStart returns the number of the executor that began the last run, -1 if none did.
func (s *system) lastStart() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Backward(s.runs) {
		if e.what == "start" {
			return slices.IndexFunc(s.workers, func(w *worker) bool { return w.opts.id == e.worker })
		}
	}
	return -1
}
