package entryd

import (
	"context"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// Job is a job submitted through Submitter rather than the JSON interface. It is
// identified by the caller's name for it. If the same job is submitted again while
// it is in progress, the second submission waits for the answer of the first. A
// job that ended with an outcome other than complete runs again when it is
// resubmitted.
type Job struct {
	Name            string // the caller's name for the job
	Class           string
	Deadline        time.Duration // time until the caller stops waiting
	Need            wire.Capacity // of each task
	DeclaredRunTime time.Duration // declared run time of the longest task, 0 if unknown
	MaxFailedRuns   int           // see entry.Submit.MaxFailedRuns
	Payloads        [][]byte      // one for each task
	Steps           []entry.Step  // see entry.Submit.Steps
}

// Submitter is the interface of an entry for the handler made by Options.CallerHandler.
type Submitter interface {
	// Submit runs a job and returns its answer. If ctx ends or the process stops
	// first, ok is false and the handler must abort the caller's connection.
	Submit(ctx context.Context, j *Job) (a entry.JobAnswer, ok bool)
	// Draining reports whether the process is being drained before it stops.
	Draining() bool
}

// Submit implements Submitter.
func (e *Entry) Submit(ctx context.Context, j *Job) (entry.JobAnswer, bool) {
	defer e.requests.Add(-1)
	if e.requests.Add(1) > int64(e.opts.MaxRequests) {
		return entry.JobAnswer{Outcome: entry.Refused, Reason: ReasonTooManyRequests, RetryAfter: refusalRetryAfter}, true
	}
	receivedAt, waited, ok := e.awaitSettled(ctx)
	if !ok {
		return entry.JobAnswer{}, false
	}
	// The machine may have been suspended as a whole, and the kernel have got the request
	// only afterwards, so the time of the pause counts as well.
	age := sinceArrival(ctx, receivedAt)
	arrivedAt := max(1, receivedAt-age) // 0 means now to the machine
	waited = max(waited, age)
	if waited > 0 {
		shortened := *j
		shortened.Deadline -= waited
		j = &shortened
	}
	fresh := j.newSubmission()
	sub := e.table.join(fresh)
	if sub == nil {
		return entry.JobAnswer{Outcome: entry.Refused, Reason: ReasonKeyReused}, true
	}
	w := e.waiters.add(ctx, sub)
	if sub == fresh {
		if e.log != nil {
			e.log.Emit(eventlog.JobAccepted, eventlog.Fields{
				Submission: sub.id.String(), Job: j.Name, Class: j.Class, Count: int64(len(j.Payloads)),
				Duration: j.DeclaredRunTime, Age: j.Deadline, Version: e.ConfigVersion(),
			})
		}
		e.send(callerJob{sub, j.submitEvent(sub.id, receivedAt, arrivedAt)})
	}
	return e.waitForAnswer(ctx, w)
}

// Draining implements Submitter.
func (e *Entry) Draining() bool { return e.draining.Load() }

// waitForAnswer returns the submission's answer. It reports false if ctx ends or the
// process stops first. A job is cancelled when its last waiter is gone.
func (e *Entry) waitForAnswer(ctx context.Context, w *waiter) (entry.JobAnswer, bool) {
	select {
	case <-w.sub.done:
		if e.waiters.remove(w) {
			e.table.removeWaiter(w.sub)
		}
		return w.sub.answer, true
	case <-ctx.Done():
		e.waiters.leave(w)
		e.send(callersLeft{})
	case <-e.ctx.Done():
	}
	e.waiters.remove(w)
	return entry.JobAnswer{}, false
}

// newSubmission returns a submission whose key is the job's name.
func (j *Job) newSubmission() *submission {
	r := JobRequest{Class: j.Class, Key: j.Name, Idempotent: true, Deadline: j.Deadline}
	for _, p := range j.Payloads {
		r.Tasks = append(r.Tasks, p)
	}
	return newSubmission(&r)
}

// submitEvent returns the event that submits the job to the machine. The job's deadline counts
// from receivedAt.
func (j *Job) submitEvent(id wire.SubmissionID, receivedAt, arrivedAt time.Duration) entry.Submit {
	return entry.Submit{
		Submission: id, Class: j.Class, Deadline: j.Deadline + receivedAt - arrivedAt, ReceivedAt: arrivedAt, Need: j.Need, DeclaredRunTime: j.DeclaredRunTime,
		Payloads: j.Payloads, Job: j.Name, MaxFailedRuns: j.MaxFailedRuns, Steps: j.Steps,
	}
}

// callerHandler returns the handler of the callers' listener.
func (e *Entry) callerHandler() http.Handler {
	if e.opts.CallerHandler != nil {
		return e.opts.CallerHandler(e)
	}
	return e.jsonHandler()
}
