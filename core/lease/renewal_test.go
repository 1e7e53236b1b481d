package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a task that runs twice: runs are renewed together, so polls and starts
// of other entries prolong the run of a lost entry. After a freeze they come before its
// stop, and a worker that leaves the stop unanswered runs it on for as long as they do.
func TestRunOfLostEntryIsNotRenewedAfterItsPermissionExpired(t *testing.T) {
	const permission = 100 * time.Millisecond // is left when the process freezes
	for _, c := range []struct {
		name   string
		frozen time.Duration
		stop   bool // the stop comes before the polls
		others bool // another entry starts tasks
		back   bool // the lost entry, which has given the run up, shows that it is alive
	}{
		{"polls before the stop", permission + 1, false, false, false},
		{"polls before the stop, after 0.3 s", 300 * time.Millisecond, false, false, false},
		{"starts of another entry before the stop", 300 * time.Millisecond, false, true, false},
		{"unanswered stop", permission + 1, true, false, false},
		{"unanswered stop and starts of another entry", 0, true, true, false},
		{"unanswered stop and entry that is back", permission + 1, true, false, true},
	} {
		w := newPermissionWorker()
		permittedUntil := w.now + permission
		w.request(lostEntry, permittedUntil)
		w.advance()
		w.now += c.frozen
		if c.stop && w.now > permittedUntil {
			w.step(Stop{Attempt: agent.AttemptID{Entry: lostEntry, Seq: 1}, Orphan: true, PermittedUntil: permittedUntil})
		}
		for w.finishedOf(lostEntry) == nil && w.now < permittedUntil+5*time.Second {
			if c.others {
				w.step(Permissions{List: []agent.Permission{{Entry: liveEntry, Until: w.now + 400*time.Millisecond}}})
				w.request(liveEntry, w.now+400*time.Millisecond)
			}
			if c.back {
				w.step(Permissions{List: []agent.Permission{{Entry: lostEntry, Until: w.now + 400*time.Millisecond}}})
			}
			w.advance()
			if w.now > permittedUntil && (c.stop || w.now > permittedUntil+250*time.Millisecond) {
				w.step(Stop{Attempt: agent.AttemptID{Entry: lostEntry, Seq: 1}, Orphan: true, PermittedUntil: permittedUntil})
			}
		}
		assert.Assert(t, w.leaseEnd <= permittedUntil+DefaultLease, "%s: renewed %v after the permission expired", c.name, w.leaseEnd-DefaultLease-permittedUntil)
		f := w.finishedOf(lostEntry)
		assert.Assert(t, f != nil, "%s: the end is not known", c.name)
		assert.Equal(t, f.Reason, wire.ReasonRunEnded)
		if c.others {
			assert.Assert(t, w.accepted > 0, "%s: no start while there is lease enough", c.name)
		}
		// The worker is used again, and its runs are renewed.
		accepted := w.accepted
		w.request(liveEntry, w.now+400*time.Millisecond)
		assert.Equal(t, w.accepted, accepted+1, c.name)
		w.advance()
		assert.Equal(t, w.leaseEnd, w.now+DefaultLease, c.name)
	}
}

// Guards against runs of calm entries that end with their lease because it is not renewed:
// the echo of such an entry is up to 0.41 s old, and is reported every 50 ms.
func TestRunsOfCalmEntryAreRenewed(t *testing.T) {
	const (
		lease     = 500 * time.Millisecond // agent.Options.RunLease
		oldestAge = 410 * time.Millisecond
		tick      = 50 * time.Millisecond
	)
	w := newPermissionWorker()
	echo := w.now
	w.request(liveEntry, echo+lease)
	for i := range 300 {
		if w.now-echo > oldestAge-10*time.Millisecond {
			echo = w.now - 10*time.Millisecond
		}
		if time.Duration(i)*10*time.Millisecond%tick == 0 {
			w.step(Permissions{List: []agent.Permission{{Entry: liveEntry, Until: echo + lease}}})
		}
		w.advance()
		assert.Assert(t, w.leaseEnd == w.now+DefaultLease, "not renewed %v after the echo", w.now-echo)
	}
	assert.Equal(t, len(w.finished), 0)
}

