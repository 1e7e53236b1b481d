package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playLateAccept: the store carries out one write late. The caller gets no acceptance and
// cancels the job, which is acknowledged. The job must not run any more.
func playLateAccept(s *system, trouble bool) ([]string, error) {
	const (
		deadline = 600 * time.Millisecond
		late     = 3 * time.Second
		count    = 24
		interval = 500 * time.Millisecond
	)
	// Other callers' jobs, so that the entries read the log all the time.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := s.newID()
			job := &jobRequest{Spec: specOf(50 * time.Millisecond), Phases: []phase{{Count: 2, CPU: 1000, MemMb: 64, EstimatedMs: 50}}}
			s.ledger.addJob(id, job)
			wg.Go(func() { s.callRecorded(1, http.MethodPost, id, job, 1500*time.Millisecond) })
		}
	})
	time.Sleep(2 * time.Second)
	if trouble {
		var once sync.Once
		s.gates[0].setFault(func() (f writeFault) {
			once.Do(func() { f = writeFault{loseAnswer: true, delay: late} })
			return f
		})
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	job := &jobRequest{
		Spec: specOf(100 * time.Millisecond), Phases: []phase{{Count: 2, CPU: 1000, MemMb: 64, EstimatedMs: 100}},
		RepeatCount: count, StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: interval.Milliseconds(),
	}
	s.ledger.addJob(id, job)
	disrupted := time.Now()
	s.callRecorded(0, http.MethodPost, id, job, deadline)
	status, text := s.callRecorded(1, http.MethodDelete, id, nil, 1500*time.Millisecond)
	acknowledged := time.Now()
	if status/100 != 2 && status != http.StatusGone {
		close(stop)
		wg.Wait()
		return nil, fmt.Errorf("the cancelling was not acknowledged: %d %s", status, text)
	}
	time.Sleep(time.Duration(count)*interval + 2*time.Second)
	s.callRecorded(1, http.MethodGet, id, nil, 1500*time.Millisecond)
	close(stop)
	wg.Wait()
	s.ledger.writeRuns()
	calmFrom := disrupted.Add(late + contactTime)
	var out []string
	for _, r := range s.ledger.runsOf(id) {
		if r.started.After(acknowledged.Add(cancelTime)) && r.started.After(calmFrom) {
			out = append(out, "started after its cancelling was acknowledged: "+s.ledger.describe(&r))
		}
	}
	return firstOf(shown, "UNASKED", out), nil
}

// playLessRoom: the room of the workers shrinks to a half while long tasks fill that half.
// Jobs that come then wait, and their queue has to show that.
func playLessRoom(s *system, trouble bool) ([]string, error) {
	const (
		cpu      = 6000
		perSide  = 5
		waiting  = 20
		settle   = visibleTime + 2*time.Second
		watching = 5 * time.Second
	)
	s.warmUp(shortJob)
	filler := s.newID()
	job := &jobRequest{Spec: "last", LongRunning: true, Phases: []phase{{Count: perSide * len(s.workers), CPU: cpu, MemMb: 64, AntiAffinity: perSide}}}
	s.ledger.addJob(filler, job)
	if !s.submitUntilAccepted(0, filler, job, 5*time.Second) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if n := s.runningTasks(filler); n != perSide*len(s.workers) {
		return nil, fmt.Errorf("%d tasks of the first job run", n)
	}
	if trouble {
		s.setRoom(fullCPU / 2) // of which the first job leaves less than one task needs
		time.Sleep(2 * beatInterval)
	}
	accepted := make(map[string]time.Time)
	for i := range waiting {
		id := s.newID()
		job := &jobRequest{Spec: specOf(200 * time.Millisecond), Phases: []phase{{Count: 1, CPU: cpu, MemMb: 64, EstimatedMs: 200}}}
		s.ledger.addJob(id, job)
		if s.submitUntilAccepted(i%s.entries, id, job, 3*time.Second) {
			accepted[id] = time.Now()
		}
	}
	time.Sleep(settle)
	var out []string
	for until := time.Now().Add(watching); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for e := range s.entries {
			due := 0
			for id, at := range accepted {
				if time.Since(at) > settle && len(s.ledger.runsOf(id)) == 0 {
					due++
				}
			}
			status, text := s.callRecorded(e, http.MethodGet, "", nil, time.Second)
			var pending int
			if _, err := fmt.Sscanf(text, `{"pending":%d}`, &pending); status != http.StatusOK || err != nil {
				continue
			}
			s.rec.printf("%d jobs accepted over %v before have not begun, %s gives %d as pending", due, settle, s.name(e), pending)
			if 2*pending < due {
				out = append(out, fmt.Sprintf("%s gives %d as pending, %d jobs accepted over %v before have not begun", s.name(e), pending, due, settle))
			}
		}
	}
	for id := range accepted {
		s.rec.printf("job %s is shown as %q", id, s.state(0, id))
	}
	s.setRoom(fullCPU)
	time.Sleep(2 * beatInterval)
	s.ledger.writeRuns()
	return firstOf(shown, "MIXED", out), nil
}

// playRollEntry: the entry that drives a lasting job is stopped and started as in a
// rolling restart. Of a step with maxUnavailable 1 only one task may be taken away at a
// time.
func playRollEntry(s *system, trouble bool) ([]string, error) {
	const (
		tasks = 6
		most  = 1
		grace = 6 * time.Second
	)
	s.warmUp(shortJob)
	id := s.newID()
	job := &jobRequest{Spec: "last", LongRunning: true, Phases: []phase{{Count: tasks, CPU: 2000, MemMb: 64, MaxUnavailable: most}}}
	s.ledger.addJob(id, job)
	if !s.submitUntilAccepted(0, id, job, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	if n := len(s.ledger.runsOf(id)); n != tasks {
		return nil, fmt.Errorf("%d runs in place of %d before the disruption", n, tasks)
	}
	if trouble {
		if err := s.terminate(0, grace); err != nil {
			return nil, err
		}
		if err := s.startProcess(0); err != nil {
			return nil, err
		}
	}
	time.Sleep(10 * time.Second)
	s.ledger.writeRuns()
	runs := s.ledger.runsOf(id)
	var out []string
	for i := range runs {
		r := &runs[i]
		if r.how != endStopped || r.ended.Sub(r.started) < startupTime {
			continue
		}
		away := make(map[string]bool)
		for k := range runs {
			o := &runs[k]
			if o.task != r.task && o.how == endStopped && o.ended.Before(r.ended) {
				away[o.task] = true
			}
		}
		for k := range runs {
			o := &runs[k]
			if atWork := o.started.Add(startupTime); atWork.Before(r.ended) && (o.ended.IsZero() || !o.ended.Before(r.ended)) {
				delete(away, o.task)
			}
		}
		if len(away) >= most {
			out = append(out, fmt.Sprintf("stopped while %d others of its step were away: %s", len(away), s.ledger.describe(r)))
		}
	}
	s.rec.printf("the last states: %s", strings.TrimSpace(s.state(1, id)))
	return firstOf(shown, "AVAIL", out), nil
}
