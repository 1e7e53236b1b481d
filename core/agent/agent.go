// Package agent is the state machine of the agent, the process beside one
// upstream that decides last whether a task starts.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order. One
// sequence of calls always gives the same actions.
//
// Invariants:
//   - An attempt (entry incarnation, seq) yields at most one Run action.
//   - After the machine reported NotRun for an attempt, that attempt never
//     yields a Run action.
//   - A start is accepted only on the current epoch of its link and only with a
//     seq above every seq seen from that entry, so a delayed or repeated start
//     is refused without remembering each refused seq.
package agent

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configure a Machine. Zero durations and counts take the defaults.
type Options struct {
	Incarnation wire.Incarnation
	// Slots is the number of tasks that the upstream runs at once.
	Slots int
	// QueueCapacity bounds the tasks that wait at the agent. Default 2 x Slots.
	QueueCapacity int
	// Window bounds the unsettled attempts of one entry. Default 4096.
	Window int
	// HeartbeatInterval is the longest silence on a healthy link. Default 500 ms.
	HeartbeatInterval time.Duration
	// LinkLease is how long queued tasks outlive their entry's link. Default 5 s.
	LinkLease time.Duration
	// PeerRetention is how long results are kept for an entry whose link is
	// down; later queries about them are answered Unknown. Default 10 min.
	PeerRetention time.Duration
}

// Defaults of Options.
const (
	DefaultWindow            = 4096
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultLinkLease         = 5 * time.Second
	DefaultPeerRetention     = 10 * time.Minute
	initialMeanRun           = 200 * time.Millisecond
	meanRunWeight            = 0.1 // weight of the newest sample in the moving average
)

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = 1
	}
	if o.QueueCapacity <= 0 {
		o.QueueCapacity = 2 * o.Slots
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.LinkLease <= 0 {
		o.LinkLease = DefaultLinkLease
	}
	if o.PeerRetention <= 0 {
		o.PeerRetention = DefaultPeerRetention
	}
	return o
}

// AttemptID identifies one attempt at this agent.
type AttemptID struct {
	Entry wire.Incarnation
	Seq   wire.Seq
}

// Machine is the agent's state machine. It is not safe for concurrent use.
type Machine struct {
	opts      Options
	peers     map[wire.Incarnation]*peer
	peerList  []*peer // in order of first contact, so that iteration is deterministic
	queue     runQueue
	running   int
	limit     int
	meanRun   time.Duration
	successes uint64
	failures  uint64
	draining  bool
	drained   bool
	down      bool
	order     uint64 // arrival counter, breaks ties in the queue
	actions   []Action
}

// New returns a machine with no links and every slot free.
func New(opts Options) *Machine {
	opts = opts.withDefaults()
	return &Machine{
		opts:    opts,
		peers:   make(map[wire.Incarnation]*peer),
		limit:   opts.Slots,
		meanRun: initialMeanRun,
	}
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = m.actions[:0]
	switch e := ev.(type) {
	case LinkUp:
		m.linkUp(now, e)
	case LinkDown:
		m.linkDown(now, e)
	case Received:
		m.received(now, e)
	case Finished:
		m.finished(now, e)
	case Drain:
		m.drain()
	case Tick:
		m.tick(now)
	}
	m.startQueued(now)
	m.flush(now)
	m.reportDrained()
	return m.actions
}

// Load returns the state that the agent reports on every frame.
func (m *Machine) Load() wire.Load {
	return wire.Load{
		Running:      m.running,
		Queued:       m.queue.Len(),
		Slots:        m.opts.Slots,
		Limit:        m.limit,
		ExpectedWait: wire.MicrosOf(m.expectedWait(m.queue.Len())),
		Successes:    m.successes,
		Failures:     m.failures,
		Draining:     m.draining,
		Down:         m.down,
	}
}

// expectedWait estimates the queueing delay of a start with ahead tasks before it.
func (m *Machine) expectedWait(ahead int) time.Duration {
	if m.running+ahead < m.limit {
		return 0
	}
	return m.meanRun * time.Duration(ahead+1) / time.Duration(m.limit)
}

func (m *Machine) received(now time.Duration, e Received) {
	p := m.peers[e.Entry]
	if p == nil || !p.up || p.epoch != e.Epoch {
		return // frame of a replaced connection
	}
	p.settle(e.Frame.Floor)
	for i := range e.Frame.Starts {
		m.start(now, p, &e.Frame.Starts[i])
	}
	for _, seq := range e.Frame.Cancels {
		m.cancel(p, seq)
	}
	for _, seq := range e.Frame.Queries {
		m.query(p, seq)
	}
}

