package lease_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// worker is a model of a worker: it keeps the rules that the machine relies on.
type worker struct {
	now     time.Duration
	life    int64
	fenceAt time.Duration // when the next agent's first call ends what the old one asked for
	lease   time.Duration // deadline of everything that runs
	running map[wire.RunRef]time.Duration
	closed  map[string]int // highest run stopped or ended, by task
	ends    []lease.End
	ran     map[wire.RunRef]bool
	done    map[wire.RunRef]bool
}

func newWorker() *worker {
	return &worker{
		life: 1, running: make(map[wire.RunRef]time.Duration), closed: make(map[string]int),
		ran: make(map[wire.RunRef]bool), done: make(map[wire.RunRef]bool),
	}
}

func taskOf(id wire.RunRef) string { return id.Job + string(rune('0'+id.Index)) }

func (w *worker) advance(d time.Duration) {
	w.now += d
	if w.fenceAt > 0 && w.now >= w.fenceAt {
		clear(w.running)
	}
	for id, end := range w.running {
		switch {
		case w.now > w.lease:
			w.end(id, lease.EndedLapsed)
		case w.now >= end:
			w.done[id] = true
			w.end(id, lease.EndedDone)
		}
	}
}

func (w *worker) end(id wire.RunRef, how lease.How) {
	delete(w.running, id)
	w.closed[taskOf(id)] = max(w.closed[taskOf(id)], id.Run)
	w.ends = append(w.ends, lease.End{N: len(w.ends) + 1, Run: id, How: how})
}

func (w *worker) start(c lease.CallStart, length time.Duration) lease.Started {
	out := lease.Started{Run: c.Run, Verdict: lease.Accepted, Clock: w.now}
	if _, there := w.running[c.Run]; there {
		return out
	}
	switch {
	case w.fenced():
		out.Verdict, out.Reason = lease.Refused, wire.ReasonUpstreamDown
	case c.Deadline < w.now:
		out.Verdict, out.Reason = lease.Refused, wire.ReasonNotReceived
	case c.Run.Run <= w.closed[taskOf(c.Run)]:
		out.Verdict, out.Reason = lease.Refused, wire.ReasonStaleRun
	default:
		w.running[c.Run] = w.now + length
		w.ran[c.Run] = true
		w.lease = max(w.lease, c.Deadline)
	}
	return out
}

// fenced says that the agent of a later life has spoken, so that the worker
// refuses every call of the earlier one.
func (w *worker) fenced() bool { return w.fenceAt > 0 && w.now >= w.fenceAt }

func (w *worker) stop(c lease.CallStop) lease.Stopped {
	if w.fenced() {
		return lease.Stopped{Run: c.Run}
	}
	if _, there := w.running[c.Run]; there {
		w.end(c.Run, lease.EndedStopped)
	}
	w.closed[taskOf(c.Run)] = max(w.closed[taskOf(c.Run)], c.Run.Run)
	return lease.Stopped{Run: c.Run, Done: true, Clock: w.now}
}

func (w *worker) look(c lease.CallLook) lease.Looked {
	if c.Deadline > 0 && len(w.running) > 0 {
		w.lease = max(w.lease, c.Deadline)
	}
	if w.fenced() {
		return lease.Looked{}
	}
	v := &lease.View{Life: w.life, Clock: w.now}
	for id := range w.running {
		v.Running = append(v.Running, id)
	}
	slices.SortFunc(v.Running, func(a, b wire.RunRef) int { return a.Run - b.Run })
	for _, e := range w.ends {
		if e.N > c.LastSeen {
			v.Ended = append(v.Ended, e)
		}
	}
	return lease.Looked{View: v}
}

func (w *worker) reborn() {
	w.life++
	w.fenceAt = w.now + 200*time.Millisecond
	w.running = make(map[wire.RunRef]time.Duration)
	w.closed = make(map[string]int)
	w.ends = nil
	w.lease = 0
}

// sim connects a machine with a worker over calls that get lost or come late.
type sim struct {
	t        *rapid.T
	m        *lease.Machine
	w        *worker
	now      time.Duration
	pending  []call // answers and late calls on their way
	next     uint64
	finished map[agent.AttemptID]lease.Finished
	runs     map[agent.AttemptID]wire.RunRef
	gone     bool
}

