package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	renamedJobs        = 6
	renamedOccurrences = 10
	renamedInterval    = 3 * time.Second
	stopGap            = 1300 * time.Millisecond
	graceTime          = 6 * time.Second
)

// renamedQueue hands in jobs that recur. Then a version of the configuration replaces their
// queue by one with another name and the same host, prefix and service, and the entries are
// stopped and started in turn.
func renamedQueue(s *system, trouble bool) (verdict, error) {
	var ids []string
	due := time.Now().Add(2 * time.Second)
	for i := range renamedJobs {
		id := newID()
		job := shortJob(2, 200)
		job["repeatCount"], job["startAtMs"], job["intervalMs"] = renamedOccurrences, due.UnixMilli(), renamedInterval.Milliseconds()
		if !s.submit(i, id, job, 5*time.Second) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Until(due.Add(2 * time.Second)))
	if trouble {
		s.publish(configWith(8, route("r1b", routePrefix)))
	}
	time.Sleep(2 * time.Second)
	for _, m := range s.entries {
		s.stop(m)
		time.Sleep(stopGap)
	}
	end := due.Add((renamedOccurrences - 1) * renamedInterval)
	time.Sleep(time.Until(end.Add(finishAfter)))
	var open []string
	for i, id := range ids {
		a := s.stateOf(i, id, askedWithin)
		if a.status != http.StatusOK || a.state != "completed" {
			open = append(open, id)
		}
	}
	var broken verdict
	for id, used := range s.idleJobs(open) {
		missing := 0
		for k := range renamedOccurrences {
			if !s.begunTask(fmt.Sprintf("%s.%d.", id, k)) {
				missing++
			}
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted; %v after its last occurrence was due, %d of %d occurrences have not begun, it has nothing running for %v, and %d of %d thousandths of a core are in use at most",
			id, finishAfter, missing, renamedOccurrences, idleFor, used, int64(len(s.workers))*workerCPU))
	}
	return broken, nil
}

// begunTask reports whether a worker has begun a task whose name begins with the prefix.
func (s *system) begunTask(prefix string) bool {
	for _, w := range s.workers {
		if w.startsOf(prefix) > 0 {
			return true
		}
	}
	return false
}

// stop stops the process of a machine as the platform does, and waits until it is started again
// and ready.
func (s *system) stop(m *machine) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	s.rec.printf("platform: SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	kill := time.AfterFunc(graceTime, func() { _ = cmd.Process.Kill() }) // an error means that it has ended
	defer kill.Stop()
	for deadline := time.Now().Add(graceTime + 5*time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		m.mu.Lock()
		replaced := m.cmd != cmd
		m.mu.Unlock()
		if replaced && s.ready(m) {
			s.rec.printf("platform: %s is ready again", m.name)
			return
		}
	}
}

// begun reports whether a worker has begun a task of the job.
func (s *system) begun(id string) bool { return s.begunTask(id + ".") }
