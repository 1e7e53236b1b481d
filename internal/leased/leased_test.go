package leased

import (
	"context"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/bootclock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// idleWorker runs nothing. It reports starts.
type idleWorker struct{ started chan lease.CallStart }

func (w idleWorker) Start(_ context.Context, call lease.CallStart) lease.Started {
	w.started <- call
	return lease.Started{Run: call.Run, Result: lease.StartRefused, Reason: wire.ReasonNoRoom}
}

func (idleWorker) Stop(context.Context, lease.CallStop) lease.Stopped { return lease.Stopped{} }

func (idleWorker) Poll(context.Context, lease.CallPoll) (*lease.WorkerStatus, error) {
	return &lease.WorkerStatus{Incarnation: 1, Clock: 1}, nil
}

func (idleWorker) Close() {}

// Guards against permissions that are compared with a clock other than the agent's: a
// start would be refused although it is permitted, or sent after its permission expired.
func TestPermissionIsMeasuredWithTheAgentsClock(t *testing.T) {
	clock := bootclock.New()
	finished := make(chan agent.Finished, 1)
	expired := make(chan lease.StartExpired, 1)
	worker := idleWorker{started: make(chan lease.CallStart, 1)}
	u := New(Options{Worker: worker, OnStartExpired: func(x lease.StartExpired) { expired <- x }})(clock, func(ev agent.Event) {
		if f, ok := ev.(agent.Finished); ok {
			finished <- f
		}
	})
	defer u.Close()

	u.Run(&agent.Run{Attempt: agent.AttemptID{Seq: 1}, Start: &wire.Start{Job: "j"}, PermittedUntil: 1})
	assert.Equal(t, (<-finished).Reason, wire.ReasonExpired)
	assert.Equal(t, (<-expired).Attempt.Seq, wire.Seq(1))
	assert.Equal(t, len(worker.started), 0)

	u.Run(&agent.Run{Attempt: agent.AttemptID{Seq: 2}, Start: &wire.Start{Job: "j"}, PermittedUntil: clock.Now() + 1e12})
	assert.Equal(t, (<-finished).Reason, wire.ReasonNoRoom)
	assert.Equal(t, (<-worker.started).Run.Job, "j")
}
