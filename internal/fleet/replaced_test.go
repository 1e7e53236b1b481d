package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/lease"
)

// slowTakeoverWorker is a client whose takeover reaches the worker and is answered only
// once answers is set.
type slowTakeoverWorker struct {
	goneWorker
	incarnation int64
	answers     *atomic.Bool
}

func (w slowTakeoverWorker) TakeOver(ctx context.Context) (Takeover, error) {
	w.polls.Add(1)
	if w.incarnation > 9 && !w.answers.Load() {
		return Takeover{}, errWorkerGone
	}
	return Takeover{Status: &lease.WorkerStatus{Incarnation: w.incarnation, Clock: time.Minute}, Fenced: true}, nil
}

// startBesideSlowTakeover starts the agent of a VM with such workers, whose polls are counted.
func startBesideSlowTakeover(t *testing.T) (n *AgentNode, polls *atomic.Int64, answers *atomic.Bool) {
	polls, answers = new(atomic.Int64), new(atomic.Bool)
	n = StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(_ string, incarnation int64) Worker {
		return slowTakeoverWorker{goneWorker{polls}, incarnation, answers}
	}})
	t.Cleanup(n.Kill)
	return n, polls, answers
}

// awaitReplacedStops waits until starts of the replaced agents can have no effect, and checks
// that no agent is started after that.
func awaitReplacedStops(t *testing.T, n *AgentNode) {
	await(t, func() bool { n.mu.Lock(); defer n.mu.Unlock(); return len(n.replaced) == 0 })
	time.Sleep(2 * leftoverRetryDelay)
	_, running := n.Status()
	assert.Assert(t, !running, "an agent runs beside a worker that leaves")
}

// Guards against runs that wait for 12.5 s: a worker restarts, its takeover has fenced off the
// replaced agent, whose polls are refused from then on, and the worker announces that it is
// draining or deregisters before the takeover is answered.
func TestDrainDuringTakeoverDoesNotLeaveReplacedAgentWaiting(t *testing.T) {
	for _, deregister := range []bool{false, true} {
		n, polls, answers := startBesideSlowTakeover(t)
		n.HandleAnnouncement(announced(9, 1, false))
		await(t, func() bool { _, running := n.Status(); return running })
		n.HandleAnnouncement(announced(10, 1, false))
		began := polls.Load()
		await(t, func() bool { return polls.Load() > began+2 })
		if deregister {
			n.HandleDeregister("w", 10)
		} else {
			n.HandleAnnouncement(announced(10, 2, true))
		}
		answers.Store(true)
		awaitReplacedStops(t, n)
	}
}

// Guards against runs that wait for 12.5 s, and against unanswered starts that are carried out
// meanwhile: a worker restarts again while it is being taken over, which has fenced off the
// replaced agent, and the first announcement of the third incarnation says that it is draining.
func TestDrainingIncarnationIsTakenOverForReplacedAgent(t *testing.T) {
	n, _, answers := startBesideSlowTakeover(t)
	n.HandleAnnouncement(announced(9, 1, false))
	await(t, func() bool { _, running := n.Status(); return running })
	n.HandleAnnouncement(announced(10, 1, false))
	n.HandleAnnouncement(announced(11, 2, true))
	answers.Store(true)
	awaitReplacedStops(t, n)
}

