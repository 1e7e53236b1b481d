package durable_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

const (
	stepTime = 5 * time.Millisecond
	// lossDetection is how long agents take to detect the loss of an entry and stop
	// its runs; reportDelay is how long they wait for an acknowledgement before
	// they report a finished run to the other entries.
	lossDetection = 500 * time.Millisecond
	reportDelay   = 700 * time.Millisecond
)

// world simulates a log, the processes that share it, and their runs.
type world struct {
	t              *rapid.T
	opts           durable.Options
	now            time.Duration
	records        []durable.Record
	fenced         map[wire.Incarnation]bool
	appended       map[string]bool // appends that are in the log, by writer and number
	logDown        bool            // the log answers no call
	readLimit      int             // records in one read
	removed        map[string]int  // number of records when the key was removed from the store, by key
	processes      []*process
	addresses      int    // addresses that were used besides the first ones of the VMs
	lastNumber     uint64 // last number given to an incarnation or a token
	runs           []*run
	retained       []*retainedRun             // finished runs that no process has acknowledged
	completedTasks map[string]bool            // tasks with an acknowledged run
	accepted       map[string]bool            // jobs that a caller was told are stored
	cancelled      map[string]bool            // jobs that a caller asked to cancel
	requests       map[string]*callerRequests // by the beginning of the keys of their records
	keyOfToken     map[uint64]string          // the same beginning, by token
	replies        map[uint64]int             // number of replies, by token
	tasks          map[string]int             // number of tasks by job

	holders      map[wire.Incarnation]*leaseHolder
	drivers      map[string][]wire.Incarnation // incarnations that drove a job, by job
	runTimes     map[string]time.Duration      // how long the runs of a job take, by job; drawn for others
	appendFaults bool                          // replies of appends are lost, and appends are carried out late

	// faultyRuns lets a third of the runs fail or lose their worker to a crash.
	faultyRuns    bool
	failed, noted map[wire.RunRef]bool // runs that ended failed, and those acknowledged as counted
	failedRuns    map[string]int       // runs that ended failed at their worker, by task
	crashedRuns   map[string]int       // runs under which a worker crashed, by task
	notedFailures map[string]int       // failed runs that were acknowledged as counted, by task
}

// process is an entry process with the state machine of its keeper.
type process struct {
	vm          string
	address     int    // where it listens
	name        string // of vm and address
	self        wire.Incarnation
	machine     *durable.Machine
	pausedUntil time.Duration // does nothing until then
	cutUntil    time.Duration // cut off from the log until then
	cutOneWay   bool          // the cut holds up answers only: appends and fences take effect
	nextAppend  int
	offset      int  // position in world.records to read on from
	hasOffset   bool // whether offset is valid
	nextPoll,
	nextTick time.Duration
	delayedCalls []delayedCall
	drives       map[string]*activeDrive
	tokens       map[uint64]string // job of each request by token
	inbox        []durable.Event
	leaseUntil   time.Duration // when the lease expires
	leaving      bool          // it was told to hand its jobs over
	linksLostAt  time.Duration // when its links last broke, 0 if they are up
}

// delayedCall is a call to the log or a reply that is in transit.
type delayedCall struct {
	at time.Duration
	do func()
}

// activeDrive is a job that a process drives.
type activeDrive struct {
	spec       *durable.Spec
	unfinished []bool // tasks that have not succeeded yet
	running    int
	runBase    int
	lostRuns   []wire.RunRef // runs that ended when their lease expired or that failed
	failures   []int         // failed runs by task
	crashes    []int         // runs under which a worker crashed, by task
	failReason string        // why the job has failed, "" if it has not
}

// tasksPerOccurrence returns the number of tasks of one occurrence.
func (d *activeDrive) tasksPerOccurrence() int { return d.spec.Steps[0].Tasks }

// run is one run of a task.
type run struct {
	ref     wire.RunRef
	owner   *process
	endAt   time.Duration
	lapseAt time.Duration // when the run ends at the latest because its owner is lost; 0 if the owner is not lost
	// agentLost is set if the run's agent is lost too: the run ends with its lease,
	// and a result before that does not count.
	agentLost bool
	fails     bool // the run ends failed
	crashes   bool // its worker crashes at endAt
}

// retainedRun is a finished run that its agent retains.
type retainedRun struct {
	run        wire.FinishedRun
	owner      *process
	reportedTo map[*process]bool
	superseded bool // the task was started again: the run must not be acknowledged as counted
	finishedAt time.Duration
}

