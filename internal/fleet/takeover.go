package fleet

import (
	"context"
	"time"

	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/leased"
)

// Worker is a client of one worker incarnation.
type Worker interface {
	leased.Worker
	// TakeOver fences off the calls of every client that took over the worker before:
	// those that the worker has not carried out yet have no effect. It renews no lease
	// and acknowledges no ended run. A client whose first call is not TakeOver fences
	// off the calls of earlier worker incarnations only.
	TakeOver(ctx context.Context) (Takeover, error)
}

// Takeover is the result of taking over a worker.
type Takeover struct {
	// Status is what the worker reported after it had fenced off the earlier clients.
	Status *lease.WorkerStatus
	// Fenced is false if earlier clients may not be fenced off: the incarnation of
	// the worker is not known.
	Fenced bool
}

// takeOver makes one attempt to take over the worker.
func (n *AgentNode) takeOver(ctx context.Context, worker Worker) (Takeover, error) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	return worker.TakeOver(ctx)
}

// fields returns the log fields of a takeover that took the given time.
func (t Takeover) fields(took time.Duration) eventlog.Fields {
	detail := "fenced"
	if !t.Fenced {
		detail = "not fenced"
	}
	return eventlog.Fields{Count: t.Status.Incarnation, Detail: detail, Duration: took}
}

// staleAnnouncement returns why the announcement of an incarnation does not describe the
// worker that has the given status, or "" if it does.
func staleAnnouncement(incarnation int64, status *lease.WorkerStatus) string {
	if incarnation != 0 && status.Incarnation != 0 && incarnation != status.Incarnation {
		return "another incarnation answers"
	}
	return ""
}
