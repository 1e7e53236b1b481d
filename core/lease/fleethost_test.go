package lease_test

import (
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// fleetHost is a VM with a worker and an agent process, which is replaced at times.
type fleetHost struct {
	pace
	name        string
	worker      *worker
	finished    []wire.FinishedRun // that the process before left in the worker's list
	acked       int                // ended runs that were acknowledged
	incarnation wire.Incarnation
	agent       *agent.Machine // nil while there is no process, or it takes the worker over
	lease       *lease.Machine
	startAt     time.Duration // when the next process begins to take the worker over
	endAt       time.Duration // when a process that is being stopped ends, 0 if it is not
	links       []*fleetLink
	toLease     []lease.Event
	toAgent     []agent.Event
	calls       []lease.Action
	answers     []chainAnswer
	late        []call
	agentTick   bool
	leaseTick   bool
	lateShare   float64
	process     workerProcess
	inTransit   []*fleetCall  // calls on their way, with fleet.restarts
	downTill    time.Duration // the worker restarts until then
	announceAt  time.Duration // when its new incarnation announces itself, 0 if it has
	token       int64         // fencing token of the agent's client
	fence       int64         // highest token that the worker's incarnation has seen
	// workerIncarnation is that of the worker when the agent took it over.
	workerIncarnation int64
	// Until these times no call arrives at the worker, and no answer at the agent.
	callsCutTill, answersCutTill time.Duration
	// callsFirst lets the worker carry out calls before it ends the runs whose lease has
	// expired, after it stood still.
	callsFirst bool
	// starvedTill and starvedGap are until when the worker waits for its turn again and again,
	// and for how long. Until flapTill each connection breaks soon after its hello was answered.
	starvedTill, starvedGap, flapTill time.Duration
	replaced                          bool // the next process has taken the worker over
	// successor is the host of the next process, with fleet.swarm, nil for none. The worker
	// is there.
	successor *fleetHost
	born      int64 // start time of the worker's incarnation, see docs/platform.md
	// takeoverToken is the token of the last takeover, which may have been at an earlier
	// incarnation of the worker.
	takeoverToken int64
}

// runHost lets the agent process of a host run.
func (f *fleet) runHost(h *fleetHost) {
	f.breakDue(h)
	switch {
	case h.agent == nil:
		f.takeOver(h)
		return
	case h.endAt > 0 && f.now >= h.endAt:
		f.endAgent(h)
		return
	}
	if f.now < h.frozenTill {
		return
	}
	if f.runReplaced(h); h.agent == nil {
		return
	}
	for _, l := range h.links {
		switch {
		case l.redialAt == 0 && f.now-l.heardAt > linkSilence:
			l.send(&l.toEntry, f.now, entry.LinkDown{Agent: h.incarnation, Epoch: l.epoch})
			l.redialAt = f.now + f.millis(5, 100)
			l.toAgent = []fleetFrame{{f.now, agent.LinkDown{Entry: l.entry.id, Epoch: l.epoch}}}
		case l.redialAt > 0 && f.now >= l.redialAt && !l.entry.stopped:
			f.dial(h, l)
		}
	}
	for f.now >= h.frozenTill {
		ready := f.ready(h)
		if len(ready) == 0 {
			return
		}
		ready[f.rng.IntN(len(ready))]()
		if h.slow(f.now) && f.rng.IntN(3) == 0 {
			f.wait(&h.pace)
		}
	}
}

// ready returns the steps that the agent process can make now.
func (f *fleet) ready(h *fleetHost) []func() {
	var steps []func()
	for _, l := range h.links {
		if len(l.toAgent) > 0 && l.toAgent[0].at <= f.now && l.agentCutTill <= f.now {
			steps = append(steps, func() {
				ev := l.toAgent[0].ev.(agent.Event)
				l.toAgent = l.toAgent[1:]
				l.heardAt = f.now
				switch x := ev.(type) {
				case agent.LinkUp:
					l.up = true
				case agent.LinkDown:
					l.up = false
					if l.redialAt == 0 && x.Epoch == l.epoch {
						l.redialAt = f.now + f.millis(5, 100)
					}
				}
				f.stepAgent(h, ev)
			})
		}
	}
	if len(h.toAgent) > 0 {
		steps = append(steps, func() { ev := h.toAgent[0]; h.toAgent = h.toAgent[1:]; f.stepAgent(h, ev) })
	}
	if len(h.toLease) > 0 {
		steps = append(steps, func() { ev := h.toLease[0]; h.toLease = h.toLease[1:]; f.stepLease(h, ev) })
	}
	if len(h.calls) > 0 {
		steps = append(steps, func() { x := h.calls[0]; h.calls = h.calls[1:]; f.call(h, x) })
	}
	for i, x := range h.answers {
		if x.at <= f.now {
			steps = append(steps, func() {
				h.answers = append(h.answers[:i:i], h.answers[i+1:]...)
				if f.now > x.timeout && f.rng.IntN(2) == 0 {
					x.event = x.lost
				}
				if p, ok := x.event.(lease.Polled); ok && p.Status != nil {
					h.process.listMadeAt = x.timeout - callTimeout
				}
				f.stepLease(h, x.event)
				h.process.listMadeAt = 0
			})
		}
	}
	if h.agentTick {
		steps = append(steps, func() { h.agentTick = false; f.stepAgent(h, agent.Tick{}) })
	}
	if h.leaseTick {
		steps = append(steps, func() { h.leaseTick = false; f.stepLease(h, lease.Tick{}) })
	}
	return steps
}

func (f *fleet) stepAgent(h *fleetHost, ev agent.Event) {
	for _, a := range slices.Clone(h.agent.Step(f.now, ev)) {
		switch x := a.(type) {
		case *agent.Send:
			for _, l := range h.links {
				if l.entry.id == x.Entry && l.up && l.epoch == x.Epoch {
					l.send(&l.toEntry, f.now+f.millis(0, 5), entry.Received{Agent: h.incarnation, Epoch: x.Epoch, Frame: x.Frame})
				}
			}
		case *agent.Run:
			h.toLease = append(h.toLease, lease.StartOf(x))
		case agent.Stop:
			h.toLease = append(h.toLease, lease.StopOf(x))
		case agent.Permissions:
			h.toLease = append(h.toLease, lease.Permissions{List: x.List})
		case agent.AcknowledgeRun:
			h.toLease = append(h.toLease, lease.AcknowledgeRun{Run: x.Run})
		case agent.SupersedeRun:
			h.toLease = append(h.toLease, lease.SupersedeRun{Run: x.Run})
		case agent.Drained:
			h.endAt = f.now + chainStep
		}
	}
}

func (f *fleet) stepLease(h *fleetHost, ev lease.Event) {
	h.recordStart(ev)
	actions := slices.Clone(h.lease.Step(f.now, ev))
	f.recordEnds(h, actions)
	if f.swarm != nil {
		f.recordSteps(h, ev, actions)
	}
	for _, a := range actions {
		switch x := a.(type) {
		case lease.Finished:
			f.logf("%s reports %v as %v %v", h.name, x.Attempt, x.Outcome, x.Reason)
			h.toAgent = append(h.toAgent, agent.Finished{Attempt: x.Attempt, Outcome: x.Outcome, Reason: x.Reason, RunTime: x.RunTime})
		case lease.StartSettled:
			h.toAgent = append(h.toAgent, agent.StartSettled{Attempt: x.Attempt})
		case lease.WorkerRestarted:
			h.toAgent = append(h.toAgent, agent.Drain{})
		case lease.Admission:
			h.toAgent = append(h.toAgent, agent.AdmissionChanged{Closed: x.Closed})
		case lease.CallStart, lease.CallStop, lease.CallPoll:
			h.calls = append(h.calls, a)
		}
	}
}

// stopAgent begins to stop the agent process of a host, which may take d.
func (f *fleet) stopAgent(h *fleetHost, d time.Duration) {
	if h.agent == nil || h.endAt > 0 {
		return
	}
	f.logf("the agent of %s is stopped within %v", h.name, d)
	f.counts.agentsStopped++
	h.endAt = f.now + d
	f.stepAgent(h, agent.Drain{})
}

// endAgent ends the agent process of a host. Its runs go on. Another process follows.
func (f *fleet) endAgent(h *fleetHost) {
	f.logf("the agent of %s ends with %d runs", h.name, len(h.worker.running))
	for _, l := range h.links {
		f.reset(h, l, time.Hour)
	}
	h.agent, h.lease, h.endAt = nil, nil, 0
	h.startAt = f.now + f.millis(20, 1500)
}

// takeOver lets a new agent process take the worker over, as internal/fleet does: it fences
// off late calls, stops the runs that are left over and then starts.
func (f *fleet) takeOver(h *fleetHost) {
	if f.now < h.startAt || f.now < h.frozenTill || f.now < h.downTill || h.replaced || !f.answers(h) {
		return
	}
	h.late = nil
	h.process.fencedFor = h.worker.incarnation
	h.process.announceAt, h.process.replaced, h.process.takenOver = 0, false, false
	h.token = int64(f.now / time.Millisecond)
	if f.swarm != nil {
		f.takeOverSwarm(h)
		h.token = h.fence
	}
	h.fence, h.workerIncarnation = h.token, h.worker.incarnation
	for _, id := range h.worker.runsInOrder() {
		f.logf("%s: leftover %v is stopped", h.name, id)
		h.worker.stop(lease.CallStop{Run: id})
	}
	h.incarnation = wire.Incarnation(f.now / time.Millisecond * 100)
	for i, other := range f.hosts {
		if other == h {
			h.incarnation += wire.Incarnation(i)
		}
	}
	var retained []lease.EndedRun
	var finished []wire.FinishedRun
	for _, end := range h.worker.ended {
		if end.Number > h.acked && end.Kind == lease.EndedSucceeded {
			retained = append(retained, end)
			finished = append(finished, wire.FinishedRun{Run: end.Run})
		}
	}
	h.toLease, h.toAgent, h.calls, h.answers, h.links = nil, nil, nil, nil, f.oldLinks(h)
	h.agent = agent.New(agent.Options{
		Incarnation: h.incarnation, Slots: fleetSlots, HeartbeatInterval: heartbeatInterval, RunLease: runLease, LostLinkTimeout: runLease,
		RetainedRuns: finished,
	})
	h.lease = lease.New(lease.Options{RetainedRuns: retained, Incarnation: h.worker.incarnation})
	h.finished = finished
	if f.restarts || f.swarm != nil { // the clock of the machine, unlike that of internal/leased, does not start from 0
		f.stepLease(h, lease.Tick{})
		h.calls = nil
		f.stepLease(h, f.execute(h, lease.CallPoll{}, false))
	}
	for _, e := range f.entries {
		h.links = append(h.links, &fleetLink{entry: e, redialAt: f.now + f.millis(5, 100)})
	}
	f.logf("a new agent of %s starts", h.name)
}
