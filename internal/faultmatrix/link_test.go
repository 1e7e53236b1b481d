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

// conn is one connection between an agent and an entry. Each end closes for
// itself; messages of one direction keep their order.
type conn struct {
	w       *world
	entry   *entryNode
	agent   *agentNode
	index   int // of the entry
	epoch   wire.Epoch
	closed  [2]bool // by receiving end
	heardAt [2]time.Duration
	silent  [2]bool
	held    [2]bool
	waiting [2][]func()
}

func (c *conn) receiver(d direction) *proc {
	if d == toAgent {
		return &c.agent.proc
	}
	return &c.entry.proc
}

// send delivers f at the other end after a hop.
func (c *conn) send(d direction, f func()) {
	c.w.after(hop, func() { c.arrive(d, f) })
}

func (c *conn) arrive(d direction, f func()) {
	switch {
	case c.silent[d]:
	case c.held[d]:
		c.waiting[d] = append(c.waiting[d], f)
	default:
		c.w.in(c.receiver(d), func() {
			if !c.closed[d] {
				c.heardAt[d] = c.w.now
				f()
			}
		})
	}
}

// hold keeps the messages of one direction back for a time. Meanwhile the
// connection looks silent to its receiver.
func (c *conn) hold(d direction, by time.Duration) {
	c.held[d] = true
	c.w.extend(by)
	c.w.after(by, func() {
		c.held[d] = false
		for _, f := range c.waiting[d] {
			c.arrive(d, f)
		}
		c.waiting[d] = nil
	})
}

// cut closes the connection; both ends learn of it after a hop.
func (c *conn) cut() {
	c.send(toAgent, func() { c.close(toAgent) })
	c.send(toEntry, func() { c.close(toEntry) })
	c.w.after(hop, func() { c.silent = [2]bool{true, true} })
}

// close ends the connection at the receiving end of d. The other end reads the
// end of the stream after a hop.
func (c *conn) close(d direction) {
	if c.closed[d] {
		return
	}
	c.closed[d] = true
	other := 1 - d
	c.send(other, func() { c.close(other) })
	if d == toAgent {
		c.agent.lost(c)
		return
	}
	c.entry.lost(c)
}

// lapse closes the connection at one end if it was silent for too long.
func (c *conn) lapse(d direction) {
	if !c.closed[d] && c.w.now-c.heardAt[d] > linkSilence {
		c.close(d)
	}
}
