package entry_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	evacuationStep = 10 * time.Millisecond
	// contactTime is contactMs of the specification.
	contactTime = 4 * time.Second
	// answerSlack is how long after its deadline a job must have been answered at the latest.
	answerSlack = 2 * time.Second
)

// brokenPart is a fault in the processes of the model.
type brokenPart int

const (
	nothingBroken   brokenPart = iota
	agentUnchecked             // agents start what they get
	agentNeverLists            // agents leave it to entries to read the topic
	agentReverts               // agents apply each state that they get, also an older one
	entryReverts               // entries do
)

// evacuationWorld has three entries, agents in three zones and the topic of the operators.
type evacuationWorld struct {
	broken   brokenPart
	draw     func(limit int) int // 0 to limit
	log      func(format string, args ...any)
	failure  string // the first violated promise
	now      time.Duration
	topic    operatorTopic
	pageSize int // of a listing, besides one
	entries  []*zoneEntry
	agents   []*zoneAgent
	ids      uint64
	quiet    bool // no jobs are submitted at random
	settled  bool // all processes must know the state of the topic
	jobs     int
	answers  map[string]int // by outcome and reason
	starts   int
	refusals int // as evacuated
	checked  int // starts of agents in contact while a zone was evacuated
}

// process is what entries and agents have in common.
type process struct {
	frozenUntil time.Duration
	ranSince    time.Duration
}

// running reports whether the process runs now.
func (p *process) running(now time.Duration) bool { return now >= p.frozenUntil }

// freeze stops the process for d.
func (p *process) freeze(now, d time.Duration) {
	p.frozenUntil = max(p.frozenUntil, now+d)
	p.ranSince = max(p.ranSince, p.frozenUntil)
}

// zoneEntry is an entry of the model.
type zoneEntry struct {
	process
	index   int
	id      wire.Incarnation
	machine *entry.Machine
	reader  topicReader
	links   []*zoneLink
	jobs    map[wire.SubmissionID]time.Duration // when each must have been answered
	stored  map[wire.SubmissionID]bool          // stored jobs that are not answered
	asOf    int64
	states  translator
}

// zoneAgent is an agent of the model with its worker.
type zoneAgent struct {
	process
	name, zone  string
	id          wire.Incarnation
	machine     *agent.Machine
	path        storePath
	listing     *topicListing
	listUntil   time.Duration // when the listing is given up
	epoch       wire.Epoch
	links       [3]*zoneLink // by entry
	redialAt    [3]time.Duration
	ways        [3]linkWay
	linkedSince time.Duration
	drainUntil  time.Duration // when its process ends that is being stopped, 0 if it is not
	runs        []workerRun
	arrivedOn   map[agent.AttemptID]wire.Epoch // connection on which each start arrived
	refused     map[agent.AttemptID]bool       // reported as not run because of the evacuation
	asOf        int64
	states      translator
	told        []*wire.Evacuations // the newest states that the process has received, all as of one offset
}

// tell notes a state that the process of the agent receives.
func (a *zoneAgent) tell(e *wire.Evacuations) *wire.Evacuations {
	switch {
	case e == nil:
	case len(a.told) == 0 || e.AsOf > a.told[0].AsOf:
		a.told = []*wire.Evacuations{e}
	case e.AsOf == a.told[0].AsOf:
		a.told = append(a.told, e)
	}
	return a.states.in(e)
}

// toldEvacuated reports whether the newest state that the process has received says that its
// zone is evacuated. If listings that are no snapshots tell different things, both are allowed.
func (a *zoneAgent) toldEvacuated() bool {
	return len(a.told) > 0 && !slices.ContainsFunc(a.told, func(e *wire.Evacuations) bool { return !e.Contains(a.zone) })
}

// direction is one direction of the network between an agent and an entry. Frames are held
// back until holdUntil, and delayed by delay until delayUntil.
type direction struct {
	holdUntil, delayUntil, delay time.Duration
}

func (d *direction) soundSince() time.Duration { return max(d.holdUntil, d.delayUntil+d.delay) }

type linkWay struct{ toEntry, toAgent direction }

func (l *linkWay) soundSince() time.Duration {
	return max(l.toEntry.soundSince(), l.toAgent.soundSince())
}

// parcel is what one end of a connection sent.
type parcel struct {
	at    time.Duration
	hello bool
	frame any // *wire.ToEntry or *wire.ToAgent
	end   bool
}

