// Package entryd is the shell of the entry: the callers' HTTP server, the
// agents' connections and the timer, round the machine in core/entry.
package entryd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/link"
)

const (
	tickInterval = 10 * time.Millisecond
	// ringEvents is the capacity of the event ring. A full ring blocks the
	// sender: a caller's request or an agent's socket.
	ringEvents        = 8192
	readHeaderTimeout = 5 * time.Second
)

// Options configure an entry process.
type Options struct {
	Name string
	Zone string
	// Listen is the callers' address, PeerListen the agents'.
	Listen     string
	PeerListen string
	Scheduler  policy.Scheduler
	Settings   policy.Settings
}

// Entry is a running entry.
type Entry struct {
	opts        Options
	incarnation wire.Incarnation
	start       time.Time
	events      chan any
	callers     net.Listener
	peers       net.Listener
	http        *http.Server
	cancel      context.CancelFunc
	ctx         context.Context
	drained     chan struct{}
	wg          sync.WaitGroup
}

// linkOpened hands a new connection to the core goroutine.
type linkOpened struct {
	hello  wire.AgentHello
	sender *link.Sender[*wire.ToAgent]
}

// submission is a Submit event with the place where its answer is awaited.
type submission struct {
	submit entry.Submit
	answer chan<- entry.JobAnswer
}

// Start listens and serves until Stop or Kill.
func Start(opts Options) (*Entry, error) {
	callers, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	peers, err := net.Listen("tcp", opts.PeerListen)
	if err != nil {
		callers.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts: opts, incarnation: wire.Incarnation(rand.Uint64() | 1), start: time.Now(),
		events: make(chan any, ringEvents), callers: callers, peers: peers,
		ctx: ctx, cancel: cancel, drained: make(chan struct{}),
	}
	e.http = &http.Server{Handler: e.handler(), ReadHeaderTimeout: readHeaderTimeout}
	e.goDuty(e.coreLoop)
	e.goDuty(e.tickLoop)
	e.goDuty(e.acceptLoop)
	e.goDuty(func() { e.http.Serve(callers) })
	return e, nil
}

// Addr returns the callers' address.
func (e *Entry) Addr() string { return e.callers.Addr().String() }

// PeerAddr returns the agents' address.
func (e *Entry) PeerAddr() string { return e.peers.Addr().String() }

// Stop refuses new jobs, answers those in progress and then ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.send(entry.Drain{})
	var err error
	select {
	case <-e.drained:
		err = e.http.Shutdown(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.Kill()
	return err
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	e.cancel()
	e.http.Close()
	e.peers.Close()
	e.wg.Wait()
}

func (e *Entry) goDuty(duty func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		duty()
	}()
}

func (e *Entry) now() time.Duration { return time.Since(e.start) }

func (e *Entry) send(ev any) {
	select {
	case e.events <- ev:
	case <-e.ctx.Done():
	}
}

// core is what the core goroutine owns.
type core struct {
	machine *entry.Machine
	links   map[wire.Incarnation]linkOpened
	answers map[wire.SubmissionID]chan<- entry.JobAnswer
}

func (e *Entry) coreLoop() {
	c := &core{
		machine: entry.New(entry.Options{Incarnation: e.incarnation, Scheduler: e.opts.Scheduler}),
		links:   make(map[wire.Incarnation]linkOpened),
		answers: make(map[wire.SubmissionID]chan<- entry.JobAnswer),
	}
	defer func() {
		for _, l := range c.links {
			l.sender.Close()
		}
	}()
	e.apply(c, c.machine.Step(e.now(), entry.Configured{Settings: e.opts.Settings}))
	for {
		select {
		case <-e.ctx.Done():
			return
		case ev := <-e.events:
			if event := c.adopt(ev); event != nil {
				e.apply(c, c.machine.Step(e.now(), event))
			}
		}
	}
}

// adopt keeps the tables of links and waiting callers in step with the events.
func (c *core) adopt(ev any) entry.Event {
	switch x := ev.(type) {
	case linkOpened:
		if old, ok := c.links[x.hello.Agent]; ok {
			if old.hello.Epoch >= x.hello.Epoch {
				x.sender.Close()
				return nil
			}
			old.sender.Close()
		}
		c.links[x.hello.Agent] = x
		return entry.LinkUp{Hello: x.hello}
	case entry.LinkDown:
		if l, ok := c.links[x.Agent]; ok && l.hello.Epoch == x.Epoch {
			l.sender.Close()
			delete(c.links, x.Agent)
		}
		return x
	case submission:
		c.answers[x.submit.Submission] = x.answer
		return x.submit
	case statsRequest:
		x.reply <- Stats{Messages: c.machine.Stats(), Jobs: c.machine.Jobs(), Links: len(c.links)}
		return nil
	case entry.Event:
		return x
	}
	return nil
}

func (e *Entry) apply(c *core, actions []entry.Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case entry.Send:
			if l, ok := c.links[x.Agent]; ok && l.hello.Epoch == x.Epoch {
				l.sender.Send(x.Frame)
			}
		case entry.Answer:
			if waiting, ok := c.answers[x.Submission]; ok {
				waiting <- x.Answer // capacity 1, one answer for each submission
				delete(c.answers, x.Submission)
			}
		case entry.Drained:
			close(e.drained)
		}
	}
}

func (e *Entry) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
			select {
			case e.events <- entry.Tick{}:
			default: // a later tick does its work
			}
		}
	}
}