func newWorld(t *rapid.T, opts durable.Options, processes int) *world {
	w := &world{
		t: t, opts: opts, fenced: make(map[wire.Incarnation]bool), removed: make(map[string]int), appended: make(map[string]bool), completedTasks: make(map[string]bool),
		holders: make(map[wire.Incarnation]*leaseHolder), drivers: make(map[string][]wire.Incarnation), appendFaults: true,
		accepted: make(map[string]bool), cancelled: make(map[string]bool), tasks: make(map[string]int),
		requests: make(map[string]*callerRequests), keyOfToken: make(map[uint64]string), replies: make(map[uint64]int),
		failed: make(map[wire.RunRef]bool), noted: make(map[wire.RunRef]bool), failedRuns: make(map[string]int), crashedRuns: make(map[string]int), notedFailures: make(map[string]int),
		readLimit: rapid.SampledFrom([]int{4, 20, 1 << 20}).Draw(t, "records in one read"),
	}
	for i := range processes {
		w.processes = append(w.processes, w.newProcess(fmt.Sprintf("vm-%d", i)))
	}
	return w
}

// newProcess returns a process with a new incarnation, which has read nothing yet, at the
// first address of its VM.
func (w *world) newProcess(vm string) *process { return w.newProcessAt(vm, 0) }

// newProcessAt returns such a process at another address.
func (w *world) newProcessAt(vm string, address int) *process {
	w.lastNumber++
	name := durable.ProcessName(vm, fmt.Sprint(address))
	p := &process{
		vm: vm, address: address, name: name, self: wire.Incarnation(w.lastNumber*7919 + 1),
		drives: make(map[string]*activeDrive), tokens: make(map[uint64]string),
	}
	opts := w.opts
	opts.Self = durable.ProcessID{Incarnation: p.self, Name: name}
	p.machine = durable.New(opts)
	return p
}

// playJobsBesideFaults lets 5 to 30 events happen at processes that are drawn. fault carries
// out the event of a number from 0 to 8 at the process of an index, or returns false; then a
// new job is submitted there.
func (w *world) playJobsBesideFaults(fault func(event, process int, span time.Duration) bool) {
	w.advance(100 * time.Millisecond)
	jobs := 0
	for range rapid.IntRange(5, 30).Draw(w.t, "events") {
		i := rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")
		p := w.processes[i]
		span := time.Duration(rapid.IntRange(100, 6000).Draw(w.t, "span")) * time.Millisecond
		if !fault(rapid.IntRange(0, 8).Draw(w.t, "event"), i, span) {
			jobs++
			w.submit(p, fmt.Sprintf("j%d", jobs), rapid.IntRange(1, 4).Draw(w.t, "tasks"))
		}
		w.advance(time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "pause")) * time.Millisecond)
	}
}

// restart kills a process and starts a new one on its VM.
func (w *world) restart(i int) {
	old := w.processes[i]
	w.loseLinks(old)
	old.pausedUntil = 1 << 62
	w.holder(old).endedAt = w.now
	w.processes[i] = w.newProcessAt(old.vm, old.address)
}

// leave ends a process that has handed its jobs over, and starts a new one on its VM.
func (w *world) leave(p *process) {
	w.restart(slices.Index(w.processes, p))
}

// loseLinks breaks the links of a process to the agents.
func (w *world) loseLinks(p *process) {
	for _, retained := range w.retained {
		delete(retained.reportedTo, p) // its links break; the run is reported again over new links
	}
	for _, r := range w.runs {
		if r.owner != p || r.lapseAt > 0 {
			continue
		}
		r.lapseAt = w.now + lossDetection + stepTime
		if r.agentLost = rapid.IntRange(0, 3).Draw(w.t, "agent lost") == 0; r.agentLost {
			r.lapseAt = w.now + time.Duration(rapid.IntRange(0, 1300).Draw(w.t, "lapse"))*time.Millisecond
		}
	}
	p.linksLostAt = w.now
	w.t.Logf("%v %s (%x): lost", w.now, p.name, p.self)
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += stepTime
		w.endRuns()
		w.reportRetained()
		for _, p := range w.processes {
			w.stepProcess(p)
		}
	}
}

// stepProcess carries out what is due at a process.
func (w *world) stepProcess(p *process) {
	var rest []delayedCall
	due := p.delayedCalls
	p.delayedCalls = nil
	for _, c := range due {
		if c.at > w.now {
			rest = append(rest, c)
			continue
		}
		c.do()
	}
	p.delayedCalls = append(p.delayedCalls, rest...)
	if w.now < p.pausedUntil {
		return
	}
	if p.linksLostAt > 0 && w.now-p.linksLostAt > lossDetection {
		p.linksLostAt = 0
	}
	w.enforceLease(p)
	w.endFailedDrives(p)
	w.restartLostRuns(p)
	if w.now >= p.nextPoll && !w.logDown && w.now >= p.cutUntil {
		p.nextPoll = w.now + 30*time.Millisecond
		w.poll(p)
	}
	if w.now >= p.nextTick {
		p.nextTick = w.now + 25*time.Millisecond
		p.inbox = append(p.inbox, durable.Tick{})
	}
	for len(p.inbox) > 0 && !p.machine.FencedOff() {
		ev := p.inbox[0]
		p.inbox = p.inbox[1:]
		for _, a := range slices.Clone(p.machine.Step(w.now, ev)) {
			w.apply(p, a)
		}
	}
	if p.machine.FencedOff() {
		w.replaceMachine(p)
	}
}

