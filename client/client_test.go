package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/client"
)

const okBody = `{"outcome":"complete","submission":"s","results":[{"a":1},{"base64":"/wA="}],"wrapped":[1]}`

// scriptedEntry is an entry that answers submissions with the given steps, in
// order.
type scriptedEntry struct {
	mu sync.Mutex
	// A step is "ok", "break" (closes the connection), "later" (refuses with a
	// Retry-After), "wait" (never answers) or the body of a reply with status 500.
	steps []string
	keys  []string // key of each request, or "cancel"
	*httptest.Server
}

func startScriptedEntry(t *testing.T, steps ...string) *scriptedEntry {
	s := &scriptedEntry{steps: steps}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch step := s.nextStep(r); step {
		case "cancel":
		case "break":
			panic(http.ErrAbortHandler)
		case "ok":
			io.WriteString(w, okBody)
		case "later":
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(503)
			io.WriteString(w, `{"outcome":"refused","reason":"overload"}`)
		case "wait":
			<-r.Context().Done()
		default:
			w.WriteHeader(500)
			io.WriteString(w, step)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// nextStep records the key of the request and returns the step that answers it.
func (s *scriptedEntry) nextStep(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodDelete {
		s.keys = append(s.keys, "cancel")
		return "cancel"
	}
	var job struct{ Key string }
	json.Unmarshal(body, &job)
	s.keys = append(s.keys, job.Key)
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

// requestKeys returns the keys in the order of the requests, with "cancel" for a
// cancellation.
func (s *scriptedEntry) requestKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.keys)
}

func newClient(t *testing.T, o client.Options, entries ...string) *client.Client {
	o.Entries = entries
	o.BackoffMin, o.BackoffMax = time.Millisecond, 2*time.Millisecond
	c, err := client.New(o)
	assert.NilError(t, err)
	c.RecordRetryDelays(func(time.Duration) {})
	return c
}

var job = client.Job{Class: "c", RunOnce: true, Tasks: []json.RawMessage{[]byte("1"), []byte("2")}}

// Guards against unsafe resubmissions, resubmissions with a new key, and an
// outcome that hides an earlier submission which may have run.
func TestJobsAreResubmittedOnlyWhenSafe(t *testing.T) {
	cases := []struct {
		steps    []string
		outcome  client.Outcome // empty for complete
		attempts int
	}{
		{[]string{"ok"}, "", 1},
		{[]string{"later", "ok"}, "", 2},
		{[]string{"break", "break", "ok"}, "", 3},
		{[]string{"<html>busy</html>", "ok"}, "", 2},
		{[]string{`{"outcome":"refused","reason":"bad_class"}`}, client.Refused, 1},
		{[]string{`{"outcome":"failed","reason":"task_failed"}`}, client.Failed, 1},
		{[]string{`{"outcome":"unknown"}`}, client.Unknown, 1},
		{[]string{`{"outcome":"complete","results":[1]}`}, client.Unknown, 1},
		{[]string{"later", "later", "later"}, client.Refused, 3},
		{[]string{"break", "break", "break"}, client.Broken, 3},
		{[]string{"break", `{"outcome":"refused","reason":"bad_key"}`}, client.Unknown, 2},
	}
	for _, c := range cases {
		s := startScriptedEntry(t, c.steps...)
		answer, err := newClient(t, client.Options{MaxAttempts: 3}, s.URL).Submit(context.Background(), job)
		var failure *client.Error
		if errors.As(err, &failure) {
			assert.Equal(t, failure.Outcome, c.outcome, "%v: %v", c.steps, err)
			assert.Equal(t, failure.Attempts, c.attempts)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, c.outcome, client.Outcome(""))
			assert.Equal(t, answer.Attempts, c.attempts)
			assert.DeepEqual(t, answer.Results, [][]byte{[]byte(`{"a":1}`), {0xff, 0}})
		}
		keys := s.requestKeys()
		for _, key := range keys {
			assert.Assert(t, key != "" && key == keys[0])
		}
	}
}

// Guards against resubmissions that multiply the load on a failed entry.
func TestRetryBudgetBoundsResubmissions(t *testing.T) {
	var steps []string
	for range 40 {
		steps = append(steps, "later")
	}
	s := startScriptedEntry(t, steps...)
	c := newClient(t, client.Options{RetryFloor: 2}, s.URL)
	for range 20 {
		c.Submit(context.Background(), job)
	}
	assert.Assert(t, len(s.requestKeys()) <= 24, "%d submissions of 20 jobs", len(s.requestKeys()))
}

// Guards against a client that keeps using an unreachable entry, and against the
// outcome "may have run" when nothing was sent.
func TestUnreachableEntryIsSkipped(t *testing.T) {
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	s := startScriptedEntry(t, "ok", "ok", "ok", "ok")
	c := newClient(t, client.Options{MaxAttempts: 1}, unreachable.URL, s.URL, unreachable.URL)
	for range 4 {
		_, err := c.Submit(context.Background(), job)
		assert.NilError(t, err)
	}
	_, err := newClient(t, client.Options{}, unreachable.URL).Submit(context.Background(), job)
	var failure *client.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Outcome, client.Refused)
	assert.Equal(t, failure.Reason, client.ReasonUnreachable)
}

// Guards against a job that continues to run after its caller cancelled it.
func TestCancelledContextCancelsTheJob(t *testing.T) {
	s := startScriptedEntry(t, "wait")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient(t, client.Options{}, s.URL).Submit(ctx, job)
	assert.ErrorIs(t, err, context.Canceled)
	s.Close()
	keys := s.requestKeys()
	assert.Equal(t, keys[len(keys)-1], "cancel")
}

// Guards against a resubmission before the entry's Retry-After, and against one
// that cannot be answered before the caller's deadline.
func TestRetryAfterIsHonoured(t *testing.T) {
	s := startScriptedEntry(t, "later", "ok", "later")
	c := newClient(t, client.Options{}, s.URL)
	var delays []time.Duration
	c.RecordRetryDelays(func(d time.Duration) { delays = append(delays, d) })
	_, err := c.Submit(context.Background(), job)
	assert.NilError(t, err)
	shortJob := job
	shortJob.Deadline = 500 * time.Millisecond
	_, err = c.Submit(context.Background(), shortJob)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(delays), 1)
	assert.Assert(t, delays[0] >= time.Second && delays[0] < 2*time.Second)
}
