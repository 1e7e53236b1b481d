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
	// Ready returns nil if the process can take work now; its error is shown
	// at /readyz. A process that answers at all is healthy.
	Ready func() error
}

// NewServer returns the operators' HTTP server; the caller listens and serves.
func NewServer(opts Options) *http.Server {
	return &http.Server{
		Handler:           Handler(opts),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the routes alone.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", opts.readyz)
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

func (o Options) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := o.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

func (o Options) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentTypeJSON)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.Encode(o.Status())
}

func (o Options) metrics(w http.ResponseWriter, _ *http.Request) {
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
