package entryd

import (
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/ingressd"
)

// Reasons of replies that this package gives.
const (
	ReasonTooManyRequests  = "too_many_requests"
	ReasonLogUnavailable   = "log_unavailable"
	ReasonNotConfigured    = "not_configured" // no configuration has been received yet
	ReasonNoSuchJob        = "no_such_job"
	ReasonCancelling       = "cancelling"
	ReasonRunning          = "running"
	ReasonDuplicate        = "duplicate"
	ReasonAnswerExpired    = "answer_expired"
	ReasonOwnerGone        = "owner_gone"
	ReasonOwnerUnreachable = "owner_unreachable"
)

// jsonHandler returns the handler of the callers' JSON interface.
func (e *Entry) jsonHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", e.limitRequests(e.submitJob))
	mux.HandleFunc("GET /v1/jobs/{job}", e.limitRequests(e.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{job}", e.limitRequests(e.deleteJob))
	mux.HandleFunc("/v1/jobs", methodNotAllowed)
	mux.HandleFunc("/v1/jobs/{job}", methodNotAllowed)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRequestError(w, &RequestError{Status: http.StatusNotFound, Reason: ReasonNotFound, Detail: "no such path"})
	})
	return mux
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeRequestError(w, &RequestError{
		Status: http.StatusMethodNotAllowed, Reason: ReasonMethodNotAllowed,
		Detail: "use POST /v1/jobs, GET or DELETE /v1/jobs/{job}",
	})
}

// limitRequests refuses requests beyond MaxRequests, before any of their tasks
// runs.
func (e *Entry) limitRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer e.requests.Add(-1)
		if e.requests.Add(1) > int64(e.opts.MaxRequests) {
			writeRefusal(w, ReasonTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (e *Entry) submitJob(w http.ResponseWriter, r *http.Request) {
	data, release, err := e.readBody(w, r)
	defer release()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ingressd.ErrNotGranted):
		writeRefusal(w, ReasonTooManyRequests)
		return
	case errors.As(err, &tooLarge):
		writeRequestError(w, &RequestError{
			Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge, Detail: err.Error(),
		})
		return
	case err != nil:
		writeRequestError(w, &RequestError{Status: http.StatusRequestTimeout, Reason: ReasonBodyNotReceived, Detail: err.Error()})
		return
	}
	conn, decoding := ingressd.ConnOf(r.Context()), ingress.DecodedCost(data)
	if !conn.Charge(decoding) {
		writeRefusal(w, ReasonTooManyRequests)
		return
	}
	req, reqErr := DecodeJob(data)
	if reqErr != nil {
		writeRequestError(w, reqErr)
		return
	}
	// The decoded job has copies, and takes less than decoding it.
	conn.Charge(min(0, req.servedCost()-decoding) - int64(cap(data)))
	if !e.readiness().Config {
		writeRefusal(w, ReasonNotConfigured)
		return
	}
	if !req.Idempotent && e.opts.Claims == nil {
		writeRefusal(w, ReasonLogUnavailable)
		return
	}
	e.submitAndReply(w, r, req)
}

// readBody reads the body of a job and counts its bytes against MaxPendingBytes, until
// release is called. Bytes are counted as they arrive. If the Content-Length were reserved
// in advance, a few slow senders could use up the limit for everyone.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) (data []byte, release func(), err error) {
	counted := int64(0)
	data, err = ingressd.ReadBody(w, r, ingressd.BodyOptions{
		MaxBytes: MaxBodyBytes, Timeout: e.opts.BodyTimeout,
		Count: func(n int) bool {
			counted += int64(n)
			return e.pendingBytes.Add(int64(n)) <= e.opts.MaxPendingBytes
		},
	})
	return data, func() { e.pendingBytes.Add(-counted) }, err
}

// submitAndReply submits the job, or joins an earlier job with the same key, and
// replies with the answer.
func (e *Entry) submitAndReply(w http.ResponseWriter, r *http.Request, req *JobRequest) {
	fresh := newSubmission(req)
	sub := e.table.join(fresh)
	if sub == nil {
		writeRequestError(w, &RequestError{
			Status: http.StatusConflict, Reason: ReasonKeyReused,
			Detail: "the key was used for a request with different content",
		})
		return
	}
	if sub == fresh {
		if e.log != nil {
			e.log.Emit(eventlog.JobAccepted, eventlog.Fields{
				Submission: sub.id.String(), Job: req.Key, Class: req.Class, Count: int64(len(req.Tasks)),
				Age: req.Deadline, Version: e.ConfigVersion(),
			})
		}
		e.send(req.submitEvent(sub.id))
	}
	e.replyWhenAnswered(w, r, sub, fresh.deadline)
}

