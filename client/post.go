package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxReplyBytes bounds the size of a reply. An answer holds at most 16 MiB of
// results, and base64 makes results that are not JSON a third larger.
const maxReplyBytes = 32 << 20

// maxDeadline is the longest deadline that an entry accepts.
const maxDeadline = 10 * time.Minute

// ReasonUnreachable is the reason of a refusal if no connection to an entry could
// be opened.
const ReasonUnreachable = "unreachable"

// Outcome is the outcome of a job that did not complete.
type Outcome string

// Values of Outcome.
const (
	// Failed: at least one task ran; no result is returned.
	Failed Outcome = "failed"
	// Refused: no task ran and none will.
	Refused Outcome = "refused"
	// Unknown: at least one task may have run.
	Unknown Outcome = "unknown"
	// Broken: no reply arrived, so the job may be running or have run.
	Broken Outcome = "broken"
)

// Error describes a job that did not complete.
type Error struct {
	Outcome Outcome
	// Reason is machine-readable, Detail is human-readable.
	Reason string
	Detail string
	// Status is the HTTP status, or 0 if no reply arrived.
	Status int
	// RetryAfter is the minimum delay before a retry. A refusal has one only if a
	// retry is safe and may succeed.
	RetryAfter time.Duration
	// Started is the number of tasks known to have run, InDoubt the number of
	// tasks that may have run.
	Started int
	InDoubt int
	// Key is the job's key, with which the job may be submitted again.
	Key      string
	Attempts int
	// Err is the underlying error, for example of the transport if Outcome is
	// Broken.
	Err error

	unsent bool // the connection was not opened, so nothing was sent
}

// withOverallOutcome sets the outcome over all submissions of the job and
// returns e. A refusal does not prove that an earlier submission, whose
// connection broke, did not run. A job that was never sent did not run.
func (e *Error) withOverallOutcome(mayHaveRun bool) *Error {
	switch {
	case mayHaveRun && e.Outcome == Refused:
		e.Outcome = Unknown
	case !mayHaveRun && e.Outcome == Broken:
		e.Outcome, e.Reason = Refused, ReasonUnreachable
	}
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := "limpettrail: job " + e.Key + " " + string(e.Outcome)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// retryable reports whether the job may be resubmitted with the same key.
func (e *Error) retryable() bool {
	return e.Outcome == Broken || (e.Outcome == Refused && e.RetryAfter > 0)
}

// request is the body of a submission.
type request struct {
	Class      string            `json:"class"`
	Team       string            `json:"team,omitempty"`
	Key        string            `json:"key"`
	Idempotent bool              `json:"idempotent"`
	DeadlineMS int64             `json:"deadline_ms,omitempty"`
	Needs      *Needs            `json:"needs,omitempty"`
	Tasks      []json.RawMessage `json:"tasks"`
}

func (c *Client) encode(ctx context.Context, job *Job, start time.Time) ([]byte, error) {
	r := request{
		Class: job.Class, Team: c.opts.Team, Key: job.Key, Idempotent: !job.RunOnce, Tasks: job.Tasks,
	}
	if job.Needs != (Needs{}) {
		r.Needs = &job.Needs
	}
	if left, bounded := timeLeft(ctx, job, start); bounded {
		r.DeadlineMS = max(1, min(left, maxDeadline).Milliseconds())
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("client: encode job: %w", err)
	}
	return body, nil
}

// response is the body of an entry's reply.
type response struct {
	Submission string            `json:"submission"`
	Outcome    string            `json:"outcome"`
	Reason     string            `json:"reason"`
	Detail     string            `json:"detail"`
	Started    int               `json:"started"`
	Unknown    int               `json:"unknown"`
	LongestUS  int64             `json:"longest_run_us"`
	TotalUS    int64             `json:"total_run_us"`
	Results    []json.RawMessage `json:"results"`
	Wrapped    []int             `json:"wrapped"`
}

// post makes one submission.
func (c *Client) post(ctx context.Context, base string, body []byte, tasks int) (*Answer, *Error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Outcome: Refused, Reason: "bad_request", Err: err}
	}
	req.GetBody = nil // keeps the transport from retrying outside the retry budget
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		var opErr *net.OpError
		return nil, &Error{Outcome: Broken, Err: err, unsent: errors.As(err, &opErr) && opErr.Op == "dial"}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, &Error{Outcome: Broken, Status: resp.StatusCode, Err: err}
	}
	return decodeReply(resp, raw, tasks)
}

// decodeReply interprets a reply. A reply that does not come from an entry, for
// example the error page of a load balancer, says nothing about the job.
func decodeReply(resp *http.Response, raw []byte, tasks int) (*Answer, *Error) {
	var r response
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, &Error{Outcome: Broken, Status: resp.StatusCode, Err: fmt.Errorf("reply does not come from an entry: %w", err)}
	}
	switch Outcome(r.Outcome) {
	case "complete":
		if len(r.Results) != tasks {
			return nil, badReply(resp, &r)
		}
		return decodeAnswer(resp, &r)
	case Failed, Refused, Unknown:
		return nil, &Error{
			Outcome: Outcome(r.Outcome), Reason: r.Reason, Detail: r.Detail, Status: resp.StatusCode,
			RetryAfter: retryAfter(resp), Started: r.Started, InDoubt: r.Unknown,
		}
	}
	return nil, &Error{Outcome: Broken, Status: resp.StatusCode, Detail: "reply does not come from an entry"}
}

// decodeAnswer returns the answer of a complete job, with wrapped results
// decoded from base64.
func decodeAnswer(resp *http.Response, r *response) (*Answer, *Error) {
	a := &Answer{
		Submission: r.Submission,
		Results:    make([][]byte, len(r.Results)),
		LongestRun: time.Duration(r.LongestUS) * time.Microsecond,
		TotalRun:   time.Duration(r.TotalUS) * time.Microsecond,
	}
	for i, result := range r.Results {
		a.Results[i] = result
	}
	for _, i := range r.Wrapped {
		var wrapper struct {
			Base64 []byte `json:"base64"`
		}
		if i < 0 || i >= len(a.Results) || json.Unmarshal(a.Results[i], &wrapper) != nil {
			return nil, badReply(resp, r)
		}
		a.Results[i] = wrapper.Base64
	}
	return a, nil
}

// badReply returns the error for an incomplete or malformed answer: the job ran,
// but its results are lost.
func badReply(resp *http.Response, r *response) *Error {
	return &Error{Outcome: Unknown, Status: resp.StatusCode, Reason: "bad_reply", Started: r.Started}
}

// retryAfter returns the Retry-After of a reply, or 0 if it has none.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
