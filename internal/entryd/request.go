package entryd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Limits of a request, and its default deadline.
const (
	MaxBodyBytes    = 8 << 20
	MaxPayloadBytes = 1 << 20 // of one task
	MaxNameBytes    = 100     // of a class or team
	MaxKeyBytes     = 200
	DefaultDeadline = 30 * time.Second
	MaxDeadline     = 10 * time.Minute
	maxNeed         = int64(1) << 53 // of each field of Needs
)

// Reasons of requests that are refused however often they are sent unchanged.
const (
	ReasonBadJSON          = "bad_json"
	ReasonUnknownField     = "unknown_field"
	ReasonDuplicateField   = "duplicate_field"
	ReasonTrailingData     = "trailing_data"
	ReasonBadClass         = "bad_class"
	ReasonBadTeam          = "bad_team"
	ReasonBadKey           = "bad_key"
	ReasonBadDeadline      = "bad_deadline"
	ReasonBadNeeds         = "bad_needs"
	ReasonBadTasks         = "bad_tasks"
	ReasonBodyTooLarge     = "body_too_large"
	ReasonBodyNotReceived  = "body_not_received"
	ReasonKeyReused        = "key_reused"
	ReasonNotFound         = "not_found"
	ReasonMethodNotAllowed = "method_not_allowed"
)

// RequestError is the reason why a request is refused before it is processed.
type RequestError struct {
	Status int // HTTP status, 4xx
	Reason string
	Detail string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason + ": " + e.Detail }

func badRequest(reason, format string, args ...any) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Needs are the declared resource requirements of the largest task of a job.
type Needs struct {
	MilliCores   int64 // thousandths of a processor core
	MemoryMB     int64 // MiB
	Accelerators int64 // whole devices
	RunMS        int64 // run time in milliseconds
}

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Class      string
	Team       string
	Key        string
	Idempotent bool
	Deadline   time.Duration
	Needs      Needs
	Tasks      []json.RawMessage
}

// DecodeJob parses and validates the body of POST /v1/jobs. Field names are
// matched exactly. A repeated or unknown field is an error, except within task
// payloads, which are not interpreted.
func DecodeJob(body []byte) (*JobRequest, *RequestError) {
	req := &JobRequest{Idempotent: true, Deadline: DefaultDeadline}
	d := json.NewDecoder(bytes.NewReader(body))
	if err := decodeObject(d, "", req.decodeField); err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, badRequest(ReasonTrailingData, "data after the job object")
	}
	if err := req.validate(); err != nil {
		return nil, err
	}
	return req, nil
}

// decodeObject reads one JSON object and calls field for each of its members.
func decodeObject(d *json.Decoder, prefix string, field func(*json.Decoder, string) error) *RequestError {
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return badRequest(ReasonBadJSON, "%s: want an object", objectName(prefix))
	}
	seen := make(map[string]bool, 8)
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return badRequest(ReasonBadJSON, "%s: %v", objectName(prefix), err)
		}
		name := t.(string)
		if seen[name] {
			return badRequest(ReasonDuplicateField, "%s%s", prefix, name)
		}
		seen[name] = true
		if err := asRequestError(field(d, name), prefix+name); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return badRequest(ReasonBadJSON, "%s: %v", objectName(prefix), err)
	}
	return nil
}

// objectName returns the name of the object with the given field prefix, for error
// texts.
func objectName(prefix string) string {
	if prefix == "" {
		return "body"
	}
	return strings.TrimSuffix(prefix, ".")
}

var errUnknownField = errors.New("unknown field")

func asRequestError(err error, name string) *RequestError {
	var re *RequestError
	var te *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &re):
		return re
	case errors.Is(err, errUnknownField):
		return badRequest(ReasonUnknownField, "%s", name)
	case errors.As(err, &te):
		return badRequest(ReasonBadJSON, "%s: got a JSON %s", name, te.Value)
	}
	return badRequest(ReasonBadJSON, "%s: %v", name, err)
}

// decodeField decodes the value of one field of the job object.
func (r *JobRequest) decodeField(d *json.Decoder, name string) error {
	switch name {
	case "class":
		return d.Decode(&r.Class)
	case "team":
		return d.Decode(&r.Team)
	case "key":
		return d.Decode(&r.Key)
	case "idempotent":
		return d.Decode(&r.Idempotent)
	case "deadline_ms":
		var ms int64
		err := d.Decode(&ms)
		if err == nil && (ms <= 0 || ms > MaxDeadline.Milliseconds()) {
			return badRequest(ReasonBadDeadline, "deadline_ms: got %d, want 1 to %d", ms, MaxDeadline.Milliseconds())
		}
		r.Deadline = time.Duration(ms) * time.Millisecond
		return err
	case "needs":
		if err := decodeObject(d, "needs.", r.Needs.decodeField); err != nil {
			return err
		}
		return nil
	case "tasks":
		return d.Decode((*payloads)(&r.Tasks))
	}
	return errUnknownField
}

