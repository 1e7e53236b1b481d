// Package entryd runs the state machine of core/entry in a process. It provides
// the HTTP servers for callers and operators, the connections of agents, the
// calls between entries, the timers and the clock.
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
	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/ingressd"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	tickInterval = 20 * time.Millisecond
	// eventQueueSize is the capacity of the core's event queue. A full queue blocks
	// the sender: the handler of a caller's request or the reader of an agent's
	// connection.
	eventQueueSize      = 8192
	readHeaderTimeout   = 5 * time.Second
	writeTimeout        = 10 * time.Second
	idleTimeout         = 2 * time.Minute
	peerDrainTimeout    = 2 * time.Second
	maxHeaderBytes      = 16 << 10
	refusalRetryAfter   = time.Second
	answerOverheadBytes = 512 // bytes counted for a kept answer in addition to its results
	maxKeptAnswers      = 100_000
)

// Defaults of Options.
const (
	DefaultMaxRequests     = 4096
	DefaultMaxConnections  = 8192
	DefaultMaxPendingBytes = 256 << 20
	DefaultBodyTimeout     = 30 * time.Second
	DefaultAnswerRetention = 15 * time.Minute
	DefaultMaxAnswerBytes  = 64 << 20
)

// ListenerRole is the role of one of the entry's listeners.
type ListenerRole uint8

// Roles of an entry's listeners.
const (
	CallerListener ListenerRole = iota
	PeerListener
	OperatorListener
)

// Options configure an entry process. Zero values mean the defaults.
type Options struct {
	// Name and Zone are sent to agents and shown in the status.
	Name string
	Zone string
	// Listen is the address for callers, PeerListen the one for agents and other
	// entries, OperatorListen the one for operators. If OperatorListen is empty,
	// there is no listener for operators.
	Listen         string
	PeerListen     string
	OperatorListen string
	// Scheduler chooses the agents that run tasks. It must be set.
	Scheduler policy.Scheduler
	// ReportNeighbours asks agents to report what runs beside each run.
	ReportNeighbours bool
	// CallerHandler returns the handler of the callers' listener. If nil, the JSON
	// interface is served.
	CallerHandler func(Submitter) http.Handler
	// KeepHeaders are the headers of requests that CallerHandler reads. The others are dropped
	// from large headers.
	KeepHeaders []string
	// Core overrides the durations of the state machine. Its Incarnation,
	// Scheduler, Observer, MaxJobs and MaxTasks are ignored.
	Core entry.Options
	// SilenceTimeout is how long nothing may arrive from an agent, or a write to it
	// may block, before its connection is closed. The default is
	// link.SilenceTimeout.
	SilenceTimeout time.Duration
	// Settings are in effect until Configure is called.
	Settings policy.Settings
	// Claims obtains claims for requests that are not idempotent. If nil, such
	// requests are refused before any of their tasks runs.
	Claims claimapi.Claims
	// StoredJobObserver is notified of the progress and the end of the jobs that
	// DriveStoredJob runs. It may be nil if DriveStoredJob is never called.
	StoredJobObserver StoredJobObserver
	// OnAgentConfig is called when an agent reports a newer configuration than
	// the one in effect here. It must not block.
	OnAgentConfig func(wire.ConfigState)
	// OnVersionAnnounced is called when an agent announces a newer version of the
	// configuration than all known before. It must not block. It may be nil.
	OnVersionAnnounced func(entry.VersionAnnounced)
	// ListenFunc opens the listeners. The default is net.Listen on TCP.
	ListenFunc func(role ListenerRole, addr string) (net.Listener, error)
	// LogStatus returns the state of the platform's log for /status, LogGauges
	// the gauges of the log for /metrics. Both may be nil.
	LogStatus func() any
	LogGauges func() []Gauge
	// DialFunc connects to the peer listener of another entry. The default is TCP.
	DialFunc func(ctx context.Context, addr string) (net.Conn, error)
	// Log receives the events of the process. It may be nil.
	Log *eventlog.Log
	// Incarnation identifies this run of the process. If 0, a random one is used.
	Incarnation wire.Incarnation
	// Shares are the limits of the listeners. The default is that of a machine whose memory
	// and descriptors are not known.
	Shares ingress.Shares
	// MaxRequests limits the caller requests in progress, MaxConnections the
	// callers' connections beside Shares, and MaxPendingBytes the total size of the bodies
	// of the requests in progress.
	MaxRequests     int
	MaxConnections  int
	MaxPendingBytes int64
	// BodyTimeout is the time within which the body of a request must arrive.
	BodyTimeout time.Duration
	// MaxJobs and MaxTasks limit the jobs in progress and their tasks. The
	// defaults are those of core/entry.
	MaxJobs  int
	MaxTasks int
	// AnswerRetention and MaxAnswerBytes limit the age and the total size of the
	// kept answers of jobs with a key.
	AnswerRetention time.Duration
	MaxAnswerBytes  int64
}

