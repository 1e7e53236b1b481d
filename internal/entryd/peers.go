package entryd

import (
	"errors"
	"fmt"
	"net"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
)

func (e *Entry) acceptLoop() {
	for {
		raw, err := e.peers.Accept()
		if err != nil {
			return // the listener is closed by Kill
		}
		e.goDuty(func() { e.serveAgent(raw) })
	}
}

// serveAgent reads one agent connection until it fails or falls silent.
func (e *Entry) serveAgent(raw net.Conn) {
	conn := link.NewConn(raw)
	defer conn.Close()
	hello, err := e.handshake(conn)
	if err != nil {
		return
	}
	sender := link.NewSender[*wire.ToAgent](conn)
	defer sender.Close()
	e.send(linkOpened{hello: hello, sender: sender})
	defer e.send(entry.LinkDown{Agent: hello.Agent, Epoch: hello.Epoch})
	for {
		frame := new(wire.ToEntry)
		if err := conn.Read(frame, link.SilenceTimeout); err != nil {
			return
		}
		e.send(entry.Received{Agent: hello.Agent, Epoch: hello.Epoch, Frame: frame})
	}
}

func (e *Entry) handshake(conn *link.Conn) (wire.AgentHello, error) {
	var hello wire.AgentHello
	if err := conn.ReadPreface(); err != nil {
		return hello, err
	}
	if err := conn.Read(&hello, link.HandshakeTimeout); err != nil {
		return hello, err
	}
	if hello.Protocol != wire.ProtocolVersion || hello.Agent == 0 || hello.Slots <= 0 {
		return hello, fmt.Errorf("entryd: unusable hello from %s", conn.RemoteAddr())
	}
	return hello, errors.Join(conn.Write(wire.EntryHello{
		Protocol: wire.ProtocolVersion, Entry: e.incarnation, Epoch: hello.Epoch,
		Name: e.opts.Name, Zone: e.opts.Zone,
	}), conn.Flush())
}
