package fleet

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/keeper"
)

const (
	// configWait is the longest wait of one read of the configuration. A read
	// over a connection that went silent ends about a second later.
	configWait = 1500 * time.Millisecond
	// sourceRetry separates reads that fail.
	sourceRetry = 200 * time.Millisecond
	// listInterval is how often an entry reads the directory.
	listInterval = 2 * time.Second
	// balancerNotice is how long the balancer takes to send new connections
	// elsewhere once the entry says that it is not ready: two checks a second apart.
	balancerNotice = 2200 * time.Millisecond
	// jobReserve is kept of the time that a leaving entry has, for the jobs that
	// it took last: most end within it.
	jobReserve = 2200 * time.Millisecond
	// quietSpell is how long no job may have been in progress for a leaving entry
	// to end before its time.
	quietSpell = 300 * time.Millisecond
	leaveStep  = 50 * time.Millisecond
	// startGrace is how long after its start an entry holds requests back while
	// it is not ready; agents dial again within 0.3 s.
	startGrace = 700 * time.Millisecond
	startStep  = 10 * time.Millisecond
	maxJobs    = 4000
)

// EntryOptions configure an EntryNode.
type EntryOptions struct {
	Name        string
	Zone        string
	Listen      string // for callers
	ReadyListen string // for the balancer's check
	PeerListen  string
	// Operators is the operators' address, empty for none.
	Operators string
	Front     func(entryd.Submitter, StoredJobs) http.Handler
	// JobLog keeps the stored jobs.
	JobLog      keeper.Log
	Configs     ConfigSource
	Directory   Directory
	Log         *eventlog.Log
	Incarnation wire.Incarnation
	// LinkBytes is the bandwidth of the VM's link in bytes a second, 0 if unknown.
	LinkBytes float64
}

// EntryNode is the entry process of one VM.
type EntryNode struct {
	opts    EntryOptions
	started time.Time
	entry   *entryd.Entry
	keeper  *keeper.Keeper
	serving chan struct{} // closed once entry is set
	ready   *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	version int64 // of the configuration in force
	leaving bool
}

// StartEntry listens and serves until Stop or Kill.
func StartEntry(opts EntryOptions) (*EntryNode, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &EntryNode{opts: opts, started: time.Now(), serving: make(chan struct{}), ctx: ctx, cancel: cancel}
	e, err := entryd.Start(entryd.Options{
		Name: opts.Name, Zone: opts.Zone,
		Listen: opts.Listen, PeerListen: opts.PeerListen, OperatorListen: opts.Operators,
		Scheduler: policy.New(policy.Options{Seed: uint64(opts.Incarnation), Zone: opts.Zone, LinkBytes: opts.LinkBytes}),
		Front: func(s entryd.Submitter) http.Handler {
			return n.whileStarting(opts.Front(leavingSubmitter{s, n}, storedJobs{n}))
		},
		Stored:         storedEvents{n},
		LearnedConfig:  n.learned,
		Log:            opts.Log,
		Incarnation:    opts.Incarnation,
		MaxJobs:        maxJobs,
		SilenceTimeout: silenceTimeout,
		Core:           entry.Options{HeartbeatInterval: heartbeatInterval, AgentLease: agentLease},
	})
	if err != nil {
		cancel()
		return nil, err
	}
	n.entry = e
	n.keeper = keeper.Start(keeper.Options{Name: opts.Name, Log: opts.JobLog, Driver: e, Clock: e.Clock(), Events: opts.Log})
	close(n.serving)
	if err := n.serveReady(); err != nil {
		n.Kill()
		return nil, err
	}
	n.wg.Go(n.followConfig)
	n.wg.Go(n.followDirectory)
	return n, nil
}

// followConfig keeps the newest published configuration in force.
func (n *EntryNode) followConfig() {
	failing := false
	for n.ctx.Err() == nil {
		c, err := n.opts.Configs.Next(n.ctx, configWait)
		if c != nil {
			n.apply(c, "store")
		}
		if err != nil && n.ctx.Err() == nil {
			if !failing {
				n.opts.Log.Emit(eventlog.ConfigSourceLost, eventlog.Fields{Err: err})
			}
			failing = true
			ctxsleep.For(n.ctx, sourceRetry)
			continue
		}
		if failing && err == nil {
			failing = false
			n.opts.Log.Emit(eventlog.ConfigSourceBack, eventlog.Fields{})
		}
	}
}

// learned takes a configuration that an agent handed on.
func (n *EntryNode) learned(c wire.ConfigState) {
	conf, err := n.opts.Configs.Decode(c.State)
	if err != nil {
		n.opts.Log.Emit(eventlog.ConfigUnreadable, eventlog.Fields{Count: c.Version, Err: err})
		return
	}
	// The core goroutine calls this and must not wait for its own ring.
	n.wg.Go(func() { n.apply(conf, "agent") })
}

