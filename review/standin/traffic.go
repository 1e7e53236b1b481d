package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// missingLabel is a label that no worker has.
const missingLabel = "c"

// callerDeadline is how long callers wait for the answer to a request.
const callerDeadline = 1500 * time.Millisecond

// kindOfJob is one kind of the jobs that callers send. A job has one step.
type kindOfJob struct {
	name      string
	perSecond float64
	tasks     int
	cpu       int64
	length    time.Duration
	// bestEffort jobs are not stored and are answered when they have ended.
	bestEffort bool
	// specBytes is the length to which the spec is padded.
	specBytes int
	// hopelessShare of the jobs require a label that no worker has.
	hopelessShare float64
}

// shortJob is a kind of jobs with short tasks.
var shortJob = kindOfJob{name: "short", perSecond: 30, tasks: 8, cpu: 1000, length: 60 * time.Millisecond}

func (k *kindOfJob) request() *jobRequest {
	return &jobRequest{
		Spec:       specOf(k.length) + strings.Repeat(".", max(0, k.specBytes-len(specOf(k.length)))),
		BestEffort: k.bestEffort,
		Phases:     []phase{{Count: k.tasks, CPU: k.cpu, MemMb: 64, EstimatedMs: k.length.Milliseconds()}},
	}
}

// sentJob is a job that was sent.
type sentJob struct {
	id         string
	kind       string
	bestEffort bool
	hopeless   bool
	sent       time.Time
	accepted   bool // answered with 200
	completed  bool // that answer says that the job is completed
}

// traffic sends jobs to entries chosen at random, each job once.
type traffic struct {
	s    *system
	rand *rand.Rand
	// entries are the entries that callers reach.
	entries []int

	wg   sync.WaitGroup
	mu   sync.Mutex
	jobs []*sentJob
}

func newTraffic(s *system) *traffic {
	t := &traffic{s: s, rand: rand.New(rand.NewPCG(rand.Uint64(), 1))}
	for e := range s.entries {
		t.entries = append(t.entries, e)
	}
	return t
}

// run sends jobs of the kinds for d, at random times.
func (t *traffic) run(d time.Duration, kinds []kindOfJob) {
	const step = 2 * time.Millisecond
	began := time.Now()
	for at := time.Duration(0); at < d; at += step {
		time.Sleep(time.Until(began.Add(at)))
		for i := range kinds {
			if t.rand.Float64() < kinds[i].perSecond*step.Seconds() {
				t.send(&kinds[i])
			}
		}
	}
}

// send sends one job and does not wait for the answer.
func (t *traffic) send(k *kindOfJob) {
	j := &sentJob{id: t.s.newID(), kind: k.name, bestEffort: k.bestEffort, sent: time.Now()}
	request := k.request()
	if t.rand.Float64() < k.hopelessShare {
		j.hopeless = true
		request.Phases[0].Requirements = missingLabel
	}
	t.s.ledger.addJob(j.id, request)
	entry := t.entries[t.rand.IntN(len(t.entries))]
	t.mu.Lock()
	t.jobs = append(t.jobs, j)
	t.mu.Unlock()
	t.wg.Go(func() {
		status, text := t.s.callRecorded(entry, http.MethodPost, j.id, request, callerDeadline)
		t.mu.Lock()
		defer t.mu.Unlock()
		j.accepted = status == http.StatusOK
		j.completed = j.accepted && text == `{"state":"completed"}`
	})
}

// wait waits for the answers to all jobs and returns the jobs.
func (t *traffic) wait() []*sentJob {
	t.wg.Wait()
	return t.jobs
}

// accepted returns the jobs that were accepted so far.
func (t *traffic) accepted() []sentJob {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []sentJob
	for _, j := range t.jobs {
		if j.accepted {
			out = append(out, *j)
		}
	}
	return out
}
