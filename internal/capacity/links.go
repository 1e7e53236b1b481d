package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/eventlog"
	"github.com/limpettrail/limpettrail/internal/link"
)

// idleCost is the cost of a number of idle links, including their far ends.
type idleCost struct {
	heap, stack             float64 // bytes of heap and of stacks
	cpu                     float64 // microseconds per second
	bytesRead, bytesWritten float64 // per second, at the far ends
}

// measureIdle measures the idle system that start starts, for o.Window. It calls the
// stop function that start returned before it returns.
func measureIdle(ctx context.Context, o Options, start func() (peers *stubPeers, stop func(), err error)) (idleCost, error) {
	before := usageAfterGC()
	peers, stop, err := start()
	if err != nil {
		return idleCost{}, err
	}
	defer stop()
	pause(ctx, heartbeatInterval)
	windowStart, read, written := usageAfterGC(), peers.bytesRead.Load(), peers.bytesWritten.Load()
	pause(ctx, o.Window)
	window := usageDelta(windowStart, currentUsage())
	read, written = peers.bytesRead.Load()-read, peers.bytesWritten.Load()-written
	total := usageDelta(before, usageAfterGC())
	return idleCost{
		heap: total.heap, stack: total.stack, cpu: window.cpu / window.seconds,
		bytesRead: float64(read) / window.seconds, bytesWritten: float64(written) / window.seconds,
	}, ctx.Err()
}

// pause waits for the duration or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// stubPeerCost measures n stub peers without the measured part, as half of the cost
// of n links between stub peers.
func stubPeerCost(ctx context.Context, o Options, n int, heartbeat []byte) (idleCost, error) {
	c, err := measureIdle(ctx, o, func() (*stubPeers, func(), error) {
		peers, err := linkedStubPeers(n, heartbeat)
		if err != nil {
			return nil, nil, err
		}
		return peers, peers.close, nil
	})
	c.heap /= 2
	c.stack /= 2
	c.cpu /= 2
	return c, err
}

// readings returns the cost without that of the stub peers, divided by the number
// of measured parts. sent and received name the directions of the bytes as seen
// from the measured part, which receives what the stub peers write.
func (c idleCost) readings(peers idleCost, parts float64, sent, received string) []reading {
	return []reading{
		{"heap B", (c.heap - peers.heap) / parts},
		{"stack B", (c.stack - peers.stack) / parts},
		{"cpu us/s", (c.cpu - peers.cpu) / parts},
		{received + " B/s", c.bytesWritten / parts},
		{sent + " B/s", c.bytesRead / parts},
	}
}

var entryLinks = experiment{
	name: "entry-links", sizeUnit: "links", sizes: []int{100, 300, 1000},
	title: "one entry with idle agent links, excluding the cost of their far ends",
	measure: func(ctx context.Context, o Options, n int) ([]reading, error) {
		peers, err := stubPeerCost(ctx, o, n, agentHeartbeat())
		if err != nil {
			return nil, err
		}
		total, err := measureIdle(ctx, o, func() (*stubPeers, func(), error) { return startEntry(n) })
		return total.readings(peers, 1, "sent", "received"), err
	},
}

// startEntry starts an entry with links to n stub peers in the role of agents.
func startEntry(n int) (*stubPeers, func(), error) {
	e, err := entryd.Start(entryd.Options{
		Name: "entry", Zone: "zone-0", Listen: loopbackAddr, PeerListen: loopbackAddr,
		Scheduler:   policy.New(policy.Options{Seed: 1, Zone: "zone-0"}),
		Incarnation: 1, Log: eventlog.New(zap.NewNop(), "entry", 1),
		Settings: policy.Settings{Classes: []policy.Class{{Name: className, ResponseTarget: time.Second, TargetShare: 0.99}}},
	})
	if err != nil {
		return nil, nil, err
	}
	peers := newStubPeers(agentHeartbeat())
	stop := func() { e.Kill(); peers.close() }
	for i := range n {
		if err := dialEntry(peers, e.PeerAddr(), i); err != nil {
			stop()
			return nil, nil, err
		}
	}
	err = await(func() bool { s, ok := e.Stats(); return ok && s.Links == n })
	if err != nil {
		stop()
		return nil, nil, err
	}
	return peers, stop, nil
}

