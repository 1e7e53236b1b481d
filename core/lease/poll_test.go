package lease

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against a worker that leaves every fourth call unanswered and whose ended
// runs are seen only after a long poll has timed out, and against frequent polls of
// a worker that answers.
func TestUnreliableWorkerIsPolledWithShortWaits(t *testing.T) {
	m := New(Options{})
	now := time.Second
	run := wire.RunRef{Job: "j", Run: 1}
	m.Step(now, Start{Run: run})
	m.Step(now, Started{Run: run, Result: StartAccepted})
	// answer answers the poll in flight, or leaves it unanswered, and returns the wait
	// of the next poll.
	answer := func(answered bool) time.Duration {
		var status *WorkerStatus
		if answered {
			status = &WorkerStatus{Incarnation: 1, Clock: now, Running: []wire.RunRef{run}}
		}
		actions := m.Step(now, Polled{Status: status})
		for range 20 {
			for _, a := range actions {
				if p, ok := a.(CallPoll); ok {
					return p.MaxWait
				}
			}
			now += 10 * time.Millisecond
			actions = m.Step(now, Tick{})
		}
		t.Fatal("no poll")
		return 0
	}
	assert.Equal(t, answer(true), DefaultPollWait)
	answer(false)
	assert.Equal(t, answer(true), unreliablePollWait)
	for end := now + unreliablePeriod; now < end; now += 100 * time.Millisecond {
		answer(true) // renews the lease
	}
	assert.Equal(t, answer(true), DefaultPollWait)
}

// reasonsOfEnds lets events happen that are the given time apart, and then the worker stay
// silent until its lease has expired and for the given time after that. It returns the reasons
// of the ends that the machine reports meanwhile.
func reasonsOfEnds(m *Machine, now time.Duration, events []Event, apart, silence time.Duration) (reasons []wire.Reason) {
	step := func(ev Event) {
		for _, a := range m.Step(now, ev) {
			if f, ok := a.(Finished); ok {
				reasons = append(reasons, f.Reason)
			}
		}
	}
	for _, ev := range events {
		now += apart
		step(Tick{}) // sends the poll
		step(ev)
	}
	now += 2 * DefaultLease
	step(Tick{})
	now += silence
	for range 2 * lapsePolls {
		now += 100 * time.Millisecond
		step(Tick{})
		step(Polled{})
	}
	return reasons
}

// Guards against a task that is blamed for a worker that only stopped answering, and
// against one under which worker after worker crashes unnoticed.
func TestCrashedWorkerIsToldFromSilentOne(t *testing.T) {
	run := wire.RunRef{Job: "j", Run: 1}
	silent, gone := Polled{}, Polled{ProcessGone: true}
	running := func(incarnation int64) Polled {
		return Polled{Status: &WorkerStatus{Incarnation: incarnation, Clock: time.Second, Running: []wire.RunRef{run}}}
	}
	idle := func(incarnation int64) Polled {
		return Polled{Status: &WorkerStatus{Incarnation: incarnation, Clock: time.Second}}
	}
	for _, c := range []struct {
		name  string
		polls []Event // 100 ms apart
		want  wire.Reason
	}{
		{"frozen or cut off", []Event{silent, silent}, wire.ReasonRunEnded},
		{"process gone", []Event{silent, gone}, wire.ReasonWorkerCrashed},
		{"process gone, then the machine", []Event{gone, silent}, wire.ReasonWorkerCrashed},
		{"restarted within the lease", []Event{silent, idle(2)}, wire.ReasonWorkerCrashed},
		{"alive without the run", []Event{idle(1)}, wire.ReasonRunEnded},
	} {
		m := New(Options{})
		now := time.Second
		m.Step(now, running(1))
		m.Step(now, Start{Run: run})
		m.Step(now, Started{Run: run, Result: StartAccepted})
		m.Step(now, running(1))
		got := reasonsOfEnds(m, now, c.polls, 100*time.Millisecond, lapseTimeout)
		assert.Assert(t, slices.Equal(got, []wire.Reason{c.want}), "%s: got %v, want %v", c.name, got, c.want)
	}
}