// zoneLink is a connection between an agent and an entry.
type zoneLink struct {
	agent              *zoneAgent
	entry              *zoneEntry
	agentID            wire.Incarnation
	epoch              wire.Epoch
	up, accepted       bool // seen by the agent, and by the entry
	helloSentAt        time.Duration
	upSince            time.Duration
	heardAt, heardBy   time.Duration // by the agent, and by the entry
	toEntry, toAgent   []parcel
	agentGone, refuses bool // the agent has closed it; the agent has reported that its zone is evacuated
}

// translator makes a machine take each state for a newer one if it is active.
type translator struct {
	active bool
	asOf   []int64
}

func (t *translator) in(e *wire.Evacuations) *wire.Evacuations {
	if !t.active || e == nil {
		return e
	}
	t.asOf = append(t.asOf, e.AsOf)
	return &wire.Evacuations{AsOf: int64(len(t.asOf)), Zones: e.Zones}
}

func (t *translator) out(e *wire.Evacuations) *wire.Evacuations {
	if !t.active || e == nil || e.AsOf == 0 {
		return e
	}
	return &wire.Evacuations{AsOf: t.asOf[e.AsOf-1], Zones: e.Zones}
}

func newEvacuationWorld(agents int, broken brokenPart, draw func(int) int) *evacuationWorld {
	w := &evacuationWorld{
		broken: broken, draw: draw, log: func(string, ...any) {}, answers: make(map[string]int), pageSize: draw(3),
		topic: operatorTopic{requestedAt: make(map[string]time.Duration), withdrawnAt: make(map[string]time.Duration)},
	}
	w.topic.records = append(w.topic.records, topicRecord{key: operatorConfigKey})
	for i := range 3 {
		e := &zoneEntry{index: i}
		w.entries = append(w.entries, e)
		w.startEntry(e)
	}
	for i := range agents {
		a := &zoneAgent{name: fmt.Sprintf("w%d", i), zone: string(rune('a' + i%3))}
		w.agents = append(w.agents, a)
		w.startAgent(a, wire.Evacuations{})
	}
	w.advance(time.Second)
	return w
}

func (w *evacuationWorld) millis(low, high int) time.Duration {
	return time.Duration(low+w.draw(high-low)) * time.Millisecond
}

func (w *evacuationWorld) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("%v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *evacuationWorld) newID() uint64 {
	w.ids++
	return w.ids
}

// startEntry starts a new process of the entry.
func (w *evacuationWorld) startEntry(e *zoneEntry) {
	path := e.reader.path
	e.id, e.reader, e.links, e.jobs, e.asOf = wire.Incarnation(1000+w.newID()), topicReader{path: path}, nil, make(map[wire.SubmissionID]time.Duration), 0
	e.stored = make(map[wire.SubmissionID]bool)
	e.states = translator{active: w.broken == entryReverts}
	e.ranSince = w.now
	e.machine = entry.New(entry.Options{
		Incarnation: e.id, Scheduler: policy.New(policy.Options{Seed: uint64(e.id)}), HeartbeatInterval: modelHeartbeat,
		LostAgentTimeout: 400 * time.Millisecond, ResendDelay: resendDelay,
	})
	w.stepEntry(e, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: 10 * time.Second, TargetShare: 1}}}})
	w.stepEntry(e, entry.StoredLease{Until: 24 * time.Hour})
}

// restartEntry kills the process of an entry. The next one starts after d.
func (w *evacuationWorld) restartEntry(e *zoneEntry, d time.Duration) {
	for _, l := range slices.Clone(e.links) {
		w.breakLink(l)
	}
	w.startEntry(e)
	e.frozenUntil = w.now
	e.freeze(w.now, d)
}

// startAgent starts a new incarnation of the agent.
func (w *evacuationWorld) startAgent(a *zoneAgent, known wire.Evacuations) {
	a.id, a.epoch, a.runs, a.listing, a.asOf = wire.Incarnation(w.newID()), 0, nil, nil, 0
	a.arrivedOn, a.refused, a.told = make(map[agent.AttemptID]wire.Epoch), make(map[agent.AttemptID]bool), nil
	a.states = translator{active: w.broken == agentReverts}
	a.ranSince, a.linkedSince, a.drainUntil = w.now, w.now, 0
	opts := agent.Options{
		Incarnation: a.id, Slots: 2, Zone: a.zone, EvacuationBound: evacuationBound, Evacuations: *a.tell(&known),
		HeartbeatInterval: modelHeartbeat, RunLease: modelRunLease, LostLinkTimeout: modelRunLease,
	}
	switch w.broken {
	case agentUnchecked:
		opts.Zone = ""
	case agentNeverLists:
		opts.EvacuationBound = 0
	}
	a.machine = agent.New(opts)
	for i := range a.redialAt {
		a.redialAt[i] = w.now + w.millis(0, 100)
	}
}

