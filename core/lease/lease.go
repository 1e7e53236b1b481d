// Package lease is the state machine that drives the runs of one worker whose
// tasks live under a lease: a run ends with its lease unless the lease is
// renewed, and the worker lists what runs and what has ended.
//
// The machine does no I/O and has no clock: Step takes the time and one event
// and returns the actions that the caller must carry out, in order.
//
// Invariants:
//   - Each Start yields exactly one Finished.
//   - Finished says NotRun only if the worker refused the run, or if its start
//     can no longer take effect (the worker acknowledged a stop of the run, or
//     the start's deadline has passed on the worker's clock) and a later list
//     shows that it had not.
//   - Finished says Failed with ReasonRunEnded only if the run is listed as
//     ended, is missing from a list that must hold it, or its lease has passed.
package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Options configure a Machine. Zero values take the defaults.
type Options struct {
	// Lease is how long a run outlives the last renewal. Default 700 ms.
	Lease time.Duration
	// LookWait is how long the worker may hold a look back when nothing ends.
	// Each look renews the lease, and a look that is lost delays the news of
	// ended runs by it. Default 30 ms.
	LookWait time.Duration
	// StopRetry separates two stops of one run. Default 150 ms.
	StopRetry time.Duration
	// AckDelay is how long the acknowledgement of ends may wait for a look that
	// is needed anyway. Default 250 ms.
	AckDelay time.Duration
	// Held are ends of an earlier process that are not to be acknowledged until
	// they are settled.
	Held []End
}

// Defaults of Options.
const (
	DefaultLease     = 700 * time.Millisecond
	DefaultLookWait  = 30 * time.Millisecond
	DefaultStopRetry = 150 * time.Millisecond
	DefaultAckDelay  = 250 * time.Millisecond
)

const (
	// clockSlack divides a duration on the worker's clock, which may be 2% slow.
	clockSlack = 0.98
	// lapseMargin is added to a lease before the run counts as ended: the worker
	// needs a moment to end it.
	lapseMargin = 60 * time.Millisecond
	// startTries is how often a start without an answer is sent. Sending it again
	// is safe: the worker knows the run by its number.
	startTries = 3
	// clockRefresh bounds the age of the reading of the worker's clock: at 2% it
	// is off by 40 ms then.
	clockRefresh = 2 * time.Second
	// lookRetry separates looks that fail at once.
	lookRetry = 10 * time.Millisecond
	// silentRetry separates looks at a worker that does not answer while nothing is
	// known to run there. A start of before that is carried out late in the worker's
	// next life is found and stopped within about that time.
	silentRetry = 50 * time.Millisecond
	// lifeDoubt is how long after an answer the worker is taken to be in the same
	// life: a worker that starts anew takes longer.
	lifeDoubt = 300 * time.Millisecond
	// heldLookGap separates looks while ends are kept: the worker lists them again
	// each time and may answer without waiting for a new one.
	heldLookGap = 15 * time.Millisecond
)