// Guards against a task that is blamed for the crash of a worker that never began its run,
// because it was silent before, and against one whose starts crash worker after worker
// before these answer.
func TestCrashCountsUnderUnansweredStartOnlyIfItMayBeTheCause(t *testing.T) {
	run := wire.RunRef{Job: "j", Run: 1}
	unanswered := Started{Run: run, Result: StartUnanswered}
	unreachable := Started{Run: run, Result: StartRefused, Reason: wire.ReasonUpstreamDown}
	refused := Started{Run: run, Result: StartRefused, Reason: wire.ReasonUpstreamDown, ProcessGone: true}
	busy := Started{Run: run, Result: StartRefused, Reason: wire.ReasonBusy}
	gone := Polled{ProcessGone: true}
	status := func(incarnation int64, running ...wire.RunRef) Polled {
		return Polled{Status: &WorkerStatus{Incarnation: incarnation, Clock: time.Second, Running: running}}
	}
	for _, c := range []struct {
		name   string
		events []Event // 10 ms apart
		want   wire.Reason
	}{
		{"silent, then gone", []Event{unanswered, unanswered, unanswered, gone}, wire.ReasonRunEnded},
		{"silent, then restarted", []Event{unanswered, unanswered, unanswered, Polled{}, status(2), Stopped{Run: run, Acknowledged: true}, status(2)}, wire.ReasonRunEnded},
		{"silent, then busy, then gone", []Event{unanswered, busy, gone}, wire.ReasonRunEnded},
		{"silent, then out of reach, then gone", []Event{unanswered, unreachable, gone}, wire.ReasonRunEnded},
		{"gone after the first start", []Event{unanswered, refused, gone}, wire.ReasonWorkerCrashed},
		{"gone after the second start", []Event{unanswered, unanswered, refused, gone}, wire.ReasonWorkerCrashed},
		{"listed, then gone", []Event{unanswered, unanswered, unanswered, status(1, run), gone}, wire.ReasonWorkerCrashed},
	} {
		m := New(Options{})
		now := time.Second
		m.Step(now, status(1))
		m.Step(now, Start{Run: run})
		got := reasonsOfEnds(m, now, c.events, 10*time.Millisecond, wire.MaxCallDelay+wire.MaxLateRun)
		assert.Assert(t, slices.Equal(got, []wire.Reason{c.want}), "%s: got %v, want %v", c.name, got, c.want)
	}
}

// Guards against tasks of a crashed worker that wait for a lease before they are
// repeated, and against a run that is repeated while a delayed start may still reach
// the worker's next incarnation.
func TestRunsOfGoneProcessEndAtOnce(t *testing.T) {
	accepted, unanswered := wire.RunRef{Job: "accepted", Run: 1}, wire.RunRef{Job: "unanswered", Run: 1}
	m := New(Options{})
	now := time.Second
	m.Step(now, Polled{Status: &WorkerStatus{Incarnation: 1, Clock: now}})
	m.Step(now, Start{Run: accepted})
	m.Step(now, Started{Run: accepted, Result: StartAccepted})
	now += time.Millisecond
	m.Step(now, Polled{Status: &WorkerStatus{Incarnation: 1, Clock: now, Running: []wire.RunRef{accepted}}}) // sends the next poll
	m.Step(now, Start{Run: unanswered})
	m.Step(now, Started{Run: unanswered, Result: StartUnanswered})
	m.Step(now, Polled{ProcessGone: true})
	assert.Equal(t, m.OpenRuns(), 1)
	assert.Equal(t, m.ordered[0].id, unanswered)
	m.Step(now+DefaultLease, Tick{})
	assert.Equal(t, m.OpenRuns(), 1, "a delayed start may still take effect")
	m.Step(now+2*DefaultLease, Tick{})
	assert.Equal(t, m.OpenRuns(), 1, "the clock of the next incarnation begins again, so the deadline proves nothing")
	m.Step(now+wire.MaxCallDelay, Tick{})
	assert.Equal(t, m.OpenRuns(), 1, "a run that began just now has a lease of its own")
	m.Step(now+wire.MaxCallDelay+wire.MaxLateRun, Tick{})
	assert.Equal(t, m.OpenRuns(), 0)
}

// Guards against ends that the worker discards although nobody has seen them: an answer is
// handled after a freeze in which the worker restarted under the same name. The numbers of
// ended runs that it contains are those of the earlier incarnation.
func TestAnswerHandledAfterFreezeAcknowledgesNothing(t *testing.T) {
	for _, frozen := range []time.Duration{0, 60 * time.Millisecond, 240 * time.Millisecond, 3 * time.Second} {
		s := newPermissionScript()
		run := s.startAccepted("j", 1, s.now+time.Hour)
		s.now += 10 * time.Millisecond
		s.answerPoll(run) // the next poll is sent at this time
		s.now += frozen
		sent := len(s.polls)
		s.step(Polled{Status: &WorkerStatus{
			Incarnation: 1, Clock: s.workerClock(s.now - frozen), Running: []wire.RunRef{run},
			Ended: []EndedRun{{Number: 5, Run: wire.RunRef{Job: "other", Run: 1}, Kind: EndedSucceeded}},
		}})
		for i := 0; i < 40 && len(s.polls) == sent; i++ {
			s.now += 10 * time.Millisecond
			s.step(Tick{})
		}
		assert.Assert(t, len(s.polls) > sent)
		if frozen > 0 {
			assert.Equal(t, s.polls[sent].AckUpTo, 0, "answer to a poll that was sent %v before", frozen)
		}
	}
}

