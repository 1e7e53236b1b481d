package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// shortJob is a stored job of a few short tasks.
func shortJob(tasks, ms int) map[string]any {
	return map[string]any{
		"spec":   fmt.Sprintf("ms=%d cpu=500", ms),
		"phases": []map[string]any{{"count": tasks, "cpu": 500, "memMb": 64, "estimatedMs": ms}},
	}
}

// submit hands a job in until it is accepted, at another entry after each failure. It returns
// false if no entry has accepted it within the time.
func (s *system) submit(first int, id string, job map[string]any, patience time.Duration) bool {
	deadline := time.Now().Add(patience)
	for try := 0; time.Now().Before(deadline); try++ {
		m := s.entries[(first+try)%len(s.entries)]
		a := s.call(m, http.MethodPost, routePrefix+id, job)
		s.rec.printf("client: POST %s at %s: %d %s", id, m.name, a.status, a.text)
		if a.status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// stateOf asks for the state of a job, at one entry after the other, until it is answered.
func (s *system) stateOf(first int, id string, patience time.Duration) answer {
	var a answer
	deadline := time.Now().Add(patience)
	for try := 0; ; try++ {
		m := s.entries[(first+try)%len(s.entries)]
		a = s.call(m, http.MethodGet, routePrefix+id, nil)
		s.rec.printf("client: GET %s at %s: %d %s", id, m.name, a.status, a.text)
		if a.status == http.StatusOK || a.status == http.StatusGone || time.Now().After(deadline) {
			return a
		}
		time.Sleep(200 * time.Millisecond)
	}
}

const (
	timedCount       = 1400 // jobs, at most
	timedInterval    = 20 * time.Millisecond
	timedTasks       = 19
	timedOccurrences = 240
	ordinaryJobs     = 6
	dueAfter         = 58 * time.Second // of the ordinary jobs that are due later
	finishAfter      = 14 * time.Second // finish_s
	askedWithin      = 10 * time.Second
)

// timedJobs hands in ordinary jobs, some of which are due about a minute later, and then jobs
// that are due hourly.
func timedJobs(s *system, trouble bool) (verdict, error) {
	began := time.Now()
	var ordinary, timed []string
	for i := range 2 * ordinaryJobs {
		id, job := newID(), shortJob(4, 200)
		if i >= ordinaryJobs {
			job["repeatCount"], job["startAtMs"], job["intervalMs"] = 1, began.Add(dueAfter).UnixMilli(), 1000
		}
		if !s.submit(i, id, job, 5*time.Second) {
			return nil, fmt.Errorf("an ordinary job was not accepted")
		}
		ordinary = append(ordinary, id)
	}
	if trouble {
		due := time.Now().Add(time.Hour).UnixMilli()
		for i := 0; i < timedCount && time.Since(began) < dueAfter; i++ {
			id := newID()
			m := s.entries[i%len(s.entries)]
			job := shortJob(timedTasks, 200)
			job["repeatCount"], job["startAtMs"], job["intervalMs"] = timedOccurrences, due, time.Hour.Milliseconds()
			a := s.call(m, http.MethodPost, routePrefix+id, job)
			s.rec.printf("client: POST of timed job %s at %s: %d %s", id, m.name, a.status, a.text)
			if a.status/100 == 2 {
				timed = append(timed, id)
			}
			time.Sleep(timedInterval)
		}
	}
	time.Sleep(time.Until(began.Add(dueAfter)))
	s.rec.printf("client: end of the traffic; %d timed jobs and %d ordinary jobs are accepted", len(timed), len(ordinary))
	time.Sleep(finishAfter)
	return s.judgeTimed(ordinary, timed), nil
}

const (
	askedTimed  = 9 // timed jobs whose state is asked for
	ownEnds     = 3 // of the rule: how often the processes of a machine end by themselves
	fewMachines = 2 // of the rule: on how many machines at least
)

// judgeTimed asks for the accepted jobs and looks at the ends of processes.
func (s *system) judgeTimed(ordinary, timed []string) verdict {
	var broken verdict
	for i := 0; i < len(timed); i += max(1, len(timed)/askedTimed) {
		if a := s.stateOf(i, timed[i], askedWithin); a.status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("LOST: timed job %s was accepted; %v after the end of the traffic it is answered %d %s", timed[i], finishAfter, a.status, a.text))
			break // the others wait as long
		}
	}
	var open []string
	for i, id := range ordinary {
		if a := s.stateOf(i, id, time.Second); a.status != http.StatusOK || a.state != "completed" {
			open = append(open, id)
		}
	}
	for id := range s.idleJobs(open) {
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted; %v after the end of the traffic it has nothing running for %v", id, finishAfter, idleFor))
	}
	machines := 0
	for _, m := range s.machines() {
		m.mu.Lock()
		s.rec.printf("%s: %d MB at most, ended by itself %d times", m.name, m.peakMB, m.ends)
		if m.ends >= ownEnds {
			machines++
		}
		m.mu.Unlock()
	}
	if machines >= max(fewMachines, (len(s.machines())+9)/10) {
		broken = append(broken, fmt.Sprintf("Fault: the processes of %d of %d machines have ended by themselves %d times or more", machines, len(s.machines()), ownEnds))
	}
	return broken
}
