package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	lastingCPU  = 24000 // three eighths of a worker
	largeCPU    = 56000 // beside it there is no room
	smallJobs   = 30    // ordinary jobs in all
	jobInterval = 150 * time.Millisecond
	idleFor     = 3 * time.Second // of the rule
)

// runningOf returns the number of the job's runs at the workers, and the capacity that all runs
// use, in thousandths of a core.
func (s *system) runningOf(id string) (runs int, used int64) {
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.running {
			used += r.cpu
			if strings.HasPrefix(r.task, id+".") {
				runs++
			}
		}
		w.mu.Unlock()
	}
	return runs, used
}

// idleJobs returns those of the jobs that had nothing running for idleFor, are not completed,
// and could have run: under half of the capacity was in use all the while.
func (s *system) idleJobs(ids []string) map[string]int64 {
	idle := make(map[string]int64) // the most capacity that was in use
	for _, id := range ids {
		idle[id] = 0
	}
	for end := time.Now().Add(idleFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id, most := range idle {
			runs, used := s.runningOf(id)
			if runs > 0 || 2*used >= int64(len(s.workers))*workerCPU {
				delete(idle, id)
				continue
			}
			idle[id] = max(most, used)
		}
	}
	return idle
}

// gangBeside hands in a gang that has no room beside a job that lasts.
func gangBeside(s *system, trouble bool) (verdict, error) {
	return besideLasting(s, trouble, map[string]any{
		"spec":   fmt.Sprintf("ms=500 cpu=%d", largeCPU),
		"phases": []map[string]any{{"count": len(s.workers), "cpu": largeCPU, "memMb": 64, "estimatedMs": 500, "gang": true}},
	})
}

// largeBeside hands in a job of one large task that has no room beside a job that lasts.
func largeBeside(s *system, trouble bool) (verdict, error) {
	return besideLasting(s, trouble, map[string]any{
		"spec":   fmt.Sprintf("ms=500 cpu=%d", largeCPU),
		"phases": []map[string]any{{"count": 1, "cpu": largeCPU, "memMb": 64, "estimatedMs": 500}},
	})
}

// besideLasting hands in a job that lasts, with one task on each worker, a job that has no room
// beside it, and ordinary jobs.
func besideLasting(s *system, trouble bool, large map[string]any) (verdict, error) {
	lasting, largeID := newID(), newID()
	job := map[string]any{
		"spec": fmt.Sprintf("ms=100000 cpu=%d", lastingCPU), "longRunning": true,
		"phases": []map[string]any{{"count": len(s.workers), "cpu": lastingCPU, "memMb": 64, "estimatedMs": 1000, "antiAffinity": 1}},
	}
	if !s.submit(0, lasting, job, 5*time.Second) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if runs, _ := s.runningOf(lasting); runs != len(s.workers) {
		return nil, fmt.Errorf("%d of %d tasks of the lasting job run", runs, len(s.workers))
	}
	if trouble {
		if !s.submit(0, largeID, large, 5*time.Second) {
			return nil, fmt.Errorf("the large job was not accepted")
		}
		time.Sleep(time.Second)
	}
	var ordinary []string
	for i := range smallJobs {
		id := newID()
		if s.submit(i, id, shortJob(2, 200), 5*time.Second) {
			ordinary = append(ordinary, id)
		}
		time.Sleep(jobInterval)
	}
	s.rec.printf("client: end of the traffic, %d ordinary jobs are accepted", len(ordinary))
	time.Sleep(finishAfter)
	var open []string
	for i, id := range ordinary {
		if a := s.stateOf(i, id, askedWithin); a.status != http.StatusOK || a.state != "completed" {
			open = append(open, id)
		}
	}
	var broken verdict
	for id, used := range s.idleJobs(open) {
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted; %v after the end of the traffic it has nothing running for %v, and %d of %d thousandths of a core are in use at most",
			id, finishAfter, idleFor, used, int64(len(s.workers))*workerCPU))
	}
	return broken, nil
}

const (
	lastingSmallCPU = 8000 // an eighth of a worker
	victimMs        = 4000
	crashPause      = 3 * time.Second
)

// whereRuns returns the worker that runs a task of the job, nil if there is none.
func (s *system) whereRuns(id string) *worker {
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.running {
			if strings.HasPrefix(r.task, id+".") {
				w.mu.Unlock()
				return w
			}
		}
		w.mu.Unlock()
	}
	return nil
}

// twiceCrashed hands in a job that lasts, with one task on each worker, and a job of one task.
// Two workers are lost for good one after the other while they run that task.
func twiceCrashed(s *system, trouble bool) (verdict, error) {
	lasting, victim := newID(), newID()
	job := map[string]any{
		"spec": fmt.Sprintf("ms=100000 cpu=%d", lastingSmallCPU), "longRunning": true,
		"phases": []map[string]any{{"count": len(s.workers), "cpu": lastingSmallCPU, "memMb": 64, "estimatedMs": 1000, "antiAffinity": 1}},
	}
	if !s.submit(0, lasting, job, 5*time.Second) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if !s.submit(0, victim, shortJob(1, victimMs), 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	crashes := 0
	for deadline := time.Now().Add(20 * time.Second); trouble && crashes < 2 && time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if w := s.whereRuns(victim); w != nil {
			w.crash()
			crashes++
			time.Sleep(crashPause)
		}
	}
	time.Sleep(finishAfter)
	a := s.stateOf(0, victim, askedWithin)
	if a.state == "completed" || a.state == "failed" {
		return nil, nil
	}
	var broken verdict
	for id, used := range s.idleJobs([]string{victim}) {
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted; %v after %d crashes it is shown as %q, has nothing running for %v, and %d of %d thousandths of a core are in use at most",
			id, finishAfter, crashes, a.state, idleFor, used, int64(len(s.workers))*workerCPU))
	}
	return broken, nil
}
