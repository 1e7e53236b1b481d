// Package agentd is the shell of the agent: connections to entries, requests
// to the upstream, and the timer, round the machine in core/agent.
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
	// ringEvents is the capacity of the event ring. A full ring blocks the
	// sender, which holds back the entry through its socket.
	ringEvents = 4096
	// linkCloseBound is how long a stopped agent waits for its entries to read
	// the last frames and close.
	linkCloseBound = 500 * time.Millisecond
)

// DialFunc opens a connection, for instance one wrapped in TLS.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configure an agent process.
type Options struct {
	// Incarnation of this run; 0 draws one.
	Incarnation wire.Incarnation
	Name        string
	Zone        string
	Rack        string
	// Slots is the number of tasks that the upstream runs at once, at most
	// MaxUpstreamConns, since each running task holds a connection.
	Slots    int
	Capacity wire.Capacity
	// Pool names the group of workers that this one belongs to, Clean says that
	// no run of an earlier incarnation is left there. See wire.AgentHello.
	Pool   string
	Labels []string
	Clean  bool
	Life   int64
	Took   time.Duration // see wire.AgentHello
	// NewUpstream makes the connection to the upstream; nil posts tasks to the
	// URL Upstream. report delivers Finished and Probed to the core.
	NewUpstream func(report func(agent.Event)) Upstream
	// Upstream is the URL that tasks are posted to.
	Upstream string
	// Entries are the peer addresses to start from. One may be the address of
	// a balancer, provided that the entries list each other in their hellos.
	Entries []string
	// Log receives the events; nil discards them. Its incarnation should be
	// Incarnation.
	Log *eventlog.Log
	// Dial connects to entries, DialUpstream to the upstream; nil means TCP.
	Dial         DialFunc
	DialUpstream DialFunc
	// SilenceTimeout replaces link.SilenceTimeout, for tests.
	SilenceTimeout time.Duration
	// DialTimeout bounds one dial of an entry. Default 1 s.
	DialTimeout time.Duration
	// MaxRedial is the longest delay between two dials of an entry. Default 5 s.
	MaxRedial time.Duration
	// ShedInterval replaces the interval at which superfluous links are given
	// up, for tests.
	ShedInterval time.Duration
	// Core overrides the machine's durations, for tests. Its Incarnation and
	// Slots are ignored.
	Core agent.Options
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
	if o.MaxRedial <= 0 {
		o.MaxRedial = maxRedial
	}
	if o.ShedInterval <= 0 {
		o.ShedInterval = shedInterval
	}
	o.Core.Incarnation = o.Incarnation
	o.Core.Slots = o.Slots
	o.Core.Capacity = o.Capacity
	return o
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// Agent is a running agent.
type Agent struct {
	opts          Options
	clock         bootclock.Clock
	events        chan any
	upstream      Upstream
	finder        *finder
	epoch         atomic.Uint64 // last epoch used, over all links
	configVersion atomic.Int64  // of the core's configuration
	ctx           context.Context
	cancel        context.CancelFunc
	drained       chan struct{}
	wg            sync.WaitGroup
}

// linkOpened hands a new connection to the core goroutine.
type linkOpened struct {
	hello  wire.EntryHello
	epoch  wire.Epoch
	peer   string
	sender *link.Sender[*wire.ToEntry]
	// retired says that the link was given up and only reads what is left.
	retired bool
}

// finishLinks asks the core goroutine to close every link gracefully.
type finishLinks struct{}

// Start runs an agent until Stop or Kill.
func Start(opts Options) *Agent {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		opts:    opts,
		clock:   bootclock.New(),
		events:  make(chan any, ringEvents),
		ctx:     ctx,
		cancel:  cancel,
		drained: make(chan struct{}),
	}
	a.upstream = a.newUpstream()
	a.finder = newFinder(a)
	a.emit(eventlog.AgentStarted, eventlog.Fields{Detail: opts.Name, Count: int64(opts.Slots)})
	a.goDuty(a.coreLoop)
	a.goDuty(a.tickLoop)
	a.goDuty(a.shedLoop)
	a.finder.refresh()
	return a
}

// Incarnation returns the identity of this run.
func (a *Agent) Incarnation() wire.Incarnation { return a.opts.Incarnation }

func (a *Agent) goDuty(duty func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		duty()
	}()
}

func (a *Agent) emit(code eventlog.Code, f eventlog.Fields) { a.opts.Log.Emit(code, f) }

// Stop drains the agent: queued tasks are handed back, running ones end, and
// results are delivered within the bounds of agent.Options. It returns when
// that is done or ctx ends, whichever is first.
func (a *Agent) Stop(ctx context.Context) error {
	a.send(agent.Drain{})
	var err error
	select {
	case <-a.drained:
		a.send(finishLinks{})
		a.finder.awaitClosed(linkCloseBound)
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.Kill()
	return err
}

// Kill ends the agent at once, as a crash would.
func (a *Agent) Kill() {
	if a.ctx.Err() == nil {
		a.emit(eventlog.AgentStopped, eventlog.Fields{Detail: a.opts.Name})
	}
	a.cancel()
	a.wg.Wait()
	a.upstream.Close()
}

// Drain begins the graceful shutdown without ending the process: the agent
// takes no more work and delivers what it has.
func (a *Agent) Drain() { a.send(agent.Drain{}) }

// Learn adds entries to those that the agent may link to.
func (a *Agent) Learn(entries []wire.EntryAddr) { a.finder.learn(entries) }

// Links returns the number of entries that are connected.
func (a *Agent) Links() int { return a.finder.linkCount() }

// Upstream is how an agent has tasks run. Its methods must not block for long.
type Upstream interface {
	// Run starts a run and reports agent.Finished exactly once when it has ended.
	Run(x *agent.Run)
	// Stop abandons a run, which is still reported.
	Stop(x agent.Stop)
	// Settle releases the end of a stored job's run, which is kept until then.
	Settle(x agent.Settle)
	// Probe reports agent.Probed.
	Probe()
	// Close gives up every connection. Nothing is reported after it.
	Close()
}

func (a *Agent) newUpstream() Upstream {
	report := func(ev agent.Event) { a.send(ev) }
	if a.opts.NewUpstream != nil {
		return a.opts.NewUpstream(report)
	}
	return newRunner(a)
}

// send delivers an event to the core unless the agent ends first.
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
			default: // a later tick does its work
			}
		}
	}
}
