package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

// Guards against an entry that keeps adding load to a saturated link, and against a
// bound that stays low after the congestion ended.
func TestWindowFollowsRoundTrips(t *testing.T) {
	w := newWindow()
	now := time.Second
	observe := func(n int, rtt time.Duration, inFlight int) {
		for range n {
			now += 5 * time.Millisecond
			w.observe(now, now-rtt, rtt, inFlight)
		}
	}
	observe(100, 5*time.Millisecond, 200)
	assert.Assert(t, !w.full(10_000), "bounded without congestion")
	observe(100, 300*time.Millisecond, 200)
	assert.Assert(t, w.full(200), "bound %.0f", w.size)
	assert.Assert(t, !w.full(windowMinimum-1))
	low := w.size
	observe(200, 5*time.Millisecond, int(low))
	assert.Assert(t, w.size > 2*low, "bound %.0f after %.0f", w.size, low)
}

// Guards against an entry that takes its own pause for congestion: the attempts from
// before the pause have round trips that contain it, few attempts are in flight then, and
// jobs would be refused for seconds while workers are free.
func TestRoundTripsAcrossPauseDoNotShrinkWindow(t *testing.T) {
	s := New(Options{})
	s.Configure(0, Settings{Classes: []Class{{Name: "c", ResponseTarget: time.Second}}})
	load := wire.Load{Slots: 8, Limit: 8}
	s.AgentUp(0, AgentInfo{Agent: 1, Name: "a", Slots: 8, Load: load})
	job := &Job{Class: "c", Tasks: 4, Deadline: time.Minute}
	var sent []Placement
	for i := range job.Tasks {
		s.Enqueue(0, &Task{Job: job, Index: i})
	}
	for p, ok := s.Next(0); ok; p, ok = s.Next(0) {
		sent = append(sent, p)
	}
	assert.Assert(t, len(sent) > 0)
	const resumed = 2 * time.Second
	s.Resumed(resumed)
	for _, p := range sent {
		s.AttemptDone(resumed, p.Agent, p.Task, &wire.Result{Outcome: wire.Succeeded, RunTime: wire.MicrosOf(10 * time.Millisecond)})
	}
	assert.Assert(t, !s.window.full(10_000), "bound %.0f after a pause", s.window.size)
}
