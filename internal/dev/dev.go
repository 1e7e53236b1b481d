// Package dev runs a complete system in one process: the stand-in for the
// platform's log, entries, agents and stand-in upstreams, connected by sockets on
// loopback.
package dev

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/entrynode"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/operator"
	"github.com/limpettrail/limpettrail/internal/operatorhttp"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
	"github.com/limpettrail/limpettrail/platformlog"
)

// Options configure the system. The defaults are 3 entries and 11 agents with 8
// slots each. There are always 3 workers per rack and 3 availability zones.
type Options struct {
	Entries int
	Agents  int
	Slots   int // slots of each agent
	// NewScheduler returns the scheduler of the entry with this index. The default is
	// the adaptive scheduler.
	NewScheduler func(entry int) policy.Scheduler
	Settings     policy.Settings
	// LogRetention is how long the stand-in for the log keeps records. 0 selects its
	// default.
	LogRetention time.Duration
	// Logger receives the events of all processes. If it is nil, events are only in
	// the timelines.
	Logger *zap.Logger
	// ServeOperators opens an operator address for each entry and agent.
	ServeOperators bool
	// Upstream returns the options of an upstream. If it is nil, upstreams have the
	// default behaviour.
	Upstream func(agent int) upstream.Options
	// Relay, if set, creates a relay for each entry. Agents and other entries
	// connect to the relay instead of the entry's peer address.
	Relay func(entry int) (Relay, error)
	// UpstreamRelay, if set, returns the address of a relay to the upstream with this
	// address. The agent connects to the relay instead of the upstream.
	UpstreamRelay func(upstream string) (string, error)
}

// Relay forwards connections to a target, which is set after the relay is created.
type Relay interface {
	Addr() string
	SetTarget(addr string)
}

const (
	defaultEntries = 3
	defaultAgents  = 11
	defaultSlots   = 8
	rackSize       = 3
	zoneCount      = 3
	loopback       = "127.0.0.1:0"
)

// System is a running system. Upstreams[i] belongs to Agents[i].
type System struct {
	Log       *logserver.Server
	Entries   []*entrynode.Node
	Agents    []*agentd.Agent
	Upstreams []*upstream.Server
	// OperatorAddrs are the operator addresses, those of the entries first.
	OperatorAddrs   []string
	operatorServers []*http.Server // of the agents
	entryAddrs      []string       // peer addresses of the entries or of their relays
}

// Start starts the system. The caller must stop it with Stop.
func Start(opts Options) (*System, error) {
	opts = withDefaults(opts)
	s := &System{}
	if err := s.startLog(opts); err != nil {
		return nil, errors.Join(err, s.Stop(context.Background()))
	}
	if err := s.startEntries(opts); err != nil {
		return nil, errors.Join(err, s.Stop(context.Background()))
	}
	if err := s.startAgents(opts); err != nil {
		return nil, errors.Join(err, s.Stop(context.Background()))
	}
	return s, nil
}

func withDefaults(o Options) Options {
	if o.Entries == 0 {
		o.Entries = defaultEntries
	}
	if o.Agents == 0 {
		o.Agents = defaultAgents
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.NewScheduler == nil {
		o.NewScheduler = func(i int) policy.Scheduler {
			return policy.New(policy.Options{Seed: uint64(i), Zone: Zone(i)})
		}
	}
	if len(o.Settings.Classes) == 0 {
		o.Settings.Classes = SampleClasses()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Upstream == nil {
		o.Upstream = func(int) upstream.Options { return upstream.Options{} }
	}
	return o
}

// SampleClasses returns the default classes of a development system.
func SampleClasses() []policy.Class {
	return []policy.Class{
		{Name: "quote", ResponseTarget: 800 * time.Millisecond, TargetShare: 0.99},
		{Name: "render", ResponseTarget: 5 * time.Second, TargetShare: 0.95},
	}
}

// startLog starts the stand-in for the log and publishes the settings in it.
func (s *System) startLog(opts Options) error {
	var err error
	s.Log, err = logserver.Start(logserver.Options{Listen: loopback, Control: loopback, Retention: opts.LogRetention})
	if err != nil {
		return err
	}
	return PublishSettings(s.Log.URL(), opts.Settings)
}

// PublishSettings publishes settings in the log at logURL.
func PublishSettings(logURL string, settings policy.Settings) error {
	client := platformlog.NewClient(platformlog.ClientOptions{BaseURL: logURL})
	defer client.Close()
	var report strings.Builder
	c := operator.Client{Log: client, Out: &report}
	result := c.Apply(context.Background(), "settings", []byte(settingsTOML(settings)), false)
	if result.ExitCode() != operator.ExitOK {
		return fmt.Errorf("dev: publish settings: %s", report.String())
	}
	return nil
}

func (s *System) logClient() *platformlog.Client {
	return platformlog.NewClient(platformlog.ClientOptions{BaseURL: s.Log.URL()})
}

// settingsTOML formats settings as input for `limpettrail config apply`.
func settingsTOML(s policy.Settings) string {
	var b strings.Builder
	if s.Emphasis == policy.EmphasisMessages {
		b.WriteString("emphasis = \"messages\"\n")
	}
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\nwithin_ms = %d\nsuccess = %v\n", c.Name, c.ResponseTarget.Milliseconds(), c.TargetShare)
	}
	for _, t := range s.Teams {
		fmt.Fprintf(&b, "[[team]]\nname = %q\nquota = %d\n", t.Name, t.Quota)
	}
	return b.String()
}

func (s *System) startEntries(opts Options) error {
	for i := range opts.Entries {
		name := fmt.Sprintf("entry-%d", i)
		o := entryd.Options{
			Name: name, Zone: Zone(i), Listen: loopback, PeerListen: loopback,
			Incarnation: wire.Incarnation(rand.Uint64() | 1),
			Scheduler:   opts.NewScheduler(i),
		}
		o.Log = eventlog.New(opts.Logger, name, uint64(o.Incarnation))
		if opts.ServeOperators {
			o.OperatorListen = loopback
		}
		if err := s.startEntry(opts, i, o); err != nil {
			return err
		}
		n := s.Entries[i]
		if opts.ServeOperators {
			s.OperatorAddrs = append(s.OperatorAddrs, n.OperatorAddr())
		}
	}
	return nil
}

// startEntry starts an entry and, if the options ask for it, a relay in front of
// its peer address.
func (s *System) startEntry(opts Options, i int, o entryd.Options) error {
	nodeOpts := entrynode.Options{Entry: o, Log: s.logClient(), Retention: opts.LogRetention}
	var relay Relay
	if opts.Relay != nil {
		var err error
		if relay, err = opts.Relay(i); err != nil {
			return err
		}
		nodeOpts.Advertise = relay.Addr()
	}
	n, err := entrynode.Start(nodeOpts)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, n)
	peer := n.PeerAddr()
	if relay != nil {
		relay.SetTarget(peer)
		peer = relay.Addr()
	}
	s.entryAddrs = append(s.entryAddrs, peer)
	return nil
}

