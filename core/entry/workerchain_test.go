package entry_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const chainTick = 10 * time.Millisecond

// workerChain connects an entry with workers, each with the two state machines of its
// agent. Everything that is sent is handled with the next tick or later.
type workerChain struct {
	rng     *rand.Rand
	now     time.Duration
	entry   *entry.Machine
	hosts   []*chainHost
	lastID  wire.Incarnation
	frozen  bool          // the entry does not run
	inbox   []entry.Event // of the entry while it is frozen
	delayed []delayedStep
	answers []entry.JobAnswer
	// ackDelay is the longest time until a finished run is acknowledged.
	ackDelay time.Duration
	// recorded holds the finished runs that were reported for recording and count.
	recorded map[wire.RunRef]bool

	// runTime returns how long the next run takes, and whether it fails.
	nextRun func() (runTime time.Duration, fails bool)
	// What the workers listed or met.
	starts  int
	ends    map[lease.EndKind]int
	failed  map[int]int // runs that a worker listed as failed, by task
	crashed map[int]int // runs under which a worker crashed, by task
}

type delayedStep struct {
	at time.Duration
	do func()
}

// chainHost is a worker with its agent.
type chainHost struct {
	c       *workerChain
	name    string
	id      wire.Incarnation // of the agent
	epoch   wire.Epoch
	up      bool
	agent   *agent.Machine
	lease   *lease.Machine
	orphans int // stops of runs whose entry was unresponsive

	// State of the worker.
	incarnation int64
	loseStarts  bool // starts are not answered, and carried out with the next stop
	loseCalls   int  // share of calls without an answer, in percent
	late        []wire.RunRef
	running     map[wire.RunRef]chainRun
	ended       []lease.EndedRun
	acked       int
	listed      int           // ended runs that were in an answer to a poll
	startSentAt time.Duration // when the newest start was sent
	highest     map[int]int   // highest run number that was stopped or ended, by task
	leaseEnd    time.Duration
	goneUntil   time.Duration // its process does not run
	silentUntil time.Duration // it answers and handles no call
}

type chainRun struct {
	endAt time.Duration
	fails bool
}

func newWorkerChain(seed uint64, hosts int, s policy.Scheduler) *workerChain {
	c := &workerChain{
		rng: rand.New(rand.NewPCG(seed, 41)), now: time.Minute, lastID: 100, recorded: make(map[wire.RunRef]bool),
		ends: make(map[lease.EndKind]int), failed: make(map[int]int), crashed: make(map[int]int),
		nextRun: func() (time.Duration, bool) { return 900 * time.Millisecond, false },
		entry: entry.New(entry.Options{
			Incarnation: 1, Scheduler: s, HeartbeatInterval: 200 * time.Millisecond, LostAgentTimeout: 400 * time.Millisecond,
			ResendDelay: 1300 * time.Millisecond,
		}),
	}
	c.stepEntry(entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: time.Minute, TargetShare: 1}}}})
	c.stepEntry(entry.StoredLease{Until: time.Hour})
	for i := range hosts {
		h := &chainHost{
			c: c, name: string(rune('a' + i)), incarnation: 1,
			running: make(map[wire.RunRef]chainRun), highest: make(map[int]int),
		}
		c.hosts = append(c.hosts, h)
		h.startAgent()
	}
	return c
}

func (c *workerChain) after(d time.Duration, do func()) {
	c.delayed = append(c.delayed, delayedStep{at: c.now + max(d, chainTick), do: do})
}

func (c *workerChain) millis(low, high int) time.Duration {
	return time.Duration(low+c.rng.IntN(high-low+1)) * time.Millisecond
}