type call struct {
	at     time.Duration
	action lease.Action // to be carried out at the worker, nil for an answer
	answer lease.Event
}

func (s *sim) step(ev lease.Event) {
	for _, a := range s.m.Step(s.now, ev) {
		switch x := a.(type) {
		case lease.Finished:
			s.finish(x)
		case lease.WorkerGone:
			s.gone = true
		default:
			s.send(x)
		}
	}
}

func (s *sim) finish(x lease.Finished) {
	if _, twice := s.finished[x.Attempt]; twice {
		s.t.Fatalf("attempt %v finished twice", x.Attempt)
	}
	s.finished[x.Attempt] = x
	id := s.runs[x.Attempt]
	_, running := s.w.running[id]
	switch {
	// Between a worker's new start and the first call of its next agent, a late
	// call of the earlier one may still take effect.
	case running && s.w.life == 1:
		s.t.Fatalf("%v is finished as %v %v while it runs", id, x.Outcome, x.Reason)
	case x.Outcome == wire.NotRun && s.w.ran[id] && s.w.life == 1:
		s.t.Fatalf("%v is said not to have run and did", id)
	case x.Outcome == wire.Succeeded && !s.w.done[id]:
		s.t.Fatalf("%v is said to have succeeded and did not", id)
	}
}

// send draws the fate of a call: carried out and answered, carried out without
// an answer, lost, or carried out seconds later.
func (s *sim) send(a lease.Action) {
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	timeout := s.now + 25*time.Millisecond
	switch fate {
	case 0: // lost
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)})
	case 1: // carried out, the answer is lost
		s.carryOut(a)
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)})
	case 2: // carried out late
		late := s.now + time.Duration(rapid.IntRange(100, 3000).Draw(s.t, "late"))*time.Millisecond
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)}, call{at: late, action: a})
	default:
		delay := time.Duration(rapid.IntRange(0, 20).Draw(s.t, "delay")) * time.Millisecond
		s.pending = append(s.pending, call{at: s.now + delay, answer: s.carryOut(a)})
	}
}

func noAnswer(a lease.Action) lease.Event {
	switch x := a.(type) {
	case lease.CallStart:
		return lease.Started{Run: x.Run, Verdict: lease.NoAnswer}
	case lease.CallStop:
		return lease.Stopped{Run: x.Run}
	}
	return lease.Looked{}
}

func (s *sim) carryOut(a lease.Action) lease.Event {
	switch x := a.(type) {
	case lease.CallStart:
		length := time.Duration(rapid.IntRange(5, 900).Draw(s.t, "length")) * time.Millisecond
		return s.w.start(x, length)
	case lease.CallStop:
		return s.w.stop(x)
	case lease.CallLook:
		return s.w.look(x)
	}
	return nil
}

// advance lets d pass in steps of 5 ms and delivers what is due.
func (s *sim) advance(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := s.now + d; s.now < end; {
		s.now += step
		s.w.advance(step)
		due := s.pending
		s.pending = nil
		for _, c := range due {
			switch {
			case c.at > s.now:
				s.pending = append(s.pending, c)
			case c.action != nil:
				s.carryOut(c.action)
			default:
				s.step(c.answer)
			}
		}
		if s.now%(50*time.Millisecond) == 0 {
			s.step(lease.Tick{})
		}
	}
}

// Guards against a run that is given up while it goes on, a false "not run", a
// success that was none, and a run that is never finished, under calls that are
// lost, answered too late or carried out seconds later.
func TestRunsAreNeverMisreported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{
			t: t, m: lease.New(lease.Options{}), w: newWorker(),
			finished: make(map[agent.AttemptID]lease.Finished), runs: make(map[agent.AttemptID]wire.RunRef),
		}
		s.advance(50 * time.Millisecond)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				s.stopSome()
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "reborn") == 0 {
					s.w.reborn()
				}
			default:
				if !s.gone {
					s.startOne()
				}
			}
			s.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		s.advance(8 * time.Second)
		for id, run := range s.runs {
			if _, ok := s.finished[id]; !ok {
				t.Fatalf("%v was never finished", run)
			}
		}
	})
}

