package faultmatrix

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// agentNode simulates one agent process around its state machine.
type agentNode struct {
	proc
	sim            *simulation
	index          int
	incarnation    wire.Incarnation
	machine        agentMachine
	epoch          wire.Epoch
	conns          [entryCount]*conn
	runs           map[agent.AttemptID]*taskRun
	drainStartedAt time.Duration
	draining       bool
	configVersion  int64 // of the current configuration
}

// taskRun is one request to the upstream.
type taskRun struct {
	id    agent.AttemptID
	start wire.Start
	sent  bool // the request was written, so bytes may have reached the upstream
	done  bool
}

// upstreamNode simulates one upstream process. A killed one is replaced by a new
// upstreamNode.
type upstreamNode struct {
	proc
	slowdown         int      // run times are multiplied by it
	failing          bool     // every task fails
	onConnectionLoss []func() // one per run; reports that its connection was lost
}

func (sim *simulation) startAgent(k int) {
	a := &agentNode{sim: sim, index: k, incarnation: sim.newIncarnation(), runs: make(map[agent.AttemptID]*taskRun)}
	o := agent.Options{Incarnation: a.incarnation, Slots: slots}
	if sim.variant.agent != nil {
		a.machine = sim.variant.agent(o)
	} else {
		a.machine = agent.New(o)
	}
	sim.agents[k] = a
	sim.runEvery(&a.proc, agentTick, a.tick)
}

// dialAll connects the agent to every entry.
func (sim *simulation) dialAll(a *agentNode) {
	for i := range entryCount {
		a.dial(i)
	}
}

func (a *agentNode) tick() {
	for _, c := range a.conns {
		if c != nil {
			c.closeIfSilent(toAgent)
		}
	}
	a.step(agent.Tick{})
}

// dial connects to entry i. The agent's end of the old connection is already closed,
// so that no start on it can be accepted after the new connection is announced.
func (a *agentNode) dial(i int) {
	e := a.sim.entries[i]
	a.epoch++
	c := &conn{sim: a.sim, entry: e, agent: a, entryIndex: i, epoch: a.epoch}
	c.receivedAt = [2]time.Duration{a.sim.now, a.sim.now}
	a.conns[i] = c
	if e.dead {
		c.silent[toEntry] = true
		a.sim.runLater(&a.proc, networkDelay, func() { c.close(toAgent) })
		return
	}
	hello := wire.AgentHello{
		Agent: a.incarnation, Epoch: c.epoch, Name: fmt.Sprint("worker-", a.index), Zone: fmt.Sprint("zone-", a.index%2),
		Rack: fmt.Sprint("rack-", a.index/2), Slots: slots, Capacity: wire.Capacity{MilliCores: 4000},
		ConfigVersion: a.machine.ConfigVersion(),
	}
	c.send(toEntry, func() { e.connected(c, hello) })
}

// connectionClosed handles the end of a connection at the agent and redials.
func (a *agentNode) connectionClosed(c *conn) {
	a.step(agent.LinkDown{Entry: c.entry.incarnation, Epoch: c.epoch})
	if a.conns[c.entryIndex] == c {
		a.sim.runLater(&a.proc, redialDelay, func() { a.dial(c.entryIndex) })
	}
}

func (a *agentNode) step(ev agent.Event) {
	if a.dead {
		return
	}
	a.sim.steps++
	// The returned slice is valid until the next step, which an injected fault
	// may cause.
	actions := append([]agent.Action(nil), a.machine.Step(a.sim.now, ev)...)
	a.sim.checker.checkAgentConfigVersion(a)
	for _, action := range actions {
		if !a.dead {
			a.sim.runIn(&a.proc, func() { a.handleAction(action) })
		}
	}
}

func (a *agentNode) handleAction(action agent.Action) {
	switch x := action.(type) {
	case *agent.Send:
		a.send(x)
	case *agent.Run:
		a.run(x)
	case agent.Stop:
		if r := a.runs[x.Attempt]; r != nil {
			a.abandonRun(r, wire.ReasonStopped)
		}
	case agent.Probe:
		up := a.sim.upstreams[a.index]
		a.sim.runLater(&a.proc, 2*networkDelay, func() { a.step(agent.Probed{Reachable: !up.dead}) })
	case agent.Drained:
		a.sim.checker.agentExited(a)
		a.sim.kill(&a.proc, func() { a.sim.closeAgent(a) })
	}
}

func (a *agentNode) send(x *agent.Send) {
	for _, c := range a.conns {
		if c == nil || c.entry.incarnation != x.Entry || c.epoch != x.Epoch || c.closed[toAgent] {
			continue
		}
		frame := *x.Frame
		c.send(toEntry, func() { c.entry.received(c, &frame) })
		if len(frame.Results) > 0 {
			a.sim.reachStep(stepResultSent, c.entryIndex, a.index)
		}
	}
}

// run sends the task to the upstream after networkDelay, during which the process
// may be paused or killed. A run that exceeds its timeout is abandoned.
func (a *agentNode) run(x *agent.Run) {
	r := &taskRun{id: x.Attempt, start: *x.Start}
	a.runs[r.id] = r
	a.sim.checker.runRequested(a)
	a.sim.reachStep(stepBeforeStart, a.sim.entryIndex(r.id.Entry), a.index)
	a.sim.runLater(&a.proc, networkDelay, func() { a.sendRequest(r) })
	a.sim.runLater(&a.proc, x.Timeout, func() { a.abandonRun(r, wire.ReasonRunLimit) })
}

func (a *agentNode) sendRequest(r *taskRun) {
	up := a.sim.upstreams[a.index]
	if r.done {
		return
	}
	if up.dead {
		a.runFinished(r, agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown})
		return
	}
	r.sent = true
	up.onConnectionLoss = append(up.onConnectionLoss, func() {
		a.sim.runLater(&a.proc, networkDelay, func() {
			a.runFinished(r, agent.Finished{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost})
		})
	})
	a.sim.runLater(&up.proc, networkDelay, func() { up.startTask(a, r) })
}

// startTask is called when the request reaches the upstream. Only this counts as
// a start of the task.
func (up *upstreamNode) startTask(a *agentNode, r *taskRun) {
	sim := a.sim
	sim.checker.runStarted(sim, r)
	sim.reachStep(stepRunning, sim.entryIndex(r.id.Entry), a.index)
	f := agent.Finished{Outcome: wire.Succeeded, Status: 200, Body: resultOf(r.start.Payload)}
	run := runTimeOf(r.start.Payload) * time.Duration(up.slowdown)
	if up.failing {
		f = agent.Finished{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500}
		run = time.Millisecond
	}
	f.RunTime = run
	sim.runLater(&up.proc, run, func() {
		sim.runLater(&a.proc, networkDelay, func() {
			sim.reachStep(stepResult, sim.entryIndex(r.id.Entry), a.index)
			sim.runIn(&a.proc, func() { a.runFinished(r, f) })
		})
	})
}

// abandonRun ends a run at the agent. The upstream may continue it.
func (a *agentNode) abandonRun(r *taskRun, reason wire.Reason) {
	f := agent.Finished{Outcome: wire.Unknown, Reason: reason}
	if !r.sent {
		f = agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonCancelled}
	}
	a.runFinished(r, f)
}

func (a *agentNode) runFinished(r *taskRun, f agent.Finished) {
	if r.done {
		return
	}
	r.done = true
	delete(a.runs, r.id)
	f.Attempt = r.id
	a.step(f)
}
