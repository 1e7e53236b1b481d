package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/bootclock"
	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	// Faults of a site start up to maxSiteInterval apart.
	minSiteInterval = 100 * time.Millisecond
	maxSiteInterval = 600 * time.Millisecond
	// Entries leave the callers' rotation this long after they went down without notice.
	rotationDelay = 1500 * time.Millisecond
	// A slow process is stopped for up to maxSlowStop and then runs for up to maxSlowRun,
	// by turns.
	maxSlowStop = 240 * time.Millisecond
	maxSlowRun  = 60 * time.Millisecond
	// drainTime is how long a worker drains before its VM is removed.
	drainTime = 3 * time.Second
)

// siteFault is a fault that is drawn for a site. inject returns when it is over.
type siteFault struct {
	name   string
	inject func(ctx context.Context) error
}

// InjectSiteFaults injects faults one after the other, many of which overlap, until d has
// passed, and returns when all are over. It returns their times since the boot of the
// machine.
func (s *System) InjectSiteFaults(ctx context.Context, logf func(string, ...any), r *rand.Rand, d time.Duration) (times []time.Duration) {
	deadline := time.Now().Add(d)
	var wg sync.WaitGroup
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f := s.randomSiteFault(r)
		times = append(times, bootclock.SinceBoot())
		logf("%v: %s", times[len(times)-1].Round(time.Millisecond), f.name)
		wg.Go(func() {
			if err := f.inject(ctx); err != nil {
				logf("%v: %s: %v", bootclock.SinceBoot().Round(time.Millisecond), f.name, err)
			}
		})
		ctxsleep.For(ctx, between(r, minSiteInterval, maxSiteInterval))
	}
	wg.Wait()
	return times
}

// gapInterval is the interval at which WatchGaps looks at the clock.
const gapInterval = 5 * time.Millisecond

// WatchGaps looks at the clock until ctx is done. The function that it returns tells the
// longest time between two looks: as long, this process may have delayed what its proxies and
// its store pass on, which the faults do not show.
func WatchGaps(ctx context.Context) (longest func() time.Duration) {
	var mu sync.Mutex
	var gap time.Duration
	go func() {
		for previous := time.Now(); ctx.Err() == nil; {
			ctxsleep.For(ctx, gapInterval)
			now := time.Now()
			mu.Lock()
			gap = max(gap, now.Sub(previous))
			mu.Unlock()
			previous = now
		}
	}()
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return gap
	}
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// randomSiteFault draws a fault.
func (s *System) randomSiteFault(r *rand.Rand) siteFault {
	kinds := []func(*rand.Rand) siteFault{
		s.killOfVMs, s.killOfProcesses, s.freezeOfEntries, s.freezeOfVMs, s.freezeOfVMs, s.slowProcesses, s.slowProcesses, s.stopsInTurn,
		s.linksOfEntry, s.linksOfCallers, s.workerPaths, s.storeOfVMs, s.lateCalls, s.lateCalls, s.reorderedCalls, s.reorderedCalls, s.lostAnswers, s.crashOfWorkers,
		s.flappingWorkers, s.greyWorkers, s.replacedEntry, s.removedWorkers, s.burst, s.callersLeave, s.configSeries,
	}
	return kinds[r.IntN(len(kinds))](r)
}

