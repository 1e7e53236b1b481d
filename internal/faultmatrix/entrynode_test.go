package faultmatrix

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// entryNode is the fake shell of one entry process.
type entryNode struct {
	proc
	w        *world
	i        int
	inc      wire.Incarnation
	core     entryCore
	sched    *scheduler
	conns    map[wire.Incarnation]*conn
	calls    map[wire.SubmissionID]*call
	answers  map[wire.SubmissionID]entry.JobAnswer
	resolved map[wire.SubmissionID]bool // answered with another submission's answer
	waiting  map[wire.SubmissionID][]func(entry.JobAnswer)
	claims   claimState
	cfg      configCore
	cfgNext  int
	version  int64 // in force
	draining bool
	// saidDraining holds the agents whose draining was read on their newest link.
	saidDraining map[wire.Incarnation]bool
}

// scheduler records the settings in force.
type scheduler struct {
	policy.Scheduler
	settings policy.Settings
}

func (s *scheduler) Configure(now time.Duration, set policy.Settings) {
	s.settings = set
	s.Scheduler.Configure(now, set)
}

func (w *world) startEntry(i int) {
	e := &entryNode{
		w: w, i: i, inc: w.incarnation(),
		conns:        make(map[wire.Incarnation]*conn),
		calls:        make(map[wire.SubmissionID]*call),
		answers:      make(map[wire.SubmissionID]entry.JobAnswer),
		resolved:     make(map[wire.SubmissionID]bool),
		waiting:      make(map[wire.SubmissionID][]func(entry.JobAnswer)),
		saidDraining: make(map[wire.Incarnation]bool),
	}
	e.sched = &scheduler{Scheduler: policy.New(policy.Options{Seed: uint64(e.inc)})}
	m := entry.New(entry.Options{Incarnation: e.inc, Scheduler: e.sched})
	e.core = m
	if w.variant.entry != nil {
		e.core = w.variant.entry(m)
	}
	c := config.New(config.Options{})
	e.cfg = c
	if w.variant.config != nil {
		e.cfg = w.variant.config(c)
	}
	e.claims.init()
	w.entries[i] = e
	w.indices[e.inc] = i
	w.later(&e.proc, 0, e.readLog)
	w.every(&e.proc, entryTick, e.tick)
}

func (w *world) entryIndex(inc wire.Incarnation) int {
	return w.indices[inc]
}

func (e *entryNode) tick() {
	for _, a := range e.w.agents {
		if c := e.conns[a.inc]; c != nil {
			c.lapse(toEntry)
		}
	}
	e.readLog()
	e.tickClaims()
	e.step(entry.Tick{})
}

func (e *entryNode) connected(c *conn, h wire.AgentHello) {
	if old := e.conns[c.agent.inc]; old != nil && old != c {
		old.closed[toEntry] = true // superseded
	}
	e.conns[c.agent.inc] = c
	delete(e.saidDraining, c.agent.inc)
	version := e.version
	c.send(toAgent, func() { c.agent.linked(c, version) })
	e.step(entry.LinkUp{Hello: h})
}

func (e *entryNode) lost(c *conn) {
	e.step(entry.LinkDown{Agent: c.agent.inc, Epoch: c.epoch})
}

func (e *entryNode) received(c *conn, f *wire.ToEntry) {
	if f.Load.Draining {
		e.saidDraining[c.agent.inc] = true
	}
	e.step(entry.Received{Agent: c.agent.inc, Epoch: c.epoch, Frame: f})
}

func (e *entryNode) step(ev entry.Event) {
	if e.dead {
		return
	}
	e.w.steps++
	// The slice is valid until the next step, which a hook may cause.
	actions := append([]entry.Action(nil), e.core.Step(e.w.now, ev)...)
	for _, action := range actions {
		if !e.dead {
			e.w.in(&e.proc, func() { e.act(action) })
		}
	}
}

func (e *entryNode) act(action entry.Action) {
	switch x := action.(type) {
	case entry.Send:
		e.send(x)
	case entry.RequestClaim:
		e.claim(e.calls[x.Submission])
	case entry.ReleaseClaim:
		e.release(x.Submission)
	case entry.Answer:
		e.answer(x.Submission, x.Answer)
	case entry.NewerConfig:
		e.adopt(x.State.Version, x.State.State)
	case entry.Drained:
		e.w.check.entryExit(e)
		// The HTTP server sends the last answers before the process ends.
		e.w.later(&e.proc, 3*hop, func() { e.w.kill(&e.proc, func() { e.w.closeEntry(e) }) })
	}
}

func (e *entryNode) send(x entry.Send) {
	c := e.conns[x.Agent]
	if c == nil || c.epoch != x.Epoch || c.closed[toEntry] {
		return
	}
	frame := *x.Frame
	starts := len(frame.Starts) > 0
	if starts {
		e.w.check.startSent(e, c.agent)
		e.w.reach(stepPlaced, e.i, c.agent.k)
	}
	if e.dead {
		return
	}
	c.send(toAgent, func() { c.agent.receivedFrame(c, &frame) })
	if starts {
		e.w.after(hop/2, func() { e.w.reach(stepSent, e.i, c.agent.k) })
	}
}

func (a *agentNode) linked(c *conn, version int64) {
	a.step(agent.LinkUp{Entry: c.entry.inc, Epoch: c.epoch, ConfigVersion: version})
}

func (a *agentNode) receivedFrame(c *conn, f *wire.ToAgent) {
	if len(f.Starts) > 0 {
		a.w.reach(stepReceived, c.index, a.k)
	}
	a.w.in(&a.proc, func() {
		if !c.closed[toAgent] {
			a.step(agent.Received{Entry: c.entry.inc, Epoch: c.epoch, Frame: f})
		}
	})
}

// answer passes the answer of a submission to its caller and to those who
// wait for it at other entries.
func (e *entryNode) answer(id wire.SubmissionID, a entry.JobAnswer) {
	if e.resolved[id] {
		return
	}
	c := e.calls[id]
	e.answers[id] = a
	e.w.check.answered(e.w, c, a)
	e.w.reach(stepAnswer, e.i, c.agentHint)
	if e.dead {
		return
	}
	e.w.in(&e.proc, func() { e.reply(c, a) })
	for _, f := range e.waiting[id] {
		f(a)
	}
	delete(e.waiting, id)
}

func (e *entryNode) reply(c *call, a entry.JobAnswer) {
	delete(e.calls, c.id)
	e.w.after(hop, func() { e.w.reach(stepAnswerSent, e.i, c.agentHint) })
	e.w.after(2*hop, func() { c.ended(e.w, a) })
}
