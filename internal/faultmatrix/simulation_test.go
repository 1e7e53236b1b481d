package faultmatrix

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	networkDelay = 300 * time.Microsecond // one-way message delay between processes
	linkTimeout  = 2 * time.Second        // a link that is silent for longer is closed
	entryTick    = 25 * time.Millisecond
	agentTick    = 50 * time.Millisecond
	redialDelay  = 100 * time.Millisecond
	restartDelay = 500 * time.Millisecond // from the exit of a process to the start of its successor
	entryCount   = 3
	agentCount   = 4
	slots        = 2
)

// event is a callback at a virtual time; order breaks ties.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// proc is one incarnation of a process. While it is paused, its callbacks are
// queued in inbox.
type proc struct {
	dead, paused bool
	totalPause   time.Duration
	inbox        []func()
}

// entryMachine and agentMachine are the state machines of entry and agent, or
// broken variants of them.
type entryMachine interface {
	Step(time.Duration, entry.Event) []entry.Action
}

type agentMachine interface {
	Step(time.Duration, agent.Event) []agent.Action
	ConfigVersion() int64
}

// variant replaces state machines by deliberately broken ones. The zero value
// replaces none.
type variant struct {
	entry  func(m *entry.Machine) entryMachine
	agent  func(o agent.Options) agentMachine
	config func(m *config.Machine) configMachine
}

// simulation runs the state machines and the processes around them over virtual
// time.
type simulation struct {
	now             time.Duration
	queue           eventQueue
	order           int
	steps           int // steps of entry and agent machines
	lastIncarnation wire.Incarnation
	rng             *rand.Rand
	variant         variant
	entries         []*entryNode
	entryIndices    map[wire.Incarnation]int // indexes into entries, including those of earlier incarnations
	agents          []*agentNode
	upstreams       []*upstreamNode
	log             *platformLog
	checker         *checker
	submissions     map[wire.SubmissionID]*submission
	openSubmissions int // submissions that have not ended, and jobs that wait to be submitted
	changeCount     int
	injections      []*injection
	injectedFaults  int
	// answersToLose is the number of next answers to callers that are lost.
	answersToLose int
	faultsEndAt   time.Duration // when the last fault so far has ended
}

func newSimulation(seed uint64, v variant) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), variant: v, lastIncarnation: 100,
		submissions: make(map[wire.SubmissionID]*submission), entryIndices: make(map[wire.Incarnation]int), checker: newChecker(),
		faultsEndAt: 4 * time.Second,
	}
	sim.log = newPlatformLog(sim)
	sim.appendInitialConfig()
	for k := range agentCount {
		sim.upstreams = append(sim.upstreams, &upstreamNode{slowdown: 1})
		sim.agents = append(sim.agents, nil)
		sim.startAgent(k)
	}
	for i := range entryCount {
		sim.entries = append(sim.entries, nil)
		sim.startEntry(i)
	}
	for k := range agentCount {
		sim.dialAll(sim.agents[k])
	}
	return sim
}

func (sim *simulation) newIncarnation() wire.Incarnation {
	sim.lastIncarnation++
	return sim.lastIncarnation
}

// schedule runs do after the delay, whatever the state of any process.
func (sim *simulation) schedule(delay time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, event{sim.now + delay, sim.order, do})
}

// runIn runs f in the process. It queues f while the process is paused and drops
// it if the process is dead.
func (sim *simulation) runIn(p *proc, f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// runLater runs f in the process after the delay, as runIn does.
func (sim *simulation) runLater(p *proc, delay time.Duration, f func()) {
	sim.schedule(delay, func() { sim.runIn(p, f) })
}

// runEvery runs f periodically until the process is dead. Ticks that fall into a
// pause are dropped.
func (sim *simulation) runEvery(p *proc, period time.Duration, f func()) {
	sim.schedule(period, func() {
		if p.dead {
			return
		}
		if !p.paused {
			f()
		}
		sim.runEvery(p, period, f)
	})
}

// resume ends the pause of a process and runs its queued callbacks.
func (sim *simulation) resume(p *proc) {
	p.paused = false
	for len(p.inbox) > 0 && !p.paused && !p.dead {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
}

// pause freezes a process for the duration d.
func (sim *simulation) pause(p *proc, d time.Duration) {
	if p.paused || p.dead {
		return
	}
	p.paused = true
	p.totalPause += d
	sim.faultLasts(d)
	sim.schedule(d, func() { sim.resume(p) })
}

// faultLasts moves the end of the last fault to at least d from now.
func (sim *simulation) faultLasts(d time.Duration) { sim.faultsEndAt = max(sim.faultsEndAt, sim.now+d) }

const (
	settlingTime     = 7 * time.Second // the bound of P8, which is 6 s, plus the time for an append
	maxSimulatedTime = 2 * time.Minute
)

// run executes events until all submissions have ended and the system has had
// settlingTime after the last fault. It then checks the final state.
func (sim *simulation) run() []violation {
	for len(sim.queue) > 0 && sim.now < maxSimulatedTime {
		if sim.openSubmissions == 0 && sim.now >= sim.faultsEndAt+settlingTime {
			break
		}
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.checker.checkFinalState(sim)
	return sim.checker.violations
}