// Guards against ended runs that are never acknowledged although nothing has failed: polls
// of a calm worker wait for PollWait, and their answers are handled late.
func TestCalmWorkerIsAcknowledged(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
		for _, busy := range []bool{false, true} { // whether a run stays in progress
			s := newPermissionScript()
			var running []wire.RunRef
			if busy {
				run := s.startAccepted("j", 1, s.now+time.Hour)
				running = append(running, run)
			}
			end := EndedRun{Number: 1, Run: wire.RunRef{Job: "other", Run: 1}, Kind: EndedSucceeded}
			acked := time.Duration(0)
			for limit := s.now + 4*time.Second; acked == 0 && s.now < limit; {
				if !s.m.polling {
					s.now += 50 * time.Millisecond
					s.step(Tick{})
					continue
				}
				call := s.polls[len(s.polls)-1]
				s.now += call.MaxWait + delay
				status := &WorkerStatus{Incarnation: 1, Clock: s.workerClock(s.now - delay), Running: running}
				if call.AckUpTo < end.Number {
					status.Ended = []EndedRun{end}
				} else {
					acked = s.now
				}
				s.step(Polled{Status: status})
			}
			assert.Assert(t, acked > 0, "delay of %v, busy %v", delay, busy)
		}
	}
}

// Guards against finished runs that the worker discards although nobody has seen them, so
// that their tasks are run again: the worker restarted within minRestartTime while no call
// was made, and a start reaches the new incarnation before any poll does. The low clock
// in its answer shows the restart.
func TestRestartBetweenTwoPollsAcknowledgesNothing(t *testing.T) {
	for _, clock := range []time.Duration{time.Millisecond, time.Second} {
		for _, stop := range []bool{false, true} { // whether a stop shows the restart, or the start
			for _, idle := range []time.Duration{maxAckAge / 2, minRestartTime / 3} {
				s := newPermissionScript()
				earlier := s.startAccepted("earlier", 1, s.now+time.Hour)
				s.now += time.Millisecond
				ended := []EndedRun{{Number: 5, Run: earlier, Kind: EndedSucceeded}}
				s.answerPollWithEnds(ended...)
				s.now += DefaultAckDelay
				s.step(Tick{})
				s.answerPollWithEnds(ended...) // sends the acknowledgement
				s.answerPoll()
				assert.Equal(t, s.polls[len(s.polls)-1].AckUpTo, 5)

				s.now += idle
				sent := len(s.polls)
				run := s.start("j", 2, s.now+time.Hour)
				if stop {
					s.step(Stopped{Run: run, Acknowledged: true, Clock: clock})
				}
				s.step(Started{Run: run, Result: StartAccepted, Clock: clock})
				assert.Equal(t, len(s.polls), sent+1)
				assert.Equal(t, s.polls[sent].AckUpTo, 0)

				s.step(Polled{Status: &WorkerStatus{
					Incarnation: 2, Clock: clock, Ended: []EndedRun{{Number: 1, Run: run, Kind: EndedSucceeded}},
				}})
				assert.Equal(t, s.finished[len(s.finished)-1].Outcome, wire.Succeeded)
			}
		}
	}
}

// Guards against finished runs that the worker discards although nobody has seen them, so
// that their tasks are run again: the worker restarted while no call was made, and a start
// and the poll that acknowledges the ends of the earlier incarnation reach the new one
// together, the start first. The run ends at once.
func TestPollBesideStartAcknowledgesNothingAfterIdleTime(t *testing.T) {
	const restart = 60 * time.Millisecond // the shortest time in which a worker restarts
	s := newPermissionScript()
	earlier := s.startAccepted("earlier", 1, s.now+time.Hour)
	s.now += time.Millisecond
	ended := []EndedRun{{Number: 5, Run: earlier, Kind: EndedSucceeded}}
	s.answerPollWithEnds(ended...)
	s.now += DefaultAckDelay // the worker restarts meanwhile
	sent := len(s.polls)
	s.start("j", 2, s.now+time.Hour)
	assert.Equal(t, len(s.polls), sent+1)
	assert.Equal(t, s.polls[sent].AckUpTo, 0)
	assert.Equal(t, s.polls[sent].MaxWait, time.Duration(0))

	// It has not restarted.
	s.answerPollWithEnds(ended...)
	assert.Equal(t, len(s.polls), sent+2)
	assert.Equal(t, s.polls[sent+1].AckUpTo, 5)
	assert.Assert(t, s.polls[sent+1].AckUntil < s.now+restart, "a poll that is sent later acknowledges nothing")
}

