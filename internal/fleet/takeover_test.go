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

// liveWorker is a client of a worker that runs nothing. Every incarnation is announced
// under the same name, and the current one answers.
type liveWorker struct {
	goneWorker
	incarnation int64
	clock       time.Duration
}

func (w liveWorker) TakeOver(ctx context.Context) (Takeover, error) {
	status, err := w.Poll(ctx, lease.CallPoll{})
	return Takeover{Status: status, Fenced: true}, err
}

func (w liveWorker) Poll(context.Context, lease.CallPoll) (*lease.WorkerStatus, error) {
	w.polls.Add(1)
	return &lease.WorkerStatus{Incarnation: w.incarnation, Clock: w.clock}, nil
}

// startBeside starts the agent of a VM with the given worker.
func startBeside(t *testing.T, w Worker) *AgentNode {
	n := StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker { return w }})
	t.Cleanup(n.Kill)
	return n
}

// Guards against a worker that is used as what it was before: a process that has just
// started hears a delayed announcement of an incarnation that has ended, and the current
// one, which may be of another pool or kind, answers under the same name.
func TestDelayedAnnouncementOfEarlierIncarnationStartsNoAgent(t *testing.T) {
	polls := new(atomic.Int64)
	n := startBeside(t, liveWorker{goneWorker: goneWorker{polls}, incarnation: 5, clock: time.Minute})
	n.HandleAnnouncement(announced(4, 9, false))
	await(t, func() bool { return polls.Load() >= 3 })
	_, running := n.Status()
	assert.Assert(t, !running, "an agent runs for an incarnation that has ended")
	n.HandleAnnouncement(announced(5, 1, false))
	await(t, func() bool { _, running := n.Status(); return running })
}

// Guards against a draining worker that gets new work after a restart of its agent: the
// new process hears a delayed announcement from before the worker was draining.
func TestDelayedAnnouncementOfDrainingWorkerStartsNoAgent(t *testing.T) {
	polls := new(atomic.Int64)
	n := startBeside(t, liveWorker{goneWorker: goneWorker{polls}, incarnation: 5, clock: time.Minute})
	late := announced(5, 19, false)
	late.Clock = time.Minute - 2*maxAnnouncementAge
	n.HandleAnnouncement(late)
	await(t, func() bool { return polls.Load() >= 3 })
	_, running := n.Status()
	assert.Assert(t, !running, "an agent runs for a worker that may be draining")
	n.HandleAnnouncement(announced(5, 20, true))
	_, running = n.Status()
	assert.Assert(t, !running)
}

// Guards against a worker that is never used because its first announcement was late, or
// because it states another clock in its announcements.
func TestAgentStartsAfterDelayedAnnouncement(t *testing.T) {
	late, recent := announced(5, 1, false), announced(5, 2, false)
	late.Clock, recent.Clock = time.Second, time.Minute
	for _, later := range []Announcement{recent, late} {
		polls := new(atomic.Int64)
		n := startBeside(t, liveWorker{goneWorker: goneWorker{polls}, incarnation: 5, clock: time.Minute})
		n.HandleAnnouncement(late)
		await(t, func() bool { return polls.Load() >= 2 })
		n.HandleAnnouncement(later)
		await(t, func() bool { _, running := n.Status(); return running })
	}
}

// Guards against a worker that gets no more work because the deregistration of its earlier
// incarnation arrives late.
func TestDelayedDeregistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	for _, c := range []struct {
		incarnation int64 // 0 if the deregistration does not state it
		leaving     bool
	}{{4, false}, {5, true}, {0, true}} {
		n := startBeside(t, liveWorker{goneWorker: goneWorker{new(atomic.Int64)}, incarnation: 5, clock: time.Minute})
		n.HandleAnnouncement(announced(5, 1, false))
		n.HandleDeregister("w", c.incarnation)
		assert.Equal(t, n.announced.Draining, c.leaving, "%+v", c)
	}
}

