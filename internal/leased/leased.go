// Package leased runs an agent's tasks at a worker under a lease. It provides
// the I/O, the clock and the goroutines for the state machine in core/lease.
package leased

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/lease"
	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/bootclock"
)

const (
	// tickInterval is the interval between ticks while a run is open or to be
	// acknowledged, and idleTickInterval that of an idle machine.
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// eventBuffer is the capacity of the event channel. A full channel blocks the
	// agent's core, which puts backpressure on its entries.
	eventBuffer = 1024
	// callTimeout bounds a call to the worker, which is on the same machine. A
	// poll may take its MaxWait in addition. A call that times out too early does
	// no harm: it is only retried.
	callTimeout = 25 * time.Millisecond
	// probeTimeout bounds the poll that checks whether the worker is reachable.
	probeTimeout = 300 * time.Millisecond
)

// Worker is a client of the worker's protocol. No lower layer may retry its calls.
// Its methods are called concurrently.
type Worker interface {
	// Start requests a run and returns the answer as an event of the machine.
	Start(ctx context.Context, call lease.CallStart) lease.Started
	// Stop requests the end of a run.
	Stop(ctx context.Context, call lease.CallStop) lease.Stopped
	// Poll returns the worker's status with its lists of running and ended runs. The
	// error matches syscall.ECONNREFUSED if nothing listens at the worker's address. An
	// error beside a status reports parts of the reply that cannot be read.
	Poll(ctx context.Context, call lease.CallPoll) (*lease.WorkerStatus, error)
	// Close closes the connections.
	Close()
}

// Options configures an Upstream.
type Options struct {
	Worker Worker
	Lease  lease.Options
	// WorkerEvents delivers WorkerReplaced and WorkerFenced. It may be nil.
	WorkerEvents <-chan lease.Event
	// OnWorkerRestart is called with the worker's new incarnation when a restart of the
	// worker is detected. It may be nil.
	OnWorkerRestart func(incarnation int64)
	// OnPollError is called with the error of a failed poll, for logging. It may be
	// nil.
	OnPollError func(error)
	// OnAdmission is called when the worker can take no further run, and when it can
	// again, for logging. It may be nil.
	OnAdmission func(lease.Admission)
	// OnStartExpired is called when a start is refused because its permission had expired, or
	// because it was to be sent too late, for logging. Its Attempt is not set in the second
	// case. It may be nil.
	OnStartExpired func(lease.StartExpired)
	// OnUnrecordedRun is called when a run without a record is found at the worker, for
	// logging. It may be nil.
	OnUnrecordedRun func(lease.UnrecordedRun)
}

