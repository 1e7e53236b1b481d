package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// settledRuns returns the runs whose starts the machine reports as settled at an event.
func settledRuns(s *permissionScript, ev Event) (n int) {
	for _, a := range s.m.Step(s.now, ev) {
		if _, ok := a.(StartSettled); ok {
			n++
		}
	}
	return n
}

// Guards against a start that counts as settled while a copy of it may still be carried out,
// and against one that never does.
func TestStartIsSettledWhenNoCopyIsLeft(t *testing.T) {
	s := newPermissionScript()
	run := s.start("j", 1, 0)
	accepted := Started{Run: run, Result: StartAccepted, Clock: s.workerClock(s.now)}
	assert.Equal(t, settledRuns(s, accepted), 1)
	assert.Equal(t, settledRuns(s, Tick{}), 0, "reported once")

	s = newPermissionScript()
	s.start("j", 1, 0)
	assert.Equal(t, settledRuns(s, Started{Run: run, Result: StartUnanswered}), 0)
	assert.Equal(t, settledRuns(s, accepted), 0, "the first copy had no answer")
	s.now += wire.MaxCallDelay - 1
	assert.Equal(t, settledRuns(s, Tick{}), 0)
	s.now++
	assert.Equal(t, settledRuns(s, Tick{}), 1)
}

// Guards against two runs of one task: the start of a run was carried out by the next process
// of a silent worker, and a renewal that was sent after it, and is carried out late as well,
// prolongs the run.
func TestRunOfLateStartOutlastsItsBoundByLateRenewal(t *testing.T) {
	s := newPermissionScript()
	s.start("j", 1, 0)
	for range maxStartAttempts {
		s.step(Started{Run: wire.RunRef{Job: "j", Run: 1}, Result: StartUnanswered})
	}
	start := s.now
	s.now += 300 * time.Millisecond
	s.start("k", 2, 0) // its start renews the lease of all runs
	for range maxStartAttempts {
		s.step(Started{Run: wire.RunRef{Job: "k", Run: 1}, Result: StartUnanswered})
	}
	for s.now < start+wire.MaxCallDelay+wire.MaxLateRun+290*time.Millisecond {
		s.staySilent(10 * time.Millisecond)
	}
	assert.Equal(t, len(s.finished), 0)
	s.staySilent(time.Second)
	assert.Equal(t, len(s.finished), 2)
}

// Guards against runs that outlast the lease that this side reckons with: the worker has not
// answered yet, so the deadline of a start would be on no known clock.
func TestNothingIsStartedBeforeClockOfWorkerIsKnown(t *testing.T) {
	s := &permissionScript{m: New(Options{}), now: time.Minute}
	s.step(Tick{})
	s.start("j", 1, 0)
	assert.Equal(t, len(s.starts), 0)
	assert.Equal(t, len(s.finished), 1)
	assert.Equal(t, s.finished[0].Outcome, wire.NotRun)
	s.answerPoll()
	s.start("k", 2, 0)
	assert.Equal(t, len(s.starts), 1)
}

// Guards against a task that runs again after its run was done and acknowledged: an agent
// process takes the worker over beside a renewal that was meant for an earlier incarnation,
// whose lease is the longest that the worker grants.
func TestRetainedRunsOutlastTheLongestLateLease(t *testing.T) {
	end := EndedRun{Number: 1, Run: wire.RunRef{Job: "j", Run: 1}, Kind: EndedSucceeded}
	s := &permissionScript{m: New(Options{RetainedRuns: []EndedRun{end}, Incarnation: 1}), now: time.Minute}
	began := s.now
	s.step(Tick{})
	acknowledged := time.Duration(0)
	for acknowledged == 0 && s.now-began < 5*time.Second {
		s.answerPollWithEnds(end)
		s.now += 20 * time.Millisecond
		s.step(Tick{})
		if s.polls[len(s.polls)-1].AckUpTo > 0 {
			acknowledged = s.now - began
		}
	}
	assert.Assert(t, acknowledged > 1080*time.Millisecond && acknowledged < 2*time.Second, "after %v", acknowledged)
}