func newSubmission(req *JobRequest) *submission {
	sub := &submission{
		key:        requestKey{team: req.Team, key: req.Key},
		idempotent: req.Idempotent,
		class:      req.Class,
		accepted:   time.Now(),
		deadline:   time.Now().Add(req.Deadline),
		done:       make(chan struct{}),
	}
	if req.Key != "" {
		sub.fingerprint = req.fingerprint()
	}
	rand.Read(sub.id[:])
	return sub
}

func (sub *submission) claimRequest() claimapi.ClaimRequest {
	return claimapi.ClaimRequest{Team: sub.key.team, Key: sub.key.key, Submission: sub.id}
}

// replyWhenAnswered waits for the answer and writes it to the caller. The machine
// answers a job by its deadline plus entry.Options.SettleTimeout. A caller that
// joined a job may have an earlier deadline than the job and then gets the outcome
// unknown. If the process stops first, the connection is aborted: an empty reply
// would look like a success.
func (e *Entry) replyWhenAnswered(w http.ResponseWriter, r *http.Request, sub *submission, deadline time.Time) {
	timeout := time.NewTimer(time.Until(deadline) + 2*entry.DefaultSettleTimeout)
	defer timeout.Stop()
	select {
	case <-sub.done:
		e.table.removeWaiter(sub)
		writeAnswer(w, sub.id, &sub.answer)
	case <-timeout.C:
		e.table.removeWaiter(sub)
		writeAnswer(w, sub.id, &entry.JobAnswer{Outcome: entry.Unknown, Reason: entry.ReasonDeadline})
	case <-r.Context().Done():
		if e.table.removeWaiter(sub) {
			e.send(entry.CancelJob{Submission: sub.id})
		}
		panic(http.ErrAbortHandler)
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// getJob replies with the state of a job or its kept answer. A job that this entry
// does not have is looked up at the other entries.
func (e *Entry) getJob(w http.ResponseWriter, r *http.Request) {
	name, team := r.PathValue("job"), r.URL.Query().Get("team")
	if sub := e.table.find(name, team); sub != nil {
		writeSubmission(w, sub)
		return
	}
	if s := e.findAtPeers(r.Context(), name, team); s != nil && s.Done {
		writeAnswer(w, s.Submission, &s.Answer)
		return
	} else if s != nil {
		writePending(w, s.Submission, ReasonRunning)
		return
	}
	writeNoSuchJob(w)
}

// deleteJob cancels a job in progress, here or at another entry. For a job that has
// ended here it replies with the kept answer.
func (e *Entry) deleteJob(w http.ResponseWriter, r *http.Request) {
	name, team := r.PathValue("job"), r.URL.Query().Get("team")
	sub := e.table.find(name, team)
	switch {
	case sub == nil && e.cancelAtPeers(r.Context(), name, team):
		writePending(w, wire.SubmissionID{}, ReasonCancelling)
	case sub == nil:
		writeNoSuchJob(w)
	case sub.finished():
		writeAnswer(w, sub.id, &sub.answer)
	default:
		e.send(entry.CancelJob{Submission: sub.id})
		writePending(w, sub.id, ReasonCancelling)
	}
}

func writeSubmission(w http.ResponseWriter, sub *submission) {
	if sub.finished() {
		writeAnswer(w, sub.id, &sub.answer)
		return
	}
	writePending(w, sub.id, ReasonRunning)
}

func writePending(w http.ResponseWriter, id wire.SubmissionID, reason string) {
	body := JobReply{Outcome: OutcomePending, Reason: reason}
	if id != (wire.SubmissionID{}) {
		body.Submission = id.String()
	}
	writeReply(w, http.StatusAccepted, body)
}

func writeNoSuchJob(w http.ResponseWriter) {
	writeReply(w, http.StatusNotFound, JobReply{
		Outcome: entry.Unknown.String(), Reason: ReasonNoSuchJob,
		Detail: "no entry that was reached knows the job or keeps its answer",
	})
}