// restartAgent replaces an agent. Within a process the next incarnation knows what the one
// before knew.
func (w *evacuationWorld) restartAgent(a *zoneAgent, sameProcess bool, d time.Duration) {
	known := wire.Evacuations{}
	if e := a.machine.Evacuations(); sameProcess {
		known = *a.states.out(&e)
	}
	for _, l := range a.links {
		if l != nil {
			w.breakLink(l)
		}
	}
	a.links = [3]*zoneLink{}
	w.startAgent(a, known)
	a.frozenUntil = w.now
	a.freeze(w.now, d)
}

// breakLink breaks a connection with all that is in it. Both ends notice.
func (w *evacuationWorld) breakLink(l *zoneLink) {
	l.toAgent = []parcel{{at: w.now, end: true}}
	l.toEntry = []parcel{{at: w.now, end: true}}
}

// send puts something into one direction of a connection, behind what is in it already.
func (w *evacuationWorld) send(queue *[]parcel, d *direction, p parcel) {
	p.at = w.now + evacuationStep
	if w.now < d.delayUntil {
		p.at += d.delay
	}
	if n := len(*queue); n > 0 {
		if (*queue)[n-1].end {
			return // it is broken
		}
		p.at = max(p.at, (*queue)[n-1].at)
	}
	*queue = append(*queue, p)
}

// arrived takes what has arrived from one direction of a connection.
func (w *evacuationWorld) arrived(queue *[]parcel, d *direction) []parcel {
	n := 0
	for w.now >= d.holdUntil && n < len(*queue) && (*queue)[n].at <= w.now {
		n++
	}
	out := (*queue)[:n:n]
	*queue = (*queue)[n:]
	return out
}

// advance lets everything run for d.
func (w *evacuationWorld) advance(d time.Duration) {
	for end := w.now + d; w.now < end && w.failure == ""; {
		w.now += evacuationStep
		for _, a := range w.agents {
			w.runAgent(a)
		}
		for _, e := range w.entries {
			w.runEntry(e)
		}
	}
}

func (w *evacuationWorld) runAgent(a *zoneAgent) {
	if a.listing != nil {
		w.serve(a.listing.call)
	}
	if !a.running(w.now) {
		return
	}
	for i := range a.links {
		w.runAgentLink(a, i)
	}
	if !slices.ContainsFunc(a.links[:], func(l *zoneLink) bool { return l != nil && l.up }) {
		a.linkedSince = w.now
	}
	for i := 0; i < len(a.runs); i++ {
		if r := a.runs[i]; w.now >= r.endAt {
			a.runs = slices.Delete(a.runs, i, i+1)
			i--
			w.stepAgent(a, agent.Finished{Attempt: r.attempt, Outcome: r.outcome, Reason: r.reason})
		}
	}
	if w.now%(5*evacuationStep) == 0 {
		w.stepAgent(a, agent.Tick{})
	}
	w.continueListing(a)
	if a.drainUntil > 0 && w.now >= a.drainUntil {
		w.restartAgent(a, false, w.millis(0, 500))
	}
}

// drainAgent stops the process of an agent: it drains for d at most, and another one starts.
func (w *evacuationWorld) drainAgent(a *zoneAgent, d time.Duration) {
	if a.drainUntil == 0 && a.running(w.now) {
		a.drainUntil = w.now + d
		w.stepAgent(a, agent.Drain{})
	}
}

func (w *evacuationWorld) continueListing(a *zoneAgent) {
	l := a.listing
	if l == nil {
		return
	}
	ended, failed := l.step(w)
	if ended || w.now >= a.listUntil {
		a.listing = nil
	}
	if ended && !failed {
		w.log("%v: %s lists %v as of %d", w.now, a.name, l.keys, l.end)
		state := &wire.Evacuations{AsOf: int64(l.end), Zones: zonesOf(l.keys)}
		w.stepAgent(a, agent.EvacuationsListed{Evacuations: *a.tell(state), RequestedAt: l.requestedAt})
	}
}