// Guards against a worker that has left and is used again: its deregistration arrives before
// the announcement that it sent first, at a process that has just started or that knows only the
// incarnation before. The worker goes on for some seconds if the deregistration gets no answer.
func TestAnnouncementAfterDeregistrationStartsNoAgent(t *testing.T) {
	for _, knowsEarlier := range []bool{false, true} {
		clients := new(atomic.Int64)
		n := StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(_ string, incarnation int64) Worker {
			clients.Add(1)
			return liveWorker{goneWorker{new(atomic.Int64)}, incarnation, time.Minute}
		}})
		t.Cleanup(n.Kill)
		if knowsEarlier {
			n.HandleAnnouncement(announced(4, 1, false))
			await(t, func() bool { _, running := n.Status(); return running })
		}
		n.HandleDeregister("w", 5)
		n.HandleAnnouncement(announced(5, 1, false))
		n.HandleAnnouncement(announced(5, 2, false))
		await(t, func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.announced.Incarnation == 5 && n.cancelStart == nil
		})
		_, running := n.Status()
		assert.Assert(t, !running, "an agent runs beside a worker that has left")
		n.HandleAnnouncement(announced(6, 1, false))
		await(t, func() bool { _, running := n.Status(); return running })
	}
}

// otherWorker answers as another incarnation than the announced one.
type otherWorker struct{ goneWorker }

func (w otherWorker) TakeOver(context.Context) (Takeover, error) {
	return Takeover{Status: &lease.WorkerStatus{Incarnation: 5, Clock: time.Second}, Fenced: true}, nil
}

// Guards against a worker that is never used again: its time of day was set back, so the
// incarnation that answers is lower than the announced one, and its announcements are
// taken for late ones.
func TestWorkerWhoseStartTimeWasSetBackIsUsed(t *testing.T) {
	n := StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker {
		return otherWorker{goneWorker{new(atomic.Int64)}}
	}})
	t.Cleanup(n.Kill)
	n.HandleAnnouncement(Announcement{Worker: "i", Incarnation: 9, Sequence: 1, Slots: 8})
	for i := range 80 {
		n.HandleAnnouncement(Announcement{Worker: "i", Incarnation: 5, Sequence: int64(i + 2), Slots: 8, Clock: time.Second})
		if _, ok := n.Status(); ok {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no agent was started")
}

// restartingWorker is a client of a worker that runs nothing. The incarnation that answers
// changes.
type restartingWorker struct {
	goneWorker
	incarnation *atomic.Int64
}

func (w restartingWorker) TakeOver(ctx context.Context) (Takeover, error) {
	status, err := w.Poll(ctx, lease.CallPoll{})
	return Takeover{Status: status, Fenced: true}, err
}

func (w restartingWorker) Poll(context.Context, lease.CallPoll) (*lease.WorkerStatus, error) {
	w.polls.Add(1)
	return &lease.WorkerStatus{Incarnation: w.incarnation.Load(), Clock: time.Minute}, nil
}

// startBesideRestarting starts the agent of a VM whose worker then restarts with its time of day
// set back: the incarnation after 9 is 5. It returns the agent and how often a client was made.
func startBesideRestarting(t *testing.T) (n *AgentNode, clients *atomic.Int64) {
	clients = new(atomic.Int64)
	incarnation, polls := new(atomic.Int64), new(atomic.Int64)
	incarnation.Store(9)
	n = StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker {
		clients.Add(1)
		return restartingWorker{goneWorker{polls}, incarnation}
	}})
	t.Cleanup(n.Kill)
	n.HandleAnnouncement(announced(9, 1, false))
	await(t, func() bool { return polls.Load() >= 3 }) // the agent has polled the worker as well
	incarnation.Store(5)
	return n, clients
}

// Guards against a worker that is never used again: it restarted beside its agent with its
// time of day set back, so the announcements of the new incarnation are taken for late ones
// of one before.
func TestWorkerThatRestartsWithEarlierStartTimeIsUsed(t *testing.T) {
	n, clients := startBesideRestarting(t)
	sequence := int64(0)
	await(t, func() bool {
		sequence++
		n.HandleAnnouncement(announced(5, sequence, false))
		return clients.Load() == 2
	})
}

// Guards against a worker that is never used again: as above, and an announcement of the
// earlier incarnation arrives after the agent has found the new one and before that one
// announces itself.
func TestLateAnnouncementDoesNotHideRestartWithEarlierStartTime(t *testing.T) {
	n, _ := startBesideRestarting(t)
	await(t, func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.answered == 5 })
	n.HandleAnnouncement(announced(9, 2, false))
	n.HandleAnnouncement(announced(5, 1, false))
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Equal(t, n.announced.Incarnation, int64(5), "the announcement of the new incarnation was ignored")
}
