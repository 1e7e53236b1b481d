package agentd

import (
	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// noteEvacuations logs when the evacuation of the agent's own zone begins or ends, and
// passes the state on.
func (c *core) noteEvacuations(e wire.Evacuations) {
	before, after := c.evacuations.Contains(c.opts.Zone), e.Contains(c.opts.Zone)
	c.evacuations = e
	if before != after {
		code := eventlog.AgentEvacuationEnded
		if after {
			code = eventlog.AgentEvacuated
		}
		c.emit(code, eventlog.Fields{Detail: c.opts.Zone, Count: e.AsOf})
	}
	if c.opts.OnEvacuations != nil {
		c.opts.OnEvacuations(e)
	}
}

// listEvacuations lists the requests to evacuate zones unless that is in progress. A listing
// that fails is logged: the state machine asks again.
func (a *Agent) listEvacuations() {
	if a.opts.ListEvacuations == nil || !a.listing.CompareAndSwap(false, true) {
		return
	}
	a.spawn(func() {
		defer a.listing.Store(false)
		requestedAt := a.clock.Now()
		e, err := a.opts.ListEvacuations(a.ctx)
		if a.ctx.Err() != nil {
			return
		}
		a.emit(eventlog.EvacuationsListed, eventlog.Fields{Count: e.AsOf, Duration: a.clock.Now() - requestedAt, Err: err})
		if err == nil {
			a.send(agent.EvacuationsListed{Evacuations: e, RequestedAt: requestedAt})
		}
	})
}