func (o Options) withDefaults() Options {
	orDefault(&o.Lease, DefaultLease)
	orDefault(&o.LookWait, DefaultLookWait)
	orDefault(&o.StopRetry, DefaultStopRetry)
	orDefault(&o.AckDelay, DefaultAckDelay)
	return o
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

type runState uint8

const (
	runStarting runState = iota // the start call is in progress
	runDoubtful                 // the start call got no answer
	runVoided                   // it can start no more; a list tells whether it did
	runRunning                  // accepted, or seen in a list
)

// run is one run that has not finished.
type run struct {
	id         wire.RunRef
	attempt    agent.AttemptID
	spec       []byte      // while the start may be sent again
	checkpoint string      // newest progress that the worker is known to have saved
	stored     bool        // its end is kept until it is settled
	tries      int         // starts that were sent
	refusal    wire.Reason // why the worker turned the last of them down
	state      runState
	deadline   time.Duration // of the start, on the worker's clock
	since      time.Duration // when the state was entered
	stop       bool          // the run is to be stopped
	crossed    bool          // the worker started anew after the start was sent
	orphan     bool          // stopped because its entry was lost
	stopAt     time.Duration // when the next stop may be sent
}

// foreignRun is a run at the worker that this machine did not ask for, for
// instance one of an earlier process. It is stopped.
type foreignRun struct {
	id     wire.RunRef
	stopAt time.Duration // when the next stop may be sent
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	opts Options
	runs map[wire.RunRef]*run
	list []*run // in order of start
	// clock is the newest reading of the worker's clock and readAt the time at
	// which it was received.
	clock  time.Duration
	readAt time.Duration
	// leaseEnd is when the lease has passed on the slowest clock.
	leaseEnd time.Duration
	life     int64 // identity of the worker's incarnation, 0 if not known
	lastSeen int   // number of the newest end that was seen
	// held are the numbers of ends that must not be acknowledged yet.
	held  map[wire.RunRef]int
	begun bool // the first step was made
	acked int  // number that a completed look acknowledged
	ackAt time.Duration

	heardAt time.Duration // of the last look that was answered
	looking bool
	// lookFailed says that the last look was not answered.
	lookFailed bool
	lookAt     time.Duration // when the look in progress was sent
	lookSeen   int           // what it acknowledges
	nextLook   time.Duration // earliest time of the next look
	lookNow    bool          // a run is in doubt: do not wait
	foreign    []foreignRun  // at the worker, of nobody here
	actions    []Action
}

// New returns a machine that knows nothing of its worker yet. Its first step
// asks for a look.
func New(opts Options) *Machine {
	m := &Machine{opts: opts.withDefaults(), runs: make(map[wire.RunRef]*run), held: make(map[wire.RunRef]int)}
	for _, end := range opts.Held {
		m.held[end.Run] = end.N
		m.lastSeen = max(m.lastSeen, end.N)
	}
	return m
}

// Step applies one event at time now, which must never decrease, and returns
// the actions to carry out. The slice is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.begin(now)
	switch e := ev.(type) {
	case Start:
		m.start(now, e)
	case Stop:
		m.stop(now, e)
	case Started:
		m.started(now, e)
	case Stopped:
		m.stopped(now, e)
	case Looked:
		m.looked(now, e)
	case Settle:
		delete(m.held, e.Run)
	case Tick:
	}
	m.lapse(now)
	m.retryStops(now)
	m.look(now)
	return m.actions
}

