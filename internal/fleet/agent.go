package fleet

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/leased"
)

const (
	// leftoverRetryDelay is the pause between polls of a worker whose leftover runs
	// are being stopped.
	leftoverRetryDelay = 50 * time.Millisecond
	// workerCallTimeout bounds one call to a worker whose leftover runs are being
	// stopped.
	workerCallTimeout = 300 * time.Millisecond
	// replacedStopTimeout is how long the agent of an earlier worker incarnation
	// may take to deliver its results once the new incarnation has been taken over.
	replacedStopTimeout = 300 * time.Millisecond
	// maxReplacedTime bounds how long that agent waits for its unanswered starts before.
	// core/lease ends them when none of its calls can have an effect any more.
	maxReplacedTime = wire.MaxCallDelay + wire.MaxLateRun + 2*time.Second
	// directoryInterval is how often an agent without a link reads the directory.
	directoryInterval = 2 * time.Second
	// leftoverLeaseTimeout is longer than the lease of the runs that an earlier
	// incarnation of this process started.
	leftoverLeaseTimeout = time.Second
	// minSlots is used for a worker that announces fewer slots.
	minSlots = 1
)

// AgentOptions configures an AgentNode.
type AgentOptions struct {
	Name  string
	Zone  string
	Pool  string   // that the VM's worker belongs to, "" if not known
	Seeds []string // peer addresses of entries
	// Directory lists further entries; nil means none.
	Directory Directory
	// NewWorker returns a client for one incarnation of the worker.
	NewWorker func(worker string, incarnation int64) Worker
	Log       *eventlog.Log
	// EvacuationBound is the time within which a request to evacuate the zone must take
	// effect, 0 if the agent never lists the requests.
	EvacuationBound time.Duration
	// ListEvacuations lists the requests. It must be set if EvacuationBound is.
	ListEvacuations func(ctx context.Context) (wire.Evacuations, error)
}

// AgentNode is the agent process of one VM. It runs one agentd.Agent for each
// incarnation of the worker, because the agent's own incarnation identifies
// what runs there.
type AgentNode struct {
	opts   AgentOptions
	clock  bootclock.Clock
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// replacedStops counts the agents of earlier worker incarnations that have not stopped.
	replacedStops sync.WaitGroup
	// evacuations is the newest state that an agent of this process has received, nil
	// if there is none.
	evacuations atomic.Pointer[wire.Evacuations]

	mu        sync.Mutex
	stopped   bool
	announced Announcement // newest announcement of the current incarnation
	// answered is the incarnation that answered the takeover, or a later poll, in place of
	// the announced one, 0 if none did. It may be lower: the worker's time of day may
	// have been set back.
	answered int64
	// deregistered is the last worker incarnation that has deregistered.
	deregistered deregisteredWorker
	probing      bool // see probeRenamedLocked
	current      *agentd.Agent
	// workerEvents passes WorkerReplaced and WorkerFenced to current.
	workerEvents chan lease.Event
	replaced     []replacedAgent    // agents of earlier incarnations, until starts of theirs can have no effect
	cancelStart  context.CancelFunc // cancels the start of the agent while leftover runs are being stopped
	entries      []string           // peer addresses of known entries
}

// StartAgent returns an agent that waits for its worker to announce itself.
func StartAgent(opts AgentOptions) *AgentNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &AgentNode{opts: opts, clock: bootclock.New(), ctx: ctx, cancel: cancel, entries: opts.Seeds}
	n.wg.Go(n.followDirectory)
	return n
}

// HandleAnnouncement handles an announcement of the worker. It returns an error for that of
// a worker of another pool, which does not run here. Announcements of an earlier incarnation
// and those that arrive out of order are ignored, but see probeRenamedLocked.
func (n *AgentNode) HandleAnnouncement(a Announcement) error {
	if n.opts.Pool != "" && a.Pool != n.opts.Pool {
		return fmt.Errorf("announcement: worker %q of pool %q, want %q", a.Worker, a.Pool, n.opts.Pool)
	}
	n.handleOwnAnnouncement(a)
	return nil
}

