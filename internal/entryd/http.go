package entryd

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// Reasons of replies that the shell gives.
const (
	ReasonTooManyRequests = "too_many_requests"
	ReasonLogUnavailable  = "log_unavailable"
	ReasonNotConfigured   = "not_configured" // no class is known yet
	ReasonNoSuchJob       = "no_such_job"
	ReasonCancelling      = "cancelling"
	ReasonRunning         = "running"
	ReasonDuplicate       = "duplicate"
	ReasonAnswerExpired   = "answer_expired"
	ReasonOwnerGone       = "owner_gone"
	ReasonOwnerSilent     = "owner_unreachable"
)

func (e *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", e.bounded(e.submitJob))
	mux.HandleFunc("GET /v1/jobs/{job}", e.bounded(e.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{job}", e.bounded(e.deleteJob))
	mux.HandleFunc("/v1/jobs", badMethod)
	mux.HandleFunc("/v1/jobs/{job}", badMethod)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRequestError(w, &RequestError{Status: http.StatusNotFound, Reason: ReasonNotFound, Detail: "no such path"})
	})
	return mux
}

func badMethod(w http.ResponseWriter, r *http.Request) {
	writeRequestError(w, &RequestError{
		Status: http.StatusMethodNotAllowed, Reason: ReasonBadMethod,
		Detail: "use POST /v1/jobs, GET or DELETE /v1/jobs/{job}",
	})
}

// bounded refuses requests beyond MaxRequests as not run.
func (e *Entry) bounded(next http.HandlerFunc) http.HandlerFunc {
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
	body := &meteredBody{pending: &e.pending, limit: e.opts.MaxPendingBytes}
	defer body.release()
	data, reqErr := body.read(w, r, e.opts.BodyTimeout)
	if body.full {
		writeRefusal(w, ReasonTooManyRequests)
		return
	}
	if reqErr != nil {
		writeRequestError(w, reqErr)
		return
	}
	req, reqErr := DecodeJob(data)
	if reqErr != nil {
		writeRequestError(w, reqErr)
		return
	}
	if !e.readiness().Config {
		writeRefusal(w, ReasonNotConfigured)
		return
	}
	if !req.Idempotent && e.opts.Claims == nil {
		writeRefusal(w, ReasonLogUnavailable)
		return
	}
	e.accept(w, r, req)
}

// errPendingFull ends the reading of a body that exceeds the bodies' budget.
var errPendingFull = errors.New("entryd: too many bytes of request bodies")

// meteredBody counts the bytes of a body as they arrive. A stated length is not
// reserved: a few callers that send slowly would use up the budget of all.
type meteredBody struct {
	io.Reader
	pending *atomic.Int64 // bytes of all requests in progress
	limit   int64
	taken   int64
	full    bool
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.taken += int64(n)
	if b.pending.Add(int64(n)) > b.limit {
		b.full = true
		return n, errPendingFull
	}
	return n, err
}

func (b *meteredBody) release() { b.pending.Add(-b.taken) }

// read reads the whole body within timeout. net/http lifts the read deadline
// once the body has ended, so it does not bound the job.
func (b *meteredBody) read(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, *RequestError) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	b.Reader = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	body, err := io.ReadAll(b)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &RequestError{
			Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge, Detail: err.Error(),
		}
	case err != nil:
		return nil, &RequestError{Status: http.StatusRequestTimeout, Reason: ReasonBodyUnread, Detail: err.Error()}
	}
	return body, nil
}

// accept submits the job, or joins the one that the same key names, and waits.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request, req *JobRequest) {
	fresh := newRecord(req)
	rec := e.table.join(fresh)
	if rec == nil {
		writeRequestError(w, &RequestError{
			Status: http.StatusConflict, Reason: ReasonKeyReused,
			Detail: "the key was used for a request with different content",
		})
		return
	}
	if rec == fresh {
		if e.log != nil {
			e.log.Emit(eventlog.JobAccepted, eventlog.Fields{
				Submission: rec.id.String(), Job: req.Key, Class: req.Class, Count: int64(len(req.Tasks)),
				Age: req.Deadline, Version: e.ConfigVersion(),
			})
		}
		e.send(req.submit(rec.id))
	}
	e.await(w, r, rec, fresh.deadline)
}

func newRecord(req *JobRequest) *record {
	rec := &record{
		key:        requestKey{team: req.Team, key: req.Key},
		idempotent: req.Idempotent,
		class:      req.Class,
		accepted:   time.Now(),
		deadline:   time.Now().Add(req.Deadline),
		done:       make(chan struct{}),
	}
	if req.Key != "" {
		rec.fingerprint = req.fingerprint()
	}
	rand.Read(rec.id[:])
	return rec
}

func (r *record) claimRequest() claimapi.ClaimRequest {
	return claimapi.ClaimRequest{Team: r.key.team, Key: r.key.key, Submission: r.id}
}

// await answers the caller. The machine answers the job by its deadline plus
// SettleBound; a caller that joined it may have an earlier deadline. If the
// process ends first the connection is broken: a reply without an answer would
// be an untrue success.
func (e *Entry) await(w http.ResponseWriter, r *http.Request, rec *record, deadline time.Time) {
	patience := time.NewTimer(time.Until(deadline) + 2*entry.DefaultSettleBound)
	defer patience.Stop()
	select {
	case <-rec.done:
		e.table.leave(rec)
		writeAnswer(w, rec.id, &rec.answer)
	case <-patience.C:
		e.table.leave(rec)
		writeAnswer(w, rec.id, &entry.JobAnswer{Outcome: entry.Unknown, Reason: entry.ReasonDeadline})
	case <-r.Context().Done():
		if e.table.leave(rec) {
			e.send(entry.CancelJob{Submission: rec.id})
		}
		panic(http.ErrAbortHandler)
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// getJob returns the state of a job or its kept answer.
func (e *Entry) getJob(w http.ResponseWriter, r *http.Request) {
	name, team := r.PathValue("job"), r.URL.Query().Get("team")
	if rec := e.table.find(name, team); rec != nil {
		writeRecord(w, rec)
		return
	}
	if s := e.askPeers(r.Context(), name, team); s != nil && s.Done {
		writeAnswer(w, s.Submission, &s.Answer)
		return
	} else if s != nil {
		writePending(w, s.Submission, ReasonRunning)
		return
	}
	writeNoSuchJob(w)
}

// deleteJob cancels a job in progress. The answer of one that ended stands.
func (e *Entry) deleteJob(w http.ResponseWriter, r *http.Request) {
	name, team := r.PathValue("job"), r.URL.Query().Get("team")
	rec := e.table.find(name, team)
	switch {
	case rec == nil && e.cancelAtPeers(r.Context(), name, team):
		writePending(w, wire.SubmissionID{}, ReasonCancelling)
	case rec == nil:
		writeNoSuchJob(w)
	case rec.finished():
		writeAnswer(w, rec.id, &rec.answer)
	default:
		e.send(entry.CancelJob{Submission: rec.id})
		writePending(w, rec.id, ReasonCancelling)
	}
}

func writeRecord(w http.ResponseWriter, rec *record) {
	if rec.finished() {
		writeAnswer(w, rec.id, &rec.answer)
		return
	}
	writePending(w, rec.id, ReasonRunning)
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
