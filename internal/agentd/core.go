package agentd

import (
	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/timeline"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/eventlog"
)

// core is what the core goroutine owns.
type core struct {
	*Agent
	machine *agent.Machine
	links   map[wire.Incarnation]linkOpened
	tracer  tracer
	load    wire.Load // as last reported
}

func (a *Agent) coreLoop() {
	c := &core{
		Agent:   a,
		machine: agent.New(a.opts.Core),
		links:   make(map[wire.Incarnation]linkOpened),
		tracer:  newTracer(a.opts.Log),
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
			if event := c.adopt(ev); event != nil {
				c.step(event)
			}
		}
	}
}

// adopt keeps the table of open links in step with the events.
func (c *core) adopt(ev any) agent.Event {
	switch e := ev.(type) {
	case linkOpened:
		return c.linkOpened(e)
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
		// The refusal of a start that crossed the end of a retired link is lost;
		// the entry asks for it over a new one.
		if l := c.links[e.Entry]; l.retired && len(e.Frame.Starts) > 0 {
			c.finder.retired(l.peer, false)
		}
		return e
	case agent.Event:
		return e
	}
	return nil
}

// linkOpened keeps the newer of two connections to one entry, as the entry does.
func (c *core) linkOpened(e linkOpened) agent.Event {
	if old, ok := c.links[e.hello.Entry]; ok {
		if old.epoch > e.epoch {
			e.sender.Close()
			return nil
		}
		old.sender.Close()
	}
	c.links[e.hello.Entry] = e
	c.emit(eventlog.EntryLinkUp, eventlog.Fields{
		Peer: e.peer, Detail: e.hello.Name, Count: int64(e.epoch),
	})
	return agent.LinkUp{Entry: e.hello.Entry, Epoch: e.epoch, ConfigVersion: e.hello.ConfigVersion}
}

func (c *core) step(event agent.Event) {
	c.tracer.event(event)
	for _, action := range c.machine.Step(c.clock.Now(), event) {
		c.apply(action)
	}
	if v := c.machine.ConfigVersion(); v != c.configVersion.Load() {
		c.configVersion.Store(v)
		c.emit(eventlog.AgentConfigKept, eventlog.Fields{Count: v})
	}
}

func (c *core) apply(action agent.Action) {
	switch x := action.(type) {
	case *agent.Send:
		c.sendFrame(x)
	case *agent.Run:
		c.tracer.run(x)
		c.upstream.Run(x)
	case agent.Stop:
		c.tracer.stop(x)
		c.upstream.Stop(x)
	case agent.Settle:
		c.upstream.Settle(x)
	case agent.Probe:
		c.upstream.Probe()
	case agent.Retired:
		c.retired(x)
	case agent.Drained:
		c.emit(eventlog.AgentDrained, eventlog.Fields{Detail: c.opts.Name})
		close(c.drained)
	}
}

// retired closes a link that the entry no longer needs. The reader ends it once
// the entry has read the last frame and closed its side.
func (c *core) retired(x agent.Retired) {
	l, ok := c.links[x.Entry]
	if !ok || l.epoch != x.Epoch {
		return
	}
	l.retired = true
	c.links[x.Entry] = l
	c.finder.retired(l.peer, true)
	l.sender.Finish()
	c.emit(eventlog.EntryRetired, eventlog.Fields{Peer: l.peer, Detail: l.hello.Name})
}

func (c *core) sendFrame(x *agent.Send) {
	c.tracer.send(x)
	c.traceLoad(&x.Frame.Load)
	if l, ok := c.links[x.Entry]; ok && l.epoch == x.Epoch {
		x.Frame.Stamp = uint64(c.opts.Log.Stamp())
		l.sender.Send(x.Frame)
	}
}

// traceLoad writes an event when the upstream's state or the limit changes.
func (c *core) traceLoad(l *wire.Load) {
	switch {
	case l.Down && !c.load.Down:
		c.emit(eventlog.UpstreamDown, eventlog.Fields{Detail: c.opts.Upstream})
	case !l.Down && c.load.Down:
		c.emit(eventlog.UpstreamUp, eventlog.Fields{Detail: c.opts.Upstream})
	}
	if l.Limit != c.load.Limit {
		c.emit(eventlog.LimitChanged, eventlog.Fields{Count: int64(l.Limit)})
	}
	c.load = *l
}

// observe records the stamp of a received frame.
func (a *Agent) observe(stamp uint64) { a.opts.Log.Observe(timeline.Stamp(stamp)) }