func (n *AgentNode) handleOwnAnnouncement(a Announcement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// While a replaced agent waits, a later incarnation is taken over also during a stop.
	if n.ctx.Err() != nil || n.stopped && len(n.replaced) == 0 {
		return
	}
	if n.deregistered == (deregisteredWorker{a.Worker, a.Incarnation}) {
		a.Draining = true // it was sent before the deregistration
	}
	newIncarnation := n.announced.Worker == "" || a.Incarnation > n.announced.Incarnation ||
		a.Worker == n.announced.Worker && a.Incarnation == n.answered
	if !newIncarnation && a.Incarnation < n.announced.Incarnation && a.Worker != n.announced.Worker {
		n.probeRenamedLocked(a)
		return
	}
	if !newIncarnation && (a.Incarnation < n.announced.Incarnation || a.Worker != n.announced.Worker || a.Sequence <= n.announced.Sequence) {
		return
	}
	drainingChanged := a.Draining != n.announced.Draining
	capacityChanged := a.Capacity != n.announced.Capacity
	n.announced = a
	if newIncarnation {
		n.answered = 0
		n.replaceLocked(a, nil)
		return
	}
	if capacityChanged {
		n.setCapacityLocked(a)
	}
	if drainingChanged && a.Draining {
		n.drainLocked("worker is draining", true)
	}
}

// setCapacityLocked passes the announced capacity on to the current agent. n.mu must be
// held.
func (n *AgentNode) setCapacityLocked(a Announcement) {
	n.opts.Log.Emit(eventlog.WorkerCapacity, eventlog.Fields{Peer: a.Worker, Count: a.Capacity.MilliCores, Detail: strconv.FormatInt(a.Capacity.MemoryMB, 10) + " MB"})
	if current := n.current; current != nil {
		go current.SetCapacity(a.Capacity, a.Sequence)
	}
}

// deregisteredWorker is a worker incarnation that has deregistered.
type deregisteredWorker struct {
	worker      string
	incarnation int64 // 0 if none has deregistered, or if it was not stated
}

// HandleDeregister handles the deregistration of a worker. That of an earlier incarnation
// is ignored. incarnation is 0 if it is not known.
func (n *AgentNode) HandleDeregister(worker string, incarnation int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if incarnation != 0 {
		n.deregistered = deregisteredWorker{worker, incarnation}
	}
	earlier := incarnation != 0 && incarnation < n.announced.Incarnation
	if n.announced.Worker == worker && !earlier {
		n.announced.Draining = true
		n.drainLocked("worker has deregistered", true)
	}
}

// drainLocked drains the current agent, or cancels its start. reason is logged.
// workerLeaving states that the worker has announced that it leaves. n.mu must be held.
func (n *AgentNode) drainLocked(reason string, workerLeaving bool) {
	n.opts.Log.Emit(eventlog.WorkerLeaving, eventlog.Fields{Peer: n.announced.Worker, Detail: reason})
	switch {
	case n.cancelStart == nil:
	case len(n.replaced) > 0:
		// The takeover may have fenced off the replaced agents already, so that they learn
		// from it alone that their starts have no effect. No agent starts afterwards.
		time.AfterFunc(maxReplacedTime, n.cancelStart)
	default:
		n.cancelStart()
		n.cancelStart = nil
	}
	if current := n.current; current != nil {
		go func() {
			if workerLeaving {
				current.WorkerLeaving()
			}
			current.Drain()
		}()
	}
}

// replaceLocked switches to the announced incarnation of the worker. worker is its client if
// there is one. n.mu must be held.
func (n *AgentNode) replaceLocked(a Announcement, worker Worker) {
	n.opts.Log.Emit(eventlog.WorkerAnnounced, eventlog.Fields{Peer: a.Worker, Detail: a.Pool, Count: a.Incarnation})
	if n.cancelStart != nil {
		n.cancelStart()
		n.cancelStart = nil
	}
	if old := n.current; old != nil {
		n.current = nil
		n.workerEvents <- lease.WorkerReplaced{}
		fenced := make(chan struct{})
		n.replaced = append(n.replaced, replacedAgent{n.workerEvents, fenced})
		n.replacedStops.Go(func() { n.stopReplaced(old, fenced) })
	}
	if a.Draining && len(n.replaced) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.cancelStart = cancel
	if a.Draining {
		// The worker is taken over for the replaced agents alone, see drainLocked.
		time.AfterFunc(maxReplacedTime, cancel)
	}
	if worker == nil {
		worker = n.opts.NewWorker(a.Worker, a.Incarnation)
	}
	n.wg.Go(func() { n.startIncarnation(ctx, a, worker) })
}

