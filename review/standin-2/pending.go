package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// greyTime is how long one executor of pendingWorkers answers each start with 429.
	greyTime       = 6500 * time.Millisecond
	pendingWorkers = 11
	pendingJobs    = 6
	// visibleTime is visible_ms and 2 s: jobs that were accepted before must be counted.
	visibleTime = 5 * time.Second
)

// playPending submits jobs that need an executor which refuses all starts for a while, and
// checks that the entries count them as pending.
func playPending(s *system) (bool, error) {
	if err := s.start(3, pendingWorkers, fullCPU); err != nil {
		return false, err
	}
	grey := s.workers[pendingWorkers-1]
	if s.trouble {
		s.rec.printf("executor %s: refuses all starts with 429 for %v", grey.opts.id, greyTime)
		grey.setBusy(true)
		time.AfterFunc(greyTime, func() { grey.setBusy(false) })
	}
	var ids []string
	for i := range pendingJobs {
		id := fmt.Sprintf("5c0e7a21d94b%04x", 0x81+i)
		body := job{Spec: "cpu=6200 run=200", Phases: []phase{{Count: 1, CPU: 6200, MemMb: 64, EstimatedMs: 200, Requirements: grey.opts.kind}}}
		if r := s.call(s.nodes[i%3], http.MethodPost, id, body, 1500*time.Millisecond); r.status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	time.Sleep(visibleTime + 200*time.Millisecond)
	broken := false
	for _, n := range s.nodes[:3] {
		waiting := 0
		for _, id := range ids {
			if len(s.runsOf(id)) == 0 {
				waiting++
			}
		}
		r := s.call(n, http.MethodGet, "", nil, time.Second)
		var answer struct {
			Pending int `json:"pending"`
		}
		if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &answer) != nil {
			continue
		}
		s.rec.printf("%s: pending %d; %d jobs were accepted over %v before and have not begun", n.name, answer.Pending, waiting, visibleTime)
		broken = broken || 2*answer.Pending < waiting
	}
	time.Sleep(greyTime)
	for _, id := range ids {
		s.call(s.nodes[0], http.MethodGet, id, nil, time.Second)
	}
	return broken, nil
}
