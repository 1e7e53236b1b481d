package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// newLapsedScript returns a machine whose lease has just expired with one run open, at a
// worker that has not answered since it accepted the run.
func newLapsedScript() (*permissionScript, wire.RunRef) {
	s := newPermissionScript()
	run := s.startAccepted("j", 1, 0)
	for s.now <= s.m.leaseEnd {
		s.staySilent(10 * time.Millisecond)
	}
	return s, run
}

// Guards against a task that runs twice: the worker's process stands still for longer than
// the lease, its run goes on and is reported as ended.
func TestRunOfSilentWorkerIsNotReportedAsEndedWhenItsLeaseExpires(t *testing.T) {
	s, run := newLapsedScript()
	assert.Equal(t, len(s.finished), 0)
	s.staySilent(300 * time.Millisecond)
	assert.Equal(t, len(s.finished), 0)
	s.now += 20 * time.Millisecond
	s.step(Tick{})
	s.answerPoll(run) // it goes on without having ended the run
	assert.Equal(t, len(s.finished), 0)
	assert.Equal(t, len(s.stops), 1, "the run is stopped")
	s.step(Stopped{Run: run, Acknowledged: true})
	s.answerPollWithEnds(EndedRun{Number: 1, Run: run, Kind: EndedStopped})
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Outcome, wire.Failed)
	assert.Equal(t, s.finished[0].Reason, wire.ReasonRunEnded, "not stopped at the request of its entry")
}

// Guards against runs of a worker that is gone without a trace which are never reported as
// ended.
func TestRunOfSilentWorkerIsReportedAsEndedAfterTimeout(t *testing.T) {
	s, _ := newLapsedScript()
	s.staySilent(lapseTimeout)
	assert.Equal(t, len(s.finished), 0)
	s.staySilent(lapsePolls * 50 * time.Millisecond)
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Reason, wire.ReasonRunEnded)
}

// Guards against a task that runs twice: after a freeze of this process a poll seems to be
// left unanswered, whose answer it has not read.
func TestRunIsNotReportedAsEndedAfterFreeze(t *testing.T) {
	s, run := newLapsedScript()
	s.staySilent(100 * time.Millisecond)
	s.now += 2 * lapseTimeout
	s.step(Tick{})
	s.step(Polled{})
	assert.Equal(t, len(s.finished), 0)
	s.now += 20 * time.Millisecond
	s.step(Tick{})
	s.answerPoll(run)
	assert.Equal(t, len(s.finished), 0)
	assert.Equal(t, len(s.stops), 1)
}

// Guards against runs that outlive their lease: the worker's process stands still, and the
// first call that it carries out when it goes on renews the lease of runs that it has not
// ended yet.
func TestExpiredLeaseIsNotRenewedBeforeListIsRead(t *testing.T) {
	for _, reported := range []bool{false, true} { // whether the run was reported as ended
		s, run := newLapsedScript()
		if reported {
			s.staySilent(2 * lapseTimeout)
		}
		assert.Equal(t, len(s.finished) == 1, reported)
		starts, polls := len(s.starts), len(s.polls)
		s.start("k", 2, 0)
		assert.Equal(t, len(s.starts), starts, "reported %v", reported)
		last := s.finished[len(s.finished)-1]
		assert.Equal(t, last.Outcome, wire.NotRun)
		assert.Equal(t, last.Reason, wire.ReasonBusy)
		s.staySilent(600 * time.Millisecond)
		assert.Assert(t, len(s.polls) > polls, "the worker is polled")
		s.now += 60 * time.Millisecond
		s.step(Tick{})
		s.answerPoll(run)
		for _, p := range s.polls[polls:] {
			assert.Equal(t, p.Deadline, time.Duration(0), "reported %v", reported)
		}
		s.step(Stopped{Run: run, Acknowledged: true})
		s.answerPoll() // the run has ended
		s.start("l", 3, 0)
		assert.Equal(t, len(s.starts), starts, "the worker may not have noticed the expiry yet")
		for range lapseSettle / (10 * time.Millisecond) {
			s.now += 10 * time.Millisecond
			s.step(Tick{})
			if s.m.polling {
				s.answerPoll()
			}
		}
		s.start("m", 4, 0)
		assert.Equal(t, len(s.starts), starts+1, "starts go on, reported %v", reported)
	}
}

// Guards against a task that runs twice: a worker's process that stands still again and
// again lists the run as going on, and the polls that it leaves unanswered after that
// count together with the time before.
func TestRunIsNotReportedAsEndedSoonAfterListShowedIt(t *testing.T) {
	s, run := newLapsedScript()
	s.staySilent(lapseTimeout - 100*time.Millisecond)
	s.now += 20 * time.Millisecond
	s.step(Tick{})
	s.answerPoll(run)
	s.staySilent(lapseTimeout - 100*time.Millisecond)
	assert.Equal(t, len(s.finished), 0)
	s.staySilent(100*time.Millisecond + lapsePolls*50*time.Millisecond)
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Reason, wire.ReasonRunEnded)
}

// Guards against runs that are never reported as ended, and a worker that gets no further
// run: the worker answers, but its list of ended runs stays cut off, because it has a row
// that cannot be read.
func TestLapsedRunMissingFromCutOffListsIsReportedAsEnded(t *testing.T) {
	s, _ := newLapsedScript()
	lapsed := s.now
	for s.now < lapsed+2*lapseTimeout && len(s.finished) == 0 {
		s.now += 10 * time.Millisecond
		s.step(Tick{})
		if s.m.polling {
			s.step(Polled{Status: &WorkerStatus{Incarnation: 1, Clock: s.workerClock(s.now), EndedCutOff: true}})
		}
	}
	assert.Equal(t, len(s.finished), 1)
	assert.Assert(t, s.now >= lapsed+lapseTimeout, "reported after %v", s.now-lapsed)
	assert.Equal(t, s.finished[0].Outcome, wire.Failed)
	assert.Equal(t, s.finished[0].Reason, wire.ReasonRunEnded)
	starts := len(s.starts)
	s.start("k", 2, 0)
	assert.Equal(t, len(s.starts), starts+1, "starts go on")
}
