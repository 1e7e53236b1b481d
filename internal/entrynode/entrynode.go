// Package entrynode runs an entry process together with a reader of the platform's
// log. The reader supplies the configuration, the claims and the list of entries.
// Unlike the entry of internal/fleet, it needs no other service of a platform than
// platformlog.Log, keeps no stored jobs and claims the keys of requests.
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
	// configQueueSize is the capacity of the queue of configurations received from
	// agents. A configuration that does not fit is dropped: an agent that has a
	// newer one reports it again in its next hello.
	configQueueSize = 64
	// peerConfigInterval is the interval at which other entries are queried for
	// their configuration while configuration records are missing from the log or
	// the log is unreachable.
	peerConfigInterval = time.Second
	peerConfigTimeout  = 2 * time.Second
)

// Options configure a Node.
type Options struct {
	// Entry configures the entry. Start sets its Claims, OnAgentConfig, LogStatus,
	// LogGauges and ListenFunc, and its Incarnation if that is 0.
	Entry entryd.Options
	// Listen opens the listeners. The default is net.Listen on TCP.
	Listen func(role entryd.ListenerRole, addr string) (net.Listener, error)
	// Log is the platform's log.
	Log platformlog.Log
	// Advertise is the peer address published to other processes. The default is
	// the address of the peer listener.
	Advertise string
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ClaimWindow is the maximum age of a request's key.
	ClaimWindow time.Duration
}

// Node is a running entry process.
type Node struct {
	*entryd.Entry
	state        *logstate.State
	ready        chan struct{} // closed when Entry is set or Start has failed
	agentConfigs chan wire.ConfigState
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// Start starts an entry process. It opens the peer listener first, since the
// address of that listener is written to the log.
func Start(opts Options) (*Node, error) {
	if opts.Listen == nil {
		opts.Listen = func(_ entryd.ListenerRole, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	peers, err := opts.Listen(entryd.PeerListener, opts.Entry.PeerListen)
	if err != nil {
		return nil, err
	}
	n := &Node{
		ready:        make(chan struct{}),
		agentConfigs: make(chan wire.ConfigState, configQueueSize),
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
	n.wg.Go(n.offerAgentConfigs)
	n.wg.Go(n.pollPeerConfigs)
	return n, nil
}

func (n *Node) logOptions(opts *Options, peerAddr string) logstate.Options {
	if opts.Advertise != "" {
		peerAddr = opts.Advertise
	}
	return logstate.Options{
		Log: opts.Log, Incarnation: opts.Entry.Incarnation, PeerAddr: peerAddr,
		Zone: opts.Entry.Zone, Events: opts.Entry.Log, Retention: opts.Retention,
		Claims:   claims.Options{MaxKeyAge: opts.ClaimWindow},
		OnConfig: n.configure,
		OnEntries: func(list []wire.EntryAddr) {
			if n.waitStarted() {
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
	o.OnAgentConfig = func(c wire.ConfigState) {
		select {
		case n.agentConfigs <- c:
		default:
		}
	}
	o.ListenFunc = func(role entryd.ListenerRole, addr string) (net.Listener, error) {
		if role == entryd.PeerListener {
			return peers, nil
		}
		return opts.Listen(role, addr)
	}
	return o
}

// logGauges returns the metrics for alerts on the platform's log.
func (n *Node) logGauges() []entryd.Gauge {
	s := n.state.Status()
	return []entryd.Gauge{
		{Name: "limpettrail_log_reachable", Value: boolGauge(s.LogReachable)},
		{Name: "limpettrail_log_lag_milliseconds", Value: s.Lag.Milliseconds()},
		{Name: "limpettrail_log_records_behind", Value: s.RecordsBehind},
		{Name: "limpettrail_config_gap", Value: boolGauge(s.ConfigGap)},
		{Name: "limpettrail_claims_live", Value: int64(s.ClaimsLive)},
		{Name: "limpettrail_claims_held", Value: int64(s.ClaimsHeld)},
		{Name: "limpettrail_claims_pending", Value: int64(s.ClaimsPending)},
		{Name: "limpettrail_entries_known", Value: int64(s.Entries)},
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// waitStarted waits until the entry has started. It reports false if the start
// failed.
func (n *Node) waitStarted() bool {
	<-n.ready
	return n.Entry != nil
}

func (n *Node) configure(version int64, s policy.Settings, encoded []byte) {
	if n.waitStarted() {
		n.Configure(s, version, encoded)
	}
}

// offerAgentConfigs offers the configurations received from agents to the
// state, which adopts those with a higher version.
func (n *Node) offerAgentConfigs() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case c := <-n.agentConfigs:
			n.state.OfferConfig(c.Version, c.State) // a malformed configuration has no effect
		}
	}
}

// pollPeerConfigs queries the other entries for their configuration while this
// process cannot read it in full from the log.
func (n *Node) pollPeerConfigs() {
	t := time.NewTicker(peerConfigInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			if s := n.state.Status(); s.ConfigGap || !s.LogReachable {
				n.fetchPeerConfigs()
			}
		}
	}
}

func (n *Node) fetchPeerConfigs() {
	for _, p := range n.KnownEntries() {
		if p.Incarnation == n.Incarnation() {
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, peerConfigTimeout)
		reply, err := n.PeerConfig(ctx, p.Peer)
		cancel()
		if err == nil && reply.Version > 0 {
			n.state.OfferConfig(reply.Version, reply.State)
		}
	}
}

// Stop drains the entry and then stops reading the log. In this order, the claims
// of jobs that end during the drain can still be released.
func (n *Node) Stop(ctx context.Context) error {
	err := n.Entry.Stop(ctx)
	n.close()
	return err
}

// Kill stops the entry and the log reader at once, without draining.
func (n *Node) Kill() {
	n.Entry.Kill()
	n.close()
}

func (n *Node) close() {
	n.cancel()
	n.state.Close()
	n.wg.Wait()
}