func (o Options) withDefaults() Options {
	if o.ListenFunc == nil {
		o.ListenFunc = func(_ ListenerRole, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
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
	if o.Shares == (ingress.Shares{}) {
		o.Shares, _ = ingress.SharesOf(ingress.Machine{}) // fails only for small machines
	}
	o.MaxRequests = cmp.Or(o.MaxRequests, DefaultMaxRequests)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.Shares.Callers.Connections = min(o.Shares.Callers.Connections, o.MaxConnections)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, DefaultMaxPendingBytes)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, DefaultBodyTimeout)
	o.AnswerRetention = cmp.Or(o.AnswerRetention, DefaultAnswerRetention)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return o
}

// Entry is a running entry.
type Entry struct {
	opts         Options
	clock        bootclock.Clock
	pauses       pauseWatch
	events       chan any
	callers      net.Listener
	peers        net.Listener
	operators    net.Listener // nil if there is none
	callerConns  *idleConns   // of the callers' server
	guards       guards
	frames       *framePool
	lookups      chan struct{}  // holds a value for each lookup at other entries
	servers      []*http.Server // the callers' server, then the operators' if there is one
	table        *jobTable
	waiters      waiters
	driven       *drivenJobs
	log          *eventlog.Log
	metrics      *entryMetrics
	requests     atomic.Int64 // caller requests in progress
	pendingBytes atomic.Int64 // bytes received of their bodies
	rpcConns     atomic.Int64
	links        atomic.Int64
	draining     atomic.Bool
	config       atomic.Pointer[entry.Configured]
	// configMu serializes the updates of config.
	configMu     sync.Mutex
	knownEntries atomic.Pointer[[]wire.EntryAddr]
	ctx          context.Context
	cancel       context.CancelFunc
	drained      chan struct{} // closed when the core is drained
	goroutines   goroutines
}

// goroutines tracks the goroutines of the process. None starts after wait.
type goroutines struct {
	mu      sync.Mutex
	stopped bool
	wg      sync.WaitGroup
}

// start runs f on a new goroutine. It reports false if wait was called.
func (g *goroutines) start(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	g.wg.Go(f)
	return true
}

// wait lets no further goroutine start and returns when all have returned.
func (g *goroutines) wait() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.wg.Wait()
}

// Start opens the listeners and serves until Stop or Kill is called.
func Start(opts Options) (*Entry, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts: opts, clock: bootclock.New(), log: opts.Log, metrics: newEntryMetrics(),
		events: make(chan any, eventQueueSize),
		table:  newJobTable(opts.AnswerRetention, opts.MaxAnswerBytes),
		driven: newDrivenJobs(), callerConns: newIdleConns(), lookups: make(chan struct{}, maxLookups),
		ctx: ctx, cancel: cancel, drained: make(chan struct{}),
	}
	e.knownEntries.Store(new([]wire.EntryAddr))
	e.config.Store(&entry.Configured{Settings: opts.Settings})
	e.guards = e.newGuards()
	e.frames = newFramePool(ctx, opts.Shares.Frames, opts.Log)
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
	e.goroutines.start(e.coreLoop)
	e.goroutines.start(e.tickLoop)
	e.goroutines.start(e.acceptLoop)
	callers := watchedListener{e.guards.callers.Listener(e.callers), e.callerConns}
	e.serveHTTP(e.guards.callers, callers, e.noteArrivals(e.closeWhileDraining(e.callerHandler())), func(c net.Conn, state http.ConnState) {
		e.callerConns.connState(c, state)
		ingressd.ConnState(c, state)
	})
	if e.operators != nil {
		e.serveHTTP(e.guards.operators, e.guards.operators.Listener(e.operators), e.operatorHandler(), ingressd.ConnState)
	}
}

