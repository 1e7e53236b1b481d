package faultmatrix

import (
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

type direction int

const (
	toAgent direction = iota
	toEntry
)

// conn is one connection between an agent and an entry. Each end closes on its
// own. Messages in one direction keep their order. Its arrays are indexed by
// direction.
type conn struct {
	sim          *simulation
	entry        *entryNode
	agent        *agentNode
	entryIndex   int
	epoch        wire.Epoch
	closed       [2]bool          // at the receiving end
	receivedAt   [2]time.Duration // when the last message arrived
	silent       [2]bool          // messages are dropped
	holding      [2]bool
	heldMessages [2][]func() // delivered when holding ends
}

// receiver returns the process at the receiving end of d.
func (c *conn) receiver(d direction) *proc {
	if d == toAgent {
		return &c.agent.proc
	}
	return &c.entry.proc
}

// send runs f at the receiving end of d after networkDelay.
func (c *conn) send(d direction, f func()) {
	c.sim.schedule(networkDelay, func() { c.deliver(d, f) })
}

func (c *conn) deliver(d direction, f func()) {
	switch {
	case c.silent[d]:
	case c.holding[d]:
		c.heldMessages[d] = append(c.heldMessages[d], f)
	default:
		c.sim.runIn(c.receiver(d), func() {
			if !c.closed[d] {
				c.receivedAt[d] = c.sim.now
				f()
			}
		})
	}
}

// hold holds back the messages in one direction for a time. The connection is
// silent to its receiver meanwhile.
func (c *conn) hold(d direction, duration time.Duration) {
	c.holding[d] = true
	c.sim.faultLasts(duration)
	c.sim.schedule(duration, func() {
		c.holding[d] = false
		for _, f := range c.heldMessages[d] {
			c.deliver(d, f)
		}
		c.heldMessages[d] = nil
	})
}

// cut closes the connection. Both ends learn of it after networkDelay.
func (c *conn) cut() {
	c.send(toAgent, func() { c.close(toAgent) })
	c.send(toEntry, func() { c.close(toEntry) })
	c.sim.schedule(networkDelay, func() { c.silent = [2]bool{true, true} })
}

// close closes the connection at the receiving end of d. The other end reads the
// end of the stream after networkDelay.
func (c *conn) close(d direction) {
	if c.closed[d] {
		return
	}
	c.closed[d] = true
	other := 1 - d
	c.send(other, func() { c.close(other) })
	if d == toAgent {
		c.agent.connectionClosed(c)
		return
	}
	c.entry.connectionClosed(c)
}

// closeIfSilent closes the connection at the receiving end of d if that end has
// received nothing for longer than linkTimeout.
func (c *conn) closeIfSilent(d direction) {
	if !c.closed[d] && c.sim.now-c.receivedAt[d] > linkTimeout {
		c.close(d)
	}
}
