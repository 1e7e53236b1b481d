package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pendingBatch = 24
	pendingAge   = 5200 * time.Millisecond // visible_ms and 2 s
)

// pendingJobs hands in jobs of one task right after a worker was lost for good, and asks each
// entry how many jobs have not begun.
func pendingJobs(s *system, trouble bool) (verdict, error) {
	if trouble {
		s.workers[0].setDark()
	}
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	for i := range pendingBatch {
		wg.Go(func() {
			id := newID()
			if s.submit(i, id, shortJob(1, 200), 2*time.Second) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(pendingAge)
	var broken verdict
	for _, m := range s.entries {
		var waiting []string
		for _, id := range accepted {
			if !s.begun(id) {
				waiting = append(waiting, id)
			}
		}
		a := s.call(m, http.MethodGet, routePrefix, nil)
		s.rec.printf("client: GET of the queue at %s: %d %s; not begun: %s", m.name, a.status, a.text, strings.Join(waiting, " "))
		still := 0
		for _, id := range waiting {
			if !s.begun(id) {
				still++
			}
		}
		if a.status == http.StatusOK && 2*a.pending < still {
			broken = append(broken, fmt.Sprintf("MIXED: %s gives %d pending jobs; %d jobs that were accepted over %v before have not begun", m.name, a.pending, still, pendingAge))
		}
	}
	return broken, nil
}
