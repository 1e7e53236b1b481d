package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against polls without a pause (990 in a second): the ends at a restarted worker are not acknowledged,
// so the worker lists them in each answer and does not wait for a new one.
func TestPollsOfRestartedWorkerWithListedEndsPause(t *testing.T) {
	m := lease.New(lease.Options{})
	now := time.Millisecond
	m.Step(now, lease.Tick{})
	m.Step(now+1, lease.Polled{Status: &lease.WorkerStatus{Incarnation: 1, Clock: time.Minute}})
	long, short := wire.RunRef{Job: "long", Run: 1}, wire.RunRef{Job: "short", Run: 1}
	m.Step(now+2, lease.Start{Run: long})
	m.Step(now+3, lease.Started{Run: long, Result: lease.StartUnanswered})
	now += time.Millisecond
	// The next incarnation carries the start out, and an end is listed there.
	polls, open := 0, false
	count := func(actions []lease.Action) {
		for _, a := range actions {
			if _, ok := a.(lease.CallPoll); ok {
				polls++
				open = true
			}
		}
	}
	count(m.Step(now, lease.Polled{}))
	clock := time.Second
	status := func() *lease.WorkerStatus {
		return &lease.WorkerStatus{
			Incarnation: 2, Clock: clock, Running: []wire.RunRef{long},
			Ended: []lease.EndedRun{{Number: 1, Run: short, Kind: lease.EndedSucceeded}},
		}
	}
	for end := now + time.Second; now < end; now, clock = now+time.Millisecond, clock+time.Millisecond {
		if open { // the worker answers within a millisecond, because it lists an end
			open = false
			count(m.Step(now, lease.Polled{Status: status()}))
		} else if now%(50*time.Millisecond) < time.Millisecond {
			count(m.Step(now, lease.Tick{}))
		} else {
			count(m.Step(now, lease.Permissions{}))
		}
	}
	assert.Equal(t, m.OpenRuns(), 1)
	assert.Assert(t, polls > 3 && polls < 100, "%d polls in a second", polls)
}

// Guards against an acknowledgement to an incarnation that nobody has seen: after a second of
// unanswered polls, the first poll that was answered let the next one acknowledge for 0.3 s,
// in which the worker may restart while this process stands still.
func TestAcknowledgementAfterSilenceIsBoundedByAnswer(t *testing.T) {
	m := lease.New(lease.Options{})
	now, clock := time.Second, time.Minute
	m.Step(now, lease.Tick{})
	run := wire.RunRef{Job: "j", Run: 1}
	status := func() *lease.WorkerStatus {
		return &lease.WorkerStatus{Incarnation: 1, Clock: clock + now, Ended: []lease.EndedRun{{Number: 1, Run: run, Kind: lease.EndedSucceeded}}}
	}
	m.Step(now, lease.Polled{Status: status()})
	for end := now + 1200*time.Millisecond; now < end; now += 20 * time.Millisecond {
		m.Step(now, lease.Tick{})
		m.Step(now+25*time.Millisecond, lease.Polled{})
		now += 25 * time.Millisecond
	}
	var acks int
	for range 4 {
		now += 60 * time.Millisecond
		for _, ev := range []lease.Event{lease.Tick{}, lease.Polled{Status: status()}} {
			for _, a := range m.Step(now, ev) {
				if x, ok := a.(lease.CallPoll); ok && x.AckUpTo > 0 {
					acks++
					assert.Assert(t, x.AckUntil <= now+40*time.Millisecond, "may acknowledge until %v later", x.AckUntil-now)
				}
			}
		}
	}
	assert.Assert(t, acks > 0)
}