// begin keeps the ends of an earlier process for as long as its last renewal may
// hold.
func (m *Machine) begin(now time.Duration) {
	if !m.begun && len(m.held) > 0 {
		m.leaseEnd = m.leaseFrom(now)
	}
	m.begun = true
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Runs returns the number of runs that have not finished.
func (m *Machine) Runs() int { return len(m.list) }

// Settled reports whether nothing runs at the worker and every end that it
// listed was acknowledged.
func (m *Machine) Settled() bool {
	return len(m.list) == 0 && len(m.foreign) == 0 && m.acked == m.lastSeen && m.readAt > 0
}

// settledUpTo is the newest end that may be acknowledged: the worker forgets
// every end up to it.
func (m *Machine) settledUpTo() int {
	n := m.lastSeen
	for _, held := range m.held {
		n = min(n, held-1)
	}
	return n
}

// workerClock estimates the worker's clock, not ahead of it but by its drift.
func (m *Machine) workerClock(now time.Duration) time.Duration { return m.clock + now - m.readAt }

func (m *Machine) read(now time.Duration, clock time.Duration) {
	if clock > 0 {
		m.clock = clock
		m.readAt = now
	}
}

// renew returns the deadline of a lease that begins now.
func (m *Machine) renew(now time.Duration) time.Duration {
	m.leaseEnd = max(m.leaseEnd, m.leaseFrom(now))
	return m.workerClock(now) + m.opts.Lease
}

// leaseFrom is when a lease that begins at now has passed on the slowest clock.
func (m *Machine) leaseFrom(now time.Duration) time.Duration {
	return now + time.Duration(float64(m.opts.Lease)/clockSlack) + lapseMargin
}

func (m *Machine) start(now time.Duration, e Start) {
	for _, r := range m.list {
		if r.id.Job == e.Run.Job && r.id.Step == e.Run.Step && r.id.Index == e.Run.Index {
			// An earlier run of the task, asked for by another entry.
			m.emit(Finished{Attempt: e.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonStaleRun})
			return
		}
	}
	r := &run{id: e.Run, attempt: e.Attempt, spec: e.Spec, checkpoint: e.Checkpoint, stored: e.Stored}
	m.runs[e.Run] = r
	m.list = append(m.list, r)
	m.sendStart(now, r)
}

func (m *Machine) sendStart(now time.Duration, r *run) {
	r.tries++
	r.since = now
	r.deadline = m.renew(now)
	m.emit(CallStart{Run: r.id, Spec: r.spec, Checkpoint: r.checkpoint, Deadline: r.deadline})
}

func (m *Machine) started(now time.Duration, e Started) {
	m.read(now, e.Clock)
	r := m.runs[e.Run]
	if r == nil || r.state != runStarting {
		return // a list has told already
	}
	switch e.Verdict {
	case Accepted:
		r.state = runRunning
	case Refused:
		if r.tries == 1 {
			m.finish(now, r, wire.NotRun, e.Reason)
			return
		}
		// An earlier copy of the start may have been carried out.
		r.state = runVoided
		r.refusal = e.Reason
		m.lookNow = true
	case NoAnswer:
		if r.tries < startTries && !r.stop {
			m.sendStart(now, r)
			return
		}
		r.state = runDoubtful
		m.lookNow = true
	}
	r.since = now
}

func (m *Machine) stop(now time.Duration, e Stop) {
	for _, r := range m.list {
		if r.attempt == e.Attempt && !r.stop {
			r.stop = true
			r.orphan = e.Orphan
			r.stopAt = now
			return
		}
	}
}

// retryStops sends the stops that are due.
func (m *Machine) retryStops(now time.Duration) {
	for _, r := range m.list {
		if r.stop && r.state != runStarting && now >= r.stopAt {
			r.stopAt = now + m.opts.StopRetry
			m.emit(CallStop{Run: r.id})
		}
	}
	for i := range m.foreign {
		if f := &m.foreign[i]; now >= f.stopAt {
			f.stopAt = now + m.opts.StopRetry
			m.emit(CallStop{Run: f.id})
		}
	}
}

// stopped takes the answer to a stop. A run whose start is in doubt was either
// ended by it, and will be listed, or can never start.
func (m *Machine) stopped(now time.Duration, e Stopped) {
	m.read(now, e.Clock)
	r := m.runs[e.Run]
	if r == nil || !e.Done {
		return
	}
	if r.state == runDoubtful {
		r.state = runVoided
		r.refusal = wire.ReasonNotReceived
		r.since = now
	}
	m.lookNow = true
}

func (m *Machine) finish(now time.Duration, r *run, o wire.Outcome, reason wire.Reason) {
	delete(m.runs, r.id)
	for i := range m.list {
		if m.list[i] == r {
			m.list = append(m.list[:i], m.list[i+1:]...)
			break
		}
	}
	end := Finished{Attempt: r.attempt, Outcome: o, Reason: reason, Run: now - r.since}
	if o == wire.Failed {
		end.Checkpoint = r.checkpoint
	}
	m.emit(end)
}

// lapse ends every run once the lease has passed without a renewal. The ends
// that were kept until then count for nothing any more: their tasks may be
// repeated, as those of a worker that was cut off.
func (m *Machine) lapse(now time.Duration) {
	if now <= m.leaseEnd {
		return
	}
	clear(m.held)
	for len(m.list) > 0 {
		m.finish(now, m.list[0], wire.Failed, wire.ReasonRunEnded)
	}
}
