// Package observer judges, independently of the dispatcher, whether its
// promises were kept.
//
// Upstreams record each start they really saw, callers record each request and
// how it ended. Judge compares the two records. Nothing in a record comes from
// the dispatcher's own state except the submission's identity.
package observer

import (
	"sync"
	"time"
)

// Start is one start that an upstream saw.
type Start struct {
	Upstream   string `json:"upstream"`
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Digest     string `json:"digest"` // SHA-256 of the payload, in hexadecimal
	Key        string `json:"key,omitempty"`
}

// Ending is how a request ended at its caller.
type Ending string

// Endings of a request.
const (
	// Complete: the caller got every result.
	Complete Ending = "complete"
	// Failed: the caller was told that the job ran and failed.
	Failed Ending = "failed"
	// NotRun: the caller was told that no task ran and none will.
	NotRun Ending = "not_run"
	// Unknown: the caller was told that the outcome is not known.
	Unknown Ending = "unknown"
	// Broken: the connection ended without an answer.
	Broken Ending = "broken"
	// Abandoned: the caller itself gave up before its deadline.
	Abandoned Ending = "abandoned"
)

// Request is one request as its caller sent it.
type Request struct {
	// Name identifies the request in the record; each attempt of a caller to
	// submit has its own.
	Name string
	// Key is set for a non-idempotent request.
	Key string
	// Digests holds the SHA-256 of each task's payload, in order. Payloads must
	// be unique to the caller's job so that crossed answers are recognised.
	Digests  []string
	Deadline time.Duration
}

// Answer is what the caller got.
type Answer struct {
	Submission string // empty if the reply named none
	Ending     Ending
	Results    []string // digest of each result, in order
	Took       time.Duration
}

// Observer collects the record of one run. It is safe for concurrent use.
type Observer struct {
	mu       sync.Mutex
	starts   []Start
	requests []*request
	byName   map[string]*request
	noStarts bool
}

type request struct {
	Request
	answer Answer
	ended  int // number of answers recorded
}

// New returns an empty record.
func New() *Observer { return &Observer{byName: make(map[string]*request)} }

// WithoutStarts says that the upstreams are not observed. Judge then checks
// only what callers see.
func (o *Observer) WithoutStarts() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noStarts = true
}

// Started records a start.
func (o *Observer) Started(s Start) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts = append(o.starts, s)
}

// Sent records a request before it is sent.
func (o *Observer) Sent(r Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &request{Request: r}
	o.requests = append(o.requests, e)
	o.byName[r.Name] = e
}

// Answered records how the request of that name ended.
func (o *Observer) Answered(name string, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.byName[name]
	if r == nil {
		panic("observer: answer to a request that was never sent: " + name)
	}
	r.ended++
	r.answer = a
}

// Starts returns the number of starts on record.
func (o *Observer) Starts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.starts)
}

// Duplicates returns the number of starts beyond the first of each task.
func (o *Observer) Duplicates() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := make(map[taskID]bool, len(o.starts))
	for _, s := range o.starts {
		seen[taskID{s.Submission, s.Task}] = true
	}
	return len(o.starts) - len(seen)
}

// StartsBy returns the number of starts at each upstream.
func (o *Observer) StartsBy() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	by := make(map[string]int)
	for _, s := range o.starts {
		by[s.Upstream]++
	}
	return by
}
