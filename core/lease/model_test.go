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

// sim connects a machine to a worker by calls that may be lost or delayed.
type sim struct {
	t         *rapid.T
	machine   *lease.Machine
	worker    *worker
	now       time.Duration
	pending   []call // answers and delayed calls in flight
	next      uint64 // number of the last attempt and run
	finished  map[agent.AttemptID]lease.Finished
	runs      map[agent.AttemptID]wire.RunRef
	restarted bool
	waiting   []lease.Action // calls that wait at a worker that stands still
}

type call struct {
	at     time.Duration
	action lease.Action // call to be executed at the worker, nil for an answer
	answer lease.Event  // answer to be delivered to the machine
}

func (s *sim) step(ev lease.Event) {
	for _, a := range s.machine.Step(s.now, ev) {
		switch x := a.(type) {
		case lease.Finished:
			s.finish(x)
		case lease.WorkerRestarted:
			s.restarted = true
		case lease.UnrecordedRun:
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
	_, running := s.worker.running[id]
	switch {
	// Between a worker's restart and the first call of its next agent, a delayed
	// call of the earlier agent may still take effect.
	case running && s.worker.incarnation == 1 && s.worker.now <= s.worker.lease:
		s.t.Fatalf("%v is reported as %v %v while it runs", id, x.Outcome, x.Reason)
	case x.Outcome == wire.NotRun && s.worker.started[id] && s.worker.incarnation == 1:
		s.t.Fatalf("%v is reported as not run although it ran", id)
	case x.Outcome == wire.Succeeded && !s.worker.completed[id]:
		s.t.Fatalf("%v is reported as succeeded although it did not complete", id)
	case x.Reason == wire.ReasonRunEnded && s.worker.completed[id] && s.worker.incarnation == 1 && s.now <= s.worker.lease:
		s.t.Fatalf("%v is reported as ended although it completed and its lease is valid", id)
	}
}

// send draws what happens to a call: executed and answered, executed with the
// answer lost, lost, or executed up to seconds later.
func (s *sim) send(a lease.Action) {
	timeout := s.now + 25*time.Millisecond
	if s.worker.stalled() {
		s.waiting = append(s.waiting, a)
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)})
		return
	}
	delivery := rapid.IntRange(0, 9).Draw(s.t, "delivery")
	switch delivery {
	case 0: // lost
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)})
	case 1: // executed, the answer is lost
		s.execute(a)
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)})
	case 2: // executed late
		late := s.now + time.Duration(rapid.IntRange(100, 3000).Draw(s.t, "late"))*time.Millisecond
		s.pending = append(s.pending, call{at: timeout, answer: noAnswer(a)}, call{at: late, action: a})
	default:
		delay := time.Duration(rapid.IntRange(0, 20).Draw(s.t, "delay")) * time.Millisecond
		s.pending = append(s.pending, call{at: s.now + delay, answer: s.execute(a)})
	}
}

func noAnswer(a lease.Action) lease.Event {
	switch x := a.(type) {
	case lease.CallStart:
		return lease.Started{Run: x.Run, Result: lease.StartUnanswered}
	case lease.CallStop:
		return lease.Stopped{Run: x.Run}
	}
	return lease.Polled{}
}

func (s *sim) execute(a lease.Action) lease.Event {
	switch x := a.(type) {
	case lease.CallStart:
		length := time.Duration(rapid.IntRange(5, 900).Draw(s.t, "length")) * time.Millisecond
		before := s.worker.started[x.Run]
		answer := s.worker.start(x, length)
		f, finished := s.finished[agent.AttemptID{Entry: 1, Seq: wire.Seq(x.Run.Run)}]
		if !before && s.worker.started[x.Run] && finished && f.Outcome == wire.NotRun && s.worker.incarnation == 1 {
			s.t.Fatalf("%v starts after it was reported as not run (%v)", x.Run, f.Reason)
		}
		return answer
	case lease.CallStop:
		return s.worker.stop(x)
	case lease.CallPoll:
		if run, ok := s.worker.discarded(x.AckUpTo); ok && s.worker.incarnation == 1 {
			s.t.Fatalf("%v is acknowledged to the worker although it has to be retained", run)
		}
		return s.worker.poll(x)
	}
	return nil
}