// apply puts a configuration in force unless a newer one is.
func (n *EntryNode) apply(c *Config, from string) {
	select {
	case <-n.serving: // an agent may hand a configuration on while the entry starts
	case <-n.ctx.Done():
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Version <= n.version {
		return
	}
	n.version = c.Version
	n.entry.Configure(c.Settings, c.Version, c.State)
	c.Activate()
	n.opts.Log.Emit(eventlog.ConfigInForce, eventlog.Fields{Count: c.Version, Detail: from + " " + strconv.Itoa(len(c.State)) + " bytes"})
}

// followDirectory publishes this entry's address and tells agents of the others.
func (n *EntryNode) followDirectory() {
	self := EntryAddr{Incarnation: n.entry.Incarnation(), Peer: n.entry.PeerAddr(), Zone: n.opts.Zone}
	known := []EntryAddr{self}
	n.entry.SetEntries(known)
	published := false
	for n.ctx.Err() == nil {
		if !published {
			err := n.opts.Directory.Publish(n.ctx, n.opts.Name, self)
			published = err == nil
			if err != nil {
				n.opts.Log.Emit(eventlog.DirectoryFailed, eventlog.Fields{Detail: "publish", Err: err})
				ctxsleep.For(n.ctx, sourceRetry)
				continue
			}
		}
		if list, err := n.opts.Directory.List(n.ctx); err != nil {
			n.opts.Log.Emit(eventlog.DirectoryFailed, eventlog.Fields{Detail: "list", Err: err})
		} else {
			n.entry.SetEntries(withSelf(list, self))
		}
		ctxsleep.For(n.ctx, listInterval)
	}
}

// withSelf replaces the record of this entry's address, which may be of an
// earlier incarnation.
func withSelf(list []EntryAddr, self EntryAddr) []EntryAddr {
	out := []EntryAddr{self}
	for _, e := range list {
		if e.Peer != self.Peer {
			out = append(out, e)
		}
	}
	return out
}

func (n *EntryNode) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Links returns the number of agents that are connected.
func (n *EntryNode) Links() int { return n.entry.Links() }

// Ready reports whether the entry takes jobs.
func (n *EntryNode) Ready() bool {
	select {
	case <-n.serving:
		return n.entry.Ready() && !n.isLeaving()
	default:
		return false
	}
}

// ConfigVersion returns the version in force.
func (n *EntryNode) ConfigVersion() int64 { return n.entry.ConfigVersion() }

// whileStarting holds requests back until a new process has a configuration and
// a first agent, which takes some tenths of a second. Refusing them would send
// every caller of a restarted entry away.
func (n *EntryNode) whileStarting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-n.serving:
		case <-r.Context().Done():
			return
		}
		for time.Since(n.started) < startGrace && !n.Ready() && r.Context().Err() == nil {
			ctxsleep.For(r.Context(), startStep)
		}
		next.ServeHTTP(w, r)
	})
}

// leavingSubmitter has callers connect elsewhere as soon as the entry leaves.
type leavingSubmitter struct {
	entryd.Submitter
	node *EntryNode
}

// Draining implements entryd.Submitter.
func (s leavingSubmitter) Draining() bool { return s.node.isLeaving() || s.Submitter.Draining() }

// Stop tells the balancer first, serves on until it has noticed, and then ends
// as entryd.Entry.Stop does.
func (n *EntryNode) Stop(ctx context.Context) error {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.opts.Log.Emit(eventlog.EntryLeaving, eventlog.Fields{})
	ctxsleep.For(ctx, balancerNotice)
	n.serveOut(ctx)
	n.leaveJobs(ctx)
	err := n.entry.Stop(ctx)
	n.Kill()
	return err
}

// serveOut takes jobs over the connections that are left until none comes any
// more, or until the time is needed for those in progress. Each reply asks its
// caller to connect elsewhere.
func (n *EntryNode) serveOut(ctx context.Context) {
	deadline, bounded := ctx.Deadline()
	busyAt := time.Now()
	for ctx.Err() == nil && time.Since(busyAt) < quietSpell {
		if bounded && time.Until(deadline) < jobReserve {
			return
		}
		if n.entry.Requests() > 0 {
			busyAt = time.Now()
		}
		ctxsleep.For(ctx, leaveStep)
	}
}

// Kill ends the entry at once.
func (n *EntryNode) Kill() {
	n.cancel()
	if n.ready != nil {
		n.ready.Close()
	}
	if n.keeper != nil {
		n.keeper.Close()
	}
	n.entry.Kill()
	n.wg.Wait()
}
