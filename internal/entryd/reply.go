package entryd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// OutcomePending is the outcome of a job that is still in progress.
const OutcomePending = "pending"

// JobReply is the body of every reply to a caller.
type JobReply struct {
	Submission string `json:"submission,omitempty"`
	// Outcome is complete, failed, refused, unknown or pending.
	Outcome string `json:"outcome"`
	// Reason is a machine-readable word, empty for complete.
	Reason string `json:"reason,omitempty"`
	// Detail is a description for humans.
	Detail string `json:"detail,omitempty"`
	// Started counts the tasks known to have run, Unknown those that may have run.
	Started int `json:"started"`
	Unknown int `json:"unknown"`
	// LongestUS is the longest and TotalUS the total observed run time of the
	// tasks, in microseconds.
	LongestUS int64 `json:"longest_run_us"`
	TotalUS   int64 `json:"total_run_us"`
	// Results holds one result per task, in the order of the tasks. It is set
	// only if the outcome is complete. A result that is valid JSON is included
	// unchanged. Any other result is the object {"base64": "..."}, and its index
	// is listed in Wrapped.
	Results []json.RawMessage `json:"results,omitempty"`
	Wrapped []int             `json:"wrapped,omitempty"`
}

// base64Result encodes a result that is not valid JSON.
type base64Result struct {
	Base64 []byte `json:"base64"`
}

// encodeAnswer returns the body of the reply. Results that are valid JSON are
// copied byte for byte, which json.Marshal would not do.
func encodeAnswer(id wire.SubmissionID, a *entry.JobAnswer) ([]byte, error) {
	head := JobReply{
		Submission: id.String(), Outcome: a.Outcome.String(), Reason: a.Reason,
		Started: a.Started, Unknown: a.Unknown,
		LongestUS: a.LongestRun.Microseconds(), TotalUS: a.TotalRun.Microseconds(),
	}
	results, wrapped, err := encodeResults(a.Results)
	if err != nil {
		return nil, err
	}
	head.Wrapped = wrapped
	body, err := json.Marshal(head)
	if err != nil || a.Outcome != entry.Complete {
		return body, err
	}
	body = append(body[:len(body)-1], `,"results":[`...)
	for i, r := range results {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, r...)
	}
	return append(body, "]}"...), nil
}

// encodeResults returns the results as JSON and the indexes of those that it had
// to wrap.
func encodeResults(results [][]byte) (out [][]byte, wrapped []int, err error) {
	out = make([][]byte, len(results))
	for i, r := range results {
		out[i] = r
		if json.Valid(r) {
			continue
		}
		wrapped = append(wrapped, i)
		if out[i], err = json.Marshal(base64Result{Base64: append([]byte{}, r...)}); err != nil {
			return nil, nil, err
		}
	}
	return out, wrapped, nil
}

// httpStatus maps an answer to its HTTP status.
func httpStatus(a *entry.JobAnswer) int {
	switch {
	case a.Outcome == entry.Complete:
		return http.StatusOK
	case a.Outcome == entry.Failed:
		return http.StatusBadGateway
	case a.Outcome == entry.Unknown:
		return http.StatusGatewayTimeout
	case a.Reason == entry.ReasonCancelled:
		return http.StatusConflict
	case a.RetryAfter <= 0:
		return http.StatusUnprocessableEntity
	case a.Reason == policy.RefusedQuota.String():
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func writeAnswer(w http.ResponseWriter, id wire.SubmissionID, a *entry.JobAnswer) {
	body, err := encodeAnswer(id, a)
	if err != nil {
		writeReply(w, http.StatusInternalServerError, JobReply{
			Submission: id.String(), Outcome: entry.Unknown.String(), Reason: "encoding", Detail: err.Error(),
		})
		return
	}
	setRetryAfter(w, a.RetryAfter)
	writeBody(w, httpStatus(a), body)
}

// setRetryAfter sets the Retry-After header to d, in whole seconds rounded up, if
// a retry is safe and may succeed.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
}

func writeReply(w http.ResponseWriter, status int, body JobReply) {
	b, err := json.Marshal(body)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"outcome":"unknown","reason":"encoding"}`)
	}
	writeBody(w, status, b)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func writeRequestError(w http.ResponseWriter, e *RequestError) {
	writeReply(w, e.Status, JobReply{Outcome: entry.Refused.String(), Reason: e.Reason, Detail: e.Detail})
}

// writeRefusal refuses a request of which no task has run, so a retry is safe.
func writeRefusal(w http.ResponseWriter, reason string) {
	setRetryAfter(w, refusalRetryAfter)
	writeReply(w, http.StatusServiceUnavailable, JobReply{Outcome: entry.Refused.String(), Reason: reason})
}