// forEach runs a fault of several VMs for all of them at the same time. Faults that stop,
// suspend or end the process of a VM do not overlap there.
func (s *System) forEach(name string, vms []int, inject func(ctx context.Context, vm int) error) siteFault {
	return siteFault{name: fmt.Sprintf("%s, VMs %v", name, vms), inject: func(ctx context.Context) error {
		errs := make(chan error, len(vms))
		for _, vm := range vms {
			go func() {
				s.processMu[vm].Lock()
				defer s.processMu[vm].Unlock()
				errs <- inject(ctx, vm)
			}()
		}
		var first error
		for range vms {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return first
	}}
}

// entryVMs returns n random VMs of entries that are in use, possibly fewer.
func (s *System) entryVMs(r *rand.Rand, n int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for _, vm := range r.Perm(s.opts.Entries) {
		if len(out) < n && !s.removed[vm] {
			out = append(out, vm)
		}
	}
	return out
}

// someAgents returns between low and high of all VMs of agents, as shares.
func (s *System) someAgents(r *rand.Rand, low, high float64) []int {
	return s.randomAgents(r, low+(high-low)*r.Float64())
}

// worker returns the worker of an agent's VM.
func (s *System) worker(vm int) *workerProcess { return s.workers[vm-s.opts.Entries].(*workerProcess) }

func (s *System) killOfVMs(r *rand.Rand) siteFault {
	down := between(r, 500*time.Millisecond, 4*time.Second)
	return s.forEach(fmt.Sprintf("power loss for %v", down), s.someAgents(r, 0.03, 0.2), func(ctx context.Context, vm int) error {
		s.Kill(vm)
		s.worker(vm).kill()
		ctxsleep.For(ctx, down)
		if err := s.worker(vm).start(); err != nil {
			return err
		}
		return s.StartVM(vm)
	})
}

func (s *System) killOfProcesses(r *rand.Rand) siteFault {
	down := between(r, 200*time.Millisecond, 3500*time.Millisecond)
	vms := s.someAgents(r, 0.05, 0.4)
	if r.IntN(2) == 0 {
		vms = s.entryVMs(r, 1+r.IntN(4))
	}
	return s.forEach(fmt.Sprintf("kill for %v", down), vms, func(ctx context.Context, vm int) error {
		s.Kill(vm)
		s.leaveRotationLater(vm, down)
		ctxsleep.For(ctx, down)
		err := s.StartVM(vm)
		s.joinRotation(ctx, vm)
		return err
	})
}

// leaveRotationLater takes an entry that is down for d out of the callers' rotation if it
// is down for long enough.
func (s *System) leaveRotationLater(vm int, d time.Duration) {
	if d > rotationDelay {
		time.AfterFunc(rotationDelay, func() { s.setRotation(vm, false) })
	}
}

// setRotation tells callers whether an entry takes new requests.
func (s *System) setRotation(vm int, in bool) {
	if s.isEntry(vm) && !(in && s.isRemoved(vm)) {
		s.command(CallersControl{Entry: vm, Down: !in})
	}
}

// joinRotation makes callers use an entry again once it is ready.
func (s *System) joinRotation(ctx context.Context, vm int) {
	if !s.isEntry(vm) {
		return
	}
	go func() {
		for !ready(ctx, s.Settings(vm).ReadyAddr) {
			if ctx.Err() != nil {
				return
			}
			ctxsleep.For(ctx, pollInterval)
		}
		s.setRotation(vm, true)
	}()
}

func (s *System) freezeOfEntries(r *rand.Rand) siteFault {
	d := between(r, 300*time.Millisecond, 4*time.Second)
	return s.forEach(fmt.Sprintf("freeze for %v", d), s.entryVMs(r, 1+r.IntN(3)), func(ctx context.Context, vm int) error {
		return s.Freeze(ctx, vm, d)
	})
}

func (s *System) freezeOfVMs(r *rand.Rand) siteFault {
	d := between(r, 300*time.Millisecond, 3*time.Second)
	part := r.IntN(3)
	name := [...]string{"freeze of VMs", "freeze of agents", "freeze of workers"}[part]
	return s.forEach(fmt.Sprintf("%s for %v", name, d), s.someAgents(r, 0.05, 0.6), func(ctx context.Context, vm int) error {
		var wg sync.WaitGroup
		defer wg.Wait()
		if part != 1 {
			wg.Go(func() { s.worker(vm).Freeze(ctx, d) })
		}
		if part == 2 {
			return nil
		}
		return s.Freeze(ctx, vm, d)
	})
}

func (s *System) slowProcesses(r *rand.Rand) siteFault {
	d := between(r, time.Second, 6*time.Second)
	vms := append(s.someAgents(r, 0.05, 0.3), s.entryVMs(r, r.IntN(4))...)
	workers := r.IntN(2) == 0
	seed := r.Uint64()
	return s.forEach(fmt.Sprintf("slow processes for %v", d), vms, func(ctx context.Context, vm int) error {
		r := rand.New(rand.NewPCG(seed, uint64(vm)))
		deadline := time.Now().Add(d)
		for time.Now().Before(deadline) && ctx.Err() == nil {
			stop := 1 + time.Duration(r.Int64N(int64(maxSlowStop)))
			var wg sync.WaitGroup
			if workers && !s.isEntry(vm) {
				wg.Go(func() { s.worker(vm).Freeze(ctx, stop) })
			}
			err := s.Freeze(ctx, vm, stop)
			wg.Wait()
			if err != nil {
				return err
			}
			ctxsleep.For(ctx, 1+time.Duration(r.Int64N(int64(maxSlowRun))))
		}
		return nil
	})
}

func (s *System) stopsInTurn(r *rand.Rand) siteFault {
	vms := s.someAgents(r, 0.05, 0.25)
	if r.IntN(2) == 0 {
		vms = s.entryVMs(r, 1+r.IntN(5))
	}
	gap := between(r, 100*time.Millisecond, 1300*time.Millisecond)
	position := make(map[int]int)
	for i, vm := range vms {
		position[vm] = i
	}
	return s.forEach(fmt.Sprintf("stops in turn, %v apart", gap), vms, func(ctx context.Context, vm int) error {
		ctxsleep.For(ctx, time.Duration(position[vm])*gap)
		s.setRotation(vm, false)
		if err := s.Stop(ctx, vm); err != nil {
			return err
		}
		err := s.StartVM(vm)
		s.joinRotation(ctx, vm)
		return err
	})
}

func (s *System) linksOfEntry(r *rand.Rand) siteFault {
	vm := r.IntN(s.opts.Entries)
	d := between(r, minLinkFault, 3*time.Second)
	return siteFault{name: fmt.Sprintf("links of entry %d for %v", vm, d), inject: s.whileDisturbed(-1, s.linkFault(r, s.linkProxies[vm], d))}
}

func (s *System) linksOfCallers(r *rand.Rand) siteFault {
	vm := r.IntN(s.opts.Entries)
	d := between(r, minLinkFault, 3*time.Second)
	return siteFault{name: fmt.Sprintf("links of callers to entry %d for %v", vm, d), inject: s.linkFault(r, s.callerProxies[vm], d)}
}

func (s *System) workerPaths(r *rand.Rand) siteFault {
	d := between(r, minLinkFault, 4*time.Second)
	vms := s.someAgents(r, 0.03, 0.3)
	var faults []func(context.Context) error
	for _, vm := range vms {
		faults = append(faults, s.proxyFault(r, s.workerProxies[vm], d))
	}
	return concurrently(fmt.Sprintf("paths to workers for %v, VMs %v", d, vms), faults)
}

// concurrently injects faults at the same time.
func concurrently(name string, faults []func(context.Context) error) siteFault {
	return siteFault{name: name, inject: func(ctx context.Context) error {
		var wg sync.WaitGroup
		for _, f := range faults {
			wg.Go(func() { _ = f(ctx) }) // faults of proxies do not fail
		}
		wg.Wait()
		return nil
	}}
}

func (s *System) storeOfVMs(r *rand.Rand) siteFault {
	d := between(r, 500*time.Millisecond, 5*time.Second)
	vms := append(s.someAgents(r, 0, 0.5), s.entryVMs(r, r.IntN(s.opts.Entries+1))...)
	kind := r.IntN(4)
	var faults []func(context.Context) error
	for _, vm := range vms {
		if kind == 0 {
			faults = append(faults, s.whileDisturbed(vm, s.proxyFault(r, s.storeProxies[vm], d)))
			continue
		}
		faults = append(faults, s.whileDisturbed(vm, func(ctx context.Context) error {
			s.SetStoreFault(vm, emulator.StoreFault(kind))
			ctxsleep.For(ctx, d)
			s.SetStoreFault(vm, emulator.StoreHealthy)
			return nil
		}))
	}
	return concurrently(fmt.Sprintf("store, kind %d, for %v, VMs %v", kind, d, vms), faults)
}

// withWorkerFaults sets faults of the workers of VMs for d.
func (s *System) withWorkerFaults(name string, vms []int, d time.Duration, f emulator.WorkerFaults) siteFault {
	return siteFault{name: fmt.Sprintf("%s for %v, VMs %v", name, d, vms), inject: func(ctx context.Context) error {
		for _, vm := range vms {
			s.worker(vm).SetFaults(f)
		}
		ctxsleep.For(ctx, d)
		for _, vm := range vms {
			s.worker(vm).SetFaults(emulator.WorkerFaults{})
		}
		return nil
	}}
}

func (s *System) lateCalls(r *rand.Rand) siteFault {
	f := emulator.WorkerFaults{DelayedShare: 0.02 + 0.3*r.Float64()*r.Float64()}
	return s.withWorkerFaults("calls carried out late", s.someAgents(r, 1, 1.1), between(r, time.Second, 6*time.Second), f)
}

// reorderedCalls has all workers handle their calls late and out of order, as on a machine
// with more processes than processors.
func (s *System) reorderedCalls(r *rand.Rand) siteFault {
	f := emulator.WorkerFaults{CallJitter: between(r, 20*time.Millisecond, maxCallDelay)}
	return s.withWorkerFaults(fmt.Sprintf("calls out of order, up to %v late", f.CallJitter), s.someAgents(r, 1, 1.1), between(r, time.Second, 6*time.Second), f)
}

func (s *System) lostAnswers(r *rand.Rand) siteFault {
	f := emulator.WorkerFaults{LostReplyShare: 0.02 + 0.4*r.Float64()}
	return s.withWorkerFaults("answers of workers lost", s.someAgents(r, 0.2, 0.8), between(r, time.Second, 6*time.Second), f)
}

func (s *System) greyWorkers(r *rand.Rand) siteFault {
	f := [...]emulator.WorkerFaults{
		{FailureShare: 0.7}, {Hang: true}, {Unresponsive: true}, {SlowdownFactor: 2 + 4*r.Float64()},
		{CallDelay: time.Duration(r.Int64N(int64(maxCallDelay)))},
	}[r.IntN(5)]
	return s.withWorkerFaults(fmt.Sprintf("workers with %+v", f), s.someAgents(r, 0.05, 0.3), between(r, time.Second, 6*time.Second), f)
}

func (s *System) crashOfWorkers(r *rand.Rand) siteFault {
	down := between(r, 200*time.Millisecond, 4*time.Second)
	dark := r.IntN(2) == 0
	return s.forEach(fmt.Sprintf("crash of workers, dark %v, for %v", dark, down), s.someAgents(r, 0.03, 0.2), func(ctx context.Context, vm int) error {
		if dark {
			s.worker(vm).Freeze(ctx, down) // nothing resets the connections of a VM without power
		}
		s.worker(vm).kill()
		if !dark {
			ctxsleep.For(ctx, down)
		}
		return s.worker(vm).start()
	})
}

func (s *System) flappingWorkers(r *rand.Rand) siteFault {
	period := between(r, 400*time.Millisecond, 1600*time.Millisecond)
	d := between(r, 2*time.Second, 7*time.Second)
	vms := s.someAgents(r, 0.03, 0.2)
	var faults []func(context.Context) error
	for _, vm := range vms {
		p := s.workerProxies[vm]
		faults = append(faults, func(ctx context.Context) error {
			for passed := time.Duration(0); passed < d; passed += 2 * period {
				p.Refuse(true)
				p.Cut()
				ctxsleep.For(ctx, period)
				p.Refuse(false)
				ctxsleep.For(ctx, period)
			}
			return nil
		})
	}
	return concurrently(fmt.Sprintf("flapping workers, period %v, for %v, VMs %v", period, d, vms), faults)
}

// replacedEntry removes an entry for good and starts a spare one at another address.
func (s *System) replacedEntry(r *rand.Rand) siteFault {
	planned := r.IntN(2) == 0
	return s.forEach(fmt.Sprintf("replacement of an entry, planned %v", planned), s.entryVMs(r, 1), func(ctx context.Context, vm int) error {
		s.mu.Lock()
		if len(s.unstarted) == 0 {
			s.mu.Unlock()
			return nil
		}
		next := s.unstarted[0]
		s.unstarted = s.unstarted[1:]
		s.removed[vm] = true
		s.mu.Unlock()
		var err error
		if planned {
			s.setRotation(vm, false)
			err = s.Stop(ctx, vm)
		} else {
			s.Kill(vm)
			s.leaveRotationLater(vm, 2*rotationDelay)
		}
		return errors.Join(err, s.startSpare(ctx, next))
	})
}

// startSpare starts a spare entry. Other faults find it in use only once it runs: they would
// start it as well.
func (s *System) startSpare(ctx context.Context, vm int) error {
	s.processMu[vm].Lock()
	defer s.processMu[vm].Unlock()
	s.mu.Lock()
	s.removed[vm] = false
	s.mu.Unlock()
	err := s.StartVM(vm)
	s.joinRotation(ctx, vm)
	return err
}

// removedWorkers drains workers, removes their VMs and starts others at their addresses.
func (s *System) removedWorkers(r *rand.Rand) siteFault {
	left := between(r, 500*time.Millisecond, drainTime)
	return s.forEach(fmt.Sprintf("removal of VMs after %v", left), s.someAgents(r, 0.02, 0.14), func(ctx context.Context, vm int) error {
		s.worker(vm).send(WorkerControl{Drain: true})
		ctxsleep.For(ctx, left)
		s.Kill(vm)
		s.worker(vm).kill()
		ctxsleep.For(ctx, 2*time.Second)
		if err := s.worker(vm).start(); err != nil {
			return err
		}
		return s.StartVM(vm)
	})
}

func (s *System) burst(r *rand.Rand) siteFault {
	factor, d := 1.2+0.6*r.Float64(), between(r, time.Second, 4*time.Second)
	return siteFault{name: fmt.Sprintf("load times %.1f for %v", factor, d), inject: func(ctx context.Context) error {
		s.command(CallersControl{Load: factor})
		ctxsleep.For(ctx, d)
		s.command(CallersControl{Load: 1})
		return nil
	}}
}

func (s *System) callersLeave(r *rand.Rand) siteFault {
	share, usual, d := 0.1+0.4*r.Float64(), s.opts.Site.Callers.LeaveShare, between(r, time.Second, 6*time.Second)
	return siteFault{name: fmt.Sprintf("callers leave early, share %.2f, for %v", share, d), inject: func(ctx context.Context) error {
		s.command(CallersControl{LeaveShare: &share})
		ctxsleep.For(ctx, d)
		s.command(CallersControl{LeaveShare: &usual})
		return nil
	}}
}

func (s *System) configSeries(*rand.Rand) siteFault {
	return siteFault{name: "configurations and SIGHUP", inject: s.changeConfig}
}
