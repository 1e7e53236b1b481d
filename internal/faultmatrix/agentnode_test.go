package faultmatrix

import (
	"fmt"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// agentNode is the fake shell of one agent process.
type agentNode struct {
	proc
	w        *world
	k        int
	inc      wire.Incarnation
	core     agentCore
	epoch    wire.Epoch
	conns    [entryCount]*conn
	runs     map[agent.AttemptID]*taskRun
	drainAt  time.Duration
	draining bool
	config   int64 // highest version seen in force
}

// taskRun is one request to the upstream.
type taskRun struct {
	id     agent.AttemptID
	start  wire.Start
	writes bool // bytes may have reached the upstream
	done   bool
}

// upstreamNode is one upstream. Its process is replaced when it is killed.
type upstreamNode struct {
	proc
	slow    int
	failing bool
	runs    []func() // reports the loss of the connection of each run
}

func (w *world) startAgent(k int) {
	a := &agentNode{w: w, k: k, inc: w.incarnation(), runs: make(map[agent.AttemptID]*taskRun)}
	o := agent.Options{Incarnation: a.inc, Slots: slots}
	if w.variant.agent != nil {
		a.core = w.variant.agent(o)
	} else {
		a.core = agent.New(o)
	}
	w.agents[k] = a
	w.every(&a.proc, agentTick, a.tick)
}

func (w *world) dialAll(a *agentNode) {
	for i := range entryCount {
		a.dial(i)
	}
}

func (a *agentNode) tick() {
	for _, c := range a.conns {
		if c != nil {
			c.lapse(toAgent)
		}
	}
	a.step(agent.Tick{})
}

// dial connects to entry i. The old connection is closed first, so that no
// start on it can be accepted after the new one is announced.
func (a *agentNode) dial(i int) {
	e := a.w.entries[i]
	a.epoch++
	c := &conn{w: a.w, entry: e, agent: a, index: i, epoch: a.epoch}
	c.heardAt = [2]time.Duration{a.w.now, a.w.now}
	a.conns[i] = c
	if e.dead {
		c.silent[toEntry] = true
		a.w.later(&a.proc, hop, func() { c.close(toAgent) })
		return
	}
	hello := wire.AgentHello{
		Agent: a.inc, Epoch: c.epoch, Name: fmt.Sprint("worker-", a.k), Zone: fmt.Sprint("zone-", a.k%2),
		Rack: fmt.Sprint("rack-", a.k/2), Slots: slots, Capacity: wire.Capacity{MilliCores: 4000},
		ConfigVersion: a.core.ConfigVersion(),
	}
	c.send(toEntry, func() { e.connected(c, hello) })
}

// lost handles the end of a connection at the agent, and redials.
func (a *agentNode) lost(c *conn) {
	a.step(agent.LinkDown{Entry: c.entry.inc, Epoch: c.epoch})
	if a.conns[c.index] == c {
		a.w.later(&a.proc, redialPause, func() { a.dial(c.index) })
	}
}

func (a *agentNode) step(ev agent.Event) {
	if a.dead {
		return
	}
	a.w.steps++
	// The slice is valid until the next step, which a hook may cause.
	actions := append([]agent.Action(nil), a.core.Step(a.w.now, ev)...)
	a.w.check.agentConfig(a)
	for _, action := range actions {
		if !a.dead {
			a.w.in(&a.proc, func() { a.act(action) })
		}
	}
}

func (a *agentNode) act(action agent.Action) {
	switch x := action.(type) {
	case *agent.Send:
		a.send(x)
	case *agent.Run:
		a.run(x)
	case agent.Stop:
		if r := a.runs[x.Attempt]; r != nil {
			a.giveUp(r, wire.ReasonStopped)
		}
	case agent.Probe:
		up := a.w.ups[a.k]
		a.w.later(&a.proc, 2*hop, func() { a.step(agent.Probed{Reachable: !up.dead}) })
	case agent.Drained:
		a.w.check.agentExit(a)
		a.w.kill(&a.proc, func() { a.w.closeAgent(a) })
	}
}

func (a *agentNode) send(x *agent.Send) {
	for _, c := range a.conns {
		if c == nil || c.entry.inc != x.Entry || c.epoch != x.Epoch || c.closed[toAgent] {
			continue
		}
		frame := *x.Frame
		c.send(toEntry, func() { c.entry.received(c, &frame) })
		if len(frame.Results) > 0 {
			a.w.reach(stepResultSent, c.index, a.k)
		}
	}
}

// run sends the task to the upstream after a moment in which the process may
// be paused or die.
func (a *agentNode) run(x *agent.Run) {
	r := &taskRun{id: x.Attempt, start: *x.Start}
	a.runs[r.id] = r
	a.w.check.runOrdered(a)
	a.w.reach(stepBeforeStart, a.w.entryIndex(r.id.Entry), a.k)
	a.w.later(&a.proc, hop, func() { a.write(r) })
	a.w.later(&a.proc, x.Timeout, func() { a.giveUp(r, wire.ReasonRunLimit) })
}

func (a *agentNode) write(r *taskRun) {
	up := a.w.ups[a.k]
	if r.done {
		return
	}
	if up.dead {
		a.finished(r, agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonUpstreamDown})
		return
	}
	r.writes = true
	up.runs = append(up.runs, func() {
		a.w.later(&a.proc, hop, func() {
			a.finished(r, agent.Finished{Outcome: wire.Unknown, Reason: wire.ReasonConnectionLost})
		})
	})
	a.w.later(&up.proc, hop, func() { up.begin(a, r) })
}

// begin is the start that counts: the upstream got the task.
func (up *upstreamNode) begin(a *agentNode, r *taskRun) {
	w := a.w
	w.check.startedRun(w, r)
	w.reach(stepRunning, w.entryIndex(r.id.Entry), a.k)
	f := agent.Finished{Outcome: wire.Succeeded, Status: 200, Body: resultOf(r.start.Payload)}
	run := taskTime(r.start.Payload) * time.Duration(up.slow)
	if up.failing {
		f = agent.Finished{Outcome: wire.Failed, Reason: wire.ReasonUpstreamError, Status: 500}
		run = time.Millisecond
	}
	f.RunTime = run
	w.later(&up.proc, run, func() {
		w.later(&a.proc, hop, func() {
			w.reach(stepResult, w.entryIndex(r.id.Entry), a.k)
			w.in(&a.proc, func() { a.finished(r, f) })
		})
	})
}

// giveUp ends a run at the agent's side; the upstream may go on.
func (a *agentNode) giveUp(r *taskRun, reason wire.Reason) {
	f := agent.Finished{Outcome: wire.Unknown, Reason: reason}
	if !r.writes {
		f = agent.Finished{Outcome: wire.NotRun, Reason: wire.ReasonCancelled}
	}
	a.finished(r, f)
}

func (a *agentNode) finished(r *taskRun, f agent.Finished) {
	if r.done {
		return
	}
	r.done = true
	delete(a.runs, r.id)
	f.Attempt = r.id
	a.step(f)
}
