package harness

import (
	"bytes"
	"cmp"
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

// ClusterOptions configure a cluster of processes.
type ClusterOptions struct {
	Entries int
	Agents  int // each with an upstream of its own
	Slots   int // slots of each agent
	// Relay routes all links of an entry through a fault-injecting proxy.
	Relay bool
	// NoRace selects binaries without the race detector, for benchmarks.
	NoRace bool
}

// Cluster is a set of processes of all roles, with an observer that checks the
// promises.
type Cluster struct {
	Log       *Process
	Entries   []*Process
	Agents    []*Process
	Upstreams []*Process
	Relays    []*faultproxy.Proxy // by entry; empty without ClusterOptions.Relay
	Observer  *observer.Observer

	launcher      Launcher
	dir           string
	entrySpecs    []EntrySpec
	agentSpecs    []AgentSpec
	upstreamSpecs []UpstreamSpec
}

// StartCluster starts the processes and waits until every agent is linked to
// every entry. Settings files and records of starts are written to dir. Close
// kills the processes.
func StartCluster(ctx context.Context, dir string, o ClusterOptions) (*Cluster, error) {
	l, err := NewLauncher(dir, !o.NoRace)
	if err != nil {
		return nil, err
	}
	c := &Cluster{launcher: l, dir: dir, Observer: observer.New()}
	if err := c.startProcesses(ctx, o); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startProcesses(ctx context.Context, o ClusterOptions) error {
	logProcess, ready, err := c.launcher.StartLog(ctx)
	if err != nil {
		return err
	}
	c.Log = logProcess
	err = errors.Join(c.startEntries(ctx, o, ready.Addr), c.startUpstreams(ctx, o))
	if err == nil {
		err = c.startAgents(o)
	}
	if err == nil {
		err = c.AwaitLinks(ctx, o.Agents)
	}
	return err
}

func (c *Cluster) startEntries(ctx context.Context, o ClusterOptions, logURL string) error {
	for i := range o.Entries {
		spec := EntrySpec{Name: fmt.Sprintf("entry-%d", i), Zone: "zone-0", LogURL: logURL}
		if o.Relay {
			relay, err := faultproxy.Start("")
			if err != nil {
				return err
			}
			c.Relays = append(c.Relays, relay)
			spec.Advertise = relay.Addr()
		}
		c.entrySpecs = append(c.entrySpecs, spec)
		c.Entries = append(c.Entries, nil)
		if err := c.StartEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts entry i. A restarted entry listens on its previous addresses.
func (c *Cluster) StartEntry(ctx context.Context, i int) error {
	p, ready, err := c.launcher.StartEntry(ctx, c.entrySpecs[i])
	if err != nil {
		return err
	}
	c.Entries[i] = p
	c.entrySpecs[i].Listen, c.entrySpecs[i].Peer = ready.Addr, ready.Peer
	if len(c.Relays) > 0 {
		c.Relays[i].SetTarget(ready.Peer)
	}
	return nil
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

// StartUpstream starts upstream i. A restarted upstream listens on its previous
// address and appends to its previous record of starts.
func (c *Cluster) StartUpstream(ctx context.Context, i int) error {
	p, ready, err := c.launcher.StartUpstream(ctx, c.upstreamSpecs[i])
	if err != nil {
		return err
	}
	c.Upstreams[i] = p
	c.upstreamSpecs[i].Listen = ready.Addr
	return nil
}

func (c *Cluster) startAgents(o ClusterOptions) error {
	for i := range o.Agents {
		c.agentSpecs = append(c.agentSpecs, AgentSpec{
			Name: fmt.Sprintf("worker-%d", i), Zone: "zone-0", Rack: fmt.Sprintf("rack-%d", i),
			Upstream: c.upstreamSpecs[i].Listen, Entries: c.peerAddrs(), Slots: o.Slots,
		})
		c.Agents = append(c.Agents, nil)
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// peerAddrs returns the addresses to which agents connect.
func (c *Cluster) peerAddrs() []string {
	var addrs []string
	for _, e := range c.entrySpecs {
		addrs = append(addrs, cmp.Or(e.Advertise, e.Peer))
	}
	return addrs
}

// StartAgent starts agent i. A restarted agent keeps its name.
func (c *Cluster) StartAgent(i int) error {
	p, err := c.launcher.StartAgent(c.agentSpecs[i])
	if err != nil {
		return err
	}
	c.Agents[i] = p
	return nil
}

// AwaitLinks waits until every running entry has reported n links at some time
// and has reported that it serves.
func (c *Cluster) AwaitLinks(ctx context.Context, n int) error {
	for _, e := range c.Entries {
		if !e.Running() {
			continue
		}
		_, linked := e.Await(ctx, 0, func(ev Event) bool { return ev.Kind == Links && ev.Count == n })
		_, serving := e.Await(ctx, 0, func(ev Event) bool { return ev.Kind == Serving })
		if err := errors.Join(linked, serving); err != nil {
			return err
		}
	}
	return nil
}

// URLs returns the base URLs at which the entries accept jobs.
func (c *Cluster) URLs() []string {
	var urls []string
	for _, e := range c.entrySpecs {
		urls = append(urls, "http://"+e.Listen)
	}
	return urls
}

// StartCount returns the number of task starts that upstream i has recorded.
func (c *Cluster) StartCount(i int) (int, error) {
	path := c.upstreamSpecs[i].Record
	if !fileExists(path) {
		return 0, nil
	}
	data, err := os.ReadFile(path)
	return bytes.Count(data, []byte{'\n'}), err
}

// AwaitStarts waits until upstream i has recorded at least n starts.
func (c *Cluster) AwaitStarts(ctx context.Context, i, n int) error {
	for {
		got, err := c.StartCount(i)
		if err != nil || got >= n {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("harness: upstream %d has recorded %d starts, want %d: %w", i, got, n, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// AwaitTotalStarts waits until all upstreams together have recorded at least n
// starts. Placement decides how the starts are distributed.
func (c *Cluster) AwaitTotalStarts(ctx context.Context, n int) error {
	for {
		got := 0
		for i := range c.Upstreams {
			starts, err := c.StartCount(i)
			if err != nil {
				return err
			}
			got += starts
		}
		if got >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("harness: upstreams have recorded %d starts, want %d: %w", got, n, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// SubmitJobs submits the jobs in the background. The returned function waits
// until all of them have ended and returns their outcomes.
func (c *Cluster) SubmitJobs(ctx context.Context, name string, jobs []load.Job) func() ([]load.JobResult, error) {
	var outcomes []load.JobResult
	var err error
	done := make(chan struct{})
	target := load.Target{Entries: c.URLs(), Observer: c.Observer} // a test may restart an entry at once
	go func() {
		defer close(done)
		outcomes, err = load.Drive(ctx, target, name, jobs)
	}()
	return func() ([]load.JobResult, error) {
		<-done
		return outcomes, err
	}
}

// CheckPromises reads the upstreams' records of starts and returns every
// violation of a promise. Call it once, after all callers have finished.
func (c *Cluster) CheckPromises() ([]observer.Violation, error) {
	for _, u := range c.upstreamSpecs {
		if !fileExists(u.Record) {
			continue
		}
		if err := c.Observer.LoadStarts(u.Record); err != nil {
			return nil, err
		}
	}
	return c.Observer.Check(), nil
}

// Close kills all processes that are still running and closes the relays.
func (c *Cluster) Close() {
	for _, list := range [][]*Process{c.Agents, c.Entries, c.Upstreams, {c.Log}} {
		for _, p := range list {
			if p != nil {
				p.Kill()
			}
		}
	}
	for _, r := range c.Relays {
		r.Close()
	}
}
