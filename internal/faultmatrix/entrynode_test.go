package faultmatrix

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// entryNode simulates one entry process around its state machine.
type entryNode struct {
	proc
	sim                 *simulation
	index               int
	incarnation         wire.Incarnation
	machine             entryMachine
	scheduler           *recordingScheduler
	conns               map[wire.Incarnation]*conn
	submissions         map[wire.SubmissionID]*submission
	answers             map[wire.SubmissionID]entry.JobAnswer
	answeredAsDuplicate map[wire.SubmissionID]bool // answered with the answer of another submission
	answerWaiters       map[wire.SubmissionID][]func(entry.JobAnswer)
	claims              claimState
	config              configMachine
	nextConfigRecord    int
	configVersion       int64 // of the current configuration
	draining            bool
	// reportedDraining holds the agents that have reported on their newest link
	// that they drain.
	reportedDraining map[wire.Incarnation]bool
}

// recordingScheduler records the current settings.
type recordingScheduler struct {
	policy.Scheduler
	settings policy.Settings
}

func (s *recordingScheduler) Configure(now time.Duration, set policy.Settings) {
	s.settings = set
	s.Scheduler.Configure(now, set)
}

func (sim *simulation) startEntry(i int) {
	e := &entryNode{
		sim: sim, index: i, incarnation: sim.newIncarnation(),
		conns:               make(map[wire.Incarnation]*conn),
		submissions:         make(map[wire.SubmissionID]*submission),
		answers:             make(map[wire.SubmissionID]entry.JobAnswer),
		answeredAsDuplicate: make(map[wire.SubmissionID]bool),
		answerWaiters:       make(map[wire.SubmissionID][]func(entry.JobAnswer)),
		reportedDraining:    make(map[wire.Incarnation]bool),
	}
	e.scheduler = &recordingScheduler{Scheduler: policy.New(policy.Options{Seed: uint64(e.incarnation)})}
	m := entry.New(entry.Options{Incarnation: e.incarnation, Scheduler: e.scheduler})
	e.machine = m
	if sim.variant.entry != nil {
		e.machine = sim.variant.entry(m)
	}
	c := config.New(config.Options{})
	e.config = c
	if sim.variant.config != nil {
		e.config = sim.variant.config(c)
	}
	e.claims.init()
	sim.entries[i] = e
	sim.entryIndices[e.incarnation] = i
	sim.runLater(&e.proc, 0, e.readLog)
	sim.runEvery(&e.proc, entryTick, e.tick)
}

func (sim *simulation) entryIndex(inc wire.Incarnation) int {
	return sim.entryIndices[inc]
}

func (e *entryNode) tick() {
	for _, a := range e.sim.agents {
		if c := e.conns[a.incarnation]; c != nil {
			c.closeIfSilent(toEntry)
		}
	}
	e.readLog()
	e.tickClaims()
	e.step(entry.Tick{})
}

func (e *entryNode) connected(c *conn, h wire.AgentHello) {
	if old := e.conns[c.agent.incarnation]; old != nil && old != c {
		old.closed[toEntry] = true // superseded
	}
	e.conns[c.agent.incarnation] = c
	delete(e.reportedDraining, c.agent.incarnation)
	version := e.configVersion
	c.send(toAgent, func() { c.agent.connected(c, version) })
	e.step(entry.LinkUp{Hello: h})
}

func (e *entryNode) connectionClosed(c *conn) {
	e.step(entry.LinkDown{Agent: c.agent.incarnation, Epoch: c.epoch})
}

func (e *entryNode) received(c *conn, f *wire.ToEntry) {
	if f.Load.Draining {
		e.reportedDraining[c.agent.incarnation] = true
	}
	e.step(entry.Received{Agent: c.agent.incarnation, Epoch: c.epoch, Frame: f})
}

func (e *entryNode) step(ev entry.Event) {
	if e.dead {
		return
	}
	e.sim.steps++
	// The returned slice is valid until the next step, which an injected fault
	// may cause.
	actions := append([]entry.Action(nil), e.machine.Step(e.sim.now, ev)...)
	for _, action := range actions {
		if !e.dead {
			e.sim.runIn(&e.proc, func() { e.handleAction(action) })
		}
	}
}

func (e *entryNode) handleAction(action entry.Action) {
	switch x := action.(type) {
	case entry.Send:
		e.send(x)
	case entry.RequestClaim:
		e.claim(e.submissions[x.Submission])
	case entry.ReleaseClaim:
		e.release(x.Submission)
	case entry.Answer:
		e.answer(x.Submission, x.Answer)
	case entry.NewerConfig:
		e.adopt(x.State.Version, x.State.State)
	case entry.Drained:
		e.sim.checker.entryExited(e)
		// The HTTP server sends the last answers before the process exits.
		e.sim.runLater(&e.proc, 3*networkDelay, func() { e.sim.kill(&e.proc, func() { e.sim.closeEntry(e) }) })
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
		e.sim.checker.startSent(e, c.agent)
		e.sim.reachStep(stepPlaced, e.index, c.agent.index)
	}
	if e.dead {
		return
	}
	c.send(toAgent, func() { c.agent.received(c, &frame) })
	if starts {
		e.sim.schedule(networkDelay/2, func() { e.sim.reachStep(stepSent, e.index, c.agent.index) })
	}
}

func (a *agentNode) connected(c *conn, version int64) {
	a.step(agent.LinkUp{Entry: c.entry.incarnation, Epoch: c.epoch, ConfigVersion: version})
}

func (a *agentNode) received(c *conn, f *wire.ToAgent) {
	if len(f.Starts) > 0 {
		a.sim.reachStep(stepReceived, c.entryIndex, a.index)
	}
	a.sim.runIn(&a.proc, func() {
		if !c.closed[toAgent] {
			a.step(agent.Received{Entry: c.entry.incarnation, Epoch: c.epoch, Frame: f})
		}
	})
}

// answer sends the answer of a submission to its caller and to the submissions of
// the same key that wait for it.
func (e *entryNode) answer(id wire.SubmissionID, a entry.JobAnswer) {
	if e.answeredAsDuplicate[id] {
		return
	}
	sub := e.submissions[id]
	e.answers[id] = a
	e.sim.checker.submissionAnswered(e.sim, sub, a)
	e.sim.reachStep(stepAnswer, e.index, sub.stepAgent)
	if e.dead {
		return
	}
	e.sim.runIn(&e.proc, func() { e.reply(sub, a) })
	for _, f := range e.answerWaiters[id] {
		f(a)
	}
	delete(e.answerWaiters, id)
}

func (e *entryNode) reply(sub *submission, a entry.JobAnswer) {
	delete(e.submissions, sub.id)
	e.sim.schedule(networkDelay, func() { e.sim.reachStep(stepAnswerSent, e.index, sub.stepAgent) })
	e.sim.schedule(2*networkDelay, func() { sub.handleAnswer(e.sim, a) })
}
