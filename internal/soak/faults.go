package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	// Faults start between minInterval and maxInterval apart and last up to about
	// maxDuration, so that they overlap.
	minInterval = 200 * time.Millisecond
	maxInterval = 900 * time.Millisecond
	maxDuration = 4 * time.Second
	// maxLargeInterval replaces maxInterval with Options.Large.
	maxLargeInterval = 500 * time.Millisecond
	// groupInterval is the number of single faults for each group fault.
	groupInterval = 4
	// Faults of the links between entries and agents last minLinkFault or up to
	// maxLinkFault longer.
	minLinkFault = 300 * time.Millisecond
	maxLinkFault = 1700 * time.Millisecond
	// configCount versions of the configuration are published configInterval apart.
	configCount    = 8
	configInterval = 150 * time.Millisecond
	// maxDelay bounds the delay of the bytes in one direction through a proxy.
	maxDelay = 400 * time.Millisecond
)

// InjectFaults injects n faults, some of which overlap, and returns when all are
// over. Faults of the same VM's process do not overlap. With Options.Large, every
// groupInterval-th fault is accompanied by one of a group of processes.
func (s *System) InjectFaults(ctx context.Context, logf func(string, ...any), r *rand.Rand, n int) {
	start := time.Now()
	processMu := make([]sync.Mutex, s.VMs())
	var wg sync.WaitGroup
	maxInterval := maxInterval
	if s.opts.Large {
		maxInterval = maxLargeInterval
	}
	for i := range n {
		if s.opts.Large && i%groupInterval == 0 {
			name, inject := s.groupFault(r, processMu)
			logf("%v: injecting %s", time.Since(start).Round(time.Millisecond), name)
			wg.Go(func() { inject(ctx, logf) })
		}
		f := s.randomFault(r)
		logf("%v: injecting %s at VM %d for %v", time.Since(start).Round(time.Millisecond), f.name, f.vm, f.duration)
		wg.Go(func() {
			if f.ofProcess {
				processMu[f.vm].Lock()
				defer processMu[f.vm].Unlock()
			}
			if err := f.inject(ctx); err != nil {
				logf("injecting %s at VM %d failed: %v", f.name, f.vm, err)
			}
		})
		ctxsleep.For(ctx, minInterval+time.Duration(r.Int64N(int64(maxInterval-minInterval))))
	}
	wg.Wait()
}

// fault is one randomly chosen fault.
type fault struct {
	name      string
	vm        int
	duration  time.Duration
	ofProcess bool                            // whether it stops or suspends the VM's process
	inject    func(ctx context.Context) error // returns when the fault is over
}

// randomFault chooses a fault, its VM and its duration.
func (s *System) randomFault(r *rand.Rand) fault {
	vm := r.IntN(s.VMs())
	f := fault{vm: vm, duration: 100*time.Millisecond + time.Duration(r.Int64N(int64(maxDuration)))}
	kinds := 7
	if s.opts.AllFaults {
		kinds = 10
	}
	switch r.IntN(kinds) {
	case 0:
		f.name, f.ofProcess = "kill", true
		f.inject = func(ctx context.Context) error {
			s.Kill(vm)
			ctxsleep.For(ctx, f.duration/4)
			return s.StartVM(vm)
		}
	case 1:
		f.name, f.ofProcess = "stop", true
		f.inject = func(ctx context.Context) error {
			if err := s.Stop(ctx, vm); err != nil {
				return err
			}
			return s.StartVM(vm)
		}
	case 2:
		f.name, f.ofProcess = "freeze", true
		f.inject = func(ctx context.Context) error { return s.Freeze(ctx, vm, f.duration) }
	case 3:
		f.name = "proxy to the store"
		f.inject = s.whileDisturbed(vm, s.proxyFault(r, s.storeProxies[vm], f.duration))
	case 4:
		f.vm = s.opts.Entries + r.IntN(s.opts.Workers)
		f.name = "proxy to the worker"
		f.inject = s.proxyFault(r, s.workerProxies[f.vm], f.duration)
	case 5:
		f.vm = s.opts.Entries + r.IntN(s.opts.Workers)
		f.name = "worker"
		f.inject = s.workerFault(r, s.workers[f.vm-s.opts.Entries], f.duration)
	case 7:
		f.vm = r.IntN(s.opts.Entries)
		f.name, f.duration = "links", minLinkFault+time.Duration(r.Int64N(int64(maxLinkFault)))
		f.inject = s.whileDisturbed(-1, s.linkFault(r, s.linkProxies[f.vm], f.duration))
	case 8:
		w := s.workers[r.IntN(s.opts.Workers)]
		f.vm, f.name = s.opts.Entries+slices.Index(s.workers, w), "freeze of the worker"
		f.inject = func(ctx context.Context) error { w.Freeze(ctx, f.duration); return nil }
	case 9:
		f.name, f.duration = "configurations and SIGHUP", configCount*configInterval
		f.inject = s.changeConfig
	default:
		f.name = "store"
		kind := emulator.StoreFault(1 + r.IntN(3))
		f.inject = s.whileDisturbed(vm, func(ctx context.Context) error {
			s.SetStoreFault(vm, kind)
			ctxsleep.For(ctx, f.duration)
			s.SetStoreFault(vm, emulator.StoreHealthy)
			return nil
		})
	}
	return f
}