// dialEntry links a stub peer to the entry as agent i.
func dialEntry(peers *stubPeers, addr string, i int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	hello := encodeFrame(&wire.AgentHello{
		Protocol: wire.ProtocolVersion, Agent: wire.Incarnation(i + 1), Epoch: 1,
		Name: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprintf("zone-%d", i%3),
		Rack: fmt.Sprintf("rack-%d", i/3), Slots: benchSlots,
	})
	if _, err := c.Write(append([]byte(link.Preface), hello...)); err != nil {
		c.Close()
		return err
	}
	peers.add(c)
	return nil
}

// idleAgents is the number of agents that are measured together, since a single
// one uses too little processor time to be measured.
const idleAgents = 10

var agentLinks = experiment{
	name: "agent-links", sizeUnit: "links", sizes: []int{1, 6, 64},
	title: fmt.Sprintf("one agent with idle entry links, mean of %d, excluding the cost of their far ends", idleAgents),
	measure: func(ctx context.Context, o Options, n int) ([]reading, error) {
		peers, err := stubPeerCost(ctx, o, n*idleAgents, entryHeartbeat())
		if err != nil {
			return nil, err
		}
		total, err := measureIdle(ctx, o, func() (*stubPeers, func(), error) { return startAgents(n) })
		return total.readings(peers, idleAgents, "sent", "received"), err
	},
}

// startAgents starts idleAgents agents, each with links to n stub peers in the role
// of entries.
func startAgents(n int) (*stubPeers, func(), error) {
	peers := newStubPeers(entryHeartbeat())
	listeners := make([]net.Listener, 0, n)
	var agents []*agentd.Agent
	stop := func() {
		for _, a := range agents {
			a.Kill()
		}
		for _, l := range listeners {
			l.Close()
		}
		peers.close()
	}
	var addrs []string
	for i := range n {
		l, err := net.Listen("tcp", loopbackAddr)
		if err != nil {
			stop()
			return nil, nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
		go acceptAgents(peers, l, wire.Incarnation(i+1))
	}
	for i := range idleAgents {
		agents = append(agents, agentd.Start(agentd.Options{
			Name: fmt.Sprintf("worker-%05d", i), Zone: "zone-0", Rack: "rack-0", Slots: benchSlots,
			UpstreamURL: "http://127.0.0.1:9/", Entries: addrs,
			Incarnation: wire.Incarnation(i + 1), Log: eventlog.New(zap.NewNop(), "worker", uint64(i+1)),
		}))
	}
	if err := await(func() bool { return peers.len() == n*idleAgents }); err != nil {
		stop()
		return nil, nil, err
	}
	return peers, stop, nil
}

// acceptAgents accepts links of agents as the given entry until the listener is
// closed.
func acceptAgents(peers *stubPeers, l net.Listener, entry wire.Incarnation) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if err := answerHello(c, entry); err != nil {
			c.Close()
			continue
		}
		peers.add(c)
	}
}

// answerHello reads the agent's hello and answers it as the given entry.
func answerHello(c net.Conn, entry wire.Incarnation) error {
	preface := make([]byte, len(link.Preface))
	if _, err := io.ReadFull(c, preface); err != nil {
		return err
	}
	var hello wire.AgentHello
	if err := readFrame(c, &hello); err != nil {
		return err
	}
	_, err := c.Write(encodeFrame(&wire.EntryHello{
		Protocol: wire.ProtocolVersion, Entry: entry, Epoch: hello.Epoch,
		Name: fmt.Sprintf("entry-%02d", entry), Zone: "zone-0",
	}))
	return err
}
