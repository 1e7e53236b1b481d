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
	step = 5 * time.Millisecond
	// lossNoticed is when agents have noticed that an entry is lost and stop its
	// runs, settlePatience when they tell the others of an end that is not settled.
	lossNoticed    = 500 * time.Millisecond
	settlePatience = 700 * time.Millisecond
)

// world is a log, processes that share it, and tasks that run.
type world struct {
	t         *rapid.T
	opts      durable.Options
	now       time.Duration
	records   []durable.Record
	fenced    map[wire.Incarnation]bool
	applied   map[string]bool // appends by writer and number
	down      bool            // the log answers nobody
	processes []*process
	next      uint64
	runs      []*run
	kept      []*kept         // ends that no process has settled
	done      map[string]bool // tasks with an end that was settled
	accepted  map[string]bool // jobs that a caller was told are stored
	cancelled map[string]bool
	tasks     map[string]int // by job
}

// process is an entry with its keeper's machine.
type process struct {
	name    string
	self    wire.Incarnation
	machine *durable.Machine
	paused  time.Duration // until then
	cut     time.Duration // from the log, until then
	number  int
	from    int
	known   bool
	nextPoll,
	nextTick time.Duration
	pending []delayed
	drives  map[string]*drive
	tokens  map[uint64]string // job by token, of submissions
	inbox   []durable.Event
	until   time.Duration // end of the lease
	lostAt  time.Duration // when its links broke last, 0 if they hold
}

// delayed is a call of the log or an answer on its way.
type delayed struct {
	at time.Duration
	do func()
}

// drive is a job that a process runs.
type drive struct {
	spec    *durable.Spec
	left    []bool // tasks that are still to succeed
	running int
	base    int
	lost    []wire.RunRef // runs that ended with their lease
}

// width is the number of tasks of one occurrence.
func (d *drive) width() int { return d.spec.Steps[0].Tasks }

// run is one run of a task.
type run struct {
	ref    wire.RunRef
	owner  *process
	end    time.Duration
	deadAt time.Duration // when it ends at the latest, its owner being lost; 0 if it is not
	// unseen says that its agent is lost as well: the run ends with its lease, and
	// an end before that counts for nothing.
	unseen bool
}

// kept is an end that an agent keeps.
type kept struct {
	end   wire.RunEnd
	owner *process
	told  map[*process]bool
	late  bool // the task was started again: the end must not be settled any more
	at    time.Duration
}

func newWorld(t *rapid.T, opts durable.Options, processes int) *world {
	w := &world{
		t: t, opts: opts, fenced: make(map[wire.Incarnation]bool), applied: make(map[string]bool), done: make(map[string]bool),
		accepted: make(map[string]bool), cancelled: make(map[string]bool), tasks: make(map[string]int),
	}
	for i := range processes {
		w.processes = append(w.processes, w.begin(fmt.Sprintf("vm-%d", i)))
	}
	return w
}

func (w *world) begin(name string) *process {
	w.next++
	p := &process{
		name: name, self: wire.Incarnation(w.next*7919 + 1),
		drives: make(map[string]*drive), tokens: make(map[uint64]string),
	}
	opts := w.opts
	opts.Self = durable.Owner{Incarnation: p.self, Name: name}
	p.machine = durable.New(opts)
	return p
}

// restart kills a process and starts it anew on its VM.
func (w *world) restart(i int) {
	old := w.processes[i]
	w.lose(old)
	old.paused = 1 << 62
	w.processes[i] = w.begin(old.name)
}

// lose notes that a process shows no more signs of life.
func (w *world) lose(p *process) {
	for _, k := range w.kept {
		delete(k.told, p) // its links break, and it is told again over new ones
	}
	for _, r := range w.runs {
		if r.owner != p || r.deadAt > 0 {
			continue
		}
		r.deadAt = w.now + lossNoticed + step
		if r.unseen = rapid.IntRange(0, 3).Draw(w.t, "unseen") == 0; r.unseen {
			r.deadAt = w.now + time.Duration(rapid.IntRange(0, 1300).Draw(w.t, "lapse"))*time.Millisecond
		}
	}
	p.lostAt = w.now
	w.t.Logf("%v %s (%x): lost", w.now, p.name, p.self)
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.endRuns()
		w.tellKept()
		for _, p := range w.processes {
			w.act(p)
		}
	}
}

