package lease_test

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

type fleetEntry struct {
	pace
	index   int
	id      wire.Incarnation
	machine *entry.Machine
	queue   []entry.Event
	tickAt  time.Duration // when the next tick is due
	// checkedAt is when the callers were last checked, see checkCallers.
	checkedAt time.Duration
	stopped   bool
	endAt     time.Duration // when it ends that is being drained, 0 if it is not
}

// fleetJob is the job of one caller.
type fleetJob struct {
	name     string
	tasks    int
	stored   bool
	failed   bool // it was answered otherwise than as complete
	entry    *fleetEntry
	id       wire.SubmissionID // 0 if no entry has it
	left     bool
	resendAt time.Duration
}

// fleetNotice is the end of a caller's connection that its entry has not noticed.
type fleetNotice struct {
	entry *fleetEntry
	id    wire.SubmissionID
	after time.Duration // for which the entry has to run
}

func (f *fleet) newEntry(index int, id wire.Incarnation) *fleetEntry {
	e := &fleetEntry{index: index, id: id}
	e.machine = entry.New(entry.Options{
		Incarnation: e.id, Scheduler: policy.New(policy.Options{Seed: f.seed + uint64(index)}), HeartbeatInterval: heartbeatInterval,
		LostAgentTimeout: lostAgentTime, ResendDelay: resendDelay,
	})
	e.machine.Step(f.now, entry.Tick{})
	e.machine.Step(f.now, entry.Configured{Settings: policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: 10 * time.Second, TargetShare: 1}}}})
	e.machine.Step(f.now, entry.StoredLease{Until: time.Hour})
	return e
}

func (f *fleet) runEntry(e *fleetEntry) {
	if f.endDrained(e); f.now < e.frozenTill || e.stopped {
		return
	}
	f.wait(&e.pace)
	for _, h := range f.hosts {
		for _, l := range h.links {
			if l.entry == e {
				f.readAgent(h, l)
			}
		}
	}
	if f.now >= e.tickAt {
		e.tickAt = f.now - f.now%entryTick + entryTick
		e.queue = append(e.queue, entry.Tick{MadeAt: f.now})
	}
	if f.rng.IntN(30) == 0 || f.swarm != nil && f.swarm.coresWait && e.slow(f.now) && f.rng.IntN(2) == 0 {
		return // the core gets no processor time
	}
	queue := e.queue
	e.queue = nil
	checked := f.now-e.checkedAt >= 2*entryTick && f.checkCallers(e)
	for _, ev := range queue {
		switch x := ev.(type) {
		case entry.Received:
			x.CallersChecked = checked
			ev = x
		case entry.Tick:
			checked = f.checkCallers(e)
		case entry.Submit:
			delete(f.queued, x.Submission)
			if f.abandoned[x.Submission] {
				f.answered(e, entry.Answer{Submission: x.Submission, Answer: entry.JobAnswer{Outcome: entry.Refused}})
				continue
			}
		}
		f.stepEntry(e, ev)
	}
}

// checkCallers looks at the connections of all callers of an entry, as entryd does with each
// tick and after a gap. With f.slowNotices it has to wait until the entry notices by itself
// who has left. It reports whether all are known.
func (f *fleet) checkCallers(e *fleetEntry) bool {
	e.checkedAt = f.now
	for _, n := range f.notices {
		if n.entry != e || n.after <= 0 {
			continue
		}
		if f.slowNotices {
			return false
		}
		n.after = 0
		if f.queued[n.id] {
			f.abandoned[n.id] = true
			continue
		}
		f.stepEntry(e, entry.CancelJob{Submission: n.id})
	}
	f.stepEntry(e, entry.CallersChecked{})
	return true
}

func (f *fleet) stepEntry(e *fleetEntry, ev entry.Event) {
	for _, a := range slices.Clone(e.machine.Step(f.now, ev)) {
		switch x := a.(type) {
		case entry.Send:
			if f.swarm != nil {
				f.swarm.recordOrder(e, x.Frame)
			}
			for _, h := range f.hosts {
				for _, l := range h.links {
					if l.entry == e && h.incarnation == x.Agent && l.epoch == x.Epoch && l.accepted {
						l.send(&l.toAgent, f.now+f.millis(0, 5), agent.Received{Entry: e.id, Epoch: x.Epoch, Frame: x.Frame})
					}
				}
			}
		case entry.RunFinished:
			if j := f.jobNamed(x.Run.Run.Job); j.entry != e {
				continue // left to the owner of the job
			}
			f.logf("entry %d hears that %v has succeeded, superseded: %v", e.index, x.Run.Run, x.Superseded)
			e.queue = append(e.queue, entry.AcknowledgedRuns{Agent: x.Agent, Runs: []wire.RunRef{x.Run.Run}, Superseded: x.Superseded || !f.count(x.Run.Run)})
		case entry.Answer:
			f.answered(e, x)
		case entry.Drained:
			e.endAt = f.now
		}
	}
}

