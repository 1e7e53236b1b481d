package agentd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	dialTimeout    = time.Second
	redialInterval = 200 * time.Millisecond
)

// dialLoop keeps one connection to the entry at addr.
func (a *Agent) dialLoop(ctx context.Context, addr string) {
	for epoch := wire.Epoch(1); ctx.Err() == nil; epoch++ {
		a.serveLink(ctx, addr, epoch)
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// serveLink opens one connection and reads it until it fails. When it returns
// nothing of this connection is read any more, so the next epoch may begin.
func (a *Agent) serveLink(ctx context.Context, addr string, epoch wire.Epoch) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	conn := link.NewConn(raw)
	defer conn.Close()
	hello, err := a.handshake(conn, epoch)
	if err != nil {
		return err
	}
	sender := link.NewSender[*wire.ToEntry](conn)
	defer sender.Close()
	a.send(ctx, linkOpened{entry: hello.Entry, epoch: epoch, sender: sender})
	defer a.send(ctx, agent.LinkDown{Entry: hello.Entry, Epoch: epoch})
	for {
		frame := new(wire.ToAgent)
		if err := conn.Read(frame, link.SilenceTimeout); err != nil {
			return err
		}
		a.send(ctx, agent.Received{Entry: hello.Entry, Epoch: epoch, Frame: frame})
	}
}

func (a *Agent) send(ctx context.Context, ev any) {
	select {
	case a.events <- ev:
	case <-ctx.Done():
	}
}

func (a *Agent) handshake(conn *link.Conn, epoch wire.Epoch) (wire.EntryHello, error) {
	var reply wire.EntryHello
	err := errors.Join(conn.WritePreface(), conn.Write(wire.AgentHello{
		Protocol: wire.ProtocolVersion, Agent: a.incarnation, Epoch: epoch,
		Name: a.opts.Name, Zone: a.opts.Zone, Rack: a.opts.Rack,
		Slots: a.opts.Slots, Capacity: a.opts.Capacity,
	}), conn.Flush())
	if err != nil {
		return reply, err
	}
	if err := conn.Read(&reply, link.HandshakeTimeout); err != nil {
		return reply, err
	}
	if reply.Protocol != wire.ProtocolVersion || reply.Entry == 0 || reply.Epoch != epoch {
		return reply, fmt.Errorf("agentd: unusable hello from entry %s", conn.RemoteAddr())
	}
	return reply, nil
}
