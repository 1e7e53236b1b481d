package agentd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	dialTimeout = time.Second
	// The delay between dials doubles from minRedialDelay up to
	// Options.MaxRedialDelay, by default maxRedialDelay. The actual delay is drawn from
	// its upper half, so that agents do not all reconnect to an entry at the same
	// time.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// stableLinkAge is how long a link must have lasted for its loss to reset the
	// delay.
	stableLinkAge = time.Second
)

// dialLoop keeps one link to the entry at addr while it is needed. It ends when
// the entry was unreachable for so long that it is dropped, or with the agent.
func (a *Agent) dialLoop(addr string) {
	delay := minRedialDelay
	for a.ctx.Err() == nil {
		if a.dialer.shouldDial(addr) && !a.isDrained() {
			start := time.Now()
			connected, err := a.serveLink(addr)
			if !connected && !a.dialer.dialFailed(addr, time.Now(), err) {
				return
			}
			delay = min(2*delay, a.opts.MaxRedialDelay)
			if time.Since(start) >= stableLinkAge && connected {
				delay = minRedialDelay
			}
		}
		ctxsleep.For(a.ctx, delay/2+rand.N(delay/2))
	}
}

// isDrained reports whether the agent is drained. No link is opened afterwards.
func (a *Agent) isDrained() bool {
	select {
	case <-a.drained:
		return true
	default:
		return false
	}
}

// serveLink opens one link and reads it until it fails. It reports whether the
// handshake succeeded. If the link is replaced in the meantime, the state machine
// drops the remaining frames because they carry the epoch of the old link.
func (a *Agent) serveLink(addr string) (connected bool, err error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.opts.DialTimeout)
	raw, err := a.opts.Dial(ctx, addr)
	cancel()
	if err != nil {
		return false, err
	}
	conn := link.NewConn(raw)
	conn.SetWriteTimeout(a.opts.SilenceTimeout)
	defer conn.Close()
	defer context.AfterFunc(a.ctx, func() { conn.Close() })()
	epoch := wire.Epoch(a.epoch.Add(1))
	helloSentAt := a.clock.Now()
	capacity := a.capacity.Load()
	hello, err := a.handshake(conn, epoch, *capacity)
	if err != nil {
		return false, err
	}
	a.dialer.connected(addr, hello.Entry, epoch)
	defer a.dialer.disconnected(hello.Entry, epoch)
	sender := link.NewSender[*wire.ToEntry](conn)
	defer sender.Close()
	a.send(openLink{hello: hello, epoch: epoch, peer: addr, sender: sender, helloSentAt: helloSentAt, capacity: capacity})
	defer a.send(agent.LinkDown{Entry: hello.Entry, Epoch: epoch})
	a.dialer.learn(hello.Entries)
	return true, a.readFrames(conn, hello.Entry, epoch)
}

func (a *Agent) readFrames(conn *link.Conn, entry wire.Incarnation, epoch wire.Epoch) error {
	for {
		frame := new(wire.ToAgent)
		if err := conn.Read(frame, a.opts.SilenceTimeout); err != nil {
			return err
		}
		a.observeStamp(frame.Stamp)
		a.dialer.learn(frame.Entries)
		a.send(agent.Received{Entry: entry, Epoch: epoch, Frame: frame})
	}
}

func (a *Agent) handshake(conn *link.Conn, epoch wire.Epoch, capacity wire.Capacity) (wire.EntryHello, error) {
	var reply wire.EntryHello
	err := errors.Join(conn.WritePreface(), conn.Write(wire.AgentHello{
		Protocol: wire.ProtocolVersion, Agent: a.opts.Incarnation, Epoch: epoch,
		Name: a.opts.Name, Zone: a.opts.Zone, Rack: a.opts.Rack,
		Slots: a.opts.Slots, Capacity: capacity,
		Pool: a.opts.Pool, Labels: a.opts.Labels, NoLeftoverRuns: a.opts.NoLeftoverRuns, WorkerIncarnation: a.opts.WorkerIncarnation,
		TakeoverTime:  wire.MicrosOf(a.opts.TakeoverTime),
		FinishedRuns:  a.opts.Machine.RetainedRuns,
		ConfigVersion: a.configVersion.Load(), Entries: a.dialer.entries(),
	}), conn.Flush())
	if err != nil {
		return reply, err
	}
	if err := conn.Read(&reply, link.HandshakeTimeout); err != nil {
		return reply, err
	}
	if reply.Protocol != wire.ProtocolVersion || reply.Entry == 0 || reply.Epoch != epoch {
		return reply, fmt.Errorf("agentd: hello from entry %s: want this protocol version, a nonzero entry and the epoch of this link", conn.RemoteAddr())
	}
	return reply, nil
}
