package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/internal/observer"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

const jobsPath = "/v1/jobs"

// jobRequest is the body of a submission. The types of the entry are not used,
// so that the tool sees the interface as a caller does.
type jobRequest struct {
	Class      string            `json:"class"`
	Key        string            `json:"key,omitempty"`
	Idempotent *bool             `json:"idempotent,omitempty"`
	DeadlineMS int64             `json:"deadline_ms,omitempty"`
	Needs      *jobNeeds         `json:"needs,omitempty"`
	Tasks      []json.RawMessage `json:"tasks"`
}

type jobNeeds struct {
	RunMS int64 `json:"run_ms"`
}

// jobReply is the part of a reply that the tool reads.
type jobReply struct {
	Submission string            `json:"submission"`
	Outcome    string            `json:"outcome"`
	Reason     string            `json:"reason"`
	Results    []json.RawMessage `json:"results"`
}

// prepared is a job with its request encoded.
type prepared struct {
	job     *Job
	name    string
	key     string
	entry   int // index of the entry that it is sent to first
	body    []byte
	digests []string
	bytes   uint64 // of the payloads
}

// attempts returns how often the caller may submit the request.
func (p *prepared) attempts() int {
	if p.key == "" {
		return 1
	}
	return maxAttempts
}

// prepare encodes the request. Each payload carries the request's name and the
// task's index, so that no two payloads have the same digest.
func prepare(j *Job, name string, entry int) (prepared, error) {
	p := prepared{job: j, name: name, entry: entry}
	req := jobRequest{Class: j.Class, DeadlineMS: j.Deadline.Milliseconds()}
	if j.Keyed {
		p.key = fmt.Sprintf("%d-%s", time.Now().UnixMilli(), keyText(name))
		req.Key, req.Idempotent = p.key, new(bool)
	}
	if j.SendDeclared {
		req.Needs = &jobNeeds{RunMS: max(j.Declared.Milliseconds(), 1)}
	}
	for i, run := range j.Runs {
		payload, err := json.Marshal(upstream.Task{
			SleepMicros: run.Microseconds(), Fail: j.Fails, Key: p.key,
			Text: fmt.Sprintf("%s.%d", name, i),
		})
		if err != nil {
			return p, err
		}
		sum := sha256.Sum256(payload)
		p.digests = append(p.digests, hex.EncodeToString(sum[:]))
		req.Tasks = append(req.Tasks, payload)
		p.bytes += uint64(len(payload))
	}
	body, err := json.Marshal(req)
	p.body = body
	return p, err
}

// keyText makes a name usable as a key, which allows fewer characters.
func keyText(name string) string { return strings.NewReplacer("/", ".", "#", ".").Replace(name) }

// ended is how one attempt of a caller ended.
type ended struct {
	answer observer.Answer
	reason string
	bytes  uint64 // of the results
}

var endings = map[string]observer.Ending{
	"complete": observer.Complete, "failed": observer.Failed, "refused": observer.NotRun,
}

func classify(r *jobReply) ended {
	e := ended{reason: r.Reason, answer: observer.Answer{Submission: r.Submission, Ending: observer.Unknown}}
	if known, ok := endings[r.Outcome]; ok {
		e.answer.Ending = known
	}
	for _, raw := range r.Results {
		e.bytes += uint64(len(raw))
		var result upstream.Reply
		if json.Unmarshal(raw, &result) != nil {
			result.Digest = "unreadable"
		}
		e.answer.Results = append(e.answer.Results, result.Digest)
	}
	return e
}