func (s *sim) startOne() {
	s.next++
	id := agent.AttemptID{Entry: 1, Seq: wire.Seq(s.next)}
	run := wire.RunRef{
		Job: "j", Index: rapid.IntRange(0, 4).Draw(s.t, "index"), Run: int(s.next),
	}
	s.runs[id] = run
	s.step(lease.Start{Attempt: id, Run: run})
}

func (s *sim) stopSome() {
	for seq := range s.next {
		id := agent.AttemptID{Entry: 1, Seq: wire.Seq(seq + 1)}
		if _, ended := s.finished[id]; !ended {
			s.step(lease.Stop{Attempt: id, Orphan: rapid.Bool().Draw(s.t, "orphan")})
			return
		}
	}
}

// Guards against a start that is taken for not run because its second copy is
// turned down after the first has run to its end.
func TestSecondCopyOfAStartThatRanIsNoRefusal(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	m.Step(1, lease.Looked{View: &lease.View{Life: 1, Clock: 1}})
	run := wire.RunRef{Job: "j", Run: 1}
	m.Step(2, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: run})
	m.Step(3, lease.Started{Run: run, Verdict: lease.NoAnswer})
	actions := m.Step(4, lease.Started{Run: run, Verdict: lease.Refused, Reason: wire.ReasonStaleRun})
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, actions[0].(lease.CallLook).Wait == 0)
	actions = m.Step(5, lease.Looked{View: &lease.View{
		Life: 1, Clock: 5, Ended: []lease.End{{N: 1, Run: run, How: lease.EndedDone}},
	}})
	assert.Equal(t, actions[0].(lease.Finished).Outcome, wire.Succeeded)
}

// Guards against an end that a worker's new life forgets unseen, because it is
// acknowledged by a number of the earlier life.
func TestNumbersOfAnEarlierLifeAreNotAcknowledged(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	first, second := wire.RunRef{Job: "j", Run: 1}, wire.RunRef{Job: "k", Run: 1}
	m.Step(1, lease.Looked{View: &lease.View{Life: 1, Clock: 1}})
	m.Step(2, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: first})
	m.Step(3, lease.Started{Run: first, Verdict: lease.Accepted})
	m.Step(4, lease.Looked{View: &lease.View{Life: 1, Clock: 4, Ended: []lease.End{{N: 7, Run: first, How: lease.EndedDone}}}})
	m.Step(5, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 2}, Run: second})
	actions := m.Step(6, lease.Started{Run: second, Verdict: lease.Accepted})
	assert.Equal(t, actions[0].(lease.CallLook).LastSeen, 7, "the worker answered a moment ago")
	m.Step(7, lease.Looked{}) // the worker starts anew
	actions = m.Step(7+20*time.Millisecond, lease.Tick{})
	assert.Equal(t, actions[0].(lease.CallLook).LastSeen, 0)
}

// lister answers looks at a worker with one end and records what they acknowledge.
type lister struct {
	m    *lease.Machine
	end  lease.End
	now  time.Duration
	seen []int
}

func (l *lister) step(ev lease.Event) {
	for _, a := range slices.Clone(l.m.Step(l.now, ev)) {
		look, ok := a.(lease.CallLook)
		if !ok {
			continue
		}
		l.seen = append(l.seen, look.LastSeen)
		l.now += time.Millisecond
		view := &lease.View{Life: 1, Clock: l.now}
		if look.LastSeen < l.end.N {
			view.Ended = []lease.End{l.end}
		}
		l.step(lease.Looked{View: view})
	}
}

func (l *lister) until(end time.Duration) {
	for ; l.now < end; l.now += 10 * time.Millisecond {
		l.step(lease.Tick{})
	}
}