// Upstream runs the tasks of an agent at one worker. It implements
// agentd.Upstream.
type Upstream struct {
	opts   Options
	report func(agent.Event)
	events chan any        // lease.Event or probeRequest
	clock  bootclock.Clock // of the agent: permissions of runs are measured with it
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a function for agentd.Options.NewUpstream. The function starts the
// goroutine of the Upstream that it returns; Close ends it.
func New(opts Options) func(clock bootclock.Clock, report func(agent.Event)) agentd.Upstream {
	return func(clock bootclock.Clock, report func(agent.Event)) agentd.Upstream {
		ctx, cancel := context.WithCancel(context.Background())
		u := &Upstream{
			opts: opts, report: report, events: make(chan any, eventBuffer),
			clock: clock, ctx: ctx, cancel: cancel,
		}
		u.wg.Go(u.loop)
		return u
	}
}

// probeRequest asks for a poll whose success is reported as agent.Probed.
type probeRequest struct{}

// Run implements agentd.Upstream.
func (u *Upstream) Run(x *agent.Run) { u.send(lease.StartOf(x)) }

// Permit implements agentd.Upstream.
func (u *Upstream) Permit(x agent.Permissions) { u.send(lease.Permissions{List: x.List}) }

// Acknowledge implements agentd.Upstream.
func (u *Upstream) Acknowledge(x agent.AcknowledgeRun) {
	u.send(lease.AcknowledgeRun{Run: x.Run})
}

// Supersede implements agentd.Upstream.
func (u *Upstream) Supersede(x agent.SupersedeRun) {
	u.send(lease.SupersedeRun{Run: x.Run})
}

// Stop implements agentd.Upstream.
func (u *Upstream) Stop(x agent.Stop) { u.send(lease.StopOf(x)) }

// Probe implements agentd.Upstream.
func (u *Upstream) Probe() { u.send(probeRequest{}) }

// Close implements agentd.Upstream.
func (u *Upstream) Close() {
	u.cancel()
	u.wg.Wait()
	u.opts.Worker.Close()
}

// send queues an event for loop. It blocks while the channel is full.
func (u *Upstream) send(ev any) {
	select {
	case u.events <- ev:
	case <-u.ctx.Done():
	}
}

// loop delivers events to the machine, which only this goroutine uses.
func (u *Upstream) loop() {
	m := lease.New(u.opts.Lease)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	idle := false
	for {
		select {
		case <-u.ctx.Done():
			return
		case ev := <-u.opts.WorkerEvents:
			u.step(m, ev)
		case <-tick.C:
			u.step(m, lease.Tick{})
		case ev := <-u.events:
			switch e := ev.(type) {
			case lease.Event:
				u.step(m, e)
			case probeRequest:
				u.wg.Go(u.probe)
			}
		}
		if m.Idle() != idle {
			idle = !idle
			tick.Reset(loopInterval(idle))
		}
	}
}

// loopInterval returns the interval between two ticks of the machine.
func loopInterval(idle bool) time.Duration {
	if idle {
		return idleTickInterval
	}
	return tickInterval
}

func (u *Upstream) step(m *lease.Machine, ev lease.Event) {
	for _, action := range m.Step(u.clock.Now(), ev) {
		u.apply(action)
	}
}

func (u *Upstream) apply(action lease.Action) {
	switch x := action.(type) {
	case lease.CallStart:
		u.call(callTimeout, func(ctx context.Context) lease.Event { return u.start(ctx, x) })
	case lease.CallStop:
		u.call(callTimeout, func(ctx context.Context) lease.Event { return u.opts.Worker.Stop(ctx, x) })
	case lease.CallPoll:
		u.call(callTimeout+x.MaxWait, func(ctx context.Context) lease.Event { return u.poll(ctx, x) })
	case lease.Finished:
		u.report(agent.Finished{Attempt: x.Attempt, Outcome: x.Outcome, Reason: x.Reason, RunTime: x.RunTime, Checkpoint: x.Checkpoint})
	case lease.StartSettled:
		u.report(agent.StartSettled{Attempt: x.Attempt})
	case lease.Admission:
		u.report(agent.AdmissionChanged{Closed: x.Closed})
		if u.opts.OnAdmission != nil {
			u.opts.OnAdmission(x)
		}
	case lease.StartExpired:
		if u.opts.OnStartExpired != nil {
			u.opts.OnStartExpired(x)
		}
	case lease.UnrecordedRun:
		if u.opts.OnUnrecordedRun != nil {
			u.opts.OnUnrecordedRun(x)
		}
	case lease.WorkerRestarted:
		if u.opts.OnWorkerRestart != nil {
			u.opts.OnWorkerRestart(x.Incarnation)
		}
	}
}

// call executes f in a new goroutine with the timeout and delivers its event.
func (u *Upstream) call(timeout time.Duration, f func(context.Context) lease.Event) {
	u.wg.Go(func() {
		ctx, cancel := context.WithTimeout(u.ctx, timeout)
		defer cancel()
		u.send(f(ctx))
	})
}

// start sends a start, unless it is late: see lease.CallStart.SendUntil.
func (u *Upstream) start(ctx context.Context, x lease.CallStart) lease.Started {
	if late := u.clock.Now() - x.SendUntil; late > 0 {
		if u.opts.OnStartExpired != nil {
			u.opts.OnStartExpired(lease.StartExpired{Run: x.Run, Age: late})
		}
		return lease.Started{Run: x.Run, Result: lease.StartRefused, Reason: wire.ReasonExpired}
	}
	return u.opts.Worker.Start(ctx, x)
}

func (u *Upstream) poll(ctx context.Context, x lease.CallPoll) lease.Event {
	now := u.clock.Now()
	if now > x.RenewUntil {
		x.Deadline = 0
	}
	withheld := now > x.AckUntil
	if withheld {
		x.AckUpTo = 0
	}
	status, err := u.opts.Worker.Poll(ctx, x)
	if err != nil && u.opts.OnPollError != nil {
		u.opts.OnPollError(err)
	}
	return lease.Polled{Status: status, ProcessGone: errors.Is(err, syscall.ECONNREFUSED), AckWithheld: withheld}
}

// probe polls the worker without an acknowledgement or a renewal and reports
// whether it answered.
func (u *Upstream) probe() {
	ctx, cancel := context.WithTimeout(u.ctx, probeTimeout)
	defer cancel()
	status, _ := u.opts.Worker.Poll(ctx, lease.CallPoll{})
	u.report(agent.Probed{Reachable: status != nil})
}