func (e *Entry) serveHTTP(g *ingressd.Guard, l net.Listener, h http.Handler, connState func(net.Conn, http.ConnState)) {
	s := &http.Server{
		Handler: g.Handler(h), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0), ConnState: connState, ConnContext: ingressd.WithConn,
	}
	e.servers = append(e.servers, s)
	e.goroutines.start(func() { s.Serve(l) })
}

// Addr returns the callers' address.
func (e *Entry) Addr() string { return e.callers.Addr().String() }

// PeerAddr returns the address for agents and other entries.
func (e *Entry) PeerAddr() string { return e.peers.Addr().String() }

// OperatorAddr returns the operators' address, or "" if there is none.
func (e *Entry) OperatorAddr() string {
	if e.operators == nil {
		return ""
	}
	return e.operators.Addr().String()
}

// Clock returns the clock that the core uses.
func (e *Entry) Clock() bootclock.Clock { return e.clock }

// Incarnation returns the identity of this run of the process.
func (e *Entry) Incarnation() wire.Incarnation { return e.opts.Incarnation }

// Configure puts a configuration into effect here and at the agents. A version
// lower than the current one is ignored. state is the encoded configuration, which
// is passed on to agents and other entries.
//
// The event is queued for the core before the readiness and the version show the
// new configuration, so a job that is submitted after they changed finds its
// class.
func (e *Entry) Configure(settings policy.Settings, version int64, state []byte) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	old := e.config.Load()
	if version < old.Version {
		return
	}
	next := &entry.Configured{Settings: settings, Version: version, State: state}
	if delta, ok := config.Delta(state, old.Version); ok && old.Version > 0 {
		next.Delta, next.BaseVersion = delta, old.Version
	}
	e.send(*next)
	e.config.Store(next)
}

// EvacuationsRead reports a read of the requests to evacuate zones.
func (e *Entry) EvacuationsRead(x entry.EvacuationsRead) { e.send(x) }

// Evacuations returns the newest known state, or an empty one if the core goroutine does not
// answer within one second.
func (e *Entry) Evacuations() wire.Evacuations {
	s, _ := e.queryCoreStatus()
	return wire.Evacuations{AsOf: s.EvacuationsAsOf, Zones: s.EvacuatedZones}
}

// SetEntries replaces the list of known entries. Agents are sent this list, and
// the entries in it are queried for jobs that this entry does not have.
func (e *Entry) SetEntries(list []wire.EntryAddr) {
	e.knownEntries.Store(&list)
	e.send(entry.EntriesChanged{List: list})
}

// ConfigVersion returns the version of the configuration in effect.
func (e *Entry) ConfigVersion() int64 { return e.config.Load().Version }

// KnownEntries returns the list set by SetEntries.
func (e *Entry) KnownEntries() []wire.EntryAddr { return *e.knownEntries.Load() }

// Stop drains the entry: it refuses new jobs, answers those in progress and then
// stops. If ctx ends first, the remaining jobs are not answered.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.draining.Swap(true) {
		e.log.Emit(eventlog.EntryDraining, eventlog.Fields{})
	}
	e.send(entry.Drain{})
	var err error
	select {
	case <-e.drained:
		err = e.shutdownCallers(ctx)
		e.awaitPeers(ctx)
	case <-e.ctx.Done():
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.Kill()
	return err
}

// awaitPeers waits until the calls of other entries have ended, for at most
// peerDrainTimeout, so that they receive the answers that they wait for. All
// jobs have ended, so these calls return at once.
func (e *Entry) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerDrainTimeout)
	defer cancel()
	for e.rpcConns.Load() > 0 && ctx.Err() == nil {
		ctxsleep.For(ctx, tickInterval)
	}
}

// Kill stops the entry at once without draining it, as a crash would.
func (e *Entry) Kill() {
	if e.ctx.Err() == nil {
		e.log.Emit(eventlog.EntryStopped, eventlog.Fields{})
	}
	e.cancel()
	for _, s := range e.servers {
		s.Close()
	}
	e.closeListeners()
	e.goroutines.wait()
	e.guards.close()
}

func (e *Entry) now() time.Duration { return e.clock.Now() }

// send queues an event for the core goroutine. It blocks while the queue is full
// and reports false if the entry stopped first.
func (e *Entry) send(ev any) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ctx.Done():
		return false
	}
}
