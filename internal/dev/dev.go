// Package dev runs a whole system in one process on loopback: the stand-in of
// the platform's log, entries, agents and sample upstreams, joined by real
// sockets.
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

// Options size the system. Zero values take today's figures: 3 entries, 11
// agents of 8 slots, 3 workers a rack, 3 availability zones.
type Options struct {
	Entries int
	Agents  int
	Slots   int
	// NewScheduler makes the scheduler of each entry.
	NewScheduler func(entry int) policy.Scheduler
	Settings     policy.Settings
	// LogRetention is how long the log stand-in keeps records; 0 is its default.
	LogRetention time.Duration
	// Logger receives the events of every process; nil keeps them on the time
	// line only.
	Logger *zap.Logger
	// Operators opens an operators' address for each entry and agent.
	Operators bool
	// Upstream returns the behaviour of each upstream; nil means the default.
	Upstream func(agent int) upstream.Options
	// Relay, if set, makes a relay for each entry. Agents and other entries
	// connect to its address instead of the entry's peer address.
	Relay func(entry int) (Relay, error)
	// UpstreamRelay, if set, returns an address that leads to an upstream; its
	// agent connects there instead.
	UpstreamRelay func(upstream string) (string, error)
}

// Relay passes connections on to a target that is set once it is known.
type Relay interface {
	Addr() string
	SetTarget(addr string)
}

const (
	defaultEntries = 3
	defaultAgents  = 11
	defaultSlots   = 8
	rackSize       = 3
	zones          = 3
	loopback       = "127.0.0.1:0"
)

// System is a running system.
type System struct {
	Log       *logserver.Server
	Entries   []*entrynode.Node
	Agents    []*agentd.Agent
	Upstreams []*upstream.Server
	// Operators are the operators' addresses, entries first.
	Operators []string
	servers   []*http.Server
	peers     []string // addresses that agents connect to
}

// Start brings up the system. The caller stops it with Stop.
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

// SampleClasses returns the classes that a development system starts with.
func SampleClasses() []policy.Class {
	return []policy.Class{
		{Name: "quote", ResponseTarget: 800 * time.Millisecond, TargetShare: 0.99},
		{Name: "render", ResponseTarget: 5 * time.Second, TargetShare: 0.95},
	}
}

// startLog starts the log stand-in and publishes the settings in it.
func (s *System) startLog(opts Options) error {
	var err error
	s.Log, err = logserver.Start(logserver.Options{Listen: loopback, Control: loopback, Retention: opts.LogRetention})
	if err != nil {
		return err
	}
	return Publish(s.Log.URL(), opts.Settings)
}

// Publish publishes settings in the log at that URL.
func Publish(logURL string, settings policy.Settings) error {
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

// settingsTOML writes settings as input of `limpettrail config apply`.
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
		if opts.Operators {
			o.OperatorListen = loopback
		}
		if err := s.startEntry(opts, i, o); err != nil {
			return err
		}
		n := s.Entries[i]
		if opts.Operators {
			s.Operators = append(s.Operators, n.OperatorAddr())
		}
	}
	return nil
}

// startEntry starts one entry and leads its peer address through a relay if
// one is wanted.
func (s *System) startEntry(opts Options, i int, o entryd.Options) error {
	node := entrynode.Options{Entry: o, Log: s.logClient(), Retention: opts.LogRetention}
	var relay Relay
	if opts.Relay != nil {
		var err error
		if relay, err = opts.Relay(i); err != nil {
			return err
		}
		node.Advertise = relay.Addr()
	}
	n, err := entrynode.Start(node)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, n)
	peer := n.PeerAddr()
	if relay != nil {
		relay.SetTarget(peer)
		peer = relay.Addr()
	}
	s.peers = append(s.peers, peer)
	return nil
}

func (s *System) startAgents(opts Options) error {
	for i := range opts.Agents {
		up, err := upstream.Start(loopback, opts.Upstream(i))
		if err != nil {
			return err
		}
		s.Upstreams = append(s.Upstreams, up)
		addr, err := relayed(opts.UpstreamRelay, up.Addr())
		if err != nil {
			return err
		}
		o := agentd.Options{
			Incarnation: wire.Incarnation(rand.Uint64() | 1),
			Name:        fmt.Sprintf("worker-%02d", i), Zone: Zone(i),
			Rack: fmt.Sprintf("rack-%d", i/rackSize), Slots: opts.Slots,
			UpstreamURL: "http://" + addr + "/", Entries: s.peers,
		}
		o.Log = eventlog.New(opts.Logger, o.Name, uint64(o.Incarnation))
		a := agentd.Start(o)
		s.Agents = append(s.Agents, a)
		if err := s.serveOperators(a, opts); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) serveOperators(a *agentd.Agent, opts Options) error {
	if !opts.Operators {
		return nil
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	server := operatorhttp.NewServer(a.OperatorHandler())
	go server.Serve(l)
	s.servers = append(s.servers, server)
	s.Operators = append(s.Operators, l.Addr().String())
	return nil
}

func relayed(relay func(string) (string, error), addr string) (string, error) {
	if relay == nil {
		return addr, nil
	}
	return relay(addr)
}

// Zone returns the availability zone of the entry or agent with that number.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// readyPoll is how often WaitReady looks at the entries.
const readyPoll = 5 * time.Millisecond

// WaitReady returns when every entry has the configuration and a link to every
// agent.
func (s *System) WaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		for {
			if st, ok := e.Stats(); ok && st.Links >= len(s.Agents) && e.Ready() {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("dev: entry %s has no link to some agent: %w", e.Addr(), ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Messages sums the entries' message counters. Entries that ended count nothing.
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

// Stop shuts everything down gracefully, entries first.
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
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	if s.Log != nil {
		errs = append(errs, s.Log.Close())
	}
	return errors.Join(errs...)
}
