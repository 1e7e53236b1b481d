// Package entryd is the shell of the entry: the callers' HTTP server, the
// agents' connections, the calls between entries and the timer, round the
// machine in core/entry.
package entryd

import (
	"cmp"
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	tickInterval = 10 * time.Millisecond
	// ringEvents is the capacity of the event ring. A full ring blocks the
	// sender: a caller's request or an agent's socket.
	ringEvents        = 8192
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	peerGrace         = 2 * time.Second
	maxHeaderBytes    = 16 << 10
	refusalRetryAfter = time.Second
	recordOverhead    = 512 // bytes of a kept answer beside its results
	maxKeptAnswers    = 100_000
)

// Defaults of Options.
const (
	DefaultMaxRequests     = 4096
	DefaultMaxConnections  = 8192
	DefaultMaxPending      = 256 << 20
	DefaultBodyTimeout     = 30 * time.Second
	DefaultAnswerRetention = 15 * time.Minute
	DefaultAnswerBytes     = 64 << 20
)

// Listener names one of the entry's listeners.
type Listener uint8

// Listeners of an entry.
const (
	CallerListener Listener = iota
	PeerListener
	OperatorListener
)

// Options configure an entry process. Zero values take the defaults.
type Options struct {
	Name string
	Zone string
	// Listen is the callers' address, PeerListen that of agents and other
	// entries, OperatorListen that of operators; empty means no such listener.
	Listen         string
	PeerListen     string
	OperatorListen string
	Scheduler      policy.Scheduler
	// Front replaces the JSON interface on the callers' listener.
	Front func(Submitter) http.Handler
	// Core overrides the machine's durations. Its Incarnation, Scheduler,
	// Observer and bounds are ignored.
	Core entry.Options
	// SilenceTimeout replaces link.SilenceTimeout.
	SilenceTimeout time.Duration
	// Settings are the targets in force until Configure is called.
	Settings policy.Settings
	// Claims obtains claims for requests that are not idempotent. With nil they
	// are refused as not run.
	Claims claimapi.Claims
	// Stored takes what became of the jobs that DriveStored runs; nil if there are
	// none.
	Stored StoredEvents
	// LearnedConfig is called with a newer configuration that an agent has. It
	// must not block.
	LearnedConfig func(wire.ConfigState)
	// ListenFunc opens the listeners. Default net.Listen on TCP.
	ListenFunc func(role Listener, addr string) (net.Listener, error)
	// LogStatus returns what /status shows of the platform's log, LogGauges what
	// /metrics does.
	LogStatus func() any
	LogGauges func() []Gauge
	// DialFunc connects to the peer listener of another entry. Default TCP.
	DialFunc func(ctx context.Context, addr string) (net.Conn, error)
	// Log receives the process's events. It may be nil.
	Log *eventlog.Log
	// Incarnation of this process; 0 draws one at random.
	Incarnation wire.Incarnation
	// MaxRequests bounds the caller requests in progress, MaxConnections the
	// callers' connections, MaxPendingBytes the bodies of requests in progress.
	MaxRequests     int
	MaxConnections  int
	MaxPendingBytes int64
	// BodyTimeout bounds the time in which the body of a request must arrive.
	BodyTimeout time.Duration
	// MaxJobs and MaxTasks bound the jobs in progress and their tasks. Defaults
	// of core/entry.
	MaxJobs  int
	MaxTasks int
	// AnswerRetention and MaxAnswerBytes bound the kept answers of jobs with a key.
	AnswerRetention time.Duration
	MaxAnswerBytes  int64
}

func (o Options) withDefaults() Options {
	if o.ListenFunc == nil {
		o.ListenFunc = func(_ Listener, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if o.DialFunc == nil {
		o.DialFunc = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	if o.Incarnation == 0 {
		o.Incarnation = wire.Incarnation(rand.Uint64() | 1)
	}
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, link.SilenceTimeout)
	o.MaxRequests = cmp.Or(o.MaxRequests, DefaultMaxRequests)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, DefaultMaxPending)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, DefaultBodyTimeout)
	o.AnswerRetention = cmp.Or(o.AnswerRetention, DefaultAnswerRetention)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultAnswerBytes)
	return o
}

// Entry is a running entry.
type Entry struct {
	opts      Options
	clock     bootclock.Clock
	events    chan any
	callers   net.Listener
	peers     net.Listener
	operators net.Listener // nil if there is none
	servers   []*http.Server
	table     *jobTable
	stored    *storedJobs
	log       *eventlog.Log
	metrics   *entryMetrics
	requests  atomic.Int64 // caller requests in progress
	pending   atomic.Int64 // bytes reserved for their bodies
	rpcConns  atomic.Int64
	links     atomic.Int64
	agents    atomic.Int64 // connections on the peer listener
	draining  atomic.Bool
	config    atomic.Pointer[entry.Configured]
	// configuring is held while config is replaced.
	configuring sync.Mutex
	known       atomic.Pointer[[]wire.EntryAddr]
	ctx         context.Context
	cancel      context.CancelFunc
	drained     chan struct{}
	duties      duties
}

// duties counts the goroutines of the process. None starts after stop.
type duties struct {
	mu      sync.Mutex
	stopped bool
	wg      sync.WaitGroup
}

