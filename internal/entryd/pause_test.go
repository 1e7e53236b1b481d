package entryd_test

import (
	"context"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

const resendDelay = 1300 * time.Millisecond

func startEntryWithResends(t *testing.T) (*entryd.Entry, *fakeAgent) {
	e := startEntry(t, entryd.Options{Core: entry.Options{ResendDelay: resendDelay}})
	return e, startAgent(t, e, 8, echo)
}

func testJob(deadline time.Duration) *entryd.Job {
	return &entryd.Job{Name: "j", Class: "c", Deadline: deadline, Payloads: [][]byte{[]byte("1")}}
}

// Guards against two runs of a task at the same time: a request waited in its socket
// while the entry was paused, its caller left and sent the job to another entry, and the
// entry starts it before it notices the closed connection.
func TestJobReadAfterPauseIsNotStartedForCallerThatLeft(t *testing.T) {
	e, a := startEntryWithResends(t)
	e.SimulatePause(5*time.Second, math.MaxInt)
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		_, ok := e.Submit(ctx, testJob(time.Minute))
		ended <- ok
	}()
	waitFor(t, "request", func() bool { return e.Requests() == 1 })
	leave()
	assert.Assert(t, !<-ended)
	e.SimulatePause(0, 0)
	answer, ok := e.Submit(t.Context(), testJob(time.Minute))
	assert.Assert(t, ok)
	assert.Equal(t, answer.Outcome, entry.Complete)
	assert.Equal(t, a.starts(), 1, "only the second job is started")
}

// Guards against a job that waits for ever after a pause although its caller is there.
func TestJobReadAfterPauseIsStartedOnceCallersAreChecked(t *testing.T) {
	e, _ := startEntryWithResends(t)
	e.SimulatePause(time.Second, entry.SettleTicks)
	answer, ok := e.Submit(t.Context(), testJob(time.Minute))
	assert.Assert(t, ok)
	assert.Equal(t, answer.Outcome, entry.Complete)
}

// Guards against a job that is started after its caller's deadline: the request may have
// waited in its socket since the pause began.
func TestDeadlineOfJobReadAfterPauseCountsFromPause(t *testing.T) {
	e, a := startEntryWithResends(t)
	e.SimulatePause(5*time.Second, entry.SettleTicks)
	answer, ok := e.Submit(t.Context(), testJob(4*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, answer.Outcome, entry.Refused)
	assert.Equal(t, answer.Reason, entry.ReasonDeadline)
	assert.Equal(t, a.starts(), 0)
}

// Guards against a pause that is missed because a request comes before the first tick
// after it, and against waiting without a pause or for longer than needed.
func TestPauseIsNoticedByWhateverRunsFirst(t *testing.T) {
	const tick = 20 * time.Millisecond
	for _, requestFirst := range []bool{false, true} {
		p := new(entryd.PauseWatch)
		now := time.Duration(0)
		run := func(ticks int) (settling bool) {
			for range ticks {
				now += tick
				p.Tick(now)
			}
			_, settling = p.State(now)
			return settling
		}
		assert.Assert(t, !run(100))
		now += entry.MinPause - 1
		_, settling := p.State(now)
		assert.Assert(t, !settling, "too short for a pause")
		assert.Assert(t, !run(entry.SettleTicks))
		began := now
		now += entry.MinPause
		if !requestFirst {
			p.Tick(now)
		}
		got, settling := p.State(now)
		assert.Assert(t, settling)
		assert.Equal(t, got, began)
		assert.Assert(t, run(entry.SettleTicks-1))
		assert.Assert(t, !run(1))
	}
}

// Guards against callers that leave unnoticed because the process runs only for a few
// milliseconds between gaps, each too short for a pause.
func TestGapsInARowCountAsOnePause(t *testing.T) {
	const gap, tick = entry.MinPause - time.Millisecond, 20 * time.Millisecond
	for _, between := range []int{0, 1, entry.SettleTicks - 1, entry.SettleTicks} {
		p := new(entryd.PauseWatch)
		now := time.Duration(0)
		for range 10 {
			now += tick
			p.Tick(now)
		}
		began := now
		now += gap
		for range between {
			p.Tick(now)
			now += tick
		}
		p.Tick(now)
		_, settling := p.State(now)
		assert.Assert(t, !settling, "one gap")
		now += gap
		got, settling := p.State(now)
		assert.Equal(t, settling, between < entry.SettleTicks, "%d ticks in between", between)
		if settling {
			assert.Equal(t, got, began)
		}
	}
}