func (c *workerChain) host(id wire.Incarnation) *chainHost {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (c *workerChain) stepEntry(ev entry.Event) {
	if c.frozen {
		c.inbox = append(c.inbox, ev)
		return
	}
	if _, tick := ev.(entry.Tick); tick {
		c.stepEntry(entry.CallersChecked{}) // none leaves
	}
	for _, a := range c.entry.Step(c.now, ev) {
		switch x := a.(type) {
		case entry.Send:
			c.after(0, func() {
				if h := c.host(x.Agent); h != nil && h.up && h.epoch == x.Epoch {
					h.stepAgent(agent.Received{Entry: 1, Epoch: x.Epoch, Frame: x.Frame})
				}
			})
		case entry.Answer:
			c.answers = append(c.answers, x.Answer)
		case entry.RunFinished:
			c.recorded[x.Run.Run] = c.recorded[x.Run.Run] || !x.Superseded
			ack := entry.AcknowledgedRuns{Agent: x.Agent, Runs: []wire.RunRef{x.Run.Run}, Superseded: !c.recorded[x.Run.Run]}
			delay := chainTick
			if c.ackDelay > 0 {
				delay = time.Duration(c.rng.Int64N(int64(c.ackDelay)))
			}
			c.after(delay, func() { c.stepEntry(ack) })
		}
	}
}

// startAgent starts a new incarnation of the agent, which stops what runs at the worker
// and finds the finished runs there that are not acknowledged.
func (h *chainHost) startAgent() {
	c := h.c
	c.lastID++
	h.id, h.late = c.lastID, nil
	for run := range h.running {
		h.end(run, lease.EndedStopped)
	}
	var retained []lease.EndedRun
	var finished []wire.FinishedRun
	for _, e := range h.ended[h.acked:] {
		if e.Kind == lease.EndedSucceeded || e.Kind == lease.EndedFailed {
			retained = append(retained, e)
			finished = append(finished, wire.FinishedRun{Run: e.Run, Failed: e.Kind == lease.EndedFailed})
		}
	}
	h.agent = agent.New(agent.Options{
		Incarnation: h.id, Slots: 4, RunLease: 500 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond,
		LostLinkTimeout: 500 * time.Millisecond, RetainedRuns: finished,
	})
	h.lease = lease.New(lease.Options{RetainedRuns: retained})
	h.connect(finished)
}

func (h *chainHost) connect(finished []wire.FinishedRun) {
	c := h.c
	h.epoch++
	h.up = true
	h.stepAgent(agent.LinkUp{Entry: 1, Epoch: h.epoch, HelloSentAt: c.now})
	hello := wire.AgentHello{
		Agent: h.id, Epoch: h.epoch, Name: h.name, Slots: 4, NoLeftoverRuns: true, WorkerIncarnation: h.incarnation,
		TakeoverTime: wire.MicrosOf(time.Duration(h.id)), FinishedRuns: finished,
	}
	c.stepEntry(entry.LinkUp{Hello: hello})
}

// loseLink breaks the link. The agent notices at once, the entry after a delay.
func (h *chainHost) loseLink(noticedAfter time.Duration) {
	if !h.up {
		return
	}
	h.up = false
	h.stepAgent(agent.LinkDown{Entry: 1, Epoch: h.epoch})
	down := entry.LinkDown{Agent: h.id, Epoch: h.epoch}
	h.c.after(noticedAfter, func() { h.c.stepEntry(down) })
}

// restartAgent replaces the agent's process.
func (h *chainHost) restartAgent() {
	h.loseLink(0)
	h.startAgent()
}

// crash ends the process of the worker, which is back after the given time. To its agent
// it crashes under the runs in progress, those that have ended unseen, and those of which a
// start was just sent.
func (h *chainHost) crash(back time.Duration) {
	c := h.c
	for run := range h.running {
		c.crashed[run.Index]++
	}
	for _, end := range h.ended[h.listed:] {
		c.crashed[end.Run.Index]++
	}
	for _, run := range h.late {
		if c.now-h.startSentAt <= 50*time.Millisecond {
			c.crashed[run.Index]++
		}
	}
	clear(h.running)
	clear(h.highest)
	h.ended, h.acked, h.listed, h.late = nil, 0, 0, nil
	h.incarnation++
	h.goneUntil = c.now + back
}

func (h *chainHost) stepAgent(ev agent.Event) {
	c, id := h.c, h.id
	// toLease steps the lease machine unless the process has been replaced.
	toLease := func(ev lease.Event) {
		c.after(0, func() {
			if h.id == id {
				h.stepLease(ev)
			}
		})
	}
	for _, a := range h.agent.Step(c.now, ev) {
		switch x := a.(type) {
		case *agent.Send:
			epoch := x.Epoch
			c.after(0, func() {
				if h.id == id && h.up && h.epoch == epoch {
					c.stepEntry(entry.Received{Agent: id, Epoch: epoch, Frame: x.Frame})
				}
			})
		case *agent.Run:
			toLease(lease.StartOf(x))
		case agent.Stop:
			if x.Orphan {
				h.orphans++
			}
			toLease(lease.StopOf(x))
		case agent.Permissions:
			toLease(lease.Permissions{List: x.List})
		case agent.AcknowledgeRun:
			toLease(lease.AcknowledgeRun{Run: x.Run})
		case agent.SupersedeRun:
			toLease(lease.SupersedeRun{Run: x.Run})
		case agent.Probe:
			c.after(0, func() {
				if h.id == id {
					h.stepAgent(agent.Probed{Reachable: c.now >= h.goneUntil})
				}
			})
		}
	}
}

func (h *chainHost) stepLease(ev lease.Event) {
	c, id := h.c, h.id
	answer := func(handle func() lease.Event) {
		c.after(0, func() {
			if h.id == id {
				h.stepLease(handle())
			}
		})
	}
	for _, a := range h.lease.Step(c.now, ev) {
		switch x := a.(type) {
		case lease.CallStart:
			answer(func() lease.Event { return h.handleStart(x) })
		case lease.CallStop:
			answer(func() lease.Event { return h.handleStop(x.Run) })
		case lease.CallPoll:
			answer(func() lease.Event { return h.handlePoll(x) })
		case lease.Finished:
			c.after(0, func() {
				if h.id == id {
					h.stepAgent(agent.Finished{Attempt: x.Attempt, Outcome: x.Outcome, Reason: x.Reason, RunTime: x.RunTime, Checkpoint: x.Checkpoint})
				}
			})
		case lease.Admission:
			c.after(0, func() {
				if h.id == id {
					h.stepAgent(agent.AdmissionChanged{Closed: x.Closed})
				}
			})
		case lease.WorkerRestarted:
			c.after(0, func() {
				if h.id == id {
					h.restartAgent()
				}
			})
		}
	}
}

func (h *chainHost) unanswered() bool { return h.c.rng.IntN(100) < h.loseCalls }

func (h *chainHost) handleStart(x lease.CallStart) lease.Event {
	h.startSentAt = h.c.now
	out := lease.Started{Run: x.Run, Result: lease.StartAccepted, Clock: h.c.now}
	switch {
	case h.c.now < h.goneUntil:
		return lease.Started{Run: x.Run, Result: lease.StartRefused, Reason: wire.ReasonUpstreamDown, ProcessGone: true}
	case h.loseStarts, h.loseCalls > 0 && h.unanswered(), h.c.now < h.silentUntil:
		if !slices.Contains(h.late, x.Run) {
			h.late = append(h.late, x.Run)
		}
		out.Result = lease.StartUnanswered
		return out
	}
	if !h.begin(x.Run) {
		out.Result, out.Reason = lease.StartRefused, wire.ReasonStaleRun
		return out
	}
	h.leaseEnd = max(h.leaseEnd, x.Deadline)
	if h.unanswered() {
		out.Result = lease.StartUnanswered
	}
	return out
}

// begin starts a run unless the worker has seen its end or a later run.
func (h *chainHost) begin(run wire.RunRef) bool {
	if _, runs := h.running[run]; runs {
		return true
	}
	if run.Run <= h.highest[run.Index] {
		return false
	}
	runTime, fails := h.c.nextRun()
	h.running[run] = chainRun{endAt: h.c.now + runTime, fails: fails}
	h.leaseEnd = max(h.leaseEnd, h.c.now+lease.DefaultLease)
	h.c.starts++
	return true
}

// carryOutLate carries out the starts that were left for later.
func (h *chainHost) carryOutLate() {
	late := h.late
	h.late = nil
	for _, run := range late {
		h.begin(run)
	}
}

func (h *chainHost) handleStop(run wire.RunRef) lease.Event {
	if h.c.now < max(h.goneUntil, h.silentUntil) {
		return lease.Stopped{Run: run}
	}
	h.carryOutLate()
	if _, runs := h.running[run]; runs {
		h.end(run, lease.EndedStopped)
	}
	h.highest[run.Index] = max(h.highest[run.Index], run.Run)
	return lease.Stopped{Run: run, Acknowledged: !h.unanswered(), Clock: h.c.now}
}

func (h *chainHost) end(run wire.RunRef, kind lease.EndKind) {
	delete(h.running, run)
	h.highest[run.Index] = max(h.highest[run.Index], run.Run)
	h.ended = append(h.ended, lease.EndedRun{Number: len(h.ended) + 1, Run: run, Kind: kind})
	h.c.ends[kind]++
	if kind == lease.EndedFailed {
		h.c.failed[run.Index]++
	}
}

func (h *chainHost) handlePoll(x lease.CallPoll) lease.Event {
	if h.c.now < h.goneUntil {
		return lease.Polled{ProcessGone: true}
	}
	if h.c.now < h.silentUntil {
		return lease.Polled{}
	}
	h.leaseEnd = max(h.leaseEnd, x.Deadline)
	h.acked = max(h.acked, min(x.AckUpTo, len(h.ended)))
	if h.unanswered() {
		return lease.Polled{}
	}
	h.listed = len(h.ended)
	status := &lease.WorkerStatus{Incarnation: h.incarnation, Clock: h.c.now, Ended: slices.Clone(h.ended[h.acked:])}
	for run := range h.running {
		status.Running = append(status.Running, run)
	}
	slices.SortFunc(status.Running, func(a, b wire.RunRef) int { return a.Index - b.Index })
	return lease.Polled{Status: status}
}

// endRuns ends the runs that are over and those whose lease has expired.
func (h *chainHost) endRuns() {
	runs := make([]wire.RunRef, 0, len(h.running))
	for run := range h.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b wire.RunRef) int { return a.Index - b.Index })
	for _, run := range runs {
		switch x := h.running[run]; {
		case h.c.now > h.leaseEnd:
			h.end(run, lease.EndedInconclusive)
		case h.c.now < x.endAt:
		case x.fails:
			h.end(run, lease.EndedFailed)
		default:
			h.end(run, lease.EndedSucceeded)
		}
	}
}

