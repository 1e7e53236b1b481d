package entryd

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	maxBodyBytes    = 8 << 20
	defaultDeadline = 30 * time.Second
	maxDeadline     = 10 * time.Minute
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Class      string            `json:"class"`
	Team       string            `json:"team,omitempty"`
	DeadlineMS int64             `json:"deadline_ms,omitempty"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// JobReply is the body of every reply to a submission.
type JobReply struct {
	Submission string            `json:"submission,omitempty"`
	Outcome    string            `json:"outcome"`
	Reason     string            `json:"reason,omitempty"`
	Detail     string            `json:"detail,omitempty"`
	Results    []json.RawMessage `json:"results,omitempty"`
	Started    int               `json:"started"`
	Unknown    int               `json:"unknown"`
	LongestUS  int64             `json:"longest_run_us"`
	TotalUS    int64             `json:"total_run_us"`
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", e.submitJob)
	return mux
}

func (e *Entry) submitJob(w http.ResponseWriter, r *http.Request) {
	submit, err := parseJob(w, r)
	if err != nil {
		reply(w, http.StatusBadRequest, JobReply{
			Outcome: entry.Refused.String(), Reason: "bad_request", Detail: err.Error(),
		})
		return
	}
	rand.Read(submit.Submission[:])
	answer := make(chan entry.JobAnswer, 1)
	e.send(submission{submit: submit, answer: answer})
	select {
	case a := <-answer:
		writeAnswer(w, submit.Submission, a)
	case <-r.Context().Done():
		e.send(entry.CancelJob{Submission: submit.Submission})
	case <-e.ctx.Done():
	}
}

func parseJob(w http.ResponseWriter, r *http.Request) (entry.Submit, error) {
	var req JobRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		return entry.Submit{}, err
	}
	if len(req.Tasks) == 0 || len(req.Tasks) > wire.MaxTasksPerJob {
		return entry.Submit{}, fmt.Errorf("tasks: got %d, want 1 to %d", len(req.Tasks), wire.MaxTasksPerJob)
	}
	deadline := time.Duration(req.DeadlineMS) * time.Millisecond
	if deadline == 0 {
		deadline = defaultDeadline
	}
	if deadline < 0 || deadline > maxDeadline {
		return entry.Submit{}, fmt.Errorf("deadline_ms: got %d, want 1 to %d", req.DeadlineMS, maxDeadline.Milliseconds())
	}
	submit := entry.Submit{Class: req.Class, Team: req.Team, Deadline: deadline}
	for _, t := range req.Tasks {
		submit.Payloads = append(submit.Payloads, t)
	}
	return submit, nil
}

func writeAnswer(w http.ResponseWriter, id wire.SubmissionID, a entry.JobAnswer) {
	body := JobReply{
		Submission: id.String(), Outcome: a.Outcome.String(), Reason: a.Reason,
		Started: a.Started, Unknown: a.Unknown,
		LongestUS: a.LongestRun.Microseconds(), TotalUS: a.TotalRun.Microseconds(),
	}
	for _, result := range a.Results {
		body.Results = append(body.Results, result)
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	reply(w, status(a), body)
}

func status(a entry.JobAnswer) int {
	switch a.Outcome {
	case entry.Complete:
		return http.StatusOK
	case entry.Failed:
		return http.StatusBadGateway
	case entry.Unknown:
		return http.StatusGatewayTimeout
	}
	if a.RetryAfter > 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

func reply(w http.ResponseWriter, code int, body JobReply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}
