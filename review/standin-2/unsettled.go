package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// loadInterval is the time between two best-effort jobs of loadTasks tasks: 800 tasks a
	// second.
	loadInterval = 20 * time.Millisecond
	loadTasks    = 16
	// maxLoadInFlight bounds the jobs that wait for their answer.
	maxLoadInFlight = 12
	// maxLoadTime bounds the load. It ends earlier once nothing was served for stallTime.
	maxLoadTime = 98 * time.Second
	stallTime   = 2500 * time.Millisecond
)

// playUnsettled serves many short tasks beside two lasting ones, lets one of these fail, and
// checks that it is started again.
func playUnsettled(s *system) (bool, error) {
	if err := s.start(3, 1, fullCPU); err != nil {
		return false, err
	}
	first, second := "5c0e7a21d94b0071", "5c0e7a21d94b0072"
	for _, id := range []string{first, second} {
		body := job{Spec: "cpu=6200", LongRunning: true, Phases: []phase{{Count: 1, CPU: 6200, MemMb: 64}}}
		s.call(s.nodes[0], http.MethodPost, id, body, 1500*time.Millisecond)
		for end := time.Now().Add(startTimeout); len(s.runsOf(id)) < 1; time.Sleep(pollInterval) {
			if time.Now().After(end) {
				return false, fmt.Errorf("task of %s has not started", id)
			}
		}
	}
	if s.trouble {
		s.load()
	}
	s.rec.printf("executor %s: the task of job %s fails", s.workers[0].opts.id, second)
	s.workers[0].failTaskOf(second)
	time.Sleep(lastingIdle + idleTime + 500*time.Millisecond)
	return s.lastingAway(second, lastingIdle+idleTime), nil
}

// load sends best-effort jobs to the first entry at a constant rate. What is sent and
// answered is recorded as a sum every second.
func (s *system) load() {
	var inFlight, served, refused atomic.Int64
	servedAt, reportAt := time.Now(), time.Now()
	last := int64(0)
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	end := time.Now().Add(maxLoadTime)
	for i := 0; time.Now().Before(end) && time.Since(servedAt) < stallTime; i++ {
		<-tick.C
		if n := served.Load(); n != last {
			last, servedAt = n, time.Now()
		}
		if time.Since(reportAt) >= time.Second {
			reportAt = time.Now()
			s.rec.printf("load: %d jobs of %d tasks were completed, %d were refused or not answered", served.Load(), loadTasks, refused.Load())
		}
		if inFlight.Load() >= maxLoadInFlight {
			continue
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Add(-1)
			body := job{Spec: "cpu=500 run=40", BestEffort: true, Phases: []phase{{Count: loadTasks, CPU: 500, MemMb: 16, EstimatedMs: 40}}}
			if s.callQuietly(s.nodes[0], http.MethodPost, fmt.Sprintf("5c0e7a22%08x", i), body, 1500*time.Millisecond).status == http.StatusOK {
				served.Add(1)
				return
			}
			refused.Add(1)
		}()
	}
	for inFlight.Load() > 0 {
		time.Sleep(pollInterval)
	}
	s.rec.printf("load: ended after %d completed jobs, %d refused or not answered", served.Load(), refused.Load())
}