// replaceMachine starts a new incarnation within the process.
func (w *world) replaceMachine(p *process) {
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		w.halt(p, p.drives[job])
	}
	w.t.Logf("%v %s (%x): fenced off", w.now, p.name, p.self)
	w.holder(p).endedAt = w.now
	unacknowledged, unresolved := p.machine.UnacknowledgedRuns(), p.machine.UnresolvedRequests()
	replacement := w.newProcessAt(p.vm, p.address)
	p.self, p.machine, p.nextAppend, p.hasOffset = replacement.self, replacement.machine, 0, false
	p.drives = replacement.drives
	p.inbox = slices.DeleteFunc(p.inbox, func(ev durable.Event) bool {
		switch ev.(type) {
		case durable.Submit, durable.Cancel:
			return false
		}
		return true
	})
	for _, run := range unacknowledged {
		p.inbox = append(p.inbox, run)
	}
	for _, r := range unresolved {
		p.inbox = append(p.inbox, r)
	}
}

// poll reads the log for a process: the newest record of each key for the first
// read of a machine, otherwise the records since the last read.
func (w *world) poll(p *process) {
	var out []durable.Record
	if !p.hasOffset {
		p.hasOffset = true
		newest := make(map[string]durable.Record)
		for _, r := range w.records {
			newest[r.Key] = r
		}
		for _, r := range newest {
			if len(r.Value) > 0 && !w.isRemoved(r) {
				out = append(out, r)
			}
		}
		p.offset = len(w.records)
		p.inbox = append(p.inbox, durable.Read{Records: out, Snapshot: true, RequestedAt: w.now})
		return
	}
	end := min(len(w.records), p.offset+w.readLimit)
	out = slices.DeleteFunc(slices.Clone(w.records[p.offset:end]), w.isRemoved)
	p.offset = end
	p.inbox = append(p.inbox, durable.Read{Records: out, RequestedAt: w.now, CutOff: end < len(w.records)})
}

// isRemoved reports whether the store has removed the record.
func (w *world) isRemoved(r durable.Record) bool { return int(r.Offset) < w.removed[r.Key] }

// removeKeys removes the keys of a kind from the store at once. No process is told.
func (w *world) removeKeys(kind byte) {
	w.t.Logf("%v the keys of kind %c are removed", w.now, kind)
	for _, r := range w.records {
		if r.Key[0] == kind {
			w.removed[r.Key] = len(w.records)
		}
	}
}

func (w *world) apply(p *process, action durable.Action) {
	switch x := action.(type) {
	case durable.Append:
		w.append(p, slices.Clone(x.Records), w.now, false)
	case durable.Fence:
		w.requireLapsed(p, x.Writer)
		w.after(p, 5, func() {
			if !w.logDown && w.now >= p.cutUntil {
				w.fenced[x.Writer] = true
				p.inbox = append(p.inbox, durable.Fenced{Writer: x.Writer, Done: true})
				return
			}
			if !w.logDown && p.cutOneWay {
				w.fenced[x.Writer] = true
			}
			p.inbox = append(p.inbox, durable.Fenced{Writer: x.Writer})
		})
	case durable.Drive:
		if x.Spec.Published != quotesClass {
			w.t.Fatalf("%v %s (%x): drives %s in the class %+v", w.now, p.name, p.self, x.Spec.ID, x.Spec.Published)
		}
		w.requireOwnersStopped(p, x.Spec.ID)
		w.drive(p, x)
	case durable.Halt:
		if d := p.drives[x.Job]; d != nil {
			w.halt(p, d)
		}
	case durable.LeaseRenewed:
		w.renewLease(p, x.Until)
	case durable.Acknowledge:
		w.acknowledge(x)
	case durable.Reply:
		w.replies[x.Token]++
		if x.Result == durable.Stored && w.isSubmission(x.Token) {
			w.accepted[p.tokens[x.Token]] = true
		}
		if x.Result == durable.Full || x.Result == durable.Unavailable || x.Result == durable.Unknown {
			w.requests[w.keyOfToken[x.Token]].refused++
		}
	case durable.Left:
		w.leave(p)
	case durable.TakenOver:
		w.t.Logf("%v %s (%x): takes over %d jobs of %s (%x)", w.now, p.name, p.self, x.Jobs, x.From.Name, x.From.Incarnation)
	case durable.Undecodable:
		w.t.Fatal(x.Err)
	}
}

