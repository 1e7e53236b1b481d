package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	// Faults begin this far apart and last up to maxFault, so that they overlap.
	minGap   = 200 * time.Millisecond
	maxGap   = 900 * time.Millisecond
	maxFault = 4 * time.Second
	maxDelay = 400 * time.Millisecond
)

// Disturb injects n faults, some of which overlap, and returns when all are over.
// A VM has one fault of its process at a time.
func (s *System) Disturb(ctx context.Context, logf func(string, ...any), r *rand.Rand, n int) {
	begun := time.Now()
	busy := make([]sync.Mutex, s.VMs())
	var wg sync.WaitGroup
	for range n {
		f := s.draw(r)
		logf("%v %s at VM %d for %v", time.Since(begun).Round(time.Millisecond), f.name, f.vm, f.span)
		wg.Go(func() {
			if f.process {
				busy[f.vm].Lock()
				defer busy[f.vm].Unlock()
			}
			if err := f.do(ctx); err != nil {
				logf("%s at VM %d: %v", f.name, f.vm, err)
			}
		})
		ctxsleep.For(ctx, minGap+time.Duration(r.Int64N(int64(maxGap-minGap))))
	}
	wg.Wait()
}

// fault is one fault, with what it does until it is over.
type fault struct {
	name    string
	vm      int
	span    time.Duration
	process bool // of the VM's process
	do      func(ctx context.Context) error
}

func (s *System) draw(r *rand.Rand) fault {
	vm := r.IntN(s.VMs())
	f := fault{vm: vm, span: 100*time.Millisecond + time.Duration(r.Int64N(int64(maxFault)))}
	switch r.IntN(7) {
	case 0:
		f.name, f.process = "kill", true
		f.do = func(ctx context.Context) error {
			s.Kill(vm)
			ctxsleep.For(ctx, f.span/4)
			return s.StartVM(vm)
		}
	case 1:
		f.name, f.process = "stop", true
		f.do = func(ctx context.Context) error {
			if err := s.Stop(ctx, vm); err != nil {
				return err
			}
			return s.StartVM(vm)
		}
	case 2:
		f.name, f.process = "freeze", true
		f.do = func(ctx context.Context) error { return s.Freeze(ctx, vm, f.span) }
	case 3:
		f.name = "proxy to the store"
		f.do = s.proxyFault(r, s.toStore[vm], f.span)
	case 4:
		f.vm = s.opts.Entries + r.IntN(s.opts.Workers)
		f.name = "proxy to the worker"
		f.do = s.proxyFault(r, s.toWorker[f.vm], f.span)
	case 5:
		f.vm = s.opts.Entries + r.IntN(s.opts.Workers)
		f.name = "worker"
		f.do = s.workerFault(r, s.Workers[f.vm-s.opts.Entries], f.span)
	default:
		f.name = "store"
		kind := emulator.StoreFault(1 + r.IntN(3))
		f.do = func(ctx context.Context) error {
			s.StoreFault(vm, kind)
			ctxsleep.For(ctx, f.span)
			s.StoreFault(vm, emulator.StoreServes)
			return nil
		}
	}
	return f
}

// proxyFault delays, resets, refuses or silences connections for a time.
func (s *System) proxyFault(r *rand.Rand, p *faultproxy.Proxy, span time.Duration) func(context.Context) error {
	kind := r.IntN(4)
	d := faultproxy.Direction(r.IntN(2))
	delay := time.Duration(r.Int64N(int64(maxDelay)))
	return func(ctx context.Context) error {
		switch kind {
		case 0:
			p.SetDelay(d, delay)
		case 1:
			p.Cut()
		case 2:
			p.Refuse(true)
			p.Cut()
		case 3:
			p.Silence(d)
		}
		ctxsleep.For(ctx, span)
		p.SetDelay(d, 0)
		p.Refuse(false)
		return nil
	}
}

// workerFault has a worker do wrong for a time.
func (s *System) workerFault(r *rand.Rand, w *emulator.Worker, span time.Duration) func(context.Context) error {
	kind := r.IntN(5)
	return func(ctx context.Context) error {
		switch kind {
		case 0:
			w.Set(emulator.WorkerFaults{Late: 0.15, Lost: 0.15})
		case 1:
			w.Set(emulator.WorkerFaults{Fail: 0.5})
		case 2:
			w.Set(emulator.WorkerFaults{Hang: true})
		case 3:
			w.Set(emulator.WorkerFaults{Dark: true})
		case 4:
			w.Reborn()
		}
		ctxsleep.For(ctx, span)
		w.Set(emulator.WorkerFaults{})
		return nil
	}
}

// Calm has every process run again and waits until the system serves.
func (s *System) Calm(ctx context.Context) error {
	for vm := range s.VMs() {
		if s.procs[vm] == nil {
			if err := s.StartVM(vm); err != nil {
				return err
			}
		}
	}
	return s.AwaitReady(ctx)
}
