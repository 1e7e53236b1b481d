// Package logserver is an in-memory substitute for the platform's log, for
// development and tests: an HTTP server with streams, offsets, log time and
// retention. Faults can be injected through Go methods or over HTTP at a control
// address.
package logserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/platformlog"
)

// Options configure a server. Zero values select the defaults.
type Options struct {
	// Listen is the address of the log and Control that of the control server.
	// If Control is empty, no control server is started.
	Listen  string
	Control string
	// Retention is how long records are kept. Default 24 h.
	Retention time.Duration
	// AppendsPerSecond limits the rate of appends to all streams together.
	// Default 400. The burst is a tenth of the appends per second, at least 1.
	// A negative value means no limit.
	AppendsPerSecond float64
	// AppendDelay is the simulated latency of a synced write. Default 3 ms. A
	// negative value means none.
	AppendDelay time.Duration
}

// Defaults of Options.
const (
	DefaultRetention        = 24 * time.Hour
	DefaultAppendsPerSecond = 400
	DefaultAppendDelay      = 3 * time.Millisecond
	readHeaderTimeout       = 5 * time.Second
	burstDivisor            = 10
)

// Faults are injected faults. Each affected append decrements its count.
type Faults struct {
	// Outage makes every request fail with status 503 and without effect.
	Outage bool `json:"outage"`
	// Unresponsive makes every request hang without a reply or effect.
	Unresponsive bool `json:"silent"`
	// LoseReplies is the number of appends that take effect but whose reply is
	// lost.
	LoseReplies int `json:"lose_replies"`
	// LoseRequests is the number of appends whose connection is closed without
	// effect.
	LoseRequests int `json:"lose_requests"`
	// LateAppends is the number of appends whose connection is closed at once
	// and that take effect LateByMillis later.
	LateAppends  int   `json:"late_appends"`
	LateByMillis int64 `json:"late_by_ms"`
	// ReadDelayMillis is added to the latency of every read.
	ReadDelayMillis int64 `json:"read_delay_ms"`
	// AppendDelayMillis is added to the latency of every append.
	AppendDelayMillis int64 `json:"append_delay_ms"`
}

// stream holds the retained records; records[0] has offset base.
type stream struct {
	base    int64
	records []platformlog.Record
	changed chan struct{} // closed and replaced at each append
}

func (s *stream) next() int64 { return s.base + int64(len(s.records)) }

// Server is a running log server.
type Server struct {
	opts     Options
	listener net.Listener
	control  net.Listener
	servers  []*http.Server
	wg       sync.WaitGroup
	stop     chan struct{}

	mu          sync.Mutex
	streams     map[string]*stream
	faults      Faults
	clockOffset time.Duration // log time minus wall-clock time
	lastTime    time.Duration // last log time returned by now
	tokens      float64
	lastRefill  time.Time
	counts      Counts
}

// Counts are totals since Start.
type Counts struct {
	Appends   int64 `json:"appends"` // appends that took effect
	Throttled int64 `json:"throttled"`
	Reads     int64 `json:"reads"`
}

// Start listens and serves until Close.
func Start(opts Options) (*Server, error) {
	if opts.Retention <= 0 {
		opts.Retention = DefaultRetention
	}
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if opts.AppendDelay == 0 {
		opts.AppendDelay = DefaultAppendDelay
	}
	s := &Server{opts: opts, streams: make(map[string]*stream), stop: make(chan struct{}), lastRefill: time.Now()}
	s.tokens = s.burst()
	var err error
	if s.listener, err = net.Listen("tcp", opts.Listen); err != nil {
		return nil, err
	}
	if opts.Control != "" {
		if s.control, err = net.Listen("tcp", opts.Control); err != nil {
			s.listener.Close()
			return nil, err
		}
		s.serve(s.control, s.controlHandler())
	}
	s.serve(s.listener, s.handler())
	return s, nil
}

func (s *Server) serve(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, srv)
	s.wg.Go(func() { srv.Serve(l) })
}

// URL returns the log's base URL.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// ControlURL returns the control server's URL, or "" if there is none.
func (s *Server) ControlURL() string {
	if s.control == nil {
		return ""
	}
	return "http://" + s.control.Addr().String() + "/control"
}

// Close stops the server immediately. All records are lost.
func (s *Server) Close() error {
	close(s.stop)
	for _, srv := range s.servers {
		srv.Close()
	}
	s.wg.Wait()
	return nil
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// AdvanceLogTime moves log time forward by d and removes the records that expire.
func (s *Server) AdvanceLogTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset += max(0, d)
	s.expire()
}

// ExpireBelow removes the records of a stream below an offset.
func (s *Server) ExpireBelow(name string, below int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	n := min(max(0, below-st.base), int64(len(st.records)))
	st.drop(int(n))
}

// Records returns a copy of the retained records of a stream.
func (s *Server) Records(name string) []platformlog.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platformlog.Record(nil), s.stream(name).records...)
}

// Counts returns the totals since Start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// drop removes the oldest n records.
func (s *stream) drop(n int) {
	s.records = s.records[n:]
	s.base += int64(n)
}

func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// now returns log time since 1970, which never decreases. s.mu must be held.
func (s *Server) now() time.Duration {
	wall := time.Duration(time.Now().UnixMicro()) * time.Microsecond
	s.lastTime = max(s.lastTime, wall+s.clockOffset)
	return s.lastTime
}

// expire removes the records of all streams that are older than the retention. s.mu
// must be held.
func (s *Server) expire() {
	limit := s.now() - s.opts.Retention
	for _, st := range s.streams {
		n := 0
		for n < len(st.records) && st.records[n].Time < limit {
			n++
		}
		st.drop(n)
	}
}

func (s *Server) append(name string, id platformlog.RecordID, body []byte) platformlog.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	st := s.stream(name)
	r := platformlog.Record{Offset: st.next(), Time: s.now(), ID: id, Body: body}
	st.records = append(st.records, r)
	close(st.changed)
	st.changed = make(chan struct{})
	s.counts.Appends++
	return platformlog.Position{Offset: r.Offset, Time: r.Time}
}

// burst is the capacity of the token bucket, which starts full.
func (s *Server) burst() float64 { return max(1, s.opts.AppendsPerSecond/burstDivisor) }

// takeToken reports whether the rate limit admits an append. If not, it returns
// the time until a token is available.
func (s *Server) takeToken() (time.Duration, bool) {
	rate := s.opts.AppendsPerSecond
	if rate < 0 {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.burst(), s.tokens+rate*now.Sub(s.lastRefill).Seconds())
	s.lastRefill = now
	if s.tokens < 1 {
		s.counts.Throttled++
		return time.Duration((1 - s.tokens) / rate * float64(time.Second)), false
	}
	s.tokens--
	return 0, true
}
