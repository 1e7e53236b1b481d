package entryd

import (
	"context"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// Job is a job that a front end submits in place of the JSON interface. It is
// run under its caller's name: sent again while it is in progress, it joins the
// first; sent again after it was not complete, it is run again.
type Job struct {
	Name     string // the caller's
	Class    string
	Deadline time.Duration // time left until the caller gives up
	Need     wire.Capacity // of each task
	Declared time.Duration // run time of the longest task, 0 if not known
	Attempts int           // see entry.Submit
	Payloads [][]byte      // one for each task
	Steps    []entry.Step  // see entry.Submit
}

// Submitter is what a front end needs of an entry.
type Submitter interface {
	// Submit runs a job and returns its answer. ok is false if ctx or the
	// process ended first; the caller's connection is then to be broken off.
	Submit(ctx context.Context, j *Job) (a entry.JobAnswer, ok bool)
	// Draining reports whether the process is about to end.
	Draining() bool
}

// Submit implements Submitter.
func (e *Entry) Submit(ctx context.Context, j *Job) (entry.JobAnswer, bool) {
	defer e.requests.Add(-1)
	if e.requests.Add(1) > int64(e.opts.MaxRequests) {
		return entry.JobAnswer{Outcome: entry.Refused, Reason: ReasonTooManyRequests, RetryAfter: refusalRetryAfter}, true
	}
	fresh := j.record()
	rec := e.table.join(fresh)
	if rec == nil {
		return entry.JobAnswer{Outcome: entry.Refused, Reason: ReasonKeyReused}, true
	}
	if rec == fresh {
		if e.log != nil {
			e.log.Emit(eventlog.JobAccepted, eventlog.Fields{
				Submission: rec.id.String(), Job: j.Name, Class: j.Class, Count: int64(len(j.Payloads)),
				Duration: j.Declared, Age: j.Deadline, Version: e.ConfigVersion(),
			})
		}
		e.send(j.submit(rec.id))
	}
	return e.wait(ctx, rec)
}

// Draining implements Submitter.
func (e *Entry) Draining() bool { return e.draining.Load() }

// wait returns the record's answer. A job that nobody waits for is cancelled.
func (e *Entry) wait(ctx context.Context, rec *record) (entry.JobAnswer, bool) {
	select {
	case <-rec.done:
		e.table.leave(rec)
		return rec.answer, true
	case <-ctx.Done():
		if e.table.abandon(rec) {
			e.send(entry.CancelJob{Submission: rec.id})
		}
	case <-e.ctx.Done():
	}
	return entry.JobAnswer{}, false
}

func (j *Job) record() *record {
	r := JobRequest{Class: j.Class, Key: j.Name, Idempotent: true, Deadline: j.Deadline}
	for _, p := range j.Payloads {
		r.Tasks = append(r.Tasks, p)
	}
	return newRecord(&r)
}

func (j *Job) submit(id wire.SubmissionID) entry.Submit {
	return entry.Submit{
		Submission: id, Class: j.Class, Deadline: j.Deadline, Need: j.Need, Declared: j.Declared,
		Payloads: j.Payloads, Job: j.Name, Attempts: j.Attempts, Steps: j.Steps,
	}
}

// frontHandler returns the callers' interface.
func (e *Entry) frontHandler() http.Handler {
	if e.opts.Front != nil {
		return e.opts.Front(e)
	}
	return e.callerHandler()
}
