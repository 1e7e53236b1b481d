package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lostEntries are removed for good, lostGap apart.
	lostEntries = 4
	lostGap     = 500 * time.Millisecond
	// cleanupAfter is how long after a takeover its record is removed.
	cleanupAfter = 60 * time.Second
	// takeoverTime is enough for the takeovers.
	takeoverTime = 6 * time.Second
	cutFor       = 5500 * time.Millisecond
	// quietMs is how long an entry must have written only removals before it is cut off. It is
	// below the 2.5 s after which the other entries take its jobs over.
	quietMs = 1600
	// lastJobBefore is how long before the first removal the entry gets its last short job.
	lastJobBefore = 650 * time.Millisecond
	sampling      = 2 * time.Millisecond
	streamGap     = 100 * time.Millisecond
	lastingTask   = 2 // tasks of each job that lasts
	watchFor      = 14 * time.Second
	// endedJobs end within some seconds, and their states are removed retention (status_s) later.
	endedJobs     = 200
	endedInterval = 50 * time.Millisecond
	retention     = 120 * time.Second
)

// lastingJob returns a job that lasts.
func lastingJob() map[string]any {
	return map[string]any{
		"spec": "ms=200000 cpu=4000", "longRunning": true,
		"phases": []map[string]any{{"count": lastingTask, "cpu": 4000, "memMb": 64, "estimatedMs": 1000}},
	}
}

// stream hands in short jobs at an entry until it is stopped.
func (s *system) stream(m *machine, stop <-chan struct{}) {
	for {
		s.call(m, http.MethodPost, routePrefix+newID(), shortJob(1, 20))
		select {
		case <-stop:
			return
		case <-time.After(streamGap):
		}
	}
}

// loseEntries removes entries for good, one after the other. Each has just accepted a job that is
// due in an hour.
func (s *system) loseEntries() error {
	next := time.Now()
	for _, m := range s.entries[:lostEntries] {
		time.Sleep(time.Until(next))
		next = time.Now().Add(lostGap)
		job := shortJob(1, 20)
		job["repeatCount"], job["startAtMs"], job["intervalMs"] = 2, time.Now().Add(time.Hour).UnixMilli(), time.Hour.Milliseconds()
		id := newID()
		a := s.call(m, http.MethodPost, routePrefix+id, job)
		s.rec.printf("client: POST %s at %s: %d %s", id, m.name, a.status, a.text)
		if a.status != http.StatusOK {
			return fmt.Errorf("a job was not accepted")
		}
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
		s.rec.printf("platform: %s is removed for good", m.name)
	}
	return nil
}

// quietLease lets all entries but one be lost, adds another one, waits until the first one, which
// has taken the jobs of the others over, removes the records of that, and cuts it off from the
// store then.
func quietLease(s *system, trouble bool) (verdict, error) {
	quiet, added := s.entries[lostEntries], s.entries[lostEntries+1]
	lasting := newID()
	a := s.call(quiet, http.MethodPost, routePrefix+lasting, lastingJob())
	s.rec.printf("client: POST of lasting job %s at %s: %d %s", lasting, quiet.name, a.status, a.text)
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(time.Second)
	if err := s.streamWhile(quiet, func() error {
		if trouble {
			if err := s.loseEntries(); err != nil {
				return err
			}
		}
		time.Sleep(takeoverTime)
		return nil
	}); err != nil {
		return nil, err
	}
	cleanup := time.Now().Add(cleanupAfter - takeoverTime)
	if at := quiet.path.tookOverAt.Load(); at > 0 {
		cleanup = time.UnixMilli(at).Add(cleanupAfter)
	}
	if err := s.add(added); err != nil {
		return nil, err
	}
	var broken verdict
	err := s.streamWhile(added, func() error {
		time.Sleep(time.Until(cleanup.Add(-lastJobBefore)))
		s.submit(lostEntries, newID(), shortJob(1, 20), time.Second)
		broken = s.watchTwice(quiet, trouble)
		return nil
	})
	return broken, err
}

// streamWhile hands in short jobs at an entry while f runs.
func (s *system) streamWhile(m *machine, f func() error) error {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.stream(m, stop) })
	err := f()
	close(stop)
	wg.Wait()
	return err
}

// endedStates hands in short jobs and a job that lasts at one entry, waits until the states of
// the short jobs are removed, and cuts the entry off from the store then. No entry is lost. It
// takes longer than two minutes, so it is no case.
func endedStates(s *system, trouble bool) (verdict, error) {
	quiet, lasting := s.entries[0], newID()
	if a := s.call(quiet, http.MethodPost, routePrefix+lasting, lastingJob()); a.status != http.StatusOK {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	began := time.Now()
	for range endedJobs {
		s.call(quiet, http.MethodPost, routePrefix+newID(), shortJob(1, 50))
		time.Sleep(endedInterval)
	}
	time.Sleep(time.Until(began.Add(retention)))
	s.rec.printf("the removal of the states of ended jobs begins")
	return s.watchTwice(quiet, trouble), nil
}

// watchTwice looks for tasks with two runs at a time, and cuts the entry off from the store once
// it has only removed keys for quietMs.
func (s *system) watchTwice(quiet *machine, trouble bool) verdict {
	var broken verdict
	seen := make(map[string]bool)
	cut := !trouble
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(sampling) {
		wrote, removed := quiet.path.wroteAt.Load(), quiet.path.removedAt.Load()
		if !cut && removed-wrote >= quietMs {
			cut = true
			quiet.path.cut.Store(true)
			s.rec.printf("platform: %s is cut off from the store; it has only removed keys for %d ms", quiet.name, removed-wrote)
			time.AfterFunc(cutFor, func() { quiet.path.cut.Store(false) })
		}
		running := make(map[string]int)
		for _, w := range s.workers {
			w.mu.Lock()
			for _, r := range w.running {
				running[r.task]++
			}
			w.mu.Unlock()
		}
		for task, n := range running {
			if n > 1 && !seen[task] {
				seen[task] = true
				broken = append(broken, fmt.Sprintf("TWICE: %d runs of %s at the same time", n, task))
				s.rec.printf("%d runs of %s at the same time", n, task)
			}
		}
	}
	return broken
}
