package policy_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/interference"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

const linkDelay = 300 * time.Microsecond // one-way delay of every frame

// event is one callback at a virtual time.
type event struct {
	at time.Duration
	do func()
}

// driver connects state machines of entries and agents in virtual time.
type driver struct {
	now           time.Duration
	queue         []event // ordered by time, then by insertion
	lastID        uint64  // last submission ID
	entries       []*entry.Machine
	agents        []*agent.Machine
	scheds        []policy.Scheduler
	bad           map[int]bool            // agents that fail every task
	slow          map[int]float64         // run-time factor
	failedRuns    map[int]int             // tasks failed by a bad agent
	busy          time.Duration           // slot time used by runs
	down          bool                    // all upstreams refuse connections
	downUntil     map[int]time.Duration   // when the crashed upstream of an agent returns
	crashes       int                     // of upstreams
	pairChanges   [][]interference.Change // of the entries
	contained     []bool                  // whether each entry has contained a class
	maxFailedRuns int                     // of the jobs that are submitted, see entry.Submit
	jobs          map[wire.SubmissionID]*submitted
	done          []*submitted
	running       map[agent.AttemptID]bool
	runningAt     map[agent.AttemptID]int // agent of each run
	starts        map[agent.AttemptID]*wire.Start
	frozenUntil   map[int]time.Duration                                   // when the process of an agent goes on
	capacity      wire.Capacity                                           // of each worker; zero if not stated
	longer        map[string]float64                                      // run-time factor by class, with beside
	beside        *besideModel                                            // nil if runs do not slow each other down
	declare       func(class string, longest time.Duration) time.Duration // declared run time of a job; nil if none
	rng           *rand.Rand
}

// submitted is a job with its answer.
type submitted struct {
	class, team string
	tasks       int
	entry       int
	at, end     time.Duration
	ideal       time.Duration // response time on idle agents
	answer      entry.JobAnswer
}

// slowdown returns the response time relative to the ideal one.
func (s *submitted) slowdown() float64 { return float64(s.end-s.at) / float64(s.ideal) }

func newDriver(seed uint64, entries, agents int, settings policy.Settings, sched func(i int) policy.Scheduler) *driver {
	return newDriverWithCapacity(seed, entries, agents, wire.Capacity{}, settings, sched)
}