// runAgentLink handles what has arrived at the agent's end of a connection, or dials.
func (w *evacuationWorld) runAgentLink(a *zoneAgent, i int) {
	l := a.links[i]
	if l == nil {
		if w.now >= a.redialAt[i] && w.entries[i].running(w.now) {
			w.dial(a, w.entries[i])
		}
		return
	}
	for _, p := range w.arrived(&l.toAgent, &a.ways[i].toAgent) {
		l.heardAt = w.now
		switch {
		case p.end:
			w.closeAtAgent(a, i, l)
			return
		case p.hello:
			l.up, l.upSince = true, w.now
			w.stepAgent(a, agent.LinkUp{Entry: l.entry.id, Epoch: l.epoch, HelloSentAt: l.helloSentAt})
		default:
			f := *p.frame.(*wire.ToAgent)
			f.Evacuations = a.tell(f.Evacuations)
			for i := range f.Starts {
				a.arrivedOn[agent.AttemptID{Entry: l.entry.id, Seq: f.Starts[i].Seq}] = l.epoch
			}
			w.stepAgent(a, agent.Received{Entry: l.entry.id, Epoch: l.epoch, Frame: &f})
		}
	}
	if w.now-l.heardAt > modelSilence {
		w.closeAtAgent(a, i, l)
	}
}

func (w *evacuationWorld) dial(a *zoneAgent, e *zoneEntry) {
	a.epoch++
	l := &zoneLink{agent: a, entry: e, agentID: a.id, epoch: a.epoch, helloSentAt: w.now, heardAt: w.now, heardBy: w.now}
	a.links[e.index] = l
	e.links = append(e.links, l)
	w.send(&l.toEntry, &a.ways[e.index].toEntry, parcel{hello: true})
}

func (w *evacuationWorld) closeAtAgent(a *zoneAgent, i int, l *zoneLink) {
	a.links[i], l.agentGone = nil, true
	a.redialAt[i] = w.now + w.millis(50, 300)
	w.send(&l.toEntry, &a.ways[i].toEntry, parcel{end: true})
	if l.up {
		w.stepAgent(a, agent.LinkDown{Entry: l.entry.id, Epoch: l.epoch})
	}
}

func (w *evacuationWorld) stepAgent(a *zoneAgent, ev agent.Event) {
	for _, x := range slices.Clone(a.machine.Step(w.now, ev)) {
		switch x := x.(type) {
		case *agent.Send:
			w.noteResults(a, x)
			for i, l := range a.links {
				if l != nil && l.epoch == x.Epoch && l.entry.id == x.Entry {
					f := *x.Frame
					f.Evacuations = a.states.out(f.Evacuations)
					w.send(&l.toEntry, &a.ways[i].toEntry, parcel{frame: &f})
				}
			}
		case *agent.Run:
			w.checkStart(a, x)
			a.runs = append(a.runs, workerRun{attempt: x.Attempt, endAt: w.now + min(w.millis(20, 600), x.Timeout), outcome: wire.Succeeded})
		case agent.Stop:
			for i := range a.runs {
				if r := &a.runs[i]; r.attempt == x.Attempt && r.endAt > w.now+stopTime {
					r.endAt, r.outcome, r.reason = w.now+stopTime, wire.Failed, wire.ReasonStopped
				}
			}
		case agent.Drained:
			a.drainUntil = w.now
		case agent.ListEvacuations:
			if a.listing == nil {
				a.listing, a.listUntil = w.newListing(&a.path, operatorConfigKey), w.now+maxListingTime
			}
		}
	}
	e := a.machine.Evacuations()
	w.checkAsOf(a.name, &a.asOf, a.states.out(&e))
}

func (w *evacuationWorld) runEntry(e *zoneEntry) {
	w.serve(e.reader.read)
	if e.reader.listing != nil {
		w.serve(e.reader.listing.call)
	}
	if !e.running(w.now) {
		return
	}
	for _, l := range slices.Clone(e.links) {
		w.runEntryLink(e, l)
	}
	if ev := e.reader.run(w); ev != nil {
		read := ev.(entry.EvacuationsRead)
		read.Evacuations = e.states.in(read.Evacuations)
		w.stepEntry(e, read)
	}
	if !w.quiet && w.draw(24) == 0 {
		w.submit(e, w.millis(500, 2500))
	}
	if !w.quiet && w.draw(200) == 0 {
		w.submitStored(e)
	}
	w.stepEntry(e, entry.CallersChecked{})
	w.stepEntry(e, entry.Tick{MadeAt: w.now})
	for id, at := range e.jobs {
		if w.now > max(at, e.ranSince+answerSlack) {
			w.fail("the job %v is not answered", id)
		}
	}
}