// replacedAgent is the agent of an earlier worker incarnation.
type replacedAgent struct {
	workerEvents chan<- lease.Event
	fenced       chan<- struct{} // see stopReplaced
}

// workerEventBuffer is the number of events that workerEvents gets: no send blocks.
const workerEventBuffer = 2

// fencedLocked tells the agents of earlier worker incarnations that their starts can have
// no effect any more, and which ended runs the worker lists. n.mu must be held.
func (n *AgentNode) fencedLocked(ended []lease.EndedRun) {
	for _, r := range n.replaced {
		r.workerEvents <- lease.WorkerFenced{Ended: ended}
		close(r.fenced)
	}
	n.replaced = nil
}

// stopReplaced stops the agent of an incarnation that was replaced. Until the new one is
// taken over it may carry out starts that the agent got no answer to, and entries start
// tasks again soon after they have lost an agent. So the agent stays until then or until
// it is drained.
func (n *AgentNode) stopReplaced(a *agentd.Agent, fenced <-chan struct{}) {
	ctx, cancel := context.WithTimeout(n.ctx, maxReplacedTime)
	defer cancel()
	n.wg.Go(func() {
		select {
		case <-fenced:
			ctxsleep.For(ctx, replacedStopTimeout)
			cancel()
		case <-ctx.Done():
		}
	})
	a.Stop(ctx)
}

// startIncarnation stops the runs that an earlier incarnation of this process
// left at the worker, and then starts the agent.
func (n *AgentNode) startIncarnation(ctx context.Context, a Announcement, worker Worker) {
	status := n.stopLeftovers(ctx, worker, a.Incarnation)
	if status == nil {
		worker.Close()
		return
	}
	unacknowledged := succeededOrFailed(status.Ended)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() == nil { // no later incarnation has announced itself
		n.fencedLocked(status.Ended)
	}
	if ctx.Err() != nil || n.stopped {
		worker.Close()
		return
	}
	n.cancelStart = nil
	if n.announced.Draining {
		worker.Close()
		return
	}
	workerEvents := make(chan lease.Event, workerEventBuffer)
	n.workerEvents = workerEvents
	n.current = agentd.Start(agentd.Options{
		Name: n.opts.Name, Zone: n.opts.Zone, Rack: a.Rack, Pool: a.Pool, Labels: a.Labels, NoLeftoverRuns: true, WorkerIncarnation: a.Incarnation, TakeoverTime: status.Clock,
		Slots: max(minSlots, a.Slots), Capacity: a.Capacity,
		Entries: n.entries, Log: n.opts.Log,
		SilenceTimeout: silenceTimeout, MaxRedialDelay: maxRedialDelay, DialTimeout: dialTimeout,
		NewUpstream: leased.New(leased.Options{
			Worker:          worker,
			WorkerEvents:    workerEvents,
			Lease:           lease.Options{RetainedRuns: unacknowledged, Incarnation: status.Incarnation},
			OnWorkerRestart: func(incarnation int64) { n.workerRestarted(a, incarnation) },
			OnAdmission:     func(x lease.Admission) { n.logAdmission(a.Worker, x) },
			OnStartExpired:  func(x lease.StartExpired) { n.logStartExpired(a.Worker, x) },
			OnUnrecordedRun: func(x lease.UnrecordedRun) { n.logUnrecordedRun(a.Worker, x) },
			OnPollError: func(err error) {
				n.opts.Log.Emit(eventlog.WorkerSilent, eventlog.Fields{Peer: a.Worker, Err: err})
			},
		}),
		ListEvacuations: n.listEvacuations,
		OnEvacuations:   n.keepEvacuations,
		Machine: agent.Options{
			HeartbeatInterval: heartbeatInterval, RunLease: runLease, LostLinkTimeout: runLease, RetainedRuns: finishedRuns(unacknowledged),
			EvacuationBound: n.opts.EvacuationBound, Evacuations: n.knownEvacuations(),
		},
	})
	if n.announced.Capacity != a.Capacity { // it changed while leftover runs were stopped
		n.setCapacityLocked(n.announced)
	}
}

