package lease

import (
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