// runEntryLink handles what has arrived at the entry's end of a connection.
func (w *evacuationWorld) runEntryLink(e *zoneEntry, l *zoneLink) {
	a := l.agent
	for _, p := range w.arrived(&l.toEntry, &a.ways[e.index].toEntry) {
		l.heardBy = w.now
		switch {
		case p.end:
			w.closeAtEntry(e, l)
			return
		case p.hello:
			for _, old := range slices.Clone(e.links) {
				if old != l && old.agentID == l.agentID && old.epoch < l.epoch {
					w.closeAtEntry(e, old)
				}
			}
			l.accepted = true
			w.send(&l.toAgent, &a.ways[e.index].toAgent, parcel{hello: true})
			w.stepEntry(e, entry.LinkUp{Hello: wire.AgentHello{
				Agent: l.agentID, Epoch: l.epoch, Name: a.name, Zone: a.zone, Slots: 2, NoLeftoverRuns: true, TakeoverTime: wire.Micros(l.agentID),
			}})
		default:
			f := *p.frame.(*wire.ToEntry)
			f.Evacuations = e.states.in(f.Evacuations)
			l.refuses = f.Load.Evacuated
			w.stepEntry(e, entry.Received{Agent: l.agentID, Epoch: l.epoch, Frame: &f})
		}
	}
	if w.now-l.heardBy > modelSilence {
		w.closeAtEntry(e, l)
	}
}

func (w *evacuationWorld) closeAtEntry(e *zoneEntry, l *zoneLink) {
	e.links = slices.DeleteFunc(e.links, func(x *zoneLink) bool { return x == l })
	if !l.agentGone {
		w.send(&l.toAgent, &l.agent.ways[e.index].toAgent, parcel{end: true})
	}
	if l.accepted {
		w.stepEntry(e, entry.LinkDown{Agent: l.agentID, Epoch: l.epoch})
	}
}

func (w *evacuationWorld) stepEntry(e *zoneEntry, ev entry.Event) {
	for _, x := range slices.Clone(e.machine.Step(w.now, ev)) {
		switch x := x.(type) {
		case entry.Send:
			for _, l := range e.links {
				if l.agentID == x.Agent && l.epoch == x.Epoch && l.accepted {
					w.checkPlacement(e, l, x.Frame)
					f := *x.Frame
					f.Evacuations = e.states.out(f.Evacuations)
					w.send(&l.toAgent, &l.agent.ways[e.index].toAgent, parcel{frame: &f})
				}
			}
		case entry.Answer:
			w.answers[fmt.Sprint(x.Answer.Outcome, " ", x.Answer.Reason)]++
			if e.stored[x.Submission] {
				delete(e.stored, x.Submission)
				continue
			}
			delete(e.jobs, x.Submission)
			w.checkAnswer(&x.Answer)
		case entry.RunFinished:
			w.stepEntry(e, entry.AcknowledgedRuns{Agent: x.Agent, Runs: []wire.RunRef{x.Run.Run}, Superseded: x.Superseded})
		case entry.EvacuationsChanged:
			w.log("%v: entry %d has %v as of %d, from %q", w.now, e.index, x.Evacuations.Zones, x.Evacuations.AsOf, x.Agent)
		}
	}
	now := e.machine.Evacuations()
	w.checkAsOf(fmt.Sprint("entry ", e.index), &e.asOf, e.states.out(&now))
}

// submit submits a job of one to three tasks.
func (w *evacuationWorld) submit(e *zoneEntry, deadline time.Duration) {
	w.jobs++
	var id wire.SubmissionID
	binary.BigEndian.PutUint64(id[:], w.newID())
	e.jobs[id] = w.now + deadline + answerSlack
	w.stepEntry(e, entry.Submit{
		Submission: id, Class: "c", Deadline: deadline, ReceivedAt: w.now, MaxFailedRuns: 1 + w.draw(2), Job: id.String(),
		Payloads: make([][]byte, 1+w.draw(2)),
	})
}

// submitStored submits a stored job of one task.
func (w *evacuationWorld) submitStored(e *zoneEntry) {
	var id wire.SubmissionID
	binary.BigEndian.PutUint64(id[:], w.newID())
	e.stored[id] = true
	w.stepEntry(e, entry.Submit{Submission: id, Class: "c", MaxFailedRuns: 100, Job: "stored" + id.String(), Payloads: make([][]byte, 1), Stored: true})
}
