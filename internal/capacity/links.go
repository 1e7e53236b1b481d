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

// restCost is what n links at rest cost, the far ends included.
type restCost struct {
	memory, stack float64 // bytes of heap and of stacks
	cpu           float64 // microseconds a second
	in, out       float64 // bytes a second at the far ends
}

// rest measures a system that start brings up and stop takes down.
func rest(ctx context.Context, o Options, start func() (far *ends, stop func(), err error)) (restCost, error) {
	before := settled()
	far, stop, err := start()
	if err != nil {
		return restCost{}, err
	}
	defer stop()
	pause(ctx, heartbeatInterval)
	began, in, out := settled(), far.in.Load(), far.out.Load()
	pause(ctx, o.Window)
	d := since(began, sample())
	in, out = far.in.Load()-in, far.out.Load()-out
	memory := since(before, settled())
	return restCost{
		memory: memory.heap, stack: memory.stack, cpu: d.cpu / d.seconds,
		in: float64(in) / d.seconds, out: float64(out) / d.seconds,
	}, ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// restOfEnds measures n far ends alone, as half of n links between such ends.
func restOfEnds(ctx context.Context, o Options, n int, beat []byte) (restCost, error) {
	c, err := rest(ctx, o, func() (*ends, func(), error) {
		e, err := linkedEnds(n, beat)
		if err != nil {
			return nil, nil, err
		}
		return e, e.close, nil
	})
	c.memory /= 2
	c.stack /= 2
	c.cpu /= 2
	return c, err
}

// readings returns the cost without that of the far ends, divided by parts.
func (c restCost) readings(far restCost, parts float64, from, to string) []reading {
	return []reading{
		{"heap B", (c.memory - far.memory) / parts},
		{"stack B", (c.stack - far.stack) / parts},
		{"cpu us/s", (c.cpu - far.cpu) / parts},
		{to + " B/s", c.out / parts},
		{from + " B/s", c.in / parts},
	}
}

var entryLinks = experiment{
	name: "entry-links", size: "links", sizes: []int{100, 300, 1000},
	title: "one entry with idle agent links, without the far ends' share",
	measure: func(ctx context.Context, o Options, n int) ([]reading, error) {
		far, err := restOfEnds(ctx, o, n, agentBeat())
		if err != nil {
			return nil, err
		}
		all, err := rest(ctx, o, func() (*ends, func(), error) { return startEntry(n) })
		return all.readings(far, 1, "sent", "received"), err
	},
}

// startEntry starts an entry with n agents that only hold the link.
func startEntry(n int) (*ends, func(), error) {
	e, err := entryd.Start(entryd.Options{
		Name: "entry", Zone: "zone-0", Listen: loopback, PeerListen: loopback,
		Scheduler:   policy.New(policy.Options{Seed: 1, Zone: "zone-0"}),
		Incarnation: 1, Log: eventlog.New(zap.NewNop(), "entry", 1),
		Settings: policy.Settings{Classes: []policy.Class{{Name: className, ResponseTarget: time.Second, TargetShare: 0.99}}},
	})
	if err != nil {
		return nil, nil, err
	}
	far := newEnds(agentBeat())
	stop := func() { e.Kill(); far.close() }
	for i := range n {
		if err := dialEntry(far, e.PeerAddr(), i); err != nil {
			stop()
			return nil, nil, err
		}
	}
	err = await(func() bool { s, ok := e.Stats(); return ok && s.Links == n })
	if err != nil {
		stop()
		return nil, nil, err
	}
	return far, stop, nil
}

func dialEntry(far *ends, addr string, i int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	hello := frame(&wire.AgentHello{
		Protocol: wire.ProtocolVersion, Agent: wire.Incarnation(i + 1), Epoch: 1,
		Name: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprintf("zone-%d", i%3),
		Rack: fmt.Sprintf("rack-%d", i/3), Slots: benchSlots,
	})
	if _, err := c.Write(append([]byte(link.Preface), hello...)); err != nil {
		c.Close()
		return err
	}
	far.add(c)
	return nil
}

// restAgents is how many agents are observed at once, since one alone uses too
// little processor time to be measured.
const restAgents = 10

var agentLinks = experiment{
	name: "agent-links", size: "links", sizes: []int{1, 6, 64},
	title: fmt.Sprintf("one agent with idle entry links, mean of %d, without the far ends' share", restAgents),
	measure: func(ctx context.Context, o Options, n int) ([]reading, error) {
		far, err := restOfEnds(ctx, o, n*restAgents, entryBeat())
		if err != nil {
			return nil, err
		}
		all, err := rest(ctx, o, func() (*ends, func(), error) { return startAgents(n) })
		return all.readings(far, restAgents, "sent", "received"), err
	},
}

// startAgents starts agents with n entries that only hold the link.
func startAgents(n int) (*ends, func(), error) {
	far := newEnds(entryBeat())
	listeners := make([]net.Listener, 0, n)
	var agents []*agentd.Agent
	stop := func() {
		for _, a := range agents {
			a.Kill()
		}
		for _, l := range listeners {
			l.Close()
		}
		far.close()
	}
	var addrs []string
	for i := range n {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			stop()
			return nil, nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
		go acceptAgents(far, l, wire.Incarnation(i+1))
	}
	for i := range restAgents {
		agents = append(agents, agentd.Start(agentd.Options{
			Name: fmt.Sprintf("worker-%05d", i), Zone: "zone-0", Rack: "rack-0", Slots: benchSlots,
			UpstreamURL: "http://127.0.0.1:9/", Entries: addrs,
			Incarnation: wire.Incarnation(i + 1), Log: eventlog.New(zap.NewNop(), "worker", uint64(i+1)),
		}))
	}
	if err := await(func() bool { return far.len() == n*restAgents }); err != nil {
		stop()
		return nil, nil, err
	}
	return far, stop, nil
}

// acceptAgents answers hellos until the listener is closed.
func acceptAgents(far *ends, l net.Listener, entry wire.Incarnation) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if err := answerHello(c, entry); err != nil {
			c.Close()
			continue
		}
		far.add(c)
	}
}

func answerHello(c net.Conn, entry wire.Incarnation) error {
	preface := make([]byte, len(link.Preface))
	if _, err := io.ReadFull(c, preface); err != nil {
		return err
	}
	var hello wire.AgentHello
	if err := readFrame(c, &hello); err != nil {
		return err
	}
	_, err := c.Write(frame(&wire.EntryHello{
		Protocol: wire.ProtocolVersion, Entry: entry, Epoch: hello.Epoch,
		Name: fmt.Sprintf("entry-%02d", entry), Zone: "zone-0",
	}))
	return err
}
