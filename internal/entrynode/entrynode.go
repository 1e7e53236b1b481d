// Package entrynode joins the parts of an entry process: the shell that serves
// callers and agents, and the follower of the platform's log that brings
// configuration, claims and the list of entries.
package entrynode

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/claims"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/platformlog"
)

const (
	// ringConfigs is the capacity of the ring of configurations learned from
	// agents. When it is full the newest is dropped: agents that have a newer
	// configuration say so again with their next hello.
	ringConfigs = 64
	// askInterval is how often peers are asked for a configuration while this
	// process has none or misses records.
	askInterval = time.Second
	askTimeout  = 2 * time.Second
)

// Options configure the process.
type Options struct {
	// Entry configures the shell. Its Claims, LearnedConfig, LogStatus,
	// ListenFunc and Incarnation are set here.
	Entry entryd.Options
	// Listen opens a listener; nil means TCP.
	Listen func(role entryd.Listener, addr string) (net.Listener, error)
	// Log is the platform's log.
	Log platformlog.Log
	// Advertise is the peer address that others are told; empty means the
	// address that the peer listener got.
	Advertise string
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ClaimWindow is the age up to which a request's key is accepted.
	ClaimWindow time.Duration
}

// Node is a running entry process.
type Node struct {
	*entryd.Entry
	state   *logstate.State
	ready   chan struct{} // closed when Entry is set
	learned chan wire.ConfigState
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Start brings up the entry. The peer listener is opened first, since its
// address is written to the log.
func Start(opts Options) (*Node, error) {
	if opts.Listen == nil {
		opts.Listen = func(_ entryd.Listener, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	peers, err := opts.Listen(entryd.PeerListener, opts.Entry.PeerListen)
	if err != nil {
		return nil, err
	}
	n := &Node{
		ready:   make(chan struct{}),
		learned: make(chan wire.ConfigState, ringConfigs),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if opts.Entry.Incarnation == 0 {
		opts.Entry.Incarnation = wire.Incarnation(rand.Uint64() | 1)
	}
	n.state = logstate.Start(n.logOptions(&opts, peers.Addr().String()))
	n.Entry, err = entryd.Start(n.entryOptions(&opts, peers))
	if err != nil {
		peers.Close()
		n.cancel()
		close(n.ready)
		n.state.Close()
		return nil, err
	}
	close(n.ready)
	n.wg.Go(n.learnLoop)
	n.wg.Go(n.askLoop)
	return n, nil
}

func (n *Node) logOptions(opts *Options, peerAddr string) logstate.Options {
	if opts.Advertise != "" {
		peerAddr = opts.Advertise
	}
	return logstate.Options{
		Log: opts.Log, Incarnation: opts.Entry.Incarnation, PeerAddr: peerAddr,
		Zone: opts.Entry.Zone, Events: opts.Entry.Log, Retention: opts.Retention,
		Claims:   claims.Options{Window: opts.ClaimWindow},
		OnConfig: n.configure,
		OnEntries: func(list []wire.EntryAddr) {
			if n.started() {
				n.SetEntries(list)
			}
		},
	}
}

func (n *Node) entryOptions(opts *Options, peers net.Listener) entryd.Options {
	o := opts.Entry
	o.Claims = n.state
	o.LogStatus = func() any { return n.state.Status() }
	o.LogGauges = n.logGauges
	o.LearnedConfig = func(c wire.ConfigState) {
		select {
		case n.learned <- c:
		default:
		}
	}
	o.ListenFunc = func(role entryd.Listener, addr string) (net.Listener, error) {
		if role == entryd.PeerListener {
			return peers, nil
		}
		return opts.Listen(role, addr)
	}
	return o
}

// logGauges are the metrics that an alarm on the platform's log needs.
func (n *Node) logGauges() []entryd.Gauge {
	s := n.state.Status()
	return []entryd.Gauge{
		{Name: "limpettrail_log_reachable", Value: flag(s.LogReachable)},
		{Name: "limpettrail_log_lag_milliseconds", Value: s.Lag.Milliseconds()},
		{Name: "limpettrail_log_records_behind", Value: s.Behind},
		{Name: "limpettrail_config_gap", Value: flag(s.ConfigGap)},
		{Name: "limpettrail_claims_live", Value: int64(s.ClaimsLive)},
		{Name: "limpettrail_claims_held", Value: int64(s.ClaimsHeld)},
		{Name: "limpettrail_claims_pending", Value: int64(s.ClaimsPending)},
		{Name: "limpettrail_entries_known", Value: int64(s.Entries)},
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// started waits until the shell runs. It reports false if it never will.
func (n *Node) started() bool {
	<-n.ready
	return n.Entry != nil
}

func (n *Node) configure(version int64, s policy.Settings, encoded []byte) {
	if n.started() {
		n.Configure(s, version, encoded)
	}
}

// learnLoop passes configurations that agents have to the state, which takes
// those with a higher version.
func (n *Node) learnLoop() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case c := <-n.learned:
			n.state.Offer(c.Version, c.State) // an agent's broken state changes nothing
		}
	}
}

// askLoop asks the other entries for their configuration while this process
// has none or cannot read it in full from the log.
func (n *Node) askLoop() {
	t := time.NewTicker(askInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			if s := n.state.Status(); s.ConfigGap || !s.LogReachable {
				n.askPeers()
			}
		}
	}
}

func (n *Node) askPeers() {
	for _, p := range n.KnownEntries() {
		if p.Incarnation == n.Incarnation() {
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
		reply, err := n.PeerConfig(ctx, p.Peer)
		cancel()
		if err == nil && reply.Version > 0 {
			n.state.Offer(reply.Version, reply.State)
		}
	}
}

// Stop drains the entry and then stops following the log, so that claims of
// jobs that end during the drain can still be released.
func (n *Node) Stop(ctx context.Context) error {
	err := n.Entry.Stop(ctx)
	n.close()
	return err
}

// Kill ends the process's work at once.
func (n *Node) Kill() {
	n.Entry.Kill()
	n.close()
}

func (n *Node) close() {
	n.cancel()
	n.state.Close()
	n.wg.Wait()
}