// newDriverWithCapacity is newDriver with workers that state a capacity.
func newDriverWithCapacity(seed uint64, entries, agents int, capacity wire.Capacity, settings policy.Settings, sched func(i int) policy.Scheduler) *driver {
	d := &driver{
		capacity: capacity, starts: map[agent.AttemptID]*wire.Start{}, frozenUntil: map[int]time.Duration{},
		longer:    map[string]float64{},
		downUntil: map[int]time.Duration{}, bad: map[int]bool{}, slow: map[int]float64{}, failedRuns: map[int]int{},
		jobs: map[wire.SubmissionID]*submitted{}, running: map[agent.AttemptID]bool{}, runningAt: map[agent.AttemptID]int{},
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	d.contained, d.pairChanges = make([]bool, entries), make([][]interference.Change, entries)
	for i := range entries {
		d.scheds = append(d.scheds, sched(i))
		d.entries = append(d.entries, entry.New(entry.Options{Incarnation: wire.Incarnation(1000 + i), Scheduler: d.scheds[i], MaxJobs: 1 << 20}))
		d.stepEntry(i, entry.Configured{Settings: settings})
	}
	for k := range agents {
		d.agents = append(d.agents, agent.New(agent.Options{Incarnation: wire.Incarnation(1 + k), Zone: fmt.Sprint("zone-", k%3), Slots: 8, Capacity: capacity}))
		for i := range entries {
			d.connect(i, k)
		}
	}
	for i := range entries {
		d.every(10*time.Millisecond, func() { d.stepEntry(i, entry.Tick{}) })
	}
	for k := range agents {
		d.every(50*time.Millisecond, func() { d.stepAgent(k, agent.Tick{}) })
	}
	return d
}

func (d *driver) connect(i, k int) {
	d.stepEntry(i, entry.LinkUp{Hello: wire.AgentHello{
		Agent: wire.Incarnation(1 + k), Epoch: 1, Name: fmt.Sprint("agent-", k),
		Zone: fmt.Sprint("zone-", k%3), Rack: fmt.Sprint("rack-", k/3), Slots: 8,
		Capacity: d.capacity, Labels: []string{fmt.Sprint("kind-", k)},
	}})
	d.stepAgent(k, agent.LinkUp{Entry: wire.Incarnation(1000 + i), Epoch: 1, ReportNeighbours: true})
}

func (d *driver) after(delay time.Duration, do func()) {
	at := d.now + delay
	i := sort.Search(len(d.queue), func(i int) bool { return d.queue[i].at > at })
	d.queue = slices.Insert(d.queue, i, event{at: at, do: do})
}

func (d *driver) every(period time.Duration, do func()) {
	d.after(period, func() { do(); d.every(period, do) })
}

// run executes events until the virtual time end.
func (d *driver) run(end time.Duration) {
	for d.queue[0].at <= end {
		e := d.queue[0]
		d.queue = d.queue[1:]
		d.now = e.at
		e.do()
	}
	d.now = end
}

func (d *driver) stepEntry(i int, ev entry.Event) {
	for _, a := range slices.Clone(d.entries[i].Step(d.now, ev)) { // an action may cause another step
		switch a := a.(type) {
		case entry.Send:
			d.after(linkDelay, func() {
				d.stepAgent(int(a.Agent)-1, agent.Received{Entry: wire.Incarnation(1000 + i), Epoch: a.Epoch, Frame: a.Frame})
			})
		case entry.RunFinished: // recorded at once
			d.after(linkDelay, func() {
				d.stepEntry(i, entry.AcknowledgedRuns{Agent: a.Agent, Runs: []wire.RunRef{a.Run.Run}, Superseded: a.Superseded})
			})
		case entry.InterferenceChanged:
			d.pairChanges[i] = append(d.pairChanges[i], a.Change)
		case entry.ContainmentChanged:
			d.contained[i] = d.contained[i] || a.Contained
		case entry.Answer:
			s := d.jobs[a.Submission]
			s.end, s.answer = d.now, a.Answer
			delete(d.jobs, a.Submission)
			d.done = append(d.done, s)
		}
	}
}

func (d *driver) stepAgent(k int, ev agent.Event) {
	if until := d.frozenUntil[k]; d.now < until {
		d.after(until-d.now, func() { d.stepAgent(k, ev) })
		return
	}
	for _, a := range slices.Clone(d.agents[k].Step(d.now, ev)) {
		switch a := a.(type) {
		case *agent.Send:
			d.after(linkDelay, func() {
				d.stepEntry(int(a.Entry)-1000, entry.Received{Agent: wire.Incarnation(1 + k), Epoch: a.Epoch, Frame: a.Frame})
			})
		case *agent.Run:
			d.runTask(k, a)
		case agent.Probe:
			d.after(linkDelay, func() { d.stepAgent(k, agent.Probed{Reachable: !d.refuses(k)}) })
		case agent.Stop:
			d.endRun(k, agent.Finished{Attempt: a.Attempt, Outcome: wire.Unknown, Reason: wire.ReasonStopped})
		}
	}
}

// endRun delivers the end of a run, unless the run has already ended.
func (d *driver) endRun(k int, f agent.Finished) {
	if d.running[f.Attempt] {
		delete(d.running, f.Attempt)
		delete(d.runningAt, f.Attempt)
		delete(d.starts, f.Attempt)
		if d.beside != nil {
			d.beside.end(d, k, f.Attempt)
		}
		d.stepAgent(k, f)
	}
}

const (
	maxFailingRun  = 15 * time.Second      // of a task that fails
	deadlyPayload  = 2                     // marks a task that ends the process of the upstream
	crashDelay     = 10 * time.Millisecond // from the start of such a task
	returnDelay    = 3 * time.Second       // of a crashed upstream
	crashDetection = 15 * time.Millisecond // from the crash until the agent knows it
)

// refuses reports whether the upstream of an agent refuses connections.
func (d *driver) refuses(k int) bool { return d.down || d.now < d.downUntil[k] }

// crash ends the process of an upstream.
func (d *driver) crash(k int) {
	if d.refuses(k) {
		return
	}
	d.crashes++
	d.downUntil[k] = d.now + returnDelay
	var lost []agent.AttemptID
	for id, at := range d.runningAt {
		if at == k {
			lost = append(lost, id)
		}
	}
	sort.Slice(lost, func(i, j int) bool {
		return lost[i].Entry < lost[j].Entry || lost[i].Entry == lost[j].Entry && lost[i].Seq < lost[j].Seq
	})
	for _, id := range lost {
		delete(d.running, id)
		d.after(crashDetection, func() {
			d.stepAgent(k, agent.Finished{Attempt: id, Outcome: wire.Failed, Reason: wire.ReasonWorkerCrashed})
		})
	}
}

// runTask simulates the upstream.
func (d *driver) runTask(k int, r *agent.Run) {
	run := time.Duration(binary.LittleEndian.Uint64(r.Start.Payload))
	out := agent.Finished{Attempt: r.Attempt, Outcome: wire.Succeeded}
	if f := d.slow[k]; f > 0 && d.beside == nil {
		run = time.Duration(float64(run) * f)
	}
	if poison := r.Start.Payload[8] == 1; poison || d.bad[k] {
		out.Outcome, out.Reason = wire.Failed, wire.ReasonUpstreamError
		run = min(run/4, maxFailingRun)
		if d.bad[k] && !poison {
			d.failedRuns[k]++
		}
	}
	if d.refuses(k) {
		out.Outcome, out.Reason, run = wire.NotRun, wire.ReasonUpstreamDown, 0
	}
	if run > r.Timeout {
		run, out.Outcome, out.Reason = r.Timeout, wire.Unknown, wire.ReasonRunLimit
	}
	if r.Start.Payload[8] == deadlyPayload && !d.refuses(k) {
		d.after(crashDelay, func() { d.crash(k) })
	}
	out.RunTime = run
	d.busy += run
	d.running[r.Attempt] = true
	d.runningAt[r.Attempt] = k
	d.starts[r.Attempt] = r.Start
	if d.beside != nil {
		d.beside.begin(d, k, r, run)
		return
	}
	d.after(run, func() { d.endRun(k, out) })
}

// submit submits a job whose tasks have the given run times. All tasks of a poison
// job fail.
func (d *driver) submit(i int, class, team string, deadline time.Duration, runs []time.Duration, poison bool) {
	kind := byte(0)
	if poison {
		kind = 1
	}
	d.submitKind(i, class, team, deadline, runs, kind)
}

// submitKind is submit with the mark of each payload: 0, 1 for a task that fails, or
// deadlyPayload, of which only the first task of the job is marked.
func (d *driver) submitKind(i int, class, team string, deadline time.Duration, runs []time.Duration, kind byte) {
	var id wire.SubmissionID
	d.lastID++
	binary.LittleEndian.PutUint64(id[:], d.lastID)
	s := &submitted{class: class, team: team, tasks: len(runs), entry: i, at: d.now}
	payloads := make([][]byte, len(runs))
	var total, longest time.Duration
	for n, r := range runs {
		payloads[n] = binary.LittleEndian.AppendUint64(nil, uint64(r))
		payloads[n] = append(payloads[n], kind)
		if kind == deadlyPayload && n > 0 {
			payloads[n][8] = 0
		}
		total += r
		longest = max(longest, r)
	}
	s.ideal = max(longest, total/time.Duration(8*len(d.agents))) + 2*time.Millisecond
	d.jobs[id] = s
	submit := entry.Submit{Submission: id, Class: class, Team: team, Deadline: deadline, Payloads: payloads, MaxFailedRuns: d.maxFailedRuns}
	if d.declare != nil {
		submit.DeclaredRunTime = d.declare(class, longest)
	}
	d.stepEntry(i, submit)
}