// advance moves the time forward by d in steps of 5 ms and delivers what is due.
func (s *sim) advance(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := s.now + d; s.now < end; {
		s.now += step
		s.advanceWorker(step)
		due := s.pending
		s.pending = nil
		for _, c := range due {
			switch {
			case c.at > s.now:
				s.pending = append(s.pending, c)
			case c.action != nil && s.worker.stalled():
				s.waiting = append(s.waiting, c.action)
			case c.action != nil:
				s.execute(c.action)
			default:
				s.step(c.answer)
			}
		}
		if s.now%(50*time.Millisecond) == 0 {
			s.step(lease.Tick{})
		}
	}
}

// advanceWorker moves the worker's time forward. A worker that wakes may handle the calls
// that wait before it ends the runs whose lease has expired meanwhile. It must then still
// end those that were reported as ended.
func (s *sim) advanceWorker(d time.Duration) {
	wasStalled := s.worker.stalled()
	s.worker.now += d
	if s.worker.stalled() {
		return
	}
	if wasStalled && rapid.Bool().Draw(s.t, "calls first") {
		for _, a := range s.waiting {
			s.execute(a)
		}
		s.waiting = nil
	}
	s.worker.endRuns()
	for _, a := range s.waiting {
		s.execute(a)
	}
	s.waiting = nil
	for id := range s.worker.running {
		f, finished := s.finished[agent.AttemptID{Entry: 1, Seq: wire.Seq(id.Run)}]
		if finished && s.worker.incarnation == 1 {
			s.t.Fatalf("%v goes on after it was reported as %v %v", id, f.Outcome, f.Reason)
		}
	}
}

// Guards against a run reported as ended while it continues or although it completed, a
// false "not run", a false success and a run without a Finished action, while calls are
// lost, answered too late or executed seconds later, lists of ended runs are cut off and
// the worker's process stands still for longer than the lease.
func TestRunsAreNeverMisreported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{
			t: t, machine: lease.New(lease.Options{}), worker: newWorker(),
			finished: make(map[agent.AttemptID]lease.Finished), runs: make(map[agent.AttemptID]wire.RunRef),
		}
		s.worker.refusal = func() wire.Reason {
			return [...]wire.Reason{0: wire.ReasonBusy, 1: wire.ReasonNoRoom, 9: wire.ReasonNone}[rapid.IntRange(0, 9).Draw(t, "refusal")]
		}
		s.worker.listedAtOnce = rapid.IntRange(1, 3).Draw(t, "listed at once")
		s.advance(50 * time.Millisecond)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				s.stopSome()
			case 2:
				s.releaseSome(rapid.Bool().Draw(t, "supersede"))
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					s.worker.restart()
				}
			case 3:
				if rapid.IntRange(0, 2).Draw(t, "stall") == 0 {
					s.worker.stalledUntil = s.worker.now + time.Duration(rapid.IntRange(100, 2500).Draw(t, "stalled for"))*time.Millisecond
				}
			default:
				if !s.restarted {
					s.startOne()
				}
			}
			s.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		rounds := 16
		if s.worker.incarnation > 1 {
			rounds = 32 // unanswered starts may be carried out for 12.5 s, and their runs last 1.1 s
		}
		for range rounds {
			s.advance(500 * time.Millisecond)
			for s.releaseSome(false) {
			}
		}
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
	retain := rapid.Bool().Draw(s.t, "retain")
	if retain {
		s.worker.retained[run] = 0
	}
	s.step(lease.Start{Attempt: id, Run: run, RetainFinishedRun: retain})
}

