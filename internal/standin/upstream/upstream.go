// Package upstream is a stand-in upstream for development and tests: an HTTP
// server that sleeps for the time given in the task's payload and returns a
// digest of the payload.
package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request headers that identify the task.
const (
	HeaderSubmission = "Limpettrail-Submission"
	HeaderTask       = "Limpettrail-Task"
	HeaderClass      = "Limpettrail-Class"
)

const maxPayloadBytes = 1 << 20

// Task is the payload of a task.
type Task struct {
	SleepMicros int64  `json:"sleep_us"`
	Fail        bool   `json:"fail,omitempty"`
	Text        string `json:"text,omitempty"`
	// Key is the key of the non-idempotent request that the task belongs to.
	// It is part of the payload so that the record of starts does not depend on
	// what the dispatcher forwards.
	Key string `json:"key,omitempty"`
}

// TaskStart describes the start of one task as the upstream received it.
type TaskStart struct {
	Submission string // as received in HeaderSubmission
	Task       string // as received in HeaderTask
	Digest     string // SHA-256 of the payload, in hexadecimal
	Key        string // Task.Key of the payload
}

// Reply is the JSON result of a task.
type Reply struct {
	Digest string `json:"digest"` // SHA-256 of the payload, in hexadecimal
}

// Options configure a Server.
type Options struct {
	// SlowFactor multiplies the sleep of every task; 0 means 1.
	SlowFactor float64
	// FailAll makes every task fail immediately.
	FailAll bool
	// OnStart, if set, is called for each task before it runs.
	OnStart func(TaskStart)
}

// Server is a running upstream.
type Server struct {
	opts       Options
	http       *http.Server
	addr       string
	startCount atomic.Int64
}

// Start listens on addr ("127.0.0.1:0" picks a port) and serves.
func Start(addr string, opts Options) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{opts: opts, addr: l.Addr().String()}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s, nil
}

// Addr returns the listening address.
func (s *Server) Addr() string { return s.addr }

// Starts returns the number of tasks that were started.
func (s *Server) Starts() int64 { return s.startCount.Load() }

// Close stops the server immediately.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP runs one task.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.startCount.Add(1)
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	var t Task
	err = json.Unmarshal(body, &t)
	if s.opts.OnStart != nil {
		s.opts.OnStart(TaskStart{
			Submission: r.Header.Get(HeaderSubmission), Task: r.Header.Get(HeaderTask),
			Digest: digest, Key: t.Key,
		})
	}
	if err != nil {
		http.Error(w, "decode payload: "+err.Error(), http.StatusUnprocessableEntity)
		return
	}
	if t.Fail || s.opts.FailAll {
		http.Error(w, "task failed as requested", http.StatusInternalServerError)
		return
	}
	if !s.sleep(r, t) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Reply{Digest: digest})
}

// sleep sleeps for the time in the payload times Options.SlowFactor. It returns
// false if the request is cancelled before the sleep ends.
func (s *Server) sleep(r *http.Request, t Task) bool {
	factor := s.opts.SlowFactor
	if factor == 0 {
		factor = 1
	}
	d := time.Duration(float64(t.SleepMicros)*factor) * time.Microsecond
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
