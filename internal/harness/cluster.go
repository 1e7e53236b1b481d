package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// ClusterOptions size a cluster of processes.
type ClusterOptions struct {
	Entries int
	Agents  int
	Slots   int
	// Relay leads each link of an agent to an entry through a faultproxy.
	Relay bool
	// NoRace starts programs without the race detector, for benchmarks.
	NoRace bool
}

// Cluster is a system of real processes with an observer.
type Cluster struct {
	Entries   []*Process
	Agents    []*Process
	Upstreams []*Process
	// Relays[agent][entry] carries the link of one agent to one entry.
	Relays   [][]*faultproxy.Proxy
	Observer *observer.Observer

	launcher      Launcher
	dir           string
	entrySpecs    []EntrySpec
	agentSpecs    []AgentSpec
	upstreamSpecs []UpstreamSpec
}

// StartCluster starts the processes and waits until every agent is linked to
// every entry. dir holds settings and records. Close ends the processes.
func StartCluster(ctx context.Context, dir string, o ClusterOptions) (*Cluster, error) {
	l, err := NewLauncher(dir, !o.NoRace)
	if err != nil {
		return nil, err
	}
	c := &Cluster{launcher: l, dir: dir, Observer: observer.New()}
	err = errors.Join(c.startEntries(ctx, o), c.startUpstreams(ctx, o))
	if err == nil {
		err = c.startAgents(o)
	}
	if err == nil {
		err = c.AwaitLinks(ctx, o.Agents)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func isReady(e Event) bool { return e.Kind == Ready }

func (c *Cluster) startEntries(ctx context.Context, o ClusterOptions) error {
	for i := range o.Entries {
		c.entrySpecs = append(c.entrySpecs, EntrySpec{Name: fmt.Sprintf("entry-%d", i), Zone: "zone-0"})
		c.Entries = append(c.Entries, nil)
		if err := c.StartEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts entry i, again on the addresses it had before.
func (c *Cluster) StartEntry(ctx context.Context, i int) error {
	p, err := c.launcher.Entry(c.entrySpecs[i])
	if err != nil {
		return err
	}
	c.Entries[i] = p
	ready, err := p.Await(ctx, 0, isReady)
	c.entrySpecs[i].Listen, c.entrySpecs[i].Peer = ready.Addr, ready.Peer
	return err
}

func (c *Cluster) startUpstreams(ctx context.Context, o ClusterOptions) error {
	for i := range o.Agents {
		name := fmt.Sprintf("upstream-%d", i)
		c.upstreamSpecs = append(c.upstreamSpecs, UpstreamSpec{Name: name, Record: filepath.Join(c.dir, name+".jsonl")})
		c.Upstreams = append(c.Upstreams, nil)
		if err := c.StartUpstream(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartUpstream starts upstream i, again on the address it had before. Its
// record goes on.
func (c *Cluster) StartUpstream(ctx context.Context, i int) error {
	p, err := c.launcher.Upstream(c.upstreamSpecs[i])
	if err != nil {
		return err
	}
	c.Upstreams[i] = p
	ready, err := p.Await(ctx, 0, isReady)
	c.upstreamSpecs[i].Listen = ready.Addr
	return err
}

func (c *Cluster) startAgents(o ClusterOptions) error {
	for i := range o.Agents {
		peers, err := c.peers(o)
		if err != nil {
			return err
		}
		c.agentSpecs = append(c.agentSpecs, AgentSpec{
			Name: fmt.Sprintf("worker-%d", i), Zone: "zone-0", Rack: fmt.Sprintf("rack-%d", i),
			Upstream: c.upstreamSpecs[i].Listen, Entries: peers, Slots: o.Slots,
		})
		c.Agents = append(c.Agents, nil)
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// peers returns the entries' peer addresses for one agent, through relays of
// its own if they are wanted.
func (c *Cluster) peers(o ClusterOptions) ([]string, error) {
	var addrs []string
	var relays []*faultproxy.Proxy
	for _, e := range c.entrySpecs {
		if !o.Relay {
			addrs = append(addrs, e.Peer)
			continue
		}
		p, err := faultproxy.Start(e.Peer)
		if err != nil {
			return nil, err
		}
		relays = append(relays, p)
		addrs = append(addrs, p.Addr())
	}
	c.Relays = append(c.Relays, relays)
	return addrs, nil
}

// StartAgent starts agent i, again under its name.
func (c *Cluster) StartAgent(i int) error {
	p, err := c.launcher.Agent(c.agentSpecs[i])
	if err != nil {
		return err
	}
	c.Agents[i] = p
	return nil
}

// AwaitLinks returns when every running entry reported that number of links.
func (c *Cluster) AwaitLinks(ctx context.Context, n int) error {
	for _, e := range c.Entries {
		if !e.Running() {
			continue
		}
		if _, err := e.Await(ctx, 0, func(ev Event) bool { return ev.Kind == Links && ev.Count == n }); err != nil {
			return err
		}
	}
	return nil
}

// URLs returns the callers' addresses of the entries.
func (c *Cluster) URLs() []string {
	var urls []string
	for _, e := range c.entrySpecs {
		urls = append(urls, "http://"+e.Listen)
	}
	return urls
}

// Starts returns the number of starts on record at upstream i.
func (c *Cluster) Starts(i int) (int, error) {
	path := c.upstreamSpecs[i].Record
	if !fileExists(path) {
		return 0, nil
	}
	data, err := os.ReadFile(path)
	return bytes.Count(data, []byte{'\n'}), err
}

// AwaitStarts returns when upstream i has at least n starts on record.
func (c *Cluster) AwaitStarts(ctx context.Context, i, n int) error {
	for {
		got, err := c.Starts(i)
		if err != nil || got >= n {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("harness: upstream %d has %d starts, want %d: %w", i, got, n, ctx.Err())
		case <-time.After(pollPeriod):
		}
	}
}

// Drive sends the jobs in the background. The returned function waits for all
// of them to end.
func (c *Cluster) Drive(ctx context.Context, name string, jobs []load.Job) func() ([]load.Outcome, error) {
	var outcomes []load.Outcome
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		outcomes, err = load.Drive(ctx, load.Target{Entries: c.URLs(), Observer: c.Observer}, name, jobs)
	}()
	return func() ([]load.Outcome, error) {
		<-done
		return outcomes, err
	}
}

// Judge reads the upstreams' records and returns every broken promise. Call
// it once, after all callers ended.
func (c *Cluster) Judge() ([]observer.Violation, error) {
	for _, u := range c.upstreamSpecs {
		if !fileExists(u.Record) {
			continue
		}
		if err := c.Observer.Load(u.Record); err != nil {
			return nil, err
		}
	}
	return c.Observer.Judge(), nil
}

// Close kills every process that still runs and closes the relays.
func (c *Cluster) Close() {
	for _, list := range [][]*Process{c.Agents, c.Entries, c.Upstreams} {
		for _, p := range list {
			if p != nil {
				p.Kill()
			}
		}
	}
	for _, relays := range c.Relays {
		for _, r := range relays {
			r.Close()
		}
	}
}
