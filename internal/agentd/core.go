package agentd

import (
	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// core is the state of the core goroutine, which drives the state machine.
type core struct {
	*Agent
	machine  *agent.Machine
	links    map[wire.Incarnation]openLink
	tracer   tracer
	lastLoad wire.Load // as in the last agent.Send action
	// evacuations is the state of the machine after the last step.
	evacuations wire.Evacuations
}

func (a *Agent) coreLoop() {
	c := &core{
		Agent:   a,
		machine: agent.New(a.opts.Machine),
		links:   make(map[wire.Incarnation]openLink),
		tracer:  newTracer(a.opts.Log),

		evacuations: a.opts.Machine.Evacuations,
	}
	defer func() {
		for _, l := range c.links {
			l.sender.Close()
		}
	}()
	for {
		select {
		case <-a.ctx.Done():
			return
		case ev := <-a.events:
			if event := c.handleEvent(ev); event != nil {
				c.step(event)
			}
		}
	}
}

// handleEvent handles the part of an event that concerns this package, mainly the
// table of open links. It returns the event for the state machine, or nil if
// there is none.
func (c *core) handleEvent(ev any) agent.Event {
	switch e := ev.(type) {
	case openLink:
		return c.addLink(e)
	case agent.LinkDown:
		if l, ok := c.links[e.Entry]; ok && l.epoch == e.Epoch {
			l.sender.Close()
			delete(c.links, e.Entry)
			c.emit(eventlog.EntryLinkDown, eventlog.Fields{Peer: l.peer, Count: int64(e.Epoch)})
		}
		return e
	case finishLinks:
		for _, l := range c.links {
			l.sender.Finish()
		}
		return nil
	case statusQuery:
		e.reply <- c.status()
		return nil
	case agent.Drain:
		c.emit(eventlog.AgentDraining, eventlog.Fields{Detail: c.opts.Name})
		return e
	case agent.Received:
		// The entry sent a start while the link was being retired. The refusal can
		// no longer be sent on this link, so dialling is allowed again: the entry
		// queries the attempt over a new link.
		if l := c.links[e.Entry]; l.retired && len(e.Frame.Starts) > 0 {
			c.dialer.setRetired(l.peer, false)
		}
		return e
	case agent.Event:
		return e
	}
	return nil
}

// addLink adds a link. Of two links to the same entry it keeps the one with the
// higher epoch, as the entry does.
func (c *core) addLink(e openLink) agent.Event {
	if old, ok := c.links[e.hello.Entry]; ok {
		if old.epoch > e.epoch {
			e.sender.Close()
			return nil
		}
		old.sender.Close()
	}
	if e.capacity != c.capacity.Load() {
		e.sender.Close() // the capacity has grown since the hello
	}
	c.links[e.hello.Entry] = e
	c.emit(eventlog.EntryLinkUp, eventlog.Fields{
		Peer: e.peer, Detail: e.hello.Name, Count: int64(e.epoch), Age: c.clock.Now() - e.helloSentAt,
	})
	return agent.LinkUp{Entry: e.hello.Entry, Epoch: e.epoch, HelloSentAt: e.helloSentAt, ConfigVersion: e.hello.ConfigVersion, ReportNeighbours: e.hello.ReportNeighbours}
}

// step passes an event to the state machine and applies the resulting actions.
func (c *core) step(event agent.Event) {
	c.tracer.traceEvent(event)
	for _, action := range c.machine.Step(c.clock.Now(), event) {
		c.applyAction(action)
	}
	if v := c.machine.ConfigVersion(); v != c.configVersion.Load() {
		c.configVersion.Store(v)
		c.emit(eventlog.AgentConfigKept, eventlog.Fields{Count: v})
	}
	if e := c.machine.Evacuations(); e.Newer(&c.evacuations) {
		c.noteEvacuations(e)
	}
}

func (c *core) applyAction(action agent.Action) {
	switch x := action.(type) {
	case *agent.Send:
		c.sendFrame(x)
	case *agent.Run:
		c.tracer.taskStarted(x)
		c.upstream.Run(x)
	case agent.Stop:
		c.tracer.stopRequested(x)
		c.upstream.Stop(x)
	case agent.Permissions:
		c.upstream.Permit(x)
	case agent.AcknowledgeRun:
		c.upstream.Acknowledge(x)
	case agent.SupersedeRun:
		c.upstream.Supersede(x)
	case agent.Probe:
		c.upstream.Probe()
	case agent.ListEvacuations:
		c.listEvacuations()
	case agent.CapacityGrown:
		c.restateCapacity(x.Capacity)
	case agent.Retired:
		c.finishRetiredLink(x)
	case agent.Drained:
		c.emit(eventlog.AgentDrained, eventlog.Fields{Detail: c.opts.Name})
		close(c.drained)
	}
}

// restateCapacity closes all links, so that new ones are dialled whose hello states the
// capacity. Attempts in flight are queried over these.
func (c *core) restateCapacity(capacity wire.Capacity) {
	c.capacity.Store(&capacity)
	for _, l := range c.links {
		l.sender.Close()
	}
}

// finishRetiredLink closes the sending side of a retired link. The goroutine that
// reads the link ends once the entry has read the last frame and closed its side.
func (c *core) finishRetiredLink(x agent.Retired) {
	l, ok := c.links[x.Entry]
	if !ok || l.epoch != x.Epoch {
		return
	}
	l.retired = true
	c.links[x.Entry] = l
	c.dialer.setRetired(l.peer, true)
	l.sender.Finish()
	c.emit(eventlog.EntryRetired, eventlog.Fields{Peer: l.peer, Detail: l.hello.Name})
}

func (c *core) sendFrame(x *agent.Send) {
	c.tracer.resultsReported(x)
	c.traceLoad(&x.Frame.Load)
	if l, ok := c.links[x.Entry]; ok && l.epoch == x.Epoch {
		x.Frame.Stamp = uint64(c.opts.Log.Stamp())
		l.sender.Send(x.Frame)
	}
}

// traceLoad emits events when the upstream becomes reachable or unreachable, and
// when the concurrency limit changes.
func (c *core) traceLoad(l *wire.Load) {
	switch {
	case l.Down && !c.lastLoad.Down:
		c.emit(eventlog.UpstreamDown, eventlog.Fields{Detail: c.opts.UpstreamURL})
	case !l.Down && c.lastLoad.Down:
		c.emit(eventlog.UpstreamUp, eventlog.Fields{Detail: c.opts.UpstreamURL})
	}
	if l.Limit != c.lastLoad.Limit {
		c.emit(eventlog.LimitChanged, eventlog.Fields{Count: int64(l.Limit)})
	}
	c.lastLoad = *l
}

// observeStamp passes the stamp of a received frame to the clock of the event log.
func (a *Agent) observeStamp(stamp uint64) { a.opts.Log.Observe(timeline.Stamp(stamp)) }
