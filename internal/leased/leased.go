// Package leased runs an agent's tasks at a worker under a lease: it is the
// shell round the machine in core/lease.
package leased

import (
	"context"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/bootclock"
)

const (
	tickInterval = 50 * time.Millisecond
	// ringEvents is the capacity of the event ring. A full ring blocks the
	// agent's core, which holds back its entries.
	ringEvents = 1024
	// callTimeout bounds a call to the worker, which is on the same machine. A
	// look may take its wait in addition. A call that is given up too early is
	// only sent again.
	callTimeout = 25 * time.Millisecond
	// probeTimeout bounds the look that tells whether the worker is there.
	probeTimeout = 300 * time.Millisecond
)

// Worker is the protocol that a worker speaks. The calls are not repeated by
// any lower layer.
type Worker interface {
	// Start asks for a run and returns the answer as the machine's event.
	Start(ctx context.Context, call lease.CallStart) lease.Started
	// Stop asks for the end of a run.
	Stop(ctx context.Context, call lease.CallStop) lease.Stopped
	// Look reads the worker's lists.
	Look(ctx context.Context, call lease.CallLook) (*lease.View, error)
	// Close gives up the connections.
	Close()
}

// Options configure an Upstream.
type Options struct {
	Worker Worker
	Lease  lease.Options
	// Gone is called when the worker was found to have started anew.
	Gone func()
	// LookFailed is called with the error of a look, for the log. It may be nil.
	LookFailed func(error)
}

// Upstream drives the runs of one worker.
type Upstream struct {
	opts   Options
	report func(agent.Event)
	events chan any
	clock  bootclock.Clock
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a constructor for agentd.Options.NewUpstream.
func New(opts Options) func(report func(agent.Event)) agentd.Upstream {
	return func(report func(agent.Event)) agentd.Upstream {
		ctx, cancel := context.WithCancel(context.Background())
		u := &Upstream{
			opts: opts, report: report, events: make(chan any, ringEvents),
			clock: bootclock.New(), ctx: ctx, cancel: cancel,
		}
		u.wg.Go(u.loop)
		return u
	}
}

// probed asks for a look whose success is reported as agent.Probed.
type probed struct{}

// Run implements agentd.Upstream.
func (u *Upstream) Run(x *agent.Run) {
	u.send(lease.Start{
		Attempt: x.Attempt,
		Run:     x.Start.Ref(),
		Spec:    x.Start.Payload, Checkpoint: x.Start.Checkpoint, Stored: x.Start.Stored,
	})
}

// Settle implements agentd.Upstream.
func (u *Upstream) Settle(x agent.Settle) {
	u.send(lease.Settle{Run: x.Run})
}

// Stop implements agentd.Upstream.
func (u *Upstream) Stop(x agent.Stop) {
	u.send(lease.Stop{Attempt: x.Attempt, Orphan: x.Orphan})
}

// Probe implements agentd.Upstream.
func (u *Upstream) Probe() { u.send(probed{}) }

// Close implements agentd.Upstream.
func (u *Upstream) Close() {
	u.cancel()
	u.wg.Wait()
	u.opts.Worker.Close()
}

func (u *Upstream) send(ev any) {
	select {
	case u.events <- ev:
	case <-u.ctx.Done():
	}
}

// loop owns the machine.
func (u *Upstream) loop() {
	m := lease.New(u.opts.Lease)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-tick.C:
			u.step(m, lease.Tick{})
		case ev := <-u.events:
			switch e := ev.(type) {
			case lease.Event:
				u.step(m, e)
			case probed:
				u.wg.Go(u.probe)
			}
		}
	}
}

func (u *Upstream) step(m *lease.Machine, ev lease.Event) {
	for _, action := range m.Step(u.clock.Now(), ev) {
		u.apply(action)
	}
}

func (u *Upstream) apply(action lease.Action) {
	switch x := action.(type) {
	case lease.CallStart:
		u.call(callTimeout, func(ctx context.Context) lease.Event { return u.opts.Worker.Start(ctx, x) })
	case lease.CallStop:
		u.call(callTimeout, func(ctx context.Context) lease.Event { return u.opts.Worker.Stop(ctx, x) })
	case lease.CallLook:
		u.call(callTimeout+x.Wait, func(ctx context.Context) lease.Event { return u.look(ctx, x) })
	case lease.Finished:
		u.report(agent.Finished{Attempt: x.Attempt, Outcome: x.Outcome, Reason: x.Reason, Run: x.Run, Checkpoint: x.Checkpoint})
	case lease.WorkerGone:
		if u.opts.Gone != nil {
			u.opts.Gone()
		}
	}
}

// call runs one call in a goroutine of its own and delivers its event.
func (u *Upstream) call(timeout time.Duration, f func(context.Context) lease.Event) {
	u.wg.Go(func() {
		ctx, cancel := context.WithTimeout(u.ctx, timeout)
		defer cancel()
		u.send(f(ctx))
	})
}

func (u *Upstream) look(ctx context.Context, x lease.CallLook) lease.Event {
	view, err := u.opts.Worker.Look(ctx, x)
	if err != nil && u.opts.LookFailed != nil {
		u.opts.LookFailed(err)
	}
	return lease.Looked{View: view}
}

func (u *Upstream) probe() {
	ctx, cancel := context.WithTimeout(u.ctx, probeTimeout)
	defer cancel()
	_, err := u.opts.Worker.Look(ctx, lease.CallLook{})
	u.report(agent.Probed{Reachable: err == nil})
}
