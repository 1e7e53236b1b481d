package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
)

// lateStartWorker is a client of a worker that cannot be fenced and that carries out a
// start of an earlier process while it is being taken over for the second time.
type lateStartWorker struct {
	goneWorker
	stopped *atomic.Bool
}

const lateStartTakeover = 2

func (w lateStartWorker) TakeOver(ctx context.Context) (Takeover, error) {
	status, err := w.Poll(ctx, lease.CallPoll{})
	return Takeover{Status: status}, err
}

func (w lateStartWorker) Poll(context.Context, lease.CallPoll) (*lease.WorkerStatus, error) {
	status := &lease.WorkerStatus{Clock: time.Second}
	if w.polls.Add(1) >= lateStartTakeover && !w.stopped.Load() {
		status.Running = []wire.RunRef{{Job: "late", Run: 1}}
	}
	return status, nil
}

func (w lateStartWorker) Stop(_ context.Context, call lease.CallStop) lease.Stopped {
	w.stopped.Store(true)
	return lease.Stopped{Run: call.Run, Acknowledged: true}
}

// Guards against two runs of one task beside a worker that cannot be fenced: an agent
// must not report that no run is left over while a start of the process before it may
// still be carried out.
func TestAgentWaitsForLateStartsOfUnfencedWorker(t *testing.T) {
	polls, stopped, early := new(atomic.Int64), new(atomic.Bool), new(atomic.Bool)
	n := StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker {
		return lateStartWorker{goneWorker{polls}, stopped}
	}})
	t.Cleanup(n.Kill)
	n.HandleAnnouncement(announced(0, 1, false))
	await(t, func() bool {
		_, running := n.Status()
		if running && !stopped.Load() {
			early.Store(true)
		}
		return running
	})
	assert.Assert(t, !early.Load(), "the agent ran before the late start was found and stopped")
}
