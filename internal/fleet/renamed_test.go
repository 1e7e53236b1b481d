package fleet

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a worker that is never used again: it restarted under another name with its
// time of day set back.
func TestRenamedWorkerWithEarlierStartTimeIsUsed(t *testing.T) {
	incarnation, clients := new(atomic.Int64), new(atomic.Int64)
	incarnation.Store(9)
	n := StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(string, int64) Worker {
		clients.Add(1)
		return restartingWorker{goneWorker{new(atomic.Int64)}, incarnation}
	}})
	t.Cleanup(n.Kill)
	n.HandleAnnouncement(announced(9, 1, false))
	await(t, func() bool { _, running := n.Status(); return running })
	incarnation.Store(5)
	sequence := int64(0)
	await(t, func() bool {
		sequence++
		a := announced(5, sequence, false)
		a.Worker = "other"
		n.HandleAnnouncement(a)
		return clients.Load() == 2
	})
}

// Guards against an agent that leaves its worker for an earlier one: a late announcement of
// that one bears another name, and the worker refuses calls for it or states another start.
func TestLateAnnouncementOfEarlierNameIsIgnored(t *testing.T) {
	for _, refused := range []bool{true, false} {
		incarnation, clients, probes := new(atomic.Int64), new(atomic.Int64), new(atomic.Int64)
		incarnation.Store(9)
		n := StartAgent(AgentOptions{Name: "a", Zone: "z", NewWorker: func(name string, _ int64) Worker {
			clients.Add(1)
			switch {
			case name == "w":
				return restartingWorker{goneWorker{new(atomic.Int64)}, incarnation}
			case refused:
				return goneWorker{probes}
			}
			return restartingWorker{goneWorker{probes}, incarnation}
		}})
		n.HandleAnnouncement(announced(9, 1, false))
		await(t, func() bool { _, running := n.Status(); return running })
		late := announced(5, 1, false)
		late.Worker = "other"
		n.HandleAnnouncement(late)
		await(t, func() bool { return probes.Load() == 1 })
		n.HandleAnnouncement(announced(9, 2, false))
		n.Kill()
		n.mu.Lock()
		assert.Equal(t, n.announced.Worker, "w")
		assert.Equal(t, n.announced.Sequence, int64(2))
		n.mu.Unlock()
		assert.Equal(t, clients.Load(), int64(2))
	}
}