func (s *System) startAgents(opts Options) error {
	for i := range opts.Agents {
		up, err := upstream.Start(loopback, opts.Upstream(i))
		if err != nil {
			return err
		}
		s.Upstreams = append(s.Upstreams, up)
		addr, err := relayAddr(opts.UpstreamRelay, up.Addr())
		if err != nil {
			return err
		}
		o := agentd.Options{
			Incarnation: wire.Incarnation(rand.Uint64() | 1),
			Name:        fmt.Sprintf("worker-%02d", i), Zone: Zone(i),
			Rack: fmt.Sprintf("rack-%d", i/rackSize), Slots: opts.Slots,
			UpstreamURL: "http://" + addr + "/", Entries: s.entryAddrs,
		}
		o.Log = eventlog.New(opts.Logger, o.Name, uint64(o.Incarnation))
		a := agentd.Start(o)
		s.Agents = append(s.Agents, a)
		if err := s.serveAgentOperators(a, opts); err != nil {
			return err
		}
	}
	return nil
}

// serveAgentOperators opens the operator address of an agent if the options ask
// for it.
func (s *System) serveAgentOperators(a *agentd.Agent, opts Options) error {
	if !opts.ServeOperators {
		return nil
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	server := operatorhttp.NewServer(a.OperatorHandler())
	go server.Serve(l)
	s.operatorServers = append(s.operatorServers, server)
	s.OperatorAddrs = append(s.OperatorAddrs, l.Addr().String())
	return nil
}

// relayAddr returns the address of a relay to addr, or addr if there is no relay.
func relayAddr(relay func(string) (string, error), addr string) (string, error) {
	if relay == nil {
		return addr, nil
	}
	return relay(addr)
}

// Zone returns the availability zone of the entry or agent with index i.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// readyPollInterval is the interval at which WaitReady polls the entries.
const readyPollInterval = 5 * time.Millisecond

// WaitReady waits until every entry is ready and has a link to every agent. It
// returns an error if ctx is done before.
func (s *System) WaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		for {
			if st, ok := e.Stats(); ok && st.Links >= len(s.Agents) && e.Ready() {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("dev: entry %s is not ready or is not linked to all agents: %w", e.Addr(), ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Messages returns the sum of the entries' message counters, without those of stopped
// entries.
func (s *System) Messages() entry.Stats {
	var sum entry.Stats
	for _, e := range s.Entries {
		st, _ := e.Stats()
		sum.Starts += st.Messages.Starts
		sum.Results += st.Messages.Results
		sum.Refused += st.Messages.Refused
		sum.Cancels += st.Messages.Cancels
		sum.Queries += st.Messages.Queries
		sum.Late += st.Messages.Late
		sum.Heartbeats += st.Messages.Heartbeats
	}
	return sum
}

// Stop shuts the system down gracefully, beginning with the entries.
func (s *System) Stop(ctx context.Context) error {
	var errs []error
	for _, e := range s.Entries {
		errs = append(errs, e.Stop(ctx))
	}
	for _, a := range s.Agents {
		errs = append(errs, a.Stop(ctx))
	}
	for _, u := range s.Upstreams {
		errs = append(errs, u.Close())
	}
	for _, server := range s.operatorServers {
		errs = append(errs, server.Close())
	}
	if s.Log != nil {
		errs = append(errs, s.Log.Close())
	}
	return errors.Join(errs...)
}
