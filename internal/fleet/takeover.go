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

const (
	// takeoverTimeout bounds one attempt to take over a worker, which is two calls.
	takeoverTimeout = 2 * workerCallTimeout
	// maxAnnouncementAge bounds the age of the announcement on which an agent starts. A
	// worker whose agent was away repeats its last announcement, which is then up to one
	// interval of 1.5 s old.
	maxAnnouncementAge = 2 * time.Second
	// freshAnnouncementTimeout is how long an agent waits for an announcement that is not
	// older. It is more than two intervals of 1.5 s between announcements.
	freshAnnouncementTimeout = 4 * time.Second
)

// takeOver makes one attempt to take over the worker.
func (n *AgentNode) takeOver(ctx context.Context, worker Worker) (Takeover, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
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

// staleAnnouncement returns why no agent may start on the newest announcement of an
// incarnation beside a worker that has the given status, or "" if one may. waited is how
// long the start has taken.
func (n *AgentNode) staleAnnouncement(incarnation int64, status *lease.WorkerStatus, waited time.Duration) string {
	if incarnation != 0 && status.Incarnation != 0 && incarnation != status.Incarnation {
		n.mu.Lock()
		if n.announced.Incarnation == incarnation { // no later one was announced meanwhile
			n.answered = status.Incarnation
		}
		n.mu.Unlock()
		return "another incarnation answers"
	}
	n.mu.Lock()
	announcedAt := n.announced.Clock
	n.mu.Unlock()
	if announcedAt > 0 && status.Clock-announcedAt > maxAnnouncementAge && waited < freshAnnouncementTimeout {
		return "announced " + (status.Clock - announcedAt).String() + " before"
	}
	return ""
}
