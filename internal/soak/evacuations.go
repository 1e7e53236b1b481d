package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/limpettrail/limpettrail/internal/ctxsleep"
)

const (
	// evacuationBound is that of the settings with Options.Evacuations.
	evacuationBound = 5 * time.Second
	// Evacuations last minEvacuation or up to maxEvacuation, those of all zones up to
	// maxFullEvacuation, and follow each other after up to maxEvacuationPause.
	minEvacuation      = 50 * time.Millisecond
	maxEvacuation      = 8 * time.Second
	maxFullEvacuation  = time.Second
	maxEvacuationPause = 1500 * time.Millisecond
	// relinkTime is how long agents may take to connect to an entry that is back.
	relinkTime = 1500 * time.Millisecond
	// settleTime is how long after the last fault all agents are in contact, and the checker
	// takes each start in a zone that was evacuated before the bound for a violation.
	settleTime = 9 * time.Second
)

// EvacuateZones requests and withdraws evacuations until ctx is done, and then evacuates one
// zone, whose name it returns, and no other one.
func (s *System) EvacuateZones(ctx context.Context, logf func(string, ...any), r *rand.Rand) string {
	start := time.Now()
	zones := s.zones()
	for ctx.Err() == nil {
		ctxsleep.For(ctx, time.Duration(r.Int64N(int64(maxEvacuationPause))))
		chosen, d := []string{zones[r.IntN(len(zones))]}, between(r, minEvacuation, maxEvacuation)
		if r.IntN(4) == 0 {
			chosen, d = zones, between(r, minEvacuation, maxFullEvacuation)
		}
		logf("%v: evacuation of %v for %v", time.Since(start).Round(time.Millisecond), chosen, d)
		for range 1 + r.IntN(3) { // some in quick succession
			for _, zone := range chosen {
				s.WithdrawEvacuation(zone)
				s.Evacuate(zone)
			}
		}
		ctxsleep.For(ctx, d)
		for _, zone := range chosen {
			s.WithdrawEvacuation(zone)
		}
	}
	zone := zones[r.IntN(len(zones))]
	s.Evacuate(zone)
	return zone
}

// zones returns the zones that have workers.
func (s *System) zones() []string {
	var out []string
	seen := make(map[string]bool)
	for vm := s.opts.Entries; vm < s.VMs(); vm++ {
		if zone := s.Settings(vm).Zone; !seen[zone] {
			seen[zone] = true
			out = append(out, zone)
		}
	}
	return out
}

// AwaitContact waits until all agents are in contact after the last fault and the evacuations
// from before that are in effect.
func (s *System) AwaitContact(ctx context.Context) { ctxsleep.For(ctx, settleTime) }

// agentName names the agent of a VM for the checker, as its first worker.
func (s *System) agentName(vm int) string { return fmt.Sprintf("i-%d", vm-s.opts.Entries) }

// disturb notes that the process of a VM may be out of contact until the returned function is
// called. An agent needs a link to one entry, so those of entries count while all entries are
// affected.
func (s *System) disturb(vm int) (end func()) {
	if !s.isEntry(vm) {
		return s.Checker.Disturb(s.agentName(vm))
	}
	s.countDisturbedEntry(vm, 1)
	return func() { time.AfterFunc(relinkTime, func() { s.countDisturbedEntry(vm, -1) }) }
}

func (s *System) countDisturbedEntry(vm, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedEntries[vm] += change
	sound := 0
	for vm, n := range s.disturbedEntries {
		if n == 0 && !s.removed[vm] {
			sound++
		}
	}
	switch {
	case sound == 0 && s.endNoEntry == nil:
		s.endNoEntry = s.Checker.Disturb("")
	case sound > 0 && s.endNoEntry != nil:
		s.endNoEntry()
		s.endNoEntry = nil
	}
}

// noteDown notes that the process of a VM is down until noteUp is called.
func (s *System) noteDown(vm int) {
	end := s.disturb(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endDown[vm] = append(s.endDown[vm], end)
}

func (s *System) noteUp(vm int) {
	s.mu.Lock()
	ends := s.endDown[vm]
	s.endDown[vm] = nil
	s.mu.Unlock()
	for _, end := range ends {
		end()
	}
}

// whileDisturbed wraps a fault that may put the process of a VM out of contact. A VM below 0
// stands for all.
func (s *System) whileDisturbed(vm int, inject func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if vm < 0 {
			defer s.Checker.Disturb("")()
		} else if !s.isEntry(vm) { // agents list the requests that entries cannot read
			defer s.disturb(vm)()
		}
		return inject(ctx)
	}
}

// lateStarts returns the runs that were started in an evacuated zone after the bound.
func (s *System) lateStarts(runs []Run) (out []string) {
	for _, r := range runs {
		var index int
		if _, err := fmt.Sscanf(r.Worker, "i-%d", &index); err != nil {
			out = append(out, fmt.Sprintf("the worker of %v is not known", r))
			continue
		}
		vm := s.opts.Entries + index
		if zone := s.Settings(vm).Zone; s.Checker.StartedTooLate(s.agentName(vm), zone, r.Start) {
			out = append(out, strings.Join([]string{"task", r.Task, "started after the bound of the evacuation of", zone + ":", r.String()}, " "))
		}
	}
	return out
}