// after carries out a call or delivers a reply at the process after a delay.
func (w *world) after(p *process, ms int, do func()) {
	p.delayedCalls = append(p.delayedCalls, delayedCall{at: w.now + time.Duration(ms)*time.Millisecond, do: do})
}

// append carries out an append. The reply may be lost, and the append may take
// effect seconds later; it is retried until its outcome is known. unresolved states that
// an earlier attempt got no answer.
func (w *world) append(p *process, records []durable.Record, sent time.Duration, unresolved bool) {
	self, number := p.self, p.nextAppend
	carryOut := func() durable.AppendOutcome {
		id := fmt.Sprint(self, ".", number)
		if w.fenced[self] && unresolved {
			return durable.FencedOffUnresolved
		}
		if w.fenced[self] {
			return durable.FencedOff
		}
		if !w.appended[id] {
			w.appended[id] = true
			w.noteRecorded(p)
			for _, r := range records {
				r.Offset = int64(len(w.records))
				w.records = append(w.records, r)
			}
		}
		return durable.Recorded
	}
	retry := func(ms int) {
		w.after(p, ms, func() {
			if p.self == self {
				w.append(p, records, sent, true)
			}
		})
	}
	answer := func(o durable.AppendOutcome) {
		w.after(p, 5, func() {
			if p.self != self {
				return
			}
			if o == durable.Recorded {
				p.nextAppend++
			}
			p.inbox = append(p.inbox, durable.Appended{Outcome: o, SentAt: sent})
		})
	}
	fault := -1
	if w.appendFaults {
		fault = rapid.IntRange(0, 19).Draw(w.t, "append fault")
	}
	switch {
	case w.logDown || w.now < p.cutUntil:
		if !w.logDown && p.cutOneWay {
			carryOut()
		}
		retry(100)
	case fault == 0: // carried out, reply lost
		carryOut()
		retry(50)
	case fault == 1: // carried out late, reply lost
		w.after(p, 2000, func() { carryOut() })
		retry(50)
	default:
		answer(carryOut())
	}
}

// acknowledge releases finished runs. It fails the test if a run is acknowledged as
// counted although its task was started again.
func (w *world) acknowledge(x durable.Acknowledge) {
	for _, ref := range x.Runs {
		w.t.Logf("%v acknowledged run %d of %s, superseded %v", w.now, ref.Run, taskName(ref), x.Superseded)
		failed := w.failed[ref]
		if failed && !x.Superseded && !w.noted[ref] {
			w.noted[ref] = true
			w.notedFailures[taskName(ref)]++
		}
		w.retained = slices.DeleteFunc(w.retained, func(retained *retainedRun) bool {
			if retained.run.Run != ref {
				return false
			}
			if retained.superseded && !x.Superseded {
				w.t.Fatalf("%v: run %d of %s is acknowledged as counted after the task was started again", w.now, ref.Run, taskName(ref))
			}
			return true
		})
		w.completedTasks[taskName(ref)] = w.completedTasks[taskName(ref)] || !x.Superseded && !failed
	}
}

// reportRetained reports overdue finished runs to the processes, once per
// process while its links are up.
func (w *world) reportRetained() {
	for _, retained := range w.retained {
		lost := retained.owner.linksLostAt > 0 && w.now-retained.owner.linksLostAt >= lossDetection
		if !lost && w.now-retained.finishedAt < reportDelay {
			continue
		}
		for _, p := range w.processes {
			if w.now >= p.pausedUntil && !retained.reportedTo[p] {
				retained.reportedTo[p] = true
				w.t.Logf("%v %s: run %d of %s is reported", w.now, p.name, retained.run.Run.Run, taskName(retained.run.Run))
				p.inbox = append(p.inbox, durable.RunFinished{Agent: 1, Run: retained.run})
			}
		}
	}
}

// submit submits a job with the given number of tasks to a process. Every third
// job recurs.
func (w *world) submit(p *process, job string, tasks int) {
	w.newToken(p, job, "j"+job+".")
	w.tasks[job] = tasks
	p.inbox = append(p.inbox, durable.Submit{Token: w.lastNumber, Spec: durable.Spec{
		ID: job, Class: "c", Payload: []byte("p"), Steps: []entry.Step{{Tasks: tasks}}, MaxFailedRuns: maxFailedRuns,
		Schedule:  durable.Schedule{Count: 2 * (int(job[len(job)-1]) % 3 / 2)},
		Published: quotesClass,
	}})
}