// listEvacuations lists the requests to evacuate zones. It ends before the next listing is due,
// which is made after half of the bound.
func (n *AgentNode) listEvacuations(ctx context.Context) (wire.Evacuations, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.EvacuationBound/2)
	defer cancel()
	return n.opts.ListEvacuations(ctx)
}

// keepEvacuations keeps the state for the agent of the worker's next incarnation. The agents
// of two incarnations may call it in any order.
func (n *AgentNode) keepEvacuations(e wire.Evacuations) {
	for {
		old := n.evacuations.Load()
		if old != nil && !e.Newer(old) || n.evacuations.CompareAndSwap(old, &e) {
			return
		}
	}
}

func (n *AgentNode) knownEvacuations() wire.Evacuations {
	if e := n.evacuations.Load(); e != nil {
		return *e
	}
	return wire.Evacuations{}
}

// logAdmission logs that the worker takes no further run, or does again.
func (n *AgentNode) logAdmission(worker string, x lease.Admission) {
	state := "open"
	if x.Closed {
		state = "closed"
	}
	detail := fmt.Sprintf("%s, %d open runs, %d superseded", state, x.OpenRuns, x.SupersededRuns)
	if x.LeaseExpiring {
		detail += ", lease not renewed"
	}
	if x.LeaseExpired {
		detail += ", lease expired"
	}
	if x.UnansweredStarts > 0 {
		detail += fmt.Sprintf(", %d unanswered starts", x.UnansweredStarts)
	}
	n.opts.Log.Emit(eventlog.WorkerAdmission, eventlog.Fields{Peer: worker, Count: int64(x.UnackedRuns), Detail: detail})
}

// logStartExpired logs a start that was refused because its permission had expired.
func (n *AgentNode) logStartExpired(worker string, x lease.StartExpired) {
	n.opts.Log.Emit(eventlog.StartExpired, eventlog.Fields{
		Peer: worker, Job: x.Run.Job, Task: x.Run.Index + 1, Count: int64(x.Run.Run), Age: x.Age,
	})
}

// logUnrecordedRun logs a run at the worker that the agent has no record of.
func (n *AgentNode) logUnrecordedRun(worker string, x lease.UnrecordedRun) {
	n.opts.Log.Emit(eventlog.UnrecordedRun, eventlog.Fields{Peer: worker, Job: x.Run.Job, Task: x.Run.Index + 1, Count: int64(x.Run.Run)})
}

// workerRestarted drains the agent of a worker that was found to have
// restarted. The new incarnation announces itself.
func (n *AgentNode) workerRestarted(a Announcement, incarnation int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.announced.Incarnation == a.Incarnation {
		n.answered = incarnation
		n.drainLocked("worker has restarted", false)
	}
}

// followDirectory reads the directory while the agent has no link.
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
		n.current.AddEntries(list)
	}
}

// mergeAddrs returns the seeds and those listed addresses that are not among them.
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

// Status returns the state of the current agent, or false if there is none.
func (n *AgentNode) Status() (agentd.Status, bool) {
	n.mu.Lock()
	current := n.current
	n.mu.Unlock()
	if current == nil {
		return agentd.Status{}, false
	}
	return current.Status()
}

// Stop drains the agent. It returns when the agent is drained, and those of earlier worker
// incarnations have stopped, or when ctx ends: entries start the tasks of a lost agent again
// although the worker may still carry out its starts, see stopReplaced.
func (n *AgentNode) Stop(ctx context.Context) error {
	n.mu.Lock()
	n.stopped = true
	current := n.current
	n.mu.Unlock()
	var err error
	if current != nil {
		err = current.Stop(ctx)
	}
	stopped := make(chan struct{})
	go func() { n.replacedStops.Wait(); close(stopped) }()
	select {
	case <-stopped:
	case <-ctx.Done():
		err = ctx.Err()
	}
	n.Kill()
	return err
}

// Kill stops the agent at once.
func (n *AgentNode) Kill() {
	n.cancel()
	n.mu.Lock()
	n.stopped = true
	current := n.current
	n.mu.Unlock()
	if current != nil {
		current.Kill()
	}
	n.replacedStops.Wait()
	n.wg.Wait()
}
