// Package agentd runs the agent process. It connects the state machine of
// core/agent to the outside: links to entries, requests to the upstream, and a
// timer.
package agentd

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	tickInterval = 50 * time.Millisecond
	// eventQueueSize is the capacity of the event channel. When it is full, the
	// goroutines that read from entries block, so that the entries experience
	// backpressure on their connections.
	eventQueueSize = 4096
	// linkCloseTimeout bounds how long a stopping agent waits for its entries to
	// read the last frames and close the links.
	linkCloseTimeout = 500 * time.Millisecond
)

// DialFunc opens a connection, for instance a TLS connection.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configure an agent process.
type Options struct {
	// Incarnation identifies this process; 0 means a random one.
	Incarnation wire.Incarnation
	Name        string
	Zone        string
	Rack        string
	// Slots is the number of tasks that the upstream runs at once. It is limited
	// to MaxUpstreamConns, since each running task holds a connection.
	Slots    int
	Capacity wire.Capacity
	// Pool, Labels, NoLeftoverRuns, WorkerIncarnation and TakeoverTime are sent to
	// entries in the hello. See wire.AgentHello.
	Pool              string
	Labels            []string
	NoLeftoverRuns    bool
	WorkerIncarnation int64
	TakeoverTime      time.Duration
	// NewUpstream returns the upstream; nil means that tasks are posted to
	// UpstreamURL. The upstream delivers agent.Finished and agent.Probed by
	// calling report. Times in the actions that it gets, such as
	// agent.Run.PermittedUntil, are readings of clock.
	NewUpstream func(clock bootclock.Clock, report func(agent.Event)) Upstream
	// UpstreamURL is the URL that tasks are posted to.
	UpstreamURL string
	// Entries are the seeds: peer addresses that the agent dials first. One may
	// be the address of a load balancer, provided that the entries list each
	// other in their hellos.
	Entries []string
	// Log receives the events; nil discards them. It should have been created
	// with the same Incarnation.
	Log *eventlog.Log
	// Dial connects to entries, DialUpstream to the upstream. The default is TCP.
	Dial         DialFunc
	DialUpstream DialFunc
	// SilenceTimeout is how long nothing may arrive on a link, or a write to it may
	// block, before the link is closed. Default link.SilenceTimeout.
	SilenceTimeout time.Duration
	// DialTimeout bounds one dial of an entry. Default 1 s.
	DialTimeout time.Duration
	// MaxRedialDelay is the maximum delay between two dials of an entry. Default 5 s.
	MaxRedialDelay time.Duration
	// PruneInterval is the mean interval between checks for excess links. Default
	// 30 s.
	PruneInterval time.Duration
	// ListEvacuations lists the requests to evacuate zones. It is called when the state
	// machine asks for it, on a goroutine of its own and not again before it has returned.
	// It may be nil if Machine.EvacuationBound is 0.
	ListEvacuations func(ctx context.Context) (wire.Evacuations, error)
	// OnEvacuations is called with each newer state. It must not block. It may be nil.
	OnEvacuations func(wire.Evacuations)
	// Machine configures the state machine. Its Incarnation, Zone, Slots and
	// Capacity are replaced with those above.
	Machine agent.Options
}

func (o Options) withDefaults() Options {
	if o.Incarnation == 0 {
		o.Incarnation = wire.Incarnation(rand.Uint64() | 1)
	}
	o.Slots = max(1, min(o.Slots, MaxUpstreamConns))
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.DialUpstream == nil {
		o.DialUpstream = dialTCP
	}
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = link.SilenceTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = dialTimeout
	}
	if o.MaxRedialDelay <= 0 {
		o.MaxRedialDelay = maxRedialDelay
	}
	if o.PruneInterval <= 0 {
		o.PruneInterval = pruneInterval
	}
	o.Machine.Incarnation = o.Incarnation
	o.Machine.Zone = o.Zone
	o.Machine.Slots = o.Slots
	o.Machine.Capacity = o.Capacity
	return o
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// Agent is a running agent.
type Agent struct {
	opts     Options
	clock    bootclock.Clock
	events   chan any
	upstream Upstream
	dialer   *entryDialer
	epoch    atomic.Uint64 // last epoch used, across all links
	// listing is set while ListEvacuations is being called.
	listing       atomic.Bool
	configVersion atomic.Int64 // version of the state machine's configuration
	// capacity is the worker's full capacity, which hellos state.
	capacity atomic.Pointer[wire.Capacity]
	ctx      context.Context
	cancel   context.CancelFunc
	drained  chan struct{}
	wg       sync.WaitGroup
}

