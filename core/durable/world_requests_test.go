package durable_test

import (
	"strings"

	"github.com/limpettrail/limpettrail/core/durable"
)

// callerRequests counts the submissions, or the cancellations, of one job.
type callerRequests struct{ made, refused int }

// cancel requests the cancellation of a job at a process.
func (w *world) cancel(p *process, job string) {
	w.cancelled[job] = true
	p.inbox = append(p.inbox, durable.Cancel{Token: w.newToken(p, job, "c"+job), Job: job})
}

// newToken returns the token of a request to a process about a job whose record has a key
// that begins so.
func (w *world) newToken(p *process, job, key string) uint64 {
	w.lastNumber++
	p.tokens[w.lastNumber] = job
	w.keyOfToken[w.lastNumber] = key
	if w.requests[key] == nil {
		w.requests[key] = new(callerRequests)
	}
	w.requests[key].made++
	return w.lastNumber
}

// isSubmission reports whether the request with the token is a submission.
func (w *world) isSubmission(token uint64) bool { return w.keyOfToken[token][0] == 'j' }

// requireAllAnswered checks that each request to a process that still runs got one answer.
func (w *world) requireAllAnswered() {
	for _, p := range w.processes {
		for token, job := range p.tokens {
			if n := w.replies[token]; n != 1 {
				w.t.Fatalf("%s: request %d (%s) about %s got %d answers, want 1", p.name, token, w.keyOfToken[token], job, n)
			}
		}
	}
}

// requireRefusedNotRecorded checks that the log holds no record of a job or cancellation
// of which every request was refused.
func (w *world) requireRefusedNotRecorded() {
	for _, r := range w.records {
		for key, n := range w.requests {
			if n.refused == n.made && strings.HasPrefix(r.Key, key) {
				w.t.Fatalf("%v: all %d requests were refused, and record %d has the key %q", key, n.made, r.Offset, r.Key)
			}
		}
	}
}
