package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/lease"
)

// goneWorker is a client of a worker incarnation that no longer runs. It counts polls.
type goneWorker struct{ polls *atomic.Int64 }

var errWorkerGone = errors.New("another incarnation answered")

func (w goneWorker) Start(context.Context, lease.CallStart) lease.Started { return lease.Started{} }
func (w goneWorker) Stop(context.Context, lease.CallStop) lease.Stopped   { return lease.Stopped{} }
func (w goneWorker) Close()                                               {}

func (w goneWorker) TakeOver(context.Context) (Takeover, error) {
	w.polls.Add(1)
	return Takeover{}, errWorkerGone
}

func (w goneWorker) Poll(context.Context, lease.CallPoll) (*lease.WorkerStatus, error) {
	w.polls.Add(1)
	return nil, errWorkerGone
}

// startWorkerless starts the agent of a VM whose announced workers do not answer.
func startWorkerless(t *testing.T) (n *AgentNode, polls *atomic.Int64) {
	polls = new(atomic.Int64)
	n = StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker { return goneWorker{polls} }})
	t.Cleanup(n.Kill)
	return n, polls
}

func announced(incarnation, sequence int64, draining bool) Announcement {
	return Announcement{Worker: "w", Incarnation: incarnation, Sequence: sequence, Pool: "p", Slots: 8, Draining: draining}
}

// Guards against a worker that has left and is used again after a restart of its
// agent: the new process knows nothing of it and may receive a delayed announcement.
func TestDelayedAnnouncementOfLeftWorkerStartsNoAgent(t *testing.T) {
	n, polls := startWorkerless(t)
	n.HandleAnnouncement(announced(4, 9, false))
	await(t, func() bool { return polls.Load() >= 3 })
	_, running := n.Status()
	assert.Assert(t, !running, "an agent runs for a worker that never answered")
}

// Guards against a draining worker that gets new work after a restart of its agent,
// or after announcements that arrive out of order.
func TestDrainingWorkerStaysOutOfUse(t *testing.T) {
	n, polls := startWorkerless(t)
	n.HandleAnnouncement(announced(5, 20, true))
	for _, late := range []Announcement{announced(5, 19, false), announced(4, 99, false), announced(5, 20, false)} {
		n.HandleAnnouncement(late)
		assert.Assert(t, n.announced.Draining, "%+v", late)
	}
	assert.Equal(t, polls.Load(), int64(0), "the worker was contacted")
	_, running := n.Status()
	assert.Assert(t, !running)
}

// cutOffWorker is a client of a worker that runs nothing. Its list of ended runs is cut
// off in the first answers.
type cutOffWorker struct {
	goneWorker
	running func() bool  // whether the agent runs
	early   *atomic.Bool // the agent ran when such an answer was made
}

const cutOffAnswers = 3

func (w cutOffWorker) TakeOver(ctx context.Context) (Takeover, error) {
	status, err := w.Poll(ctx, lease.CallPoll{})
	return Takeover{Status: status, Fenced: true}, err
}

func (w cutOffWorker) Poll(context.Context, lease.CallPoll) (*lease.WorkerStatus, error) {
	cutOff := w.polls.Add(1) <= cutOffAnswers
	if cutOff && w.running() {
		w.early.Store(true)
	}
	return &lease.WorkerStatus{Incarnation: 4, Clock: time.Second, EndedCutOff: cutOff}, nil
}

// Guards against runs that are repeated although they succeeded: an agent that starts
// beside a worker whose list of ended runs is cut off must not tell entries that all
// other runs have ended while their ends still count.
func TestAgentWaitsWhileListOfEndedRunsIsCutOff(t *testing.T) {
	polls, early := new(atomic.Int64), new(atomic.Bool)
	var n *AgentNode
	running := func() bool { _, ok := n.Status(); return ok }
	n = StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker {
		return cutOffWorker{goneWorker{polls}, running, early}
	}})
	t.Cleanup(n.Kill)
	n.HandleAnnouncement(announced(4, 1, false))
	await(t, func() bool { return running() && polls.Load() > cutOffAnswers })
	assert.Assert(t, !early.Load())
}

// Guards against a worker that is never used again after an announcement of another writer,
// which names a pool that the VM's worker does not belong to and a later start.
func TestAnnouncementOfAnotherPoolChangesNothing(t *testing.T) {
	n, _ := startWorkerless(t)
	n.opts.Pool = "desk"
	own := announced(5, 1, false)
	own.Pool = "desk"
	n.HandleAnnouncement(own)
	other := announced(9, 1, false)
	other.Worker, other.Pool = "other", "archive"
	err := n.HandleAnnouncement(other)
	assert.ErrorContains(t, err, `pool "archive", want "desk"`)
	assert.DeepEqual(t, n.announced, own)
}