// act lets a process do what is due.
func (w *world) act(p *process) {
	var rest []delayed
	due := p.pending
	p.pending = nil
	for _, c := range due {
		if c.at > w.now {
			rest = append(rest, c)
			continue
		}
		c.do()
	}
	p.pending = append(p.pending, rest...)
	if w.now < p.paused {
		return
	}
	if p.lostAt > 0 && w.now-p.lostAt > lossNoticed {
		p.lostAt = 0
	}
	w.heedLease(p)
	w.rerun(p)
	if w.now >= p.nextPoll && !w.down && w.now >= p.cut {
		p.nextPoll = w.now + 30*time.Millisecond
		w.poll(p)
	}
	if w.now >= p.nextTick {
		p.nextTick = w.now + 25*time.Millisecond
		p.inbox = append(p.inbox, durable.Tick{})
	}
	for len(p.inbox) > 0 && !p.machine.Superseded() {
		ev := p.inbox[0]
		p.inbox = p.inbox[1:]
		for _, a := range slices.Clone(p.machine.Step(w.now, ev)) {
			w.apply(p, a)
		}
	}
	if p.machine.Superseded() {
		w.replace(p)
	}
}

// replace begins a new incarnation within the process.
func (w *world) replace(p *process) {
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		w.halt(p, p.drives[job])
	}
	w.t.Logf("%v %s (%x): superseded", w.now, p.name, p.self)
	unsettled := p.machine.Unsettled()
	fresh := w.begin(p.name)
	p.self, p.machine, p.number, p.known = fresh.self, fresh.machine, 0, false
	p.drives, p.tokens, p.inbox = fresh.drives, fresh.tokens, nil
	for _, end := range unsettled {
		p.inbox = append(p.inbox, end)
	}
}

func (w *world) poll(p *process) {
	var out []durable.Record
	if !p.known {
		p.known = true
		newest := make(map[string]durable.Record)
		for _, r := range w.records {
			newest[r.Key] = r
		}
		for _, r := range newest {
			if len(r.Value) > 0 {
				out = append(out, r)
			}
		}
		p.from = len(w.records)
		p.inbox = append(p.inbox, durable.Read{Records: out, Whole: true, Asked: w.now})
		return
	}
	out = slices.Clone(w.records[p.from:])
	p.from = len(w.records)
	p.inbox = append(p.inbox, durable.Read{Records: out, Asked: w.now})
}

func (w *world) apply(p *process, action durable.Action) {
	switch x := action.(type) {
	case durable.Append:
		w.append(p, slices.Clone(x.Records), w.now)
	case durable.Fence:
		w.after(p, 5, func() {
			if !w.down && w.now >= p.cut {
				w.fenced[x.From] = true
				p.inbox = append(p.inbox, durable.Fenced{From: x.From, Done: true})
				return
			}
			p.inbox = append(p.inbox, durable.Fenced{From: x.From})
		})
	case durable.Drive:
		w.drive(p, x)
	case durable.Halt:
		if d := p.drives[x.Job]; d != nil {
			w.halt(p, d)
		}
	case durable.Leased:
		p.until = x.Until
	case durable.Settle:
		w.settle(x)
	case durable.Reply:
		if job, ok := p.tokens[x.Token]; ok && x.Verdict == durable.Stored {
			w.accepted[job] = true
		}
	case durable.Moved:
		w.t.Logf("%v %s (%x): takes over %d jobs of %s (%x)", w.now, p.name, p.self, x.Jobs, x.From.Name, x.From.Incarnation)
	case durable.Unreadable:
		w.t.Fatal(x.Err)
	}
}

