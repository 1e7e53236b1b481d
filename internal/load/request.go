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

// jobRequest is the body of a submission. It is declared here instead of using
// the entry's types, so that the load generator depends on the public interface
// only, as a caller does.
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

// jobReply holds the fields of a reply that the load generator reads.
type jobReply struct {
	Submission string            `json:"submission"`
	Outcome    string            `json:"outcome"`
	Reason     string            `json:"reason"`
	Results    []json.RawMessage `json:"results"`
}

// preparedJob is a job with its encoded request.
type preparedJob struct {
	job          *Job
	name         string
	key          string
	firstEntry   int // index of the entry for the first attempt
	body         []byte
	digests      []string // SHA-256 of each payload, in hexadecimal
	payloadBytes uint64   // total size of the payloads
}

// attempts returns the maximum number of times that the caller submits the
// request.
func (p *preparedJob) attempts() int {
	if p.key == "" {
		return 1
	}
	return maxAttempts
}

// prepareJob encodes the request. Each payload contains the request's name and the
// task's index, so that no two payloads have the same digest.
func prepareJob(j *Job, name string, firstEntry int) (preparedJob, error) {
	p := preparedJob{job: j, name: name, firstEntry: firstEntry}
	req := jobRequest{Class: j.Class, DeadlineMS: j.Deadline.Milliseconds()}
	if j.Keyed {
		p.key = fmt.Sprintf("%d-%s", time.Now().UnixMilli(), keySafe(name))
		req.Key, req.Idempotent = p.key, new(bool)
	}
	if j.SendDeclared {
		req.Needs = &jobNeeds{RunMS: max(j.DeclaredRun.Milliseconds(), 1)}
	}
	for i, run := range j.RunTimes {
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
		p.payloadBytes += uint64(len(payload))
	}
	body, err := json.Marshal(req)
	p.body = body
	return p, err
}

// keySafe replaces the characters of a name that a key may not contain.
func keySafe(name string) string { return strings.NewReplacer("/", ".", "#", ".").Replace(name) }

// attemptResult is the result of one attempt to submit a job.
type attemptResult struct {
	answer      observer.Answer
	reason      string
	resultBytes uint64 // total size of the results
}

// outcomesByName maps the outcome in a reply to the one that the observer
// records; any other outcome is recorded as unknown.
var outcomesByName = map[string]observer.Outcome{
	"complete": observer.Complete, "failed": observer.Failed, "refused": observer.NotRun,
}

// classifyReply converts a reply to an attempt's result.
func classifyReply(r *jobReply) attemptResult {
	res := attemptResult{reason: r.Reason, answer: observer.Answer{Submission: r.Submission, Outcome: observer.Unknown}}
	if outcome, ok := outcomesByName[r.Outcome]; ok {
		res.answer.Outcome = outcome
	}
	for _, raw := range r.Results {
		res.resultBytes += uint64(len(raw))
		var reply upstream.Reply
		if json.Unmarshal(raw, &reply) != nil {
			reply.Digest = "unreadable"
		}
		res.answer.Results = append(res.answer.Results, reply.Digest)
	}
	return res
}
