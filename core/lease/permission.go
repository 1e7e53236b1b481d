package lease

import (
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
)

// StartOf returns the Start for a Run of the agent's core.
func StartOf(x *agent.Run) Start {
	return Start{
		Attempt:           x.Attempt,
		Run:               x.Start.Ref(),
		Payload:           x.Start.Payload,
		Checkpoint:        x.Start.Checkpoint,
		PermittedUntil:    x.PermittedUntil,
		RetainFinishedRun: x.Start.RetainFinishedRun,
	}
}

// permissionExpired reports whether a permission that is valid until the given time, 0
// for no limit, has expired.
func permissionExpired(now, until time.Duration) bool { return until > 0 && now > until }

// refuseExpired refuses a start whose permission has expired: it waited for too long, for
// instance because this process was frozen.
func (m *Machine) refuseExpired(now time.Duration, e Start) {
	m.emit(StartExpired{Attempt: e.Attempt, Run: e.Run, Age: now - e.PermittedUntil})
	m.emit(Finished{Attempt: e.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonExpired})
}