// advance moves the time forward.
func (c *workerChain) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += chainTick
		var due []func()
		c.delayed = slices.DeleteFunc(c.delayed, func(x delayedStep) bool {
			if x.at > c.now {
				return false
			}
			due = append(due, x.do)
			return true
		})
		for _, h := range c.hosts {
			h.endRuns()
		}
		for _, do := range due {
			do()
		}
		if !c.frozen {
			c.stepEntry(entry.Tick{})
		}
		for _, h := range c.hosts {
			h.stepAgent(agent.Tick{})
			h.stepLease(lease.Tick{})
		}
	}
}

// thawEntry lets the entry handle what waits for it.
func (c *workerChain) thawEntry() {
	c.frozen = false
	inbox := c.inbox
	c.inbox = nil
	for _, ev := range inbox {
		c.stepEntry(ev)
	}
}

func (c *workerChain) freezeEntry(d time.Duration) {
	c.frozen = true
	c.advance(d)
	c.thawEntry()
}

// advanceUntil moves the time forward until the condition holds, and reports whether it
// does within 10 s and before a job ends.
func (c *workerChain) advanceUntil(holds func() bool) bool {
	for limit := c.now + 10*time.Second; !holds(); c.advance(chainTick) {
		if c.now >= limit || len(c.answers) > 0 {
			return false
		}
	}
	return true
}
