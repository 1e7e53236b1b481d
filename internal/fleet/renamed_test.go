package fleet

import (
	"sync/atomic"
	"testing"
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
