package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// playForeign sends each agent one heartbeat of another writer, which names a service that
// is in no configuration, and checks that jobs go on to run on the executors.
func playForeign(s *system) (bool, error) {
	if err := s.start(3, 3, fullCPU); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	for i, n := range s.nodes {
		if n.role != "agent" || !s.trouble {
			continue
		}
		body, err := json.Marshal(map[string]any{
			"service": "ledger-archive", "address": addr(n.ip, appPort+1), "zone": zoneOf(i), "version": "v1", "slots": 8,
			"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0},
			"labels":   []string{"a", "r9"}, "clockMs": 1,
		})
		if err != nil {
			return false, err
		}
		status := postHeartbeat(addr(n.ip, controlPort), "x-other", body)
		s.rec.printf("another writer: heartbeat of executor x-other of service ledger-archive to %s: status %d", n.name, status)
	}
	time.Sleep(4 * heartbeatInterval)
	const id = "5c0e7a21d94b0031"
	body := job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 4, CPU: 6200, MemMb: 64, EstimatedMs: 200}}}
	accepted := s.call(s.nodes[0], http.MethodPost, id, body, 1500*time.Millisecond)
	s.rec.printf("client: the traffic has ended")
	for end := time.Now().Add(finishTime + idleTime); time.Now().Before(end) && len(s.runsOf(id)) < 8; time.Sleep(pollInterval) {
	}
	state := s.call(s.nodes[1], http.MethodGet, id, nil, 2*time.Second)
	stuck := accepted.status == http.StatusOK && len(s.runsOf(id)) == 0
	s.rec.printf("job %s: accepted %v, state %s, nothing of it started: %v", id, accepted.status == http.StatusOK, state.body, stuck)
	return stuck, nil
}