func (w *world) after(p *process, ms int, do func()) {
	p.pending = append(p.pending, delayed{at: w.now + time.Duration(ms)*time.Millisecond, do: do})
}

// append carries an append out, perhaps without an answer or seconds later; it
// is repeated until its fate is known.
func (w *world) append(p *process, records []durable.Record, sent time.Duration) {
	self, number := p.self, p.number
	carryOut := func() durable.AppendOutcome {
		id := fmt.Sprint(self, ".", number)
		if w.fenced[self] {
			return durable.Superseded
		}
		if !w.applied[id] {
			w.applied[id] = true
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
				w.append(p, records, sent)
			}
		})
	}
	answer := func(o durable.AppendOutcome) {
		w.after(p, 5, func() {
			if p.self != self {
				return
			}
			if o == durable.Recorded {
				p.number++
			}
			p.inbox = append(p.inbox, durable.Appended{Outcome: o, Sent: sent})
		})
	}
	switch fate := rapid.IntRange(0, 19).Draw(w.t, "fate"); {
	case w.down || w.now < p.cut:
		retry(100)
	case fate == 0: // carried out, no answer
		carryOut()
		retry(50)
	case fate == 1: // carried out late, no answer
		w.after(p, 2000, func() { carryOut() })
		retry(50)
	default:
		answer(carryOut())
	}
}

func name(ref wire.RunRef) string { return fmt.Sprintf("%s.%d.%d", ref.Job, ref.Occurrence, ref.Index) }

func (w *world) drive(p *process, x durable.Drive) {
	d := &drive{spec: x.Spec, base: x.RunBase, left: make([]bool, len(x.Progress))}
	p.drives[x.Spec.ID] = d
	for i, task := range x.Progress {
		d.left[i] = !task.Done
		if d.left[i] {
			w.start(p, d, wire.RunRef{Job: x.Spec.ID, Occurrence: i / d.width(), Index: i % d.width(), Run: x.RunBase + 1})
		}
	}
	p.inbox = append(p.inbox, durable.Began{Job: x.Spec.ID})
	w.ended(p, d)
}

func (w *world) start(p *process, d *drive, ref wire.RunRef) {
	for _, r := range w.runs {
		if name(r.ref) == name(ref) {
			w.t.Fatalf("%v at %v: run %d starts while run %d goes on", name(ref), w.now, ref.Run, r.ref.Run)
		}
	}
	if w.done[name(ref)] {
		w.t.Fatalf("%v at %v: run %d starts after an end of the task was settled", name(ref), w.now, ref.Run)
	}
	for _, k := range w.kept {
		k.late = k.late || name(k.end.Run) == name(ref)
	}
	w.t.Logf("%v %s: run %d of %s starts", w.now, p.name, ref.Run, name(ref))
	d.running++
	longest := 1500
	if rapid.IntRange(0, 2).Draw(w.t, "long") == 2 { // longer than a lease
		longest = 8000
	}
	length := time.Duration(rapid.IntRange(5, longest).Draw(w.t, "length")) * time.Millisecond
	w.runs = append(w.runs, &run{ref: ref, owner: p, end: w.now + length})
}

// endRuns ends the runs that are over or whose owner is lost.
func (w *world) endRuns() {
	runs := w.runs
	w.runs = nil
	for _, r := range runs {
		switch {
		case r.deadAt > 0 && w.now >= r.deadAt:
			if d := r.owner.drives[r.ref.Job]; d != nil && d.base < r.ref.Run {
				d.running--
				d.lost = append(d.lost, r.ref)
			}
		case w.now >= r.end:
			w.finish(r)
		default:
			w.runs = append(w.runs, r)
		}
	}
}

