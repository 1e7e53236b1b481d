package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// permissionScript delivers events to a machine whose worker has answered a poll at the
// start, and records its actions.
type permissionScript struct {
	m        *Machine
	now      time.Duration
	starts   []CallStart
	stops    []CallStop
	polls    []CallPoll
	finished []Finished
	expired  []StartExpired
}

func newPermissionScript() *permissionScript {
	s := &permissionScript{m: New(Options{}), now: time.Minute}
	s.step(Tick{})
	s.answerPoll()
	return s
}

func (s *permissionScript) step(ev Event) {
	for _, a := range s.m.Step(s.now, ev) {
		switch x := a.(type) {
		case CallStart:
			s.starts = append(s.starts, x)
		case CallStop:
			s.stops = append(s.stops, x)
		case CallPoll:
			s.polls = append(s.polls, x)
		case Finished:
			s.finished = append(s.finished, x)
		case StartExpired:
			s.expired = append(s.expired, x)
		}
	}
}

// answerPoll answers a poll now. The worker's clock is 10 s behind the machine's.
func (s *permissionScript) answerPoll(running ...wire.RunRef) {
	s.step(Polled{Status: &WorkerStatus{Incarnation: 1, Clock: s.workerClock(s.now), Running: running}})
}

// answerPollWithEnds answers a poll now, with a list of ended runs and none in progress.
func (s *permissionScript) answerPollWithEnds(ended ...EndedRun) {
	s.step(Polled{Status: &WorkerStatus{Incarnation: 1, Clock: s.workerClock(s.now), Ended: ended}})
}

func (s *permissionScript) workerClock(t time.Duration) time.Duration { return t - 10*time.Second }

// start requests the run of a task whose entry permits it until the given time.
func (s *permissionScript) start(job string, seq wire.Seq, permittedUntil time.Duration) wire.RunRef {
	run := wire.RunRef{Job: job, Run: 1}
	s.step(Start{Attempt: agent.AttemptID{Entry: 1, Seq: seq}, Run: run, PermittedUntil: permittedUntil})
	return run
}

// startAccepted requests a run as start does, and lets the worker accept it now.
func (s *permissionScript) startAccepted(job string, seq wire.Seq, permittedUntil time.Duration) wire.RunRef {
	run := s.start(job, seq, permittedUntil)
	s.step(Started{Run: run, Result: StartAccepted, Clock: s.workerClock(s.now)})
	return run
}

// staySilent lets the worker leave polls unanswered for d.
func (s *permissionScript) staySilent(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 10 * time.Millisecond
		s.step(Tick{})
		if s.m.polling {
			s.step(Polled{})
		}
	}
}

const (
	lostEntry = wire.Incarnation(1)
	liveEntry = wire.Incarnation(2)
)

// permissionWorker answers calls of a machine at once. It ends runs with their lease only:
// it leaves every stop unanswered.
type permissionWorker struct {
	*permissionScript
	running  []wire.RunRef
	leaseEnd time.Duration // on the machine's clock
	polls    int           // number of polls seen
	seq      wire.Seq
	accepted int // starts of the live entry that the worker accepted
}

func newPermissionWorker() *permissionWorker {
	s := newPermissionScript()
	return &permissionWorker{permissionScript: s, polls: len(s.polls)}
}

// request requests a run and lets the worker accept it, unless the machine refuses it.
func (w *permissionWorker) request(entry wire.Incarnation, permittedUntil time.Duration) {
	w.seq++
	sent := len(w.starts)
	run := wire.RunRef{Job: "j", Index: int(w.seq), Run: 1}
	w.step(Start{Attempt: agent.AttemptID{Entry: entry, Seq: w.seq}, Run: run, PermittedUntil: permittedUntil})
	if len(w.starts) == sent {
		return
	}
	w.renew(w.starts[sent].Deadline)
	w.running = append(w.running, run)
	w.step(Started{Run: run, Result: StartAccepted, Clock: w.workerClock(w.now)})
	if entry == liveEntry {
		w.accepted++
	}
}

func (w *permissionWorker) renew(deadline time.Duration) {
	w.leaseEnd = max(w.leaseEnd, deadline-w.workerClock(0))
}

// advance moves the time forward by 10 ms. The worker answers a poll after that time.
func (w *permissionWorker) advance() {
	w.now += 10 * time.Millisecond
	if w.now > w.leaseEnd {
		w.running = nil
	}
	if w.polls < len(w.permissionScript.polls) {
		w.polls++
		w.answerPoll(w.running...)
	}
	w.step(Tick{})
	for _, p := range w.permissionScript.polls[w.polls:] {
		w.renew(p.Deadline)
	}
}

// finishedOf returns the outcome reported for a run of the entry, if any was.
func (w *permissionWorker) finishedOf(entry wire.Incarnation) *Finished {
	for i := range w.finished {
		if w.finished[i].Attempt.Entry == entry {
			return &w.finished[i]
		}
	}
	return nil
}
