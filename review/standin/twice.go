package main

import (
	"fmt"
	"syscall"
	"time"
)

// playEntryGone: one entry is gone for good, and another one comes at another address 4 s
// later, while callers send stored jobs. No task may run again after its end was taken note
// of, or twice at the same time.
func playEntryGone(s *system, trouble bool) ([]string, error) {
	const (
		before = 5 * time.Second
		gap    = 4 * time.Second
		after  = 4 * time.Second
		limit  = 30 * time.Second
	)
	kinds := []kindOfJob{{name: "order", perSecond: 46, tasks: 20, cpu: 500, length: 250 * time.Millisecond}}
	if err := s.startLasting(1, kinds[0]); err != nil {
		return nil, err
	}
	t := newTraffic(s)
	t.run(before, kinds)
	if trouble {
		s.kill(0)
		t.entries = t.entries[1:] // new connections go to the other entries
	}
	t.run(gap, kinds)
	if trouble {
		if err := s.addEntry(); err != nil {
			return nil, err
		}
	}
	t.run(after, kinds)
	t.wait()
	s.awaitCompletion(t.accepted(), limit)
	time.Sleep(2 * time.Second) // the last ends are taken note of
	s.ledger.writeRuns()
	return firstOf(shown, "TWICE", s.ledger.twice(everyJob)), nil
}

// playTwoFreezes: an entry freezes for 4 s, and an agent freezes for 4 s shortly before the
// entry wakes; all of that four times. No task may run again after its end was taken note of, or
// twice at the same time.
func playTwoFreezes(s *system, trouble bool) ([]string, error) {
	const (
		before  = 4 * time.Second
		frozen  = 4 * time.Second
		overlap = 400 * time.Millisecond
		between = 8 * time.Second
		limit   = 20 * time.Second
	)
	kinds := []kindOfJob{{name: "order", perSecond: 40, tasks: 4, cpu: 1000, length: 250 * time.Millisecond}}
	t := newTraffic(s)
	t.run(before, kinds)
	for round := range 4 {
		entry, agents := []int{0}, []int{s.entries + round%len(s.workers)}
		steps := []struct {
			machines []int
			sig      syscall.Signal
			pause    time.Duration // after the signal
		}{
			{entry, syscall.SIGSTOP, frozen - overlap},
			{agents, syscall.SIGSTOP, overlap},
			{entry, syscall.SIGCONT, frozen - overlap},
			{agents, syscall.SIGCONT, between},
		}
		for _, step := range steps {
			for _, m := range step.machines {
				if !trouble {
					break
				}
				if err := s.signal(m, step.sig); err != nil {
					return nil, err
				}
			}
			t.run(step.pause, kinds)
		}
	}
	t.wait()
	s.awaitCompletion(t.accepted(), limit)
	time.Sleep(2 * time.Second) // the last ends are taken note of
	s.ledger.writeRuns()
	return firstOf(shown, "TWICE", s.ledger.twice(everyJob)), nil
}

// awaitCompletion waits until all jobs are shown as completed or limit has passed.
func (s *system) awaitCompletion(jobs []sentJob, limit time.Duration) {
	for until := time.Now().Add(limit); ; time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, j := range jobs {
			if s.state(1, j.id) != "completed" {
				open++
			}
		}
		if open == 0 || time.Now().After(until) {
			s.rec.printf("%d of %d accepted jobs are not completed", open, len(jobs))
			return
		}
	}
}

// playLostAnswers: twice, for 4.5 s, the answers of a third of the writes to the store are
// lost, while callers send stored jobs and some runs fail. Afterwards nothing is disturbed: the
// ends that workers list have to be taken note of. Jobs that wait beside idle workers are
// printed then, but do not decide.
func playLostAnswers(s *system, trouble bool) ([]string, error) {
	const (
		before  = 4 * time.Second
		lossy   = 4500 * time.Millisecond
		share   = 0.35
		times   = 2
		between = 5 * time.Second
		after   = 35 * time.Second
		failing = 33 // one run in this many fails
		minAge  = ackTime + contactTime
		watch   = 6 * time.Second
	)
	kinds := []kindOfJob{{name: "order", perSecond: 20, tasks: 4, cpu: 500, length: 900 * time.Millisecond}}
	if err := s.startLasting(1, kinds[0]); err != nil {
		return nil, err
	}
	for _, w := range s.workers {
		w.fails = func(n int) bool { return n%failing == 0 }
	}
	t := newTraffic(s)
	t.run(before, kinds)
	for range times {
		if trouble {
			s.loseAnswers(share)
		}
		t.run(lossy, kinds)
		if trouble {
			s.loseAnswers(0)
		}
		t.run(between, kinds)
	}
	t.run(after, kinds)
	now := time.Now()
	listed, unnoted := 0, 0
	for _, r := range s.ledger.snapshot() {
		if r.listed.IsZero() || now.Sub(r.listed) < minAge {
			continue
		}
		listed++
		if r.noted.IsZero() {
			unnoted++
		}
	}
	old, open := 0, 0
	for _, j := range t.accepted() {
		if now.Sub(j.sent) > 10*time.Second {
			old++
			if s.state(1, j.id) != "completed" {
				open++
			}
		}
	}
	done, again := make(map[string]bool), 0
	for _, r := range s.ledger.snapshot() {
		if r.how == endDone && done[r.task] {
			again++
		}
		done[r.task] = done[r.task] || r.how == endDone
	}
	t.wait()
	result := fmt.Sprintf("%d of %d ends that workers listed over %v before are not taken note of; %d of %d jobs sent over 10 s before are not completed; %d runs of tasks that had ended as done",
		unnoted, listed, minAge, open, old, again)
	s.rec.printf("%s", result)
	fmt.Println(result)
	idle := firstOf(shown, "a job with nothing running", s.idleJobs(t.accepted(), watch))
	s.ledger.writeRuns()
	if 5*unnoted <= listed {
		return nil, nil
	}
	return append([]string{"Acks: " + result}, idle...), nil
}

// startLasting has some jobs run, hands in a lasting job with two tasks on each worker and
// waits until they run.
func (s *system) startLasting(entry int, before kindOfJob) error {
	s.warmUp(before)
	id, tasks := s.newID(), 2*len(s.workers)
	job := &jobRequest{Spec: "last", LongRunning: true, Phases: []phase{{Count: tasks, CPU: 1000, MemMb: 64, AntiAffinity: 2}}}
	s.ledger.addJob(id, job)
	if !s.submitUntilAccepted(entry, id, job, 5*time.Second) {
		return fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if n := s.runningTasks(id); n != tasks {
		return fmt.Errorf("%d of %d tasks of the lasting job run", n, tasks)
	}
	return nil
}