// finish ends a run that succeeded. Its owner is told, if it is paused when it
// wakes.
func (w *world) finish(r *run) {
	end := wire.RunEnd{Run: r.ref}
	if r.unseen {
		r.deadAt = w.now
		w.runs = append(w.runs, r) // lapses
		return
	}
	w.t.Logf("%v %s: run %d of %s is done", w.now, r.owner.name, r.ref.Run, name(r.ref))
	w.kept = append(w.kept, &kept{end: end, owner: r.owner, told: make(map[*process]bool), at: w.now})
	if !slices.Contains(w.processes, r.owner) {
		return
	}
	p := r.owner
	d := p.drives[r.ref.Job]
	if d == nil || d.base >= r.ref.Run {
		return
	}
	p.inbox = append(p.inbox, durable.TaskEnded{Agent: 1, End: end})
	d.left[r.ref.Occurrence*d.width()+r.ref.Index] = false
	d.running--
	w.ended(p, d)
}

// heedLease ends what a process runs once its lease is over.
func (w *world) heedLease(p *process) {
	if w.now < p.until {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		w.halt(p, p.drives[job])
	}
}

// rerun repeats the tasks whose runs were lost.
func (w *world) rerun(p *process) {
	for _, job := range slices.Sorted(maps.Keys(p.drives)) {
		d := p.drives[job]
		lost := d.lost
		d.lost = nil
		for _, ref := range lost {
			ref.Run++
			w.start(p, d, ref)
		}
	}
}

// ended tells of the end of a drive of which nothing runs.
func (w *world) ended(p *process, d *drive) {
	if d.running > 0 {
		return
	}
	outcome, reason := entry.Complete, ""
	if slices.Contains(d.left, true) {
		outcome, reason = entry.Failed, entry.ReasonCancelled
	}
	delete(p.drives, d.spec.ID)
	p.inbox = append(p.inbox, durable.Ended{Job: d.spec.ID, Outcome: outcome, Reason: reason})
}

// halt stops the runs of a drive.
func (w *world) halt(p *process, d *drive) {
	runs := w.runs
	w.runs = nil
	for _, r := range runs {
		if r.owner == p && r.ref.Job == d.spec.ID {
			d.running--
			continue
		}
		w.runs = append(w.runs, r)
	}
	w.ended(p, d)
}

// settle releases an end. It must be recorded by then.
func (w *world) settle(x durable.Settle) {
	for _, ref := range x.Runs {
		w.t.Logf("%v settled run %d of %s, void %v", w.now, ref.Run, name(ref), x.Void)
		w.done[name(ref)] = w.done[name(ref)] || !x.Void
		w.kept = slices.DeleteFunc(w.kept, func(k *kept) bool {
			if k.end.Run == ref && k.late && !x.Void {
				w.t.Fatalf("%v: run %d of %s is settled after the task was started again", w.now, ref.Run, name(ref))
			}
			return k.end.Run == ref
		})
	}
}

// tellKept tells the processes of ends that are overdue, each one once as long as
// it is connected.
func (w *world) tellKept() {
	for _, k := range w.kept {
		lost := k.owner.lostAt > 0 && w.now-k.owner.lostAt >= lossNoticed
		if !lost && w.now-k.at < settlePatience {
			continue
		}
		for _, p := range w.processes {
			if w.now >= p.paused && !k.told[p] {
				k.told[p] = true
				w.t.Logf("%v %s: told of run %d of %s", w.now, p.name, k.end.Run.Run, name(k.end.Run))
				p.inbox = append(p.inbox, durable.TaskEnded{Agent: 1, End: k.end})
			}
		}
	}
}

// submit offers a job of some tasks to a process.
// Every third job recurs.
func (w *world) submit(p *process, job string, tasks int) {
	w.next++
	p.tokens[w.next] = job
	w.tasks[job] = tasks
	p.inbox = append(p.inbox, durable.Submit{Token: w.next, Spec: durable.Spec{
		ID: job, Class: "c", Payload: []byte("p"), Steps: []entry.Step{{Tasks: tasks}}, Attempts: 3,
		Schedule: durable.Schedule{Count: 2 * (int(job[len(job)-1]) % 3 / 2)},
	}})
}