// answered passes an answer to the caller, who sends the job again if it does not tell the
// outcome.
func (f *fleet) answered(e *fleetEntry, x entry.Answer) {
	j := f.bySub[x.Submission]
	delete(f.bySub, x.Submission)
	delete(f.at, x.Submission)
	if j == nil || j.id != x.Submission {
		return
	}
	f.logf("%s is answered by entry %d as %v %s", j.name, e.index, x.Answer.Outcome, x.Answer.Reason)
	j.id = wire.SubmissionID{}
	j.failed = x.Answer.Outcome != entry.Complete
	if !j.left && !j.stored && (x.Answer.Outcome == entry.Failed || x.Answer.Outcome == entry.Unknown || f.swarm.refusedAgain(x.Answer.Outcome)) {
		j.resendAt = f.now + resendDelay
		f.swarm.left(f.now, x.Submission)
	}
}

func (f *fleet) submit(j *fleetJob, e *fleetEntry) {
	f.nextID++
	j.id = wire.SubmissionID{}
	binary.BigEndian.PutUint64(j.id[:], f.nextID)
	j.entry, j.left, j.resendAt = e, false, 0
	f.bySub[j.id], f.at[j.id], f.queued[j.id] = j, e, true
	f.logf("%s is sent to entry %d", j.name, e.index)
	s := entry.Submit{
		Submission: j.id, Class: "c", Deadline: f.millis(500, 6000), ReceivedAt: f.now, MaxFailedRuns: 3, Job: j.name, Payloads: make([][]byte, j.tasks),
	}
	if j.stored {
		s.Stored, s.MaxFailedRuns = true, 100
	}
	e.queue = append(e.queue, s)
}

// newJob has a new caller send a job.
func (f *fleet) newJob(stored bool) {
	e := f.entries[f.rng.IntN(len(f.entries))]
	if e.stopped || f.now < e.frozenTill {
		return
	}
	j := &fleetJob{name: fmt.Sprintf("j%d.", len(f.jobs)), tasks: 1 + f.rng.IntN(3), stored: stored}
	f.jobs = append(f.jobs, j)
	if stored {
		f.counts.stored++
	}
	f.submit(j, e)
}

// leave breaks the connection of a caller, who sends the job again later.
func (f *fleet) leave(j *fleetJob) {
	f.logf("the caller of %s leaves", j.name)
	j.left = true
	f.swarm.left(f.now, j.id)
	f.notices = append(f.notices, &fleetNotice{entry: j.entry, id: j.id, after: noticeTime})
	j.resendAt = f.now + resendDelay
}

// leaveOne breaks the connection of one caller.
func (f *fleet) leaveOne() {
	for _, j := range f.jobs {
		if !j.left && !j.stored && (j.id != wire.SubmissionID{}) {
			f.leave(j)
			return
		}
	}
}

func (f *fleet) runCallers() {
	for _, n := range f.notices {
		if f.now >= n.entry.frozenTill {
			n.after -= chainStep
			if n.after == 0 {
				n.entry.queue = append(n.entry.queue, entry.CancelJob{Submission: n.id})
			}
		}
	}
	f.notices = slices.DeleteFunc(f.notices, func(n *fleetNotice) bool { return n.after <= 0 || n.entry.stopped })
	for _, j := range f.jobs {
		if j.resendAt == 0 || f.now < j.resendAt || f.swarm.ending() {
			continue
		}
		e := f.entries[f.rng.IntN(len(f.entries))]
		if e.stopped || f.now < e.frozenTill || f.inProgress(e, j) {
			continue // tried again in the next step
		}
		f.counts.resent++
		f.submit(j, e)
	}
}

// inProgress reports whether the entry has an earlier submission of the job: the caller
// would then wait for its answer.
func (f *fleet) inProgress(e *fleetEntry, j *fleetJob) bool {
	for id, other := range f.bySub {
		if other == j && f.at[id] == e {
			return true
		}
	}
	return false
}

// stopEntry ends the process of an entry at once, as after the time for its drain. Its
// callers' connections break.
func (f *fleet) stopEntry(e *fleetEntry) {
	f.logf("entry %d ends", e.index)
	e.stopped = true
	for _, j := range f.jobs {
		if j.entry == e && (j.id != wire.SubmissionID{}) && !j.left && !j.stored {
			f.leave(j)
		}
	}
	for _, h := range f.hosts {
		for _, l := range h.links {
			if l.entry == e {
				f.reset(h, l, time.Hour)
			}
		}
	}
}

func (f *fleet) jobNamed(name string) *fleetJob {
	return f.jobs[slices.IndexFunc(f.jobs, func(j *fleetJob) bool { return j.name == name })]
}
