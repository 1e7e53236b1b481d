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
	hop          = 300 * time.Microsecond // one-way delay between processes
	linkSilence  = 2 * time.Second        // a link silent for longer is closed
	entryTick    = 25 * time.Millisecond
	agentTick    = 50 * time.Millisecond
	redialPause  = 100 * time.Millisecond
	restartPause = 500 * time.Millisecond // until a dead process is replaced
	entryCount   = 3
	agentCount   = 4
	slots        = 2
)

// event is one callback at a virtual time.
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

// proc is one run of one process. Events of a paused process wait in inbox.
type proc struct {
	dead, paused bool
	pausedFor    time.Duration // sum of its pauses
	inbox        []func()
}

// entryCore and agentCore are the machines, or broken variants of them.
type entryCore interface {
	Step(time.Duration, entry.Event) []entry.Action
}

type agentCore interface {
	Step(time.Duration, agent.Event) []agent.Action
	ConfigVersion() int64
}

// variant replaces a machine by a deliberately broken one. The zero value
// leaves the machines as they are.
type variant struct {
	entry  func(m *entry.Machine) entryCore
	agent  func(o agent.Options) agentCore
	config func(m *config.Machine) configCore
}

// world connects the machines over virtual time.
type world struct {
	now     time.Duration
	queue   eventQueue
	order   int
	steps   int // machine steps
	nextInc wire.Incarnation
	rng     *rand.Rand
	variant variant
	entries []*entryNode
	indices map[wire.Incarnation]int // of entries, also of earlier incarnations
	agents  []*agentNode
	ups     []*upstreamNode
	log     *platformLog
	check   *checker
	calls   map[wire.SubmissionID]*call
	open    int // calls that have not ended
	changes int
	hooks   []*injection
	faults  int // injected
	// loseAnswers loses that many of the next answers to callers.
	loseAnswers int
	horizon     time.Duration // when the last fault has been healed
}

func newWorld(seed uint64, v variant) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), variant: v, nextInc: 100,
		calls: make(map[wire.SubmissionID]*call), indices: make(map[wire.Incarnation]int), check: newChecker(),
		horizon: 4 * time.Second,
	}
	w.log = newPlatformLog(w)
	w.seedConfig()
	for k := range agentCount {
		w.ups = append(w.ups, &upstreamNode{slow: 1})
		w.agents = append(w.agents, nil)
		w.startAgent(k)
	}
	for i := range entryCount {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	for k := range agentCount {
		w.dialAll(w.agents[k])
	}
	return w
}

func (w *world) incarnation() wire.Incarnation {
	w.nextInc++
	return w.nextInc
}

func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + delay, w.order, do})
}

// in runs f in the process, later if it is paused, never if it is dead.
func (w *world) in(p *proc, f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

func (w *world) later(p *proc, delay time.Duration, f func()) {
	w.after(delay, func() { w.in(p, f) })
}

// every runs f periodically until the process is dead. Ticks of a paused
// process are missed.
func (w *world) every(p *proc, period time.Duration, f func()) {
	w.after(period, func() {
		if p.dead {
			return
		}
		if !p.paused {
			f()
		}
		w.every(p, period, f)
	})
}

func (w *world) thaw(p *proc) {
	p.paused = false
	for len(p.inbox) > 0 && !p.paused && !p.dead {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
}

// pause freezes a process for a time.
func (w *world) pause(p *proc, d time.Duration) {
	if p.paused || p.dead {
		return
	}
	p.paused = true
	p.pausedFor += d
	w.extend(d)
	w.after(d, func() { w.thaw(p) })
}

// extend moves the end of the disturbance to at least d from now.
func (w *world) extend(d time.Duration) { w.horizon = max(w.horizon, w.now+d) }

const (
	settleTime = 7 * time.Second // P8's bound of 6 s and an append
	maxTime    = 2 * time.Minute
)

// run executes events until every call ended and the system settled, then
// checks the final state.
func (w *world) run() []violation {
	for len(w.queue) > 0 && w.now < maxTime {
		if w.open == 0 && w.now >= w.horizon+settleTime {
			break
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.check.final(w)
	return w.check.found
}
