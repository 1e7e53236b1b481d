// Package operatorhttp is the operators' HTTP endpoint of a process: health
// checks, status, metrics, event timeline and profiles.
package operatorhttp

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/metrics"
)

// Limits of the server and content types of its replies.
const (
	readTimeout     = 5 * time.Second
	timelineTimeout = 10 * time.Second
	profileTimeout  = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	contentTypeText = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeJSON = "application/json"
)

// Options configure the endpoint of a process.
type Options struct {
	Log      *eventlog.Log
	Registry gometrics.Registry
	// Status returns the value served as JSON at /status.
	Status func() any
	// Healthy reports whether the process works at all, and Ready whether it
	// accepts work now. Both also return the value served as JSON, at /healthz and
	// /readyz.
	Healthy func() (any, bool)
	Ready   func() (any, bool)
	// Collect, if set, updates the gauges of the registry before they are
	// exported.
	Collect func()
}

// NewServer returns an HTTP server for a handler of this package. The caller
// listens and serves.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the handler of all routes.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", probe(opts.Healthy))
	mux.HandleFunc("GET /readyz", probe(opts.Ready))
	mux.HandleFunc("GET /status", opts.status)
	mux.HandleFunc("GET /metrics", opts.metrics)
	mux.HandleFunc("GET /timeline", oneAtATime(timelineTimeout, opts.timeline))
	profile := func(h http.HandlerFunc) http.HandlerFunc { return oneAtATime(profileTimeout, h) }
	mux.HandleFunc("GET /debug/pprof/", profile(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", profile(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", profile(pprof.Trace))
	return mux
}

// oneAtATime serves a handler whose replies take megabytes one request after the other. A
// client that does not read the reply loses its connection after the timeout.
func oneAtATime(timeout time.Duration, h http.HandlerFunc) http.HandlerFunc {
	slot := make(chan struct{}, 1)
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slot <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slot }()
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout)) // not supported by recorders of tests
		h(w, r)
	}
}

// probe serves the value of a check, with status 200 if it succeeds and 503 if it
// fails.
func probe(check func() (any, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		value, ok := check()
		w.Header().Set("Content-Type", contentTypeJSON)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		json.NewEncoder(w).Encode(value)
	}
}

func (o Options) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentTypeJSON)
	json.NewEncoder(w).Encode(o.Status())
}

func (o Options) metrics(w http.ResponseWriter, _ *http.Request) {
	if o.Collect != nil {
		o.Collect()
	}
	w.Header().Set("Content-Type", contentTypeText)
	metrics.Write(w, o.Registry)
}

// timeline serves recent events as a JSON array, oldest first. The query
// parameters submission and peer filter the events; without them all events are
// served.
func (o Options) timeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	submission, peer := q.Get("submission"), q.Get("peer")
	events := o.Log.Timeline(func(e *timeline.Event) bool {
		return (submission == "" || e.Submission == submission) && (peer == "" || e.Peer == peer)
	})
	if events == nil {
		events = []timeline.Event{}
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	json.NewEncoder(w).Encode(events)
}
