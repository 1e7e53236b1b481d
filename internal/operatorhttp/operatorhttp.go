// Package operatorhttp serves the operators' address of a process: health,
// status, metrics, time line and profiles.
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

// Limits of the operators' server.
const (
	readTimeout     = 5 * time.Second
	maxHeaderBytes  = 16 << 10
	contentTypeText = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeJSON = "application/json"
)

// Options say what a process shows.
type Options struct {
	Log      *eventlog.Log
	Registry gometrics.Registry
	// Status returns a value that is served as JSON at /status.
	Status func() any
	// Healthy and Ready report whether the process works at all and whether it
	// can take work now, with a value that is served as JSON.
	Healthy func() (any, bool)
	Ready   func() (any, bool)
	// Collect, if set, brings the gauges of the registry up to date before
	// they are exported.
	Collect func()
}

// NewServer returns an HTTP server for a handler of this package; the caller
// listens and serves.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the routes.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", probe(opts.Healthy))
	mux.HandleFunc("GET /readyz", probe(opts.Ready))
	mux.HandleFunc("GET /status", opts.status)
	mux.HandleFunc("GET /metrics", opts.metrics)
	mux.HandleFunc("GET /timeline", opts.timeline)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// probe serves a check as 200 or 503 with its value.
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
// parameters submission and peer select events; without them all are served.
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