// proxyFault returns a fault that delays, resets, refuses or silences connections
// of the proxy.
func (s *System) proxyFault(r *rand.Rand, p *faultproxy.Proxy, duration time.Duration) func(context.Context) error {
	kind := r.IntN(4)
	dir := faultproxy.Direction(r.IntN(2))
	delay := time.Duration(r.Int64N(int64(maxDelay)))
	return func(ctx context.Context) error {
		switch kind {
		case 0:
			p.SetDelay(dir, delay)
		case 1:
			p.Cut()
		case 2:
			p.Refuse(true)
			p.Cut()
		case 3:
			p.Silence(dir)
		}
		ctxsleep.For(ctx, duration)
		p.SetDelay(dir, 0)
		p.Refuse(false)
		return nil
	}
}

// linkFault returns a fault of the open connections of a proxy in front of an entry: of all of
// them, or of each one with a probability of a half.
func (s *System) linkFault(r *rand.Rand, p *faultproxy.Proxy, duration time.Duration) func(context.Context) error {
	kind := r.IntN(5)
	dir := faultproxy.Direction(r.IntN(2))
	delay := time.Duration(r.Int64N(int64(maxDelay)))
	all, choice := r.IntN(2) == 0, rand.New(rand.NewPCG(r.Uint64(), 0))
	return func(ctx context.Context) error {
		var conns []*faultproxy.Conn
		for _, c := range p.OpenConns() {
			if all || choice.IntN(2) == 0 {
				conns = append(conns, c)
			}
		}
		if kind == 4 && all {
			p.Refuse(true)
		}
		for _, c := range conns {
			switch kind {
			case 0:
				c.SetDelay(dir, delay)
			case 1:
				c.Silence(dir)
			case 2: // the bytes arrive late
				c.Hold(dir)
			default:
				c.Cut()
			}
		}
		ctxsleep.For(ctx, duration)
		p.Refuse(false)
		for _, c := range conns {
			c.SetDelay(dir, 0)
			c.Release(dir)
		}
		return nil
	}
}

// changeConfig publishes versions of the configuration in series and sends SIGHUP to
// every process after each.
func (s *System) changeConfig(ctx context.Context) error {
	for i := range configCount {
		s.Publish(i)
		for vm := range s.VMs() {
			s.Reload(vm)
		}
		ctxsleep.For(ctx, configInterval)
	}
	return nil
}

// workerFault returns a fault of the worker's calls or runs, or a restart of the
// worker.
func (s *System) workerFault(r *rand.Rand, w worker, duration time.Duration) func(context.Context) error {
	kind := r.IntN(5)
	return func(ctx context.Context) error {
		switch kind {
		case 0:
			w.SetFaults(emulator.WorkerFaults{DelayedShare: 0.15, LostReplyShare: 0.15})
		case 1:
			w.SetFaults(emulator.WorkerFaults{FailureShare: 0.5})
		case 2:
			w.SetFaults(emulator.WorkerFaults{Hang: true})
		case 3:
			w.SetFaults(emulator.WorkerFaults{Unresponsive: true})
		case 4:
			w.Restart()
		}
		ctxsleep.For(ctx, duration)
		w.SetFaults(emulator.WorkerFaults{})
		return nil
	}
}

// Recover starts every process that is down and waits until every entry is ready. Call
// it after InjectFaults has returned. The error names the processes that had exited
// without a fault that ends them.
func (s *System) Recover(ctx context.Context) error {
	var exited error
	for vm := range s.VMs() {
		if p := s.process(vm); p != nil && !p.Running() {
			exited = errors.Join(exited, fmt.Errorf("soak: %s has exited by itself", p.Name))
			s.markDown(vm)
		}
		if s.process(vm) == nil && !s.isRemoved(vm) {
			if err := s.StartVM(vm); err != nil {
				return err
			}
		}
	}
	return errors.Join(exited, s.AwaitReady(ctx))
}