func (d *duties) run(duty func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return false
	}
	d.wg.Go(duty)
	return true
}

func (d *duties) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.wg.Wait()
}

// Start listens and serves until Stop or Kill.
func Start(opts Options) (*Entry, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts: opts, clock: bootclock.New(), log: opts.Log, metrics: newEntryMetrics(),
		events: make(chan any, ringEvents),
		table:  newJobTable(opts.AnswerRetention, opts.MaxAnswerBytes),
		stored: newStoredJobs(),
		ctx:    ctx, cancel: cancel, drained: make(chan struct{}),
	}
	e.known.Store(new([]wire.EntryAddr))
	e.config.Store(&entry.Configured{Settings: opts.Settings})
	if err := e.listen(); err != nil {
		e.closeListeners()
		cancel()
		return nil, err
	}
	e.serve()
	e.log.Emit(eventlog.EntryStarted, eventlog.Fields{Detail: e.Addr(), Peer: e.PeerAddr()})
	return e, nil
}

func (e *Entry) listen() (err error) {
	if e.callers, err = e.opts.ListenFunc(CallerListener, e.opts.Listen); err != nil {
		return err
	}
	if e.peers, err = e.opts.ListenFunc(PeerListener, e.opts.PeerListen); err != nil {
		return err
	}
	if e.opts.OperatorListen != "" {
		e.operators, err = e.opts.ListenFunc(OperatorListener, e.opts.OperatorListen)
	}
	return err
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.peers, e.operators} {
		if l != nil {
			l.Close()
		}
	}
}

func (e *Entry) serve() {
	e.duties.run(e.coreLoop)
	e.duties.run(e.tickLoop)
	e.duties.run(e.acceptLoop)
	e.serveHTTP(limitConnections(e.callers, e.opts.MaxConnections), e.frontHandler())
	if e.operators != nil {
		e.serveHTTP(limitConnections(e.operators, maxOperatorConnections), e.operatorHandler())
	}
}

func (e *Entry) serveHTTP(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	e.servers = append(e.servers, s)
	e.duties.run(func() { s.Serve(l) })
}

// Addr returns the callers' address.
func (e *Entry) Addr() string { return e.callers.Addr().String() }

// PeerAddr returns the address for agents and other entries.
func (e *Entry) PeerAddr() string { return e.peers.Addr().String() }

// OperatorAddr returns the operators' address, empty if there is none.
func (e *Entry) OperatorAddr() string {
	if e.operators == nil {
		return ""
	}
	return e.operators.Addr().String()
}

// Clock returns the clock of the core.
func (e *Entry) Clock() bootclock.Clock { return e.clock }

// Incarnation returns the identity of this run of the process.
func (e *Entry) Incarnation() wire.Incarnation { return e.opts.Incarnation }

// Configure puts a configuration in force here and at the agents. A lower
// version than the one in force has no effect.
//
// The event is in the core's ring before readiness and version show the
// configuration: a job that is submitted because of them finds its class.
func (e *Entry) Configure(settings policy.Settings, version int64, state []byte) {
	e.configuring.Lock()
	defer e.configuring.Unlock()
	old := e.config.Load()
	if version < old.Version {
		return
	}
	next := &entry.Configured{Settings: settings, Version: version, State: state}
	if delta, ok := config.Delta(state, old.Version); ok && old.Version > 0 {
		next.Delta, next.Since = delta, old.Version
	}
	e.send(*next)
	e.config.Store(next)
}

// SetEntries replaces the list of entries that agents are told of and that are
// asked for jobs which this entry does not know.
func (e *Entry) SetEntries(list []wire.EntryAddr) {
	e.known.Store(&list)
	e.send(entry.Entries{List: list})
}

// ConfigVersion returns the version of the configuration in force.
func (e *Entry) ConfigVersion() int64 { return e.config.Load().Version }

// KnownEntries returns the list that SetEntries gave.
func (e *Entry) KnownEntries() []wire.EntryAddr { return *e.known.Load() }

// Stop refuses new jobs, answers those in progress and then ends. If ctx ends
// first, the jobs that are left are not answered.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.draining.Swap(true) {
		e.log.Emit(eventlog.EntryDraining, eventlog.Fields{})
	}
	e.send(entry.Drain{})
	var err error
	select {
	case <-e.drained:
		err = e.servers[0].Shutdown(ctx)
		e.awaitPeers(ctx)
	case <-e.ctx.Done():
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.Kill()
	return err
}

// awaitPeers lets other entries fetch the answers that they wait for. The jobs
// have ended, so their calls return at once.
func (e *Entry) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerGrace)
	defer cancel()
	for e.rpcConns.Load() > 0 && ctx.Err() == nil {
		ctxsleep.For(ctx, tickInterval)
	}
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	if e.ctx.Err() == nil {
		e.log.Emit(eventlog.EntryStopped, eventlog.Fields{})
	}
	e.cancel()
	for _, s := range e.servers {
		s.Close()
	}
	e.closeListeners()
	e.duties.stop()
}

func (e *Entry) now() time.Duration { return e.clock.Now() }

// send hands an event to the core goroutine. It reports false if the process
// ended first.
func (e *Entry) send(ev any) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ctx.Done():
		return false
	}
}