// Guards against two runs of one task: an agent process is stopped while its worker restarts,
// and entries start the tasks of the lost agent again, although the next incarnation may still
// carry out its unanswered starts. That incarnation restarts as well in one of the cases.
func TestStopDuringTakeoverWaitsForReplacedAgent(t *testing.T) {
	for _, restartsAgain := range []bool{false, true} {
		n, polls, answers := startBesideSlowTakeover(t)
		n.HandleAnnouncement(announced(9, 1, false))
		await(t, func() bool { _, running := n.Status(); return running })
		n.HandleAnnouncement(announced(10, 1, false))
		fenced := make(chan struct{})
		n.mu.Lock() // an agent with an unanswered start: it stops once the start can have no effect
		n.replaced = append(n.replaced, replacedAgent{make(chan lease.Event, workerEventBuffer), fenced})
		n.replacedStops.Go(func() {
			select {
			case <-fenced:
			case <-n.ctx.Done():
			}
		})
		n.mu.Unlock()
		stopped := make(chan error, 1)
		go func() { stopped <- n.Stop(t.Context()) }()
		await(t, func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.stopped })
		if restartsAgain {
			n.HandleAnnouncement(announced(11, 1, false))
			assert.Equal(t, n.announced.Incarnation, int64(11))
		}
		began := polls.Load()
		await(t, func() bool { return polls.Load() > began+2 || len(stopped) > 0 })
		assert.Equal(t, len(stopped), 0, "the replaced agent was stopped before the worker was taken over")
		answers.Store(true)
		assert.NilError(t, <-stopped)
		_, running := n.Status()
		assert.Assert(t, !running, "an agent was started during the stop")
	}
}

// Guards against two runs of one task: a late announcement of an earlier worker of another
// name arrives, whose start time is later because the time of day was set back, and unanswered
// starts at the current worker are given up although it may still carry them out.
func TestAnnouncementOfAnotherNameAloneEndsNoStarts(t *testing.T) {
	n, _, answers := startBesideSlowTakeover(t)
	n.HandleAnnouncement(announced(9, 1, false))
	await(t, func() bool { _, running := n.Status(); return running })
	late := announced(10, 1, false)
	late.Worker = "earlier"
	n.HandleAnnouncement(late)
	replaced := func() int { n.mu.Lock(); defer n.mu.Unlock(); return len(n.replaced) }
	assert.Equal(t, replaced(), 1, "nothing has been taken over")
	answers.Store(true)
	await(t, func() bool { return replaced() == 0 })
}

// Guards against an agent that is replaced beside its worker, whose runs end: the takeover for
// an earlier announcement was answered by the current incarnation and handled after that one
// had announced itself.
func TestLateTakeoverAnswerReplacesNoAgent(t *testing.T) {
	n, _, _ := startBesideSlowTakeover(t)
	n.HandleAnnouncement(announced(9, 1, false))
	await(t, func() bool { _, running := n.Status(); return running })
	assert.Assert(t, n.staleAnnouncement(8, &lease.WorkerStatus{Incarnation: 9, Clock: time.Minute}, 0) != "")
	n.HandleAnnouncement(announced(9, 2, false))
	_, running := n.Status()
	assert.Assert(t, running, "the agent was replaced")
}

// Guards against a process that stands still, and against replaced agents that are left
// waiting: a worker restarts again and again while it is being taken over, drains and
// deregisters, and its announcements arrive late.
func TestAgentFollowsWorkerThatRestartsAgainAndAgain(t *testing.T) {
	const first, last = 10, 60 // incarnations
	r := rand.New(rand.NewPCG(1, 1))
	n, _, answers := startBesideSlowTakeover(t)
	for incarnation := int64(first); incarnation <= last; incarnation++ {
		answers.Store(r.IntN(2) == 0)
		n.HandleAnnouncement(announced(incarnation, 1, r.IntN(8) == 0))
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		switch r.IntN(4) {
		case 0:
			n.HandleDeregister("w", incarnation-int64(r.IntN(2)))
		case 1:
			n.HandleAnnouncement(announced(incarnation-1, 2, r.IntN(2) == 0))
		case 2:
			n.HandleAnnouncement(announced(incarnation, 2, r.IntN(4) == 0))
		}
	}
	answers.Store(true)
	n.HandleAnnouncement(announced(last+1, 1, false))
	await(t, func() bool { _, running := n.Status(); return running })
	n.replacedStops.Wait()
	assert.NilError(t, n.Stop(t.Context()))
}