func (m *Machine) start(now time.Duration, p *peer, s *wire.Start) {
	if s.Seq <= p.maxSeen || s.Seq < p.floor {
		m.refuseDuplicate(p, s.Seq)
		return
	}
	p.maxSeen = s.Seq
	due := now + s.Slack.Duration()
	if reason := m.refusal(p, s, due); reason != wire.ReasonNone {
		p.report(wire.Result{Seq: s.Seq, Outcome: wire.NotRun, Reason: reason})
		return
	}
	m.order++
	a := &attempt{
		peer:     p,
		start:    *s,
		arrived:  now,
		due:      due,
		deadline: now + s.Deadline.Duration(),
		order:    m.order,
		state:    stateQueued,
	}
	p.attempts[s.Seq] = a
	m.queue.push(a)
}

// refuseDuplicate answers a start that must not be accepted. A known attempt
// keeps its own outcome; anything else was never accepted and never will be.
func (m *Machine) refuseDuplicate(p *peer, seq wire.Seq) {
	if _, known := p.attempts[seq]; known {
		return
	}
	if seq < p.floor {
		return // settled at the entry; nobody waits for an answer
	}
	p.report(wire.Result{Seq: seq, Outcome: wire.NotRun, Reason: wire.ReasonStaleSeq})
}

// refusal returns why a new start cannot be accepted, or ReasonNone.
func (m *Machine) refusal(p *peer, s *wire.Start, due time.Duration) wire.Reason {
	switch {
	case m.draining:
		return wire.ReasonDraining
	case s.Deadline <= 0:
		return wire.ReasonExpired
	case len(p.attempts) >= m.opts.Window:
		return wire.ReasonBusy
	}
	wait := m.expectedWait(m.queue.ahead(due))
	if wait == 0 {
		return wire.ReasonNone
	}
	if m.queue.Len() >= m.opts.QueueCapacity || wait > s.MaxWait.Duration() {
		return wire.ReasonBusy
	}
	return wire.ReasonNone
}

func (m *Machine) cancel(p *peer, seq wire.Seq) {
	a := p.attempts[seq]
	if a == nil {
		return
	}
	switch a.state {
	case stateQueued:
		m.queue.remove(a)
		a.finish(wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonCancelled})
	case stateRunning:
		m.emit(Stop{Attempt: a.id()})
	case stateDone:
	}
}

// query answers for an attempt that was in flight when a connection was
// replaced. An attempt that is queued or running is answered by its result.
func (m *Machine) query(p *peer, seq wire.Seq) {
	a := p.attempts[seq]
	switch {
	case a != nil && a.state == stateDone:
		p.report(a.result)
	case a != nil:
	case seq < p.floor:
		// The record was released, so nothing truthful can be said about it.
		p.report(wire.Result{Seq: seq, Outcome: wire.Unknown, Reason: wire.ReasonStaleSeq})
	default:
		if seq > p.maxSeen {
			p.maxSeen = seq // a delayed start of this attempt is refused from now on
		}
		p.report(wire.Result{Seq: seq, Outcome: wire.NotRun, Reason: wire.ReasonNotReceived})
	}
}

func (m *Machine) startQueued(now time.Duration) {
	for m.running < m.limit && m.queue.Len() > 0 {
		a := m.queue.pop()
		if now >= a.deadline {
			a.finish(wire.Result{Outcome: wire.NotRun, Reason: wire.ReasonExpired})
			continue
		}
		a.state = stateRunning
		a.started = now
		m.running++
		m.emit(Run{Attempt: a.id(), Start: a.start, Timeout: a.deadline - now})
	}
}

func (m *Machine) finished(now time.Duration, e Finished) {
	p := m.peers[e.Attempt.Entry]
	if p == nil {
		return
	}
	if p.running[e.Attempt.Seq] {
		delete(p.running, e.Attempt.Seq)
		m.running--
		m.observe(e)
		return
	}
	a := p.attempts[e.Attempt.Seq]
	if a == nil || a.state != stateRunning {
		return
	}
	m.running--
	m.observe(e)
	a.finish(wire.Result{
		Outcome: e.Outcome,
		Reason:  e.Reason,
		Wait:    wire.MicrosOf(a.started - a.arrived),
		Run:     wire.MicrosOf(now - a.started),
		Status:  e.Status,
		Body:    e.Body,
	})
}

// observe updates the counters and the mean run time from one ended run.
func (m *Machine) observe(e Finished) {
	switch e.Outcome {
	case wire.Succeeded:
		m.successes++
		m.down = false
	case wire.Failed, wire.Unknown:
		if e.Reason != wire.ReasonStopped {
			m.failures++
		}
		m.down = false
	case wire.NotRun:
		m.down = e.Reason == wire.ReasonUpstreamDown
		return
	}
	delta := float64(e.Run - m.meanRun)
	m.meanRun += time.Duration(meanRunWeight * delta)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
