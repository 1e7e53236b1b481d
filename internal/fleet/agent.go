package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/leased"
)

const (
	// clearRetry separates the looks at a worker that is being cleared.
	clearRetry   = 50 * time.Millisecond
	clearTimeout = 300 * time.Millisecond
	// replacedGrace is how long the agent of a worker's earlier life may take to
	// deliver what it has.
	replacedGrace = 300 * time.Millisecond
	// directoryInterval is how often an agent without enough links reads the
	// directory.
	directoryInterval = 2 * time.Second
	minSlots          = 1
)

// AgentOptions configure an AgentNode.
type AgentOptions struct {
	Name  string
	Zone  string
	Seeds []string // peer addresses of entries
	// Directory lists further entries; nil means none.
	Directory Directory
	// NewWorker returns a client of one life of the worker.
	NewWorker func(worker string, life int64) leased.Worker
	Log       *eventlog.Log
}

// AgentNode is the agent process of one VM. It runs one agentd.Agent for each
// life of the worker, since an agent's incarnation stands for what runs there.
type AgentNode struct {
	opts   AgentOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	heard    Announcement // newest of the current life
	current  *agentd.Agent
	starting context.CancelFunc // of the life that is being cleared
	entries  []string
}

// StartAgent returns an agent that waits for its worker to announce itself.
func StartAgent(opts AgentOptions) *AgentNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &AgentNode{opts: opts, ctx: ctx, cancel: cancel, entries: opts.Seeds}
	n.wg.Go(n.followDirectory)
	return n
}

// Hear takes an announcement of the worker. Announcements of an earlier life
// and those that were overtaken are ignored.
func (n *AgentNode) Hear(a Announcement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	fresh := n.heard.Worker == "" || a.Life > n.heard.Life
	if !fresh && (a.Life < n.heard.Life || a.Worker != n.heard.Worker || a.Sequence <= n.heard.Sequence) {
		return
	}
	changed := a.Draining != n.heard.Draining
	n.heard = a
	if fresh {
		n.replaceLocked(a)
		return
	}
	if changed && a.Draining {
		n.drainLocked("worker is leaving")
	}
}

// Leave takes the last word of a worker.
func (n *AgentNode) Leave(worker string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heard.Worker == worker {
		n.heard.Draining = true
		n.drainLocked("worker has left")
	}
}

func (n *AgentNode) drainLocked(why string) {
	n.opts.Log.Emit(eventlog.WorkerLeaving, eventlog.Fields{Peer: n.heard.Worker, Detail: why})
	if n.starting != nil {
		n.starting()
		n.starting = nil
	}
	if n.current != nil {
		go n.current.Drain()
	}
}

