package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// jobRequest is the body of a job.
type jobRequest struct {
	Spec        string  `json:"spec"`
	Phases      []phase `json:"phases"`
	BestEffort  bool    `json:"bestEffort,omitempty"`
	LongRunning bool    `json:"longRunning,omitempty"`
	RepeatCount int     `json:"repeatCount,omitempty"`
	StartAtMs   int64   `json:"startAtMs,omitempty"`
	IntervalMs  int64   `json:"intervalMs,omitempty"`
}

// phase is one step of a job.
type phase struct {
	Count          int   `json:"count"`
	CPU            int64 `json:"cpu"`
	MemMb          int64 `json:"memMb"`
	EstimatedMs    int64 `json:"estimatedMs,omitempty"`
	MaxUnavailable int   `json:"maxUnavailable,omitempty"`
	AntiAffinity   int   `json:"antiAffinity,omitempty"`
	// Requirements is a label that the worker must have.
	Requirements string `json:"requirements,omitempty"`
}

// specOf returns the spec of tasks that run for d. The stand-in of the worker reads it.
func specOf(d time.Duration) string { return fmt.Sprintf("run %d ms", d.Milliseconds()) }

// newID returns the ID of a new job.
func (s *system) newID() string { return fmt.Sprintf("%016x", s.ids.Add(1)) }

// call sends a request about a job, or a queue if id is empty, to an entry. The status
// is 0 if no answer came before the deadline.
func (s *system) call(entry int, method, id string, body any, deadline time.Duration) (int, string) {
	// The caller waits a little longer than it says, for the answer to arrive.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+200*time.Millisecond)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err) // cannot fail: all values can be encoded
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.addr(entry, portClients)+queuePath+id, bytes.NewReader(data))
	if err != nil {
		panic(err) // cannot fail: the address is valid
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// callRecorded is call with a line in the record.
func (s *system) callRecorded(entry int, method, id string, body any, deadline time.Duration) (int, string) {
	sent := time.Now()
	status, text := s.call(entry, method, id, body, deadline)
	s.rec.printf("%s %s%s at %s: %d %s, after %v", method, queuePath, id, s.name(entry), status, text, time.Since(sent).Round(time.Millisecond))
	return status, text
}

// submitUntilAccepted hands a job in, again after an answer that does not tell the
// outcome, until it is accepted or limit has passed.
func (s *system) submitUntilAccepted(entry int, id string, job *jobRequest, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status, _ := s.callRecorded(entry, http.MethodPost, id, job, 1500*time.Millisecond); status == http.StatusOK {
			return true
		}
	}
	return false
}

// state returns the state of a job as an entry shows it, "" if it shows none.
func (s *system) state(entry int, id string) string {
	status, text := s.call(entry, http.MethodGet, id, nil, time.Second)
	var reply struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &reply) != nil {
		return ""
	}
	return reply.State
}