// releaseSome has the entries acknowledge the first finished run that is retained, or
// report it as superseded. A superseded run has to be retained until the lease expires.
// It reports whether there is such a run.
func (s *sim) releaseSome(supersede bool) bool {
	for seq := range s.next {
		id := agent.AttemptID{Entry: 1, Seq: wire.Seq(seq + 1)}
		run := s.runs[id]
		if _, ok := s.worker.retained[run]; !ok || s.finished[id].Outcome != wire.Succeeded {
			continue
		}
		if supersede {
			s.step(lease.SupersedeRun{Run: run})
			return true
		}
		delete(s.worker.retained, run)
		s.step(lease.AcknowledgeRun{Run: run})
		return true
	}
	return false
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

// Guards against a run reported as not run because the retry of its start is
// refused after the first copy has run to completion.
func TestRefusedRetryOfCompletedStartIsNotReportedNotRun(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
	run := wire.RunRef{Job: "j", Run: 1}
	m.Step(2, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: run})
	m.Step(3, lease.Started{Run: run, Result: lease.StartUnanswered})
	actions := m.Step(4, lease.Started{Run: run, Result: lease.StartRefused, Reason: wire.ReasonStaleRun})
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, actions[0].(lease.CallPoll).MaxWait == 0)
	actions = m.Step(5, lease.Polled{Status: &lease.WorkerStatus{
		Incarnation: 1, Clock: 5, Ended: []lease.EndedRun{{Number: 1, Run: run, Kind: lease.EndedSucceeded}},
	}})
	assert.Equal(t, actions[0].(lease.Finished).Outcome, wire.Succeeded)
}

// Guards against an ended run that a restarted worker discards before it was seen,
// because a number of the previous worker incarnation acknowledges it.
func TestNumbersOfEarlierWorkerIncarnationAreNotAcknowledged(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	first, second := wire.RunRef{Job: "j", Run: 1}, wire.RunRef{Job: "k", Run: 1}
	m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
	m.Step(2, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: first})
	m.Step(3, lease.Started{Run: first, Result: lease.StartAccepted})
	m.Step(4, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 4, Ended: []lease.EndedRun{{Number: 7, Run: first, Kind: lease.EndedSucceeded}}}})
	m.Step(5, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 2}, Run: second})
	actions := m.Step(6, lease.Started{Run: second, Result: lease.StartAccepted})
	assert.Equal(t, actions[len(actions)-1].(lease.CallPoll).AckUpTo, 7, "the worker answered within minRestartTime")
	m.Step(7, lease.Polled{}) // the worker restarts
	actions = m.Step(7+20*time.Millisecond, lease.Tick{})
	assert.Equal(t, actions[0].(lease.CallPoll).AckUpTo, 0)
}

// workerWithOneEndedRun connects a machine to a worker that lists one ended run,
// and records the numbers that the machine acknowledges.
type workerWithOneEndedRun struct {
	m     *lease.Machine
	ended lease.EndedRun
	now   time.Duration
	acked []int
}

func (w *workerWithOneEndedRun) step(ev lease.Event) {
	for _, a := range slices.Clone(w.m.Step(w.now, ev)) {
		call, ok := a.(lease.CallPoll)
		if !ok {
			continue
		}
		w.acked = append(w.acked, call.AckUpTo)
		w.now += time.Millisecond
		status := &lease.WorkerStatus{Incarnation: 1, Clock: w.now}
		if call.AckUpTo < w.ended.Number {
			status.Ended = []lease.EndedRun{w.ended}
		}
		w.step(lease.Polled{Status: status})
	}
}

// advanceTo delivers ticks until the time is end.
func (w *workerWithOneEndedRun) advanceTo(end time.Duration) {
	for ; w.now < end; w.now += 10 * time.Millisecond {
		w.step(lease.Tick{})
	}
}

// Guards against a finished run of a stored job that is acknowledged to the worker
// before it has been recorded, and against one that is still retained afterwards.
func TestFinishedRunsOfStoredJobsAreRetainedUntilAcknowledged(t *testing.T) {
	run := wire.RunRef{Job: "j", Run: 1}
	w := &workerWithOneEndedRun{m: lease.New(lease.Options{})}
	w.step(lease.Tick{})
	w.step(lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: run, RetainFinishedRun: true})
	w.ended = lease.EndedRun{Number: 1, Run: run, Kind: lease.EndedSucceeded}
	w.step(lease.Started{Run: run, Result: lease.StartAccepted})
	w.advanceTo(lease.DefaultLease / 2)
	assert.Assert(t, !slices.Contains(w.acked, 1), "%v", w.acked)
	w.step(lease.AcknowledgeRun{Run: run})
	w.advanceTo(lease.DefaultLease)
	assert.Assert(t, slices.Contains(w.acked, 1), "%v", w.acked)
}