// replaceLocked begins the life that was announced.
func (n *AgentNode) replaceLocked(a Announcement) {
	n.opts.Log.Emit(eventlog.WorkerAnnounced, eventlog.Fields{Peer: a.Worker, Detail: a.Pool, Count: a.Life})
	if n.starting != nil {
		n.starting()
		n.starting = nil
	}
	if old := n.current; old != nil {
		n.current = nil
		n.wg.Go(func() { stopWithin(old, replacedGrace) })
	}
	if a.Draining {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.starting = cancel
	n.wg.Go(func() { n.begin(ctx, a) })
}

func stopWithin(a *agentd.Agent, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	a.Stop(ctx)
}

// begin clears the worker of what an earlier incarnation of this process left
// there and then starts the agent.
func (n *AgentNode) begin(ctx context.Context, a Announcement) {
	worker := n.opts.NewWorker(a.Worker, a.Life)
	view := n.clear(ctx, worker)
	if view == nil {
		worker.Close()
		return
	}
	held := telling(view.Ended)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil || n.stopped {
		worker.Close()
		return
	}
	n.starting = nil
	n.current = agentd.Start(agentd.Options{
		Name: n.opts.Name, Zone: n.opts.Zone, Rack: a.Rack, Pool: a.Pool, Labels: a.Labels, Clean: true, Life: a.Life, Took: view.Clock,
		Slots: max(minSlots, a.Slots), Capacity: a.Capacity,
		Entries: n.entries, Log: n.opts.Log,
		SilenceTimeout: silenceTimeout, MaxRedial: maxRedial, DialTimeout: dialTimeout,
		NewUpstream: leased.New(leased.Options{
			Worker: worker,
			Lease:  lease.Options{Held: held},
			Gone:   func() { n.gone(a) },
			LookFailed: func(err error) {
				n.opts.Log.Emit(eventlog.WorkerSilent, eventlog.Fields{Peer: a.Worker, Err: err})
			},
		}),
		Core: agent.Options{HeartbeatInterval: heartbeatInterval, RunLease: runLease, LinkLease: runLease, Held: runEnds(held)},
	})
}

// gone drains the agent of a worker that was found to have started anew; the
// new life announces itself.
func (n *AgentNode) gone(a Announcement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heard.Life == a.Life {
		n.drainLocked("worker started anew")
	}
}

// clear stops every run at the worker and returns what the worker told then. No
// end is acknowledged: the worker's jobs may be stored ones whose owner has not
// recorded them. It returns nil if ctx ended first.
func (n *AgentNode) clear(ctx context.Context, worker leased.Worker) *lease.View {
	for ; ctx.Err() == nil; ctxsleep.For(ctx, clearRetry) {
		view, err := n.lookOnce(ctx, worker)
		if err != nil {
			n.opts.Log.Emit(eventlog.WorkerSilent, eventlog.Fields{Err: err})
			continue
		}
		if len(view.Running) == 0 {
			return view
		}
		for _, id := range view.Running {
			n.opts.Log.Emit(eventlog.LeftoverStopped, eventlog.Fields{Detail: id.Job, Task: id.Index + 1, Count: int64(id.Run)})
			stopCtx, cancel := context.WithTimeout(ctx, clearTimeout)
			worker.Stop(stopCtx, lease.CallStop{Run: id})
			cancel()
		}
	}
	return nil
}

// telling returns the ends that say something of their tasks.
func telling(ends []lease.End) []lease.End {
	var out []lease.End
	for _, e := range ends {
		if e.How == lease.EndedDone || e.How == lease.EndedFailed {
			out = append(out, e)
		}
	}
	return out
}

// runEnds translates ends for the entries.
func runEnds(ends []lease.End) []wire.RunEnd {
	out := make([]wire.RunEnd, 0, len(ends))
	for _, e := range ends[:min(len(ends), wire.MaxHeldEnds)] {
		out = append(out, wire.RunEnd{Run: e.Run, Failed: e.How == lease.EndedFailed, Checkpoint: e.Checkpoint})
	}
	return out
}

func (n *AgentNode) lookOnce(ctx context.Context, worker leased.Worker) (*lease.View, error) {
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	return worker.Look(ctx, lease.CallLook{})
}

// followDirectory looks for entries while the agent has no link.
func (n *AgentNode) followDirectory() {
	if n.opts.Directory == nil {
		return
	}
	for n.ctx.Err() == nil {
		if !n.linked() {
			n.readDirectory()
		}
		ctxsleep.For(n.ctx, directoryInterval)
	}
}

func (n *AgentNode) linked() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current != nil && n.current.Links() > 0
}

func (n *AgentNode) readDirectory() {
	list, err := n.opts.Directory.List(n.ctx)
	if err != nil {
		n.opts.Log.Emit(eventlog.DirectoryFailed, eventlog.Fields{Err: err})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries = mergeAddrs(n.opts.Seeds, list)
	if n.current != nil {
		n.current.Learn(list)
	}
}

// mergeAddrs adds the listed addresses to the seeds.
func mergeAddrs(seeds []string, list []wire.EntryAddr) []string {
	out := append([]string(nil), seeds...)
	for _, e := range list {
		if !contains(out, e.Peer) {
			out = append(out, e.Peer)
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Status returns the state of the current agent, or false without one.
func (n *AgentNode) Status() (agentd.Status, bool) {
	n.mu.Lock()
	current := n.current
	n.mu.Unlock()
	if current == nil {
		return agentd.Status{}, false
	}
	return current.Status()
}

// Stop drains the agent and returns when that is done or ctx ends.
func (n *AgentNode) Stop(ctx context.Context) error {
	n.mu.Lock()
	n.stopped = true
	current := n.current
	n.mu.Unlock()
	var err error
	if current != nil {
		err = current.Stop(ctx)
	}
	n.Kill()
	return err
}

// Kill ends the agent at once.
func (n *AgentNode) Kill() {
	n.cancel()
	n.mu.Lock()
	n.stopped = true
	current := n.current
	n.mu.Unlock()
	if current != nil {
		current.Kill()
	}
	n.wg.Wait()
}