// openLink is an open link to an entry. It is also the event that passes a new link
// to the core goroutine.
type openLink struct {
	hello  wire.EntryHello
	epoch  wire.Epoch
	peer   string
	sender *link.Sender[*wire.ToEntry]
	// helloSentAt is when the hello was sent that the entry answered, on Agent.clock, and
	// capacity what it stated.
	helloSentAt time.Duration
	capacity    *wire.Capacity
	// retired is set once the link was retired: nothing is sent any more, and
	// frames are read until the entry closes the link.
	retired bool
}

// finishLinks is the event that makes the core goroutine close every link
// gracefully.
type finishLinks struct{}

// Start starts an agent, which runs until Stop or Kill.
func Start(opts Options) *Agent {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		opts:    opts,
		clock:   bootclock.New(),
		events:  make(chan any, eventQueueSize),
		ctx:     ctx,
		cancel:  cancel,
		drained: make(chan struct{}),
	}
	a.capacity.Store(&opts.Capacity)
	a.upstream = a.newUpstream()
	a.dialer = newEntryDialer(a)
	a.emit(eventlog.AgentStarted, eventlog.Fields{Detail: opts.Name, Count: int64(opts.Slots)})
	a.spawn(a.coreLoop)
	a.spawn(a.tickLoop)
	a.spawn(a.pruneLoop)
	a.dialer.refresh()
	return a
}

// Incarnation returns the incarnation of this process.
func (a *Agent) Incarnation() wire.Incarnation { return a.opts.Incarnation }

func (a *Agent) spawn(f func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f()
	}()
}

func (a *Agent) emit(code eventlog.Code, f eventlog.Fields) { a.opts.Log.Emit(code, f) }

// Stop drains the agent and then ends it: queued tasks are returned as not run,
// running tasks complete, and results are delivered, within the time limits of
// agent.Options. If ctx ends first, Stop ends the agent at once and returns the
// error of ctx.
func (a *Agent) Stop(ctx context.Context) error {
	a.send(agent.Drain{})
	var err error
	select {
	case <-a.drained:
		a.send(finishLinks{})
		a.dialer.waitClosed(linkCloseTimeout)
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.Kill()
	return err
}

// Kill ends the agent at once without draining it, as a crash would.
func (a *Agent) Kill() {
	if a.ctx.Err() == nil {
		a.emit(eventlog.AgentStopped, eventlog.Fields{Detail: a.opts.Name})
	}
	a.cancel()
	a.wg.Wait()
	a.upstream.Close()
}

// WorkerLeaving reports that the worker has announced that it leaves.
func (a *Agent) WorkerLeaving() { a.send(agent.WorkerLeaving{}) }

// SetCapacity reports the capacity that the worker announced with the given sequence
// number.
func (a *Agent) SetCapacity(c wire.Capacity, sequence int64) {
	a.send(agent.CapacityChanged{Capacity: c, Sequence: sequence})
}

// Drain starts draining the agent without ending it: the agent accepts no more
// tasks and delivers the results of those that it has.
func (a *Agent) Drain() { a.send(agent.Drain{}) }

// AddEntries adds entries to the list from which the agent chooses those it connects to.
func (a *Agent) AddEntries(entries []wire.EntryAddr) { a.dialer.learn(entries) }

// Links returns the number of connected entries.
func (a *Agent) Links() int { return a.dialer.linkCount() }

// Upstream runs the tasks of an agent. Its methods are called by the core
// goroutine and must not block for long.
type Upstream interface {
	// Run starts a run and reports agent.Finished exactly once when it ends.
	Run(x *agent.Run)
	// Stop cancels a run. Its end is still reported.
	Stop(x agent.Stop)
	// Permit tells the upstream until when entries permit their runs.
	Permit(x agent.Permissions)
	// Acknowledge tells the upstream that it need not retain a finished run of a
	// stored job any longer.
	Acknowledge(x agent.AcknowledgeRun)
	// Supersede tells the upstream that a finished run of a stored job does not count,
	// so that it may be released once the lease of the runs has expired.
	Supersede(x agent.SupersedeRun)
	// Probe checks whether the upstream is reachable and reports agent.Probed.
	Probe()
	// Close closes every connection. Nothing is reported afterwards.
	Close()
}

func (a *Agent) newUpstream() Upstream {
	report := func(ev agent.Event) { a.send(ev) }
	if a.opts.NewUpstream != nil {
		return a.opts.NewUpstream(a.clock, report)
	}
	return newHTTPUpstream(a)
}

// send delivers an event to the core goroutine unless the agent ends first. It
// blocks while the channel is full.
func (a *Agent) send(ev any) {
	select {
	case a.events <- ev:
	case <-a.ctx.Done():
	}
}

func (a *Agent) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
			select {
			case a.events <- agent.Tick{}:
			default: // the channel is full; a later tick does the same work
			}
		}
	}
}
