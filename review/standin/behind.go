package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cancelledJob is a job that a caller has cancelled.
type cancelledJob struct {
	id           string
	accepted     bool
	acknowledged time.Time // zero if the cancelling was not acknowledged
	status       int       // of that answer
}

// playBehind: the store turns one entry away for 9 s and serves the others. When it serves
// that entry again, callers cancel jobs there that another entry has accepted. A job whose
// cancelling was acknowledged must not run on.
func playBehind(s *system, trouble bool) ([]string, error) {
	const (
		before   = 3 * time.Second
		away     = 9 * time.Second
		early    = 800 * time.Millisecond // the first cancels come this long before the end
		jobs     = 16
		spacing  = 100 * time.Millisecond
		count    = 24
		interval = 500 * time.Millisecond
		behind   = 1 // the entry that is turned away
	)
	kinds := []kindOfJob{{name: "order", perSecond: 120, tasks: 2, cpu: 500, length: 100 * time.Millisecond, specBytes: 3000}}
	t := newTraffic(s)
	t.entries = []int{0, 2}
	t.run(before, kinds)
	if trouble {
		s.rec.printf("the store turns %s away", s.name(behind))
		s.gates[behind].turnAway(true)
	}
	cancelled := make([]*cancelledJob, jobs)
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(away - early - jobs*spacing)
		for i := range cancelled {
			cancelled[i] = &cancelledJob{id: s.newRecurring(count, interval)}
			job := s.ledger.job(cancelled[i].id)
			wg.Go(func() {
				cancelled[i].accepted = s.submitUntilAccepted(0, cancelled[i].id, job, 3*time.Second)
			})
			time.Sleep(spacing)
		}
		for _, c := range cancelled {
			wg.Go(func() { s.cancelUntilAnswered(behind, c) })
			time.Sleep(spacing)
		}
	})
	t.run(away, kinds)
	s.gates[behind].turnAway(false)
	served := time.Now()
	s.rec.printf("the store serves every machine")
	t.run(time.Duration(count)*interval+4*time.Second, kinds)
	wg.Wait()
	t.wait()
	s.ledger.writeRuns()
	var out []string
	for _, c := range cancelled {
		if !c.accepted || c.acknowledged.IsZero() {
			continue
		}
		for _, r := range s.ledger.runsOf(c.id) {
			if r.started.After(c.acknowledged.Add(cancelTime)) && r.started.After(served.Add(contactTime)) {
				out = append(out, fmt.Sprintf("cancelling was answered with %d at %.3f s, started after that: %s", c.status, c.acknowledged.Sub(s.rec.began).Seconds(), s.ledger.describe(&r)))
			}
		}
	}
	return firstOf(shown, "UNASKED", out), nil
}

// newRecurring adds a recurring job to the ledger, due from now on, and returns its ID.
func (s *system) newRecurring(count int, interval time.Duration) string {
	id := s.newID()
	s.ledger.addJob(id, &jobRequest{
		Spec: specOf(100 * time.Millisecond), Phases: []phase{{Count: 2, CPU: 500, MemMb: 64, EstimatedMs: 100}},
		RepeatCount: count, StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: interval.Milliseconds(),
	})
	return id
}

// cancelUntilAnswered cancels a job at one entry, again while the answer is not final.
func (s *system) cancelUntilAnswered(entry int, c *cancelledJob) {
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		status, _ := s.callRecorded(entry, http.MethodDelete, c.id, nil, callerDeadline)
		if status/100 == 2 || status == http.StatusGone {
			c.acknowledged, c.status = time.Now(), status
			return
		}
	}
}

// playBehindTakeover: the store turns two of three entries away for 9 s, and the third one,
// which drives stored jobs, is gone for good shortly before that ends. No task may run again
// after its end was taken note of, or twice at the same time.
func playBehindTakeover(s *system, trouble bool) ([]string, error) {
	const (
		before = 3 * time.Second
		away   = 9 * time.Second
		early  = 700 * time.Millisecond // the entry is gone this long before the end
		after  = 8 * time.Second
		limit  = 20 * time.Second
	)
	stored := kindOfJob{name: "stored", perSecond: 120, tasks: 2, cpu: 500, length: 100 * time.Millisecond, specBytes: 3000}
	direct := kindOfJob{name: "direct", perSecond: 40, tasks: 2, cpu: 500, length: 100 * time.Millisecond, bestEffort: true}
	keep, others := newTraffic(s), newTraffic(s)
	keep.entries, others.entries = []int{0}, []int{1, 2}
	var wg sync.WaitGroup
	wg.Go(func() { others.run(before+away+after, []kindOfJob{direct}) })
	keep.run(before, []kindOfJob{stored})
	if trouble {
		s.gates[1].turnAway(true)
		s.gates[2].turnAway(true)
		s.rec.printf("the store turns %s and %s away", s.name(1), s.name(2))
	}
	keep.run(away-early, []kindOfJob{stored})
	if trouble {
		s.kill(0)
	}
	time.Sleep(early)
	s.gates[1].turnAway(false)
	s.gates[2].turnAway(false)
	s.rec.printf("the store serves every machine")
	wg.Wait()
	keep.wait()
	others.wait()
	s.awaitCompletion(keep.accepted(), limit)
	time.Sleep(2 * time.Second)
	s.ledger.writeRuns()
	isStored := make(map[string]bool)
	for _, j := range keep.accepted() {
		isStored[j.id] = true
	}
	return firstOf(shown, "TWICE", s.ledger.twice(func(id string) bool { return isStored[id] })), nil
}