// Guards against finished runs that are acknowledged although their tasks are repeated: the
// worker restarts, carries out a start that was meant for its earlier incarnation and whose
// run was reported as ended, and lists the end of that run.
func TestEndsAtRestartedWorkerAreLeftToTheNextAgent(t *testing.T) {
	s := newPermissionScript()
	run := s.startAccepted("j", 1, s.now+time.Hour)
	s.now += time.Millisecond
	status := &WorkerStatus{Incarnation: 2, Clock: time.Millisecond}
	s.step(Polled{Status: status})
	s.now += time.Millisecond
	s.step(Polled{Status: status})
	assert.Equal(t, s.finished[0].Reason, wire.ReasonWorkerCrashed)
	sent := len(s.polls)
	status.Ended = []EndedRun{{Number: 1, Run: run, Kind: EndedSucceeded}}
	for range 100 {
		s.now += 50 * time.Millisecond
		s.step(Tick{})
		if s.m.polling {
			s.step(Polled{Status: status})
		}
	}
	assert.Assert(t, len(s.polls) > sent)
	for _, call := range s.polls[sent:] {
		assert.Equal(t, call.AckUpTo, 0)
	}
	assert.Assert(t, len(s.polls) < sent+100, "%d polls in 5 s", len(s.polls)-sent)
}

// Guards against finished runs that a restarted worker discards unseen: it restarted between
// the takeover, which listed finished runs, and the first poll of the machine.
func TestRetainedRunsOfEarlierIncarnationAreNotAcknowledged(t *testing.T) {
	m := New(Options{RetainedRuns: []EndedRun{{Number: 5, Run: wire.RunRef{Job: "j", Run: 1}, Kind: EndedSucceeded}}, Incarnation: 1})
	now := time.Second
	m.Step(now, Tick{})
	restarts := 0
	for range 100 {
		for _, a := range m.Step(now, Polled{Status: &WorkerStatus{Incarnation: 2, Clock: now}}) {
			switch x := a.(type) {
			case CallPoll:
				assert.Equal(t, x.AckUpTo, 0)
			case WorkerRestarted:
				restarts++
			}
		}
		now += 50 * time.Millisecond
		m.Step(now, Tick{})
	}
	assert.Equal(t, restarts, 1)
}

// Guards against acknowledgements that are withheld for good: answers of one incarnation
// are handled in another order than they were given.
func TestAnswersOutOfOrderAreNoRestart(t *testing.T) {
	s := newPermissionScript()
	run := s.startAccepted("j", 1, s.now+time.Hour)
	s.now += 10 * time.Millisecond
	s.step(Polled{Status: &WorkerStatus{
		Incarnation: 1, Clock: s.workerClock(s.now), Running: []wire.RunRef{run},
		Ended: []EndedRun{{Number: 5, Run: wire.RunRef{Job: "other", Run: 1}, Kind: EndedSucceeded}},
	}})
	s.now += 10 * time.Millisecond
	s.step(Stopped{Run: wire.RunRef{Job: "other", Run: 1}, Acknowledged: true, Clock: s.workerClock(s.now - 30*time.Millisecond)})
	s.answerPoll(run)
	assert.Equal(t, s.polls[len(s.polls)-1].AckUpTo, 5)
}

// Guards against ended runs that are never acknowledged: a call that was sent late
// acknowledged nothing, and the machine counts them as acknowledged.
func TestWithheldAcknowledgementIsRepeated(t *testing.T) {
	s := newPermissionScript()
	run := s.startAccepted("j", 1, s.now+time.Hour)
	s.now += time.Millisecond
	ended := []EndedRun{{Number: 1, Run: run, Kind: EndedSucceeded}}
	s.answerPollWithEnds(ended...)
	s.now += DefaultAckDelay
	s.step(Tick{})
	s.answerPollWithEnds(ended...)
	sent := len(s.polls)
	assert.Equal(t, s.polls[sent-1].AckUpTo, 1)
	s.step(Polled{Status: &WorkerStatus{Incarnation: 1, Clock: s.workerClock(s.now), Ended: ended}, AckWithheld: true})
	assert.Equal(t, len(s.polls), sent+1)
	assert.Equal(t, s.polls[sent].AckUpTo, 1)
}