// Guards against a task that runs twice: an entry cancels the run of a caller whose
// connection broke, the worker leaves the stop unanswered, and the polls and starts of
// calm entries renew the run for as long as that lasts. The caller sends the job again
// after 1.3 s.
func TestCancelledRunIsNotRenewed(t *testing.T) {
	for _, others := range []bool{false, true} {
		w := newPermissionWorker()
		w.request(liveEntry, w.now+400*time.Millisecond)
		w.advance()
		cancelled := w.now
		w.step(Stop{Attempt: agent.AttemptID{Entry: liveEntry, Seq: 1}, PermittedUntil: cancelled})
		for w.finishedOf(liveEntry) == nil && w.now < cancelled+5*time.Second {
			w.step(Permissions{List: []agent.Permission{{Entry: liveEntry, Until: w.now + 400*time.Millisecond}}})
			if others {
				w.request(liveEntry, w.now+400*time.Millisecond)
			}
			w.advance()
		}
		assert.Assert(t, w.leaseEnd <= cancelled+DefaultLease, "renewed %v after the cancel", w.leaseEnd-DefaultLease-cancelled)
		assert.Assert(t, w.finishedOf(liveEntry) != nil)
	}
}

// Guards against a run that outlives its lease: a process that was frozen has only an old
// reading of the worker's clock, which may be 2% slow, and a deadline that is ahead of that
// clock by more than the lease.
func TestLeaseIsNotLongerAfterFreeze(t *testing.T) {
	for _, age := range []time.Duration{0, maxClockAge, 10 * time.Second, time.Minute} {
		s := newPermissionScript()
		read := s.workerClock(s.now)
		s.now += age
		s.start("j", 1, s.now+time.Second)
		slowest := read + time.Duration(slowestClockRate*float64(age))
		assert.Equal(t, len(s.starts), 1)
		assert.Assert(t, s.starts[0].Deadline <= slowest+DefaultLease, "reading of %v: lease of %v", age, s.starts[0].Deadline-slowest)
	}
}

// Guards against a task that runs twice: a start of an earlier agent process is carried
// out late, and the renewals of this process prolong the run that it knows nothing of for
// as long as the worker leaves its stop unanswered.
func TestUnknownRunIsNotRenewed(t *testing.T) {
	unknown := wire.RunRef{Job: "unknown", Run: 1}
	w := newPermissionWorker()
	w.request(liveEntry, w.now+time.Hour)
	w.advance()
	w.running = append(w.running, unknown)
	w.advance()
	seen := w.now
	for range 100 {
		w.advance()
		if len(w.running) > 0 {
			assert.Assert(t, w.leaseEnd <= seen+DefaultLease, "renewed %v after the run was seen", w.leaseEnd-DefaultLease-seen)
		}
	}
	assert.Equal(t, len(w.running), 0)
	w.request(liveEntry, w.now+time.Hour)
	w.advance()
	assert.Equal(t, w.leaseEnd, w.now+DefaultLease, "renewals go on once the run has ended")
}

// Guards against runs that lapse in calm operation: every 50 ms an entry cancels a run,
// which the worker ends after 60 ms, so that one cancelled run is always open.
func TestSteadyCancelsDoNotEndOtherRuns(t *testing.T) {
	w := newPermissionWorker()
	const cancels = 24
	for range cancels + 1 {
		w.request(liveEntry, w.now+400*time.Millisecond)
	}
	last := w.running[cancels]
	began := w.now
	for w.now < began+cancels*50*time.Millisecond {
		d := w.now - began
		if d%(50*time.Millisecond) == 0 {
			seq := wire.Seq(d/(50*time.Millisecond)) + 1
			w.step(Stop{Attempt: agent.AttemptID{Entry: liveEntry, Seq: seq}, PermittedUntil: w.now})
		}
		if e := d - 60*time.Millisecond; e >= 0 && e%(50*time.Millisecond) == 0 {
			w.running = w.running[1:]
		}
		w.step(Permissions{List: []agent.Permission{{Entry: liveEntry, Until: w.now + 400*time.Millisecond}}})
		w.advance()
		assert.Assert(t, len(w.running) > 0 && w.running[len(w.running)-1] == last, "the lease lapsed %v after the first cancel", w.now-began)
	}
}
