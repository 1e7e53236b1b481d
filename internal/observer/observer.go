// Package observer checks, independently of the dispatcher, whether the
// dispatcher kept its promises.
//
// Upstreams record each start that they receive, and callers record each request
// and its outcome. Check compares the two records. Nothing in a record comes from
// the dispatcher's own state except the submission ID.
package observer

import (
	"sync"
	"time"
)

// Start is the start of one task as recorded by an upstream.
type Start struct {
	Upstream   string `json:"upstream"`
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Digest     string `json:"digest"` // SHA-256 of the payload, in hexadecimal
	Key        string `json:"key,omitempty"`
}

// Outcome is the outcome of a request as its caller saw it.
type Outcome string

// Outcomes of a request.
const (
	// Complete: the caller received every result.
	Complete Outcome = "complete"
	// Failed: the caller was told that the job ran and failed.
	Failed Outcome = "failed"
	// NotRun: the caller was told that no task ran and none will.
	NotRun Outcome = "not_run"
	// Unknown: the caller was told that the outcome is not known.
	Unknown Outcome = "unknown"
	// Broken: the connection was closed without an answer.
	Broken Outcome = "broken"
	// Abandoned: the caller itself gave up before its deadline.
	Abandoned Outcome = "abandoned"
)

// Request is one request as its caller sent it.
type Request struct {
	// Name identifies the request in the record. Each attempt of a caller to
	// submit a job has its own name.
	Name string
	// Key is set for a non-idempotent request.
	Key string
	// Digests holds the SHA-256 of each task's payload, in task order. Payloads
	// must be unique to the job so that answers that were swapped between jobs are
	// detected.
	Digests  []string
	Deadline time.Duration
}

// Answer is the outcome of a request as recorded by its caller.
type Answer struct {
	Submission string // empty if the reply named none
	Outcome    Outcome
	Results    []string // payload digest of each result, in task order
	Elapsed    time.Duration
}

// Observer collects the records of one test run. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex
	starts     []Start
	requests   []*request
	byName     map[string]*request
	skipStarts bool
}

type request struct {
	Request
	answer  Answer
	answers int // number of answers recorded
}

// New returns an Observer without records.
func New() *Observer { return &Observer{byName: make(map[string]*request)} }

// SkipStartChecks declares that the upstreams do not record starts. Check then
// does not require a start for each result.
func (o *Observer) SkipStartChecks() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.skipStarts = true
}

// RecordStart records a start.
func (o *Observer) RecordStart(s Start) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts = append(o.starts, s)
}

// RecordRequest records a request before it is sent.
func (o *Observer) RecordRequest(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	added := &request{Request: r}
	o.requests = append(o.requests, added)
	o.byName[r.Name] = added
}

// RecordAnswer records the answer to the request with this name. It panics if the
// request was not recorded.
func (o *Observer) RecordAnswer(name string, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.byName[name]
	if r == nil {
		panic("observer: answer to a request that was not recorded as sent: " + name)
	}
	r.answers++
	r.answer = a
}

// Starts returns the number of recorded starts.
func (o *Observer) Starts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.starts)
}

// Answers returns the number of requests that were answered.
func (o *Observer) Answers() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, r := range o.requests {
		n += min(1, r.answers)
	}
	return n
}

// Duplicates returns the number of recorded starts beyond the first of each task.
func (o *Observer) Duplicates() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := make(map[taskID]bool, len(o.starts))
	for _, s := range o.starts {
		seen[taskID{s.Submission, s.Task}] = true
	}
	return len(o.starts) - len(seen)
}

// StartsByUpstream returns the number of recorded starts of each upstream.
func (o *Observer) StartsByUpstream() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range o.starts {
		counts[s.Upstream]++
	}
	return counts
}
