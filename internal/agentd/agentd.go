// Package agentd is the shell of the agent: connections to entries, requests
// to the upstream, and the timer, round the machine in core/agent.
package agentd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	tickInterval = 50 * time.Millisecond
	// ringEvents is the capacity of the event ring. A full ring blocks the
	// sender, which holds back the entry through its socket.
	ringEvents = 4096
)

// Options configure an agent process.
type Options struct {
	Name     string
	Zone     string
	Rack     string
	Slots    int
	Capacity wire.Capacity
	// Upstream is the URL that tasks are posted to.
	Upstream string
	// Entries are the peer addresses to start from.
	Entries []string
}

// Agent is a running agent.
type Agent struct {
	opts        Options
	incarnation wire.Incarnation
	start       time.Time
	events      chan any
	runner      *runner
	cancel      context.CancelFunc
	drained     chan struct{}
	wg          sync.WaitGroup
}

// linkOpened hands a new connection to the core goroutine.
type linkOpened struct {
	entry  wire.Incarnation
	epoch  wire.Epoch
	sender *link.Sender[*wire.ToEntry]
}

// Start runs an agent until Stop or Kill.
func Start(opts Options) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		opts:        opts,
		incarnation: wire.Incarnation(rand.Uint64() | 1),
		start:       time.Now(),
		events:      make(chan any, ringEvents),
		cancel:      cancel,
		drained:     make(chan struct{}),
	}
	a.runner = newRunner(ctx, opts.Upstream, opts.Slots, a.post)
	a.goDuty(func() { a.coreLoop(ctx) })
	a.goDuty(func() { a.tickLoop(ctx) })
	for _, addr := range opts.Entries {
		a.goDuty(func() { a.dialLoop(ctx, addr) })
	}
	return a
}

func (a *Agent) goDuty(duty func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		duty()
	}()
}

// Stop drains the agent: running tasks end, results are delivered. It returns
// when that is done or ctx ends, whichever is first.
func (a *Agent) Stop(ctx context.Context) error {
	a.post(agent.Drain{})
	var err error
	select {
	case <-a.drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.Kill()
	return err
}

// Kill ends the agent at once, as a crash would.
func (a *Agent) Kill() {
	a.cancel()
	a.wg.Wait()
}

func (a *Agent) post(ev any) { a.events <- ev }

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// coreLoop owns the machine and the open links.
func (a *Agent) coreLoop(ctx context.Context) {
	m := agent.New(agent.Options{Incarnation: a.incarnation, Slots: a.opts.Slots})
	links := make(map[wire.Incarnation]linkOpened)
	defer func() {
		for _, l := range links {
			l.sender.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-a.events:
			core := a.adopt(links, ev)
			if core == nil {
				continue
			}
			a.apply(links, m.Step(a.now(), core))
		}
	}
}

// adopt keeps the table of open links in step with the events.
func (a *Agent) adopt(links map[wire.Incarnation]linkOpened, ev any) agent.Event {
	switch e := ev.(type) {
	case linkOpened:
		if old, ok := links[e.entry]; ok {
			old.sender.Close()
		}
		links[e.entry] = e
		return agent.LinkUp{Entry: e.entry, Epoch: e.epoch}
	case agent.LinkDown:
		if l, ok := links[e.Entry]; ok && l.epoch == e.Epoch {
			l.sender.Close()
			delete(links, e.Entry)
		}
		return e
	case agent.Event:
		return e
	}
	return nil
}

func (a *Agent) apply(links map[wire.Incarnation]linkOpened, actions []agent.Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case agent.Send:
			if l, ok := links[x.Entry]; ok && l.epoch == x.Epoch {
				l.sender.Send(x.Frame)
			}
		case agent.Run:
			a.runner.run(x)
		case agent.Stop:
			a.runner.stop(x.Attempt)
		case agent.Drained:
			close(a.drained)
		}
	}
}

func (a *Agent) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.tryPost(agent.Tick{})
		}
	}
}

// tryPost drops the event if the ring is full: a later tick does its work.
func (a *Agent) tryPost(ev any) {
	select {
	case a.events <- ev:
	default:
	}
}
