package entryd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/ingressd"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	acceptRetryDelay = 10 * time.Millisecond
	maxAgentSlots    = 1 << 16
	// maxHelloBytes bounds what is read of an agent before its hello is valid. A hello that
	// lists wire.MaxKnownEntries entries takes about half.
	maxHelloBytes = 64 << 10
)

var (
	errUnknownPreface = errors.New("entryd: unknown connection preface")
	errPeersFull      = errors.New("entryd: the share of peers is used up")
)

func (e *Entry) acceptLoop() {
	server := e.newRPCServer()
	peers := e.guards.peers.Listener(e.peers)
	for {
		raw, err := peers.Accept()
		if e.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				raw.Close()
			}
			return
		}
		if err != nil {
			ctxsleep.For(e.ctx, acceptRetryDelay) // the process may be out of file descriptors
			continue
		}
		conn := raw.(*ingressd.Conn)
		if !e.goroutines.start(func() { e.servePeer(server, conn) }) {
			conn.Close()
		}
	}
}

// servePeer serves one connection of the peer listener and logs it if it is
// rejected.
func (e *Entry) servePeer(server *rpc.Server, raw *ingressd.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(e.ctx, func() { raw.Close() })
	defer stop()
	err := e.routeConn(server, raw)
	if errors.Is(err, errPeersFull) {
		return // counted by the share
	}
	if err != nil && err != io.EOF && e.ctx.Err() == nil { // EOF: a port check without data
		e.log.Emit(eventlog.PeerRejected, eventlog.Fields{Peer: raw.RemoteAddr().String(), Err: err})
	}
}

// routeConn distinguishes links of agents and calls of other entries by the first
// eight bytes and serves the connection.
func (e *Entry) routeConn(server *rpc.Server, raw *ingressd.Conn) error {
	if !raw.BeginReading() || !raw.Charge(ingress.HelloCost) {
		return errPeersFull
	}
	raw.SetDeadline(time.Now().Add(link.HandshakeTimeout))
	preface := make([]byte, len(link.Preface))
	if _, err := io.ReadFull(raw, preface); err != nil {
		return err
	}
	raw.SetDeadline(time.Time{})
	switch string(preface) {
	case RPCPreface:
		e.serveRPC(server, raw)
		return nil
	case link.Preface:
		replayed := io.MultiReader(bytes.NewReader(preface), raw)
		return e.serveAgent(&limitedConn{Conn: raw, r: replayed}, raw)
	}
	return errUnknownPreface
}

// serveAgent reads frames from one agent connection until it fails or no frame
// arrives within SilenceTimeout. It returns an error only if the handshake failed.
func (e *Entry) serveAgent(raw net.Conn, guarded *ingressd.Conn) error {
	conn := link.NewConn(raw)
	frames := e.frames.newLink()
	conn.SetReserve(func(size int) error { return frames.reserveHello(e.ctx, size) })
	conn.SetMaxFrame(maxHelloBytes)
	conn.SetWriteTimeout(e.opts.SilenceTimeout)
	defer conn.Close()
	hello, err := e.handshake(conn, frames)
	if err != nil {
		return err
	}
	if !guarded.BeginServing() {
		return errPeersFull
	}
	guarded.Charge(-ingress.HelloCost)
	conn.SetMaxFrame(wire.MaxFrameBytes)
	conn.SetReserve(func(size int) error { return frames.reserve(e.ctx, size) })
	sender := link.NewSender[*wire.ToAgent](conn)
	defer sender.Close()
	e.send(openLink{hello: hello, sender: sender})
	defer e.send(entry.LinkDown{Agent: hello.Agent, Epoch: hello.Epoch})
	for {
		frame := new(wire.ToEntry)
		if err := conn.Read(frame, e.opts.SilenceTimeout); err != nil {
			frames.take().release()
			return nil
		}
		e.send(receivedFrame{entry.Received{Agent: hello.Agent, Epoch: hello.Epoch, Frame: frame}, frames.take()})
	}
}

// receivedFrame passes a frame to the core, which releases its memory.
type receivedFrame struct {
	entry.Received
	memory reservation
}

func (e *Entry) handshake(conn *link.Conn, frames *linkFrames) (wire.AgentHello, error) {
	var hello wire.AgentHello
	if err := conn.ReadPreface(); err != nil {
		return hello, err
	}
	err := conn.Read(&hello, link.HandshakeTimeout)
	frames.releaseHello()
	if err != nil {
		return hello, err
	}
	if !validHello(&hello) {
		return hello, fmt.Errorf("entryd: agent hello: got protocol %d, agent %d, slots %d; want this protocol version, nonzero agent and epoch, slots from 1 to the limit, and names and entries within their limits",
			hello.Protocol, hello.Agent, hello.Slots)
	}
	if !e.awaitCallersChecked() {
		return hello, errors.New("entryd: agent hello: the callers' connections could not be checked")
	}
	known := *e.knownEntries.Load()
	return hello, errors.Join(conn.Write(wire.EntryHello{
		Protocol: wire.ProtocolVersion, Entry: e.Incarnation(), Epoch: hello.Epoch,
		Name: e.opts.Name, Zone: e.opts.Zone, ConfigVersion: e.config.Load().Version,
		Entries: known[:min(len(known), wire.MaxKnownEntries)], ReportNeighbours: e.opts.ReportNeighbours,
	}), conn.Flush())
}

// validHello checks the conditions that the machine and the scheduler rely on.
func validHello(h *wire.AgentHello) bool {
	return h.Protocol == wire.ProtocolVersion && h.Agent != 0 && h.Epoch != 0 &&
		h.Slots > 0 && h.Slots <= maxAgentSlots &&
		max(len(h.Name), len(h.Zone), len(h.Rack)) <= MaxNameBytes &&
		len(h.Entries) <= wire.MaxKnownEntries
}