// payloads are the elements of tasks. UnmarshalJSON counts them before it decodes them, so that
// no more are kept than a job may have.
type payloads []json.RawMessage

// UnmarshalJSON implements json.Unmarshaler.
func (p *payloads) UnmarshalJSON(data []byte) error {
	if n := arrayLen(data); n > wire.MaxTasksPerJob {
		return badTasks(n)
	}
	return json.Unmarshal(data, (*[]json.RawMessage)(p))
}

// arrayLen returns the number of elements of a valid JSON array, 0 for other values.
func arrayLen(data []byte) int {
	if len(data) == 0 || data[0] != '[' || len(bytes.TrimSpace(data[1:len(data)-1])) == 0 {
		return 0
	}
	commas, depth, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++ // skips the escaped byte
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			commas++
		}
	}
	return commas + 1
}

func badTasks(count int) *RequestError {
	return badRequest(ReasonBadTasks, "tasks: got %d, want 1 to %d", count, wire.MaxTasksPerJob)
}

// decodeField decodes the value of one field of the needs object.
func (n *Needs) decodeField(d *json.Decoder, name string) error {
	fields := map[string]*int64{
		"millicores": &n.MilliCores, "memory_mb": &n.MemoryMB,
		"accelerators": &n.Accelerators, "run_ms": &n.RunMS,
	}
	v, ok := fields[name]
	if !ok {
		return errUnknownField
	}
	err := d.Decode(v)
	if err == nil && (*v < 0 || *v > maxNeed) {
		return badRequest(ReasonBadNeeds, "needs.%s: got %d, want 0 or more", name, *v)
	}
	return err
}

func (r *JobRequest) validate() *RequestError {
	switch {
	case r.Class == "" || len(r.Class) > MaxNameBytes:
		return badRequest(ReasonBadClass, "class: want 1 to %d bytes", MaxNameBytes)
	case len(r.Team) > MaxNameBytes:
		return badRequest(ReasonBadTeam, "team: want at most %d bytes", MaxNameBytes)
	case len(r.Tasks) == 0 || len(r.Tasks) > wire.MaxTasksPerJob:
		return badTasks(len(r.Tasks))
	case r.Needs.RunMS > MaxDeadline.Milliseconds():
		return badRequest(ReasonBadNeeds, "needs.run_ms: got %d, want at most %d", r.Needs.RunMS, MaxDeadline.Milliseconds())
	case !validKey(r.Key):
		return badRequest(ReasonBadKey, "key: want at most %d of A-Z a-z 0-9 . _ ~ : -", MaxKeyBytes)
	case !r.Idempotent && !hasTimestamp(r.Key):
		return badRequest(ReasonBadKey, "key: a request that is not idempotent needs <unix milliseconds>-<unique text>")
	}
	for i, t := range r.Tasks {
		if len(t) > MaxPayloadBytes {
			return badRequest(ReasonBadTasks, "tasks[%d]: got %d bytes, want at most %d", i, len(t), MaxPayloadBytes)
		}
	}
	return nil
}

// servedCost returns how much memory the request takes until it is answered.
func (r *JobRequest) servedCost() int64 {
	size := len(r.Class) + len(r.Team) + len(r.Key)
	for _, t := range r.Tasks {
		size += cap(t)
	}
	return ingress.ServedCost(int64(size), 0, len(r.Tasks))
}

// validKey reports whether key is empty or needs no escaping in a URL path.
func validKey(key string) bool {
	for _, c := range []byte(key) {
		alnum := c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
		if !alnum && !strings.ContainsRune("._~:-", rune(c)) {
			return false
		}
	}
	return len(key) <= MaxKeyBytes
}

// hasTimestamp reports whether key has the form <unix milliseconds>-<unique text>.
func hasTimestamp(key string) bool {
	millis, unique, ok := strings.Cut(key, "-")
	n, err := strconv.ParseUint(millis, 10, 53)
	return ok && unique != "" && err == nil && n > 0
}

// fingerprint returns a hash of the content. It detects a key that is reused for
// a different request.
func (r *JobRequest) fingerprint() uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%q %t %d", r.Class, r.Idempotent, len(r.Tasks))
	for _, t := range r.Tasks {
		fmt.Fprintf(h, " %d ", len(t))
		h.Write(t)
	}
	return h.Sum64()
}

// submitEvent returns the event that submits the job to the machine.
func (r *JobRequest) submitEvent(id wire.SubmissionID) entry.Submit {
	s := entry.Submit{
		Submission: id, Class: r.Class, Team: r.Team,
		Deadline: r.Deadline, NeedsClaim: !r.Idempotent,
		Need: wire.Capacity{
			MilliCores: r.Needs.MilliCores, MemoryMB: r.Needs.MemoryMB, Accelerators: r.Needs.Accelerators,
		},
		DeclaredRunTime: time.Duration(r.Needs.RunMS) * time.Millisecond,
		Payloads:        make([][]byte, len(r.Tasks)),
	}
	for i, t := range r.Tasks {
		s.Payloads[i] = t
	}
	return s
}