// Guards against finished runs left at the worker by an earlier agent process that
// its successor acknowledges before the owner of the job has recorded them, while
// the lease under which the runs ended may still be valid.
func TestFinishedRunsOfEarlierAgentAreRetainedUntilLeaseExpires(t *testing.T) {
	ended := lease.EndedRun{Number: 3, Run: wire.RunRef{Job: "j", Run: 1}, Kind: lease.EndedSucceeded}
	w := &workerWithOneEndedRun{m: lease.New(lease.Options{RetainedRuns: []lease.EndedRun{ended}}), ended: ended}
	w.advanceTo(lease.DefaultLease)
	assert.Assert(t, !slices.Contains(w.acked, 3), "%v", w.acked)
	w.advanceTo(2 * lease.DefaultLease)
	assert.Assert(t, slices.Contains(w.acked, 3), "%v", w.acked)
}

// Guards against a delayed start that takes effect after the worker restarted and
// its task was started elsewhere, and that runs on until the next agent calls.
func TestDelayedStartAfterWorkerRestartIsStopped(t *testing.T) {
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	run := wire.RunRef{Job: "j", Run: 1}
	m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
	m.Step(2, lease.Start{Attempt: agent.AttemptID{Entry: 1, Seq: 1}, Run: run})
	for range 3 {
		m.Step(3, lease.Started{Run: run, Result: lease.StartUnanswered})
	}
	m.Step(4, lease.Polled{})       // the worker is down
	const silent = 14 * time.Second // until the start and its run can have no effect any more
	tick := func(now time.Duration) (polls, stops int) {
		for _, a := range m.Step(now, lease.Tick{}) {
			switch x := a.(type) {
			case lease.CallPoll:
				polls++
			case lease.CallStop:
				assert.Equal(t, x.Run, run)
				stops++
			}
		}
		return polls, stops
	}
	for now := 100 * time.Millisecond; now <= silent; now += 100 * time.Millisecond {
		tick(now)
		m.Step(now+1, lease.Polled{})
	}
	assert.Equal(t, m.OpenRuns(), 0)
	polls, _ := tick(silent + 60*time.Millisecond)
	assert.Equal(t, polls, 1, "the worker is polled although no run is known")
	stops := 0
	for _, a := range m.Step(silent+61*time.Millisecond, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 2, Clock: 1, Running: []wire.RunRef{run}}}) {
		if _, ok := a.(lease.CallStop); ok {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
}

// Guards against a checkpoint that is lost with its worker or with a stopped run,
// and against a start that does not resume from it.
func TestCheckpointIsReportedWithFailedRun(t *testing.T) {
	run := wire.RunRef{Job: "j", Run: 1}
	m := lease.New(lease.Options{})
	m.Step(0, lease.Tick{})
	m.Step(1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 1}})
	var call lease.CallStart
	for _, a := range m.Step(2, lease.Start{Run: run, Checkpoint: "a"}) {
		if c, ok := a.(lease.CallStart); ok {
			call = c
		}
	}
	assert.Equal(t, call.Checkpoint, "a")
	m.Step(3, lease.Started{Run: run, Result: lease.StartAccepted, Clock: 3})
	m.Step(4, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: 4, Running: []wire.RunRef{run}, Checkpoints: map[wire.RunRef]string{run: "b"}}})
	for now := 3 * time.Second; now < 6*time.Second; now += 100 * time.Millisecond { // the worker does not answer
		m.Step(now, lease.Tick{})
		for _, a := range m.Step(now+1, lease.Polled{}) {
			if end, ok := a.(lease.Finished); ok {
				assert.Equal(t, end.Reason, wire.ReasonRunEnded)
				assert.Equal(t, end.Checkpoint, "b")
				return
			}
		}
	}
	t.Fatal("the run was not reported as ended")
}
