package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
	"github.com/limpettrail/limpettrail/platform/emulator"
)

const (
	// A group fault stops or suspends processes for minGroupDuration or up to
	// maxGroupDuration longer.
	minGroupDuration = 500 * time.Millisecond
	maxGroupDuration = 2500 * time.Millisecond
	// A group holds minGroupShare of the agents or up to maxGroupShare more.
	minGroupShare = 0.3
	maxGroupShare = 0.5
	// Processes that are stopped in series follow each other after minStopInterval or up
	// to maxStopInterval later.
	minStopInterval = 100 * time.Millisecond
	maxStopInterval = 900 * time.Millisecond
	stopsInSeries   = 14
	frozenEntries   = 3
	// maxCallDelay bounds the delay of a disturbed worker's calls.
	maxCallDelay = 150 * time.Millisecond
)

// groupStep is a part of a group fault: a fault of one VM's process.
type groupStep struct {
	vm     int
	after  time.Duration // pause before the step
	inject func(ctx context.Context) error
}

// groupFault chooses a fault of several processes and returns its name and the function
// that injects it, which returns when the fault is over.
func (s *System) groupFault(r *rand.Rand, processMu []sync.Mutex) (string, func(context.Context, func(string, ...any))) {
	duration := minGroupDuration + time.Duration(r.Int64N(int64(maxGroupDuration)))
	share := minGroupShare + maxGroupShare*r.Float64()
	freeze := func(vm int) groupStep {
		return groupStep{vm: vm, inject: func(ctx context.Context) error { return s.Freeze(ctx, vm, duration) }}
	}
	var name string
	var steps []groupStep
	switch r.IntN(5) {
	case 0:
		name = "freeze of agents"
		for _, vm := range s.randomAgents(r, share) {
			steps = append(steps, freeze(vm))
		}
	case 1:
		name = "stop of agents in series"
		var faults emulator.WorkerFaults
		if r.IntN(2) == 0 {
			name += " beside disturbed workers"
			faults = emulator.WorkerFaults{DelayedShare: 0.15, LostReplyShare: 0.15, CallDelay: time.Duration(r.Int64N(int64(maxCallDelay)))}
			faults.Hang = r.IntN(3) == 0 // the agent does not get to drain
		}
		interval := minStopInterval + time.Duration(r.Int64N(int64(maxStopInterval)))
		for range stopsInSeries {
			vm := s.opts.Entries + r.IntN(s.opts.Workers)
			steps = append(steps, groupStep{vm: vm, after: interval, inject: func(ctx context.Context) error {
				w := s.workers[vm-s.opts.Entries]
				w.SetFaults(faults)
				defer w.SetFaults(emulator.WorkerFaults{})
				if err := s.Stop(ctx, vm); err != nil {
					return err
				}
				return s.StartVM(vm)
			}})
		}
	case 2:
		name = "freeze of entries, then of agents"
		for range frozenEntries {
			steps = append(steps, freeze(r.IntN(s.opts.Entries)))
		}
		after := time.Duration(r.Int64N(int64(duration)))
		for _, vm := range s.randomAgents(r, share) {
			step := freeze(vm)
			step.after, after = after, 0
			steps = append(steps, step)
		}
	case 3:
		name = "restart of workers in series"
		interval := minStopInterval + time.Duration(r.Int64N(int64(maxStopInterval)))
		for range stopsInSeries {
			vm := s.opts.Entries + r.IntN(s.opts.Workers)
			steps = append(steps, groupStep{vm: vm, after: interval, inject: func(context.Context) error {
				s.workers[vm-s.opts.Entries].Restart()
				return nil
			}})
		}
	default:
		name = "kill of agents"
		for _, vm := range s.randomAgents(r, share/2) {
			steps = append(steps, groupStep{vm: vm, inject: func(ctx context.Context) error {
				s.Kill(vm)
				ctxsleep.For(ctx, duration/3)
				return s.StartVM(vm)
			}})
		}
	}
	return fmt.Sprintf("%s, %d processes, %v", name, len(steps), duration), func(ctx context.Context, logf func(string, ...any)) {
		var wg sync.WaitGroup
		for _, step := range steps {
			ctxsleep.For(ctx, step.after)
			wg.Go(func() {
				processMu[step.vm].Lock()
				defer processMu[step.vm].Unlock()
				if err := step.inject(ctx); err != nil {
					logf("injecting %s at VM %d failed: %v", name, step.vm, err)
				}
			})
		}
		wg.Wait()
	}
}

// randomAgents returns a share of the VMs of agents.
func (s *System) randomAgents(r *rand.Rand, share float64) []int {
	var out []int
	for vm := s.opts.Entries; vm < s.VMs(); vm++ {
		if r.Float64() < share {
			out = append(out, vm)
		}
	}
	return out
}
