package lease

import (
	"math"
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

// StopOf returns the Stop for a Stop of the agent's core.
func StopOf(x agent.Stop) Stop {
	return Stop{Attempt: x.Attempt, Orphan: x.Orphan, PermittedUntil: x.PermittedUntil}
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

// extendPermissions records until when entries permit their runs. The permission of a run
// that is stopped stays as it is: its entry has given the run up, although it may be alive.
func (m *Machine) extendPermissions(list []agent.Permission) {
	for _, p := range list {
		for _, r := range m.ordered {
			if r.attempt.Entry == p.Entry && r.permittedUntil > 0 && !r.permissionFixed {
				r.permittedUntil = max(r.permittedUntil, p.Until)
			}
		}
	}
}

// fixPermission ends the permission of a run that is stopped: it is not valid beyond the
// given time, 0 for no limit, and is not extended any more.
func (r *run) fixPermission(until time.Duration) {
	if until <= 0 {
		return
	}
	if r.permittedUntil == 0 || until < r.permittedUntil {
		r.permittedUntil = until
	}
	r.permissionFixed = true
}

// renewableUntil returns the time after which the lease must not be renewed. A renewal
// prolongs all runs at the worker, so the first permission of an open run that expires
// bounds it. Nobody permits a run that this machine has no record of. The lease is renewed
// again once the end of that run is known.
func (m *Machine) renewableUntil() time.Duration {
	until := time.Duration(math.MaxInt64)
	for _, r := range m.ordered {
		if r.permittedUntil > 0 {
			until = min(until, r.permittedUntil)
		}
	}
	for i := range m.foreign {
		until = min(until, m.foreign[i].seenAt)
	}
	return until
}

// expiring reports whether so much of the lease has passed without a renewal that no
// further run is started: it would soon end with the others. A run that is stopped ends
// within a few milliseconds at a worker that answers, so starts go on until then.
func (m *Machine) expiring(now time.Duration) bool {
	return now-m.renewableUntil() > m.opts.Lease/2
}