// Guards against the end of a stored job's run that is acknowledged before it is
// recorded, and against one that is kept although it is.
func TestEndsOfStoredJobsAreKeptUntilSettled(t *testing.T) {
	run := wire.RunRef{Job: "j", Run: 1}
	l := &lister{m: lease.New(lease.Options{})}
	l.step(lease.Tick{})
	l.step(lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: run, Stored: true})
	l.end = lease.End{N: 1, Run: run, How: lease.EndedDone}
	l.step(lease.Started{Run: run, Verdict: lease.Accepted})
	l.until(lease.DefaultLease / 2)
	assert.Assert(t, !slices.Contains(l.seen, 1), "%v", l.seen)
	l.step(lease.Settle{Run: run})
	l.until(lease.DefaultLease)
	assert.Assert(t, slices.Contains(l.seen, 1), "%v", l.seen)
}

// Guards against ends that an earlier process left at the worker and that its
// successor acknowledges before their owner has recorded them, while the lease
// under which they ended may still hold.
func TestEndsOfAnEarlierProcessAreKeptForTheirLease(t *testing.T) {
	end := lease.End{N: 3, Run: wire.RunRef{Job: "j", Run: 1}, How: lease.EndedDone}
	l := &lister{m: lease.New(lease.Options{Held: []lease.End{end}}), end: end}
	l.until(lease.DefaultLease)
	assert.Assert(t, !slices.Contains(l.seen, 3), "%v", l.seen)
	l.until(2 * lease.DefaultLease)
	assert.Assert(t, slices.Contains(l.seen, 3), "%v", l.seen)
}

// Guards against a start that is carried out in a worker's next life, after its
// task was started elsewhere, and that goes on until the next agent comes.
func TestLateStartInTheNextLifeIsStopped(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	run := wire.RunRef{Job: "j", Run: 1}
	m.Step(1, lease.Looked{View: &lease.View{Life: 1, Clock: 1}})
	m.Step(2, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: run})
	for range 3 {
		m.Step(3, lease.Started{Run: run, Verdict: lease.NoAnswer})
	}
	m.Step(4, lease.Looked{}) // the worker is down
	const lapsed = 2 * lease.DefaultLease
	looks := func(now time.Duration) (looks, stops int) {
		for _, a := range m.Step(now, lease.Tick{}) {
			switch x := a.(type) {
			case lease.CallLook:
				looks++
			case lease.CallStop:
				assert.Equal(t, x.Run, run)
				stops++
			}
		}
		return looks, stops
	}
	looks(lapsed)
	m.Step(lapsed+1, lease.Looked{})
	assert.Equal(t, m.Runs(), 0)
	n, _ := looks(lapsed + 60*time.Millisecond)
	assert.Equal(t, n, 1, "the worker is asked although nothing is known to run")
	stops := 0
	for _, a := range m.Step(lapsed+61*time.Millisecond, lease.Looked{View: &lease.View{Life: 2, Clock: 1, Running: []wire.RunRef{run}}}) {
		if _, ok := a.(lease.CallStop); ok {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
}

// Guards against progress that is lost with its worker, or with a run that was
// stopped, and against a start that does not go on from it.
func TestSavedProgressIsToldWithTheEnd(t *testing.T) {
	run := wire.RunRef{Job: "j", Run: 1}
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	m.Step(1, lease.Looked{View: &lease.View{Life: 1, Clock: 1}})
	var call lease.CallStart
	for _, a := range m.Step(2, lease.Start{Run: run, Checkpoint: "a"}) {
		if c, ok := a.(lease.CallStart); ok {
			call = c
		}
	}
	assert.Equal(t, call.Checkpoint, "a")
	m.Step(3, lease.Started{Run: run, Verdict: lease.Accepted, Clock: 3})
	m.Step(4, lease.Looked{View: &lease.View{Life: 1, Clock: 4, Running: []wire.RunRef{run}, Checkpoints: map[wire.RunRef]string{run: "b"}}})
	for _, a := range m.Step(3*time.Second, lease.Tick{}) { // the worker is silent
		if end, ok := a.(lease.Finished); ok {
			assert.Equal(t, end.Reason, wire.ReasonRunEnded)
			assert.Equal(t, end.Checkpoint, "b")
			return
		}
	}
	t.Fatal("the run has not ended")
}
