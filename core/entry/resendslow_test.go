package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/entry"
)

// Guards against two runs of a job at the same time while agents are stopped one after
// another, all connections break at the same moment, and processes are slow without
// pausing for long.
func TestResentJobsRunOnceAtATimeOnSlowMachines(t *testing.T) {
	runs, resent, ended := 0, 0, 0
	for seed := range uint64(*slowSeeds) {
		w, log := playSlowMachines(seed)
		if w.failure != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.failure, strings.Join(log, "\n"))
		}
		runs += w.runs
		for _, c := range w.callers {
			resent += c.sends - 1
		}
		for _, h := range w.hosts {
			if h.drainUntil > 0 && h.killed {
				ended++
			}
		}
	}
	t.Logf("%d runs, %d jobs sent to the entry again, %d agents stopped", runs, resent, ended)
	assert.Assert(t, runs > 0 && resent > 0 && ended > 0)
}

// slowSeeds is the number of seeds that TestResentJobsRunOnceAtATimeOnSlowMachines plays.
var slowSeeds = flag.Int("slow.seeds", 150, "seeds of the model with slow processes")

// playSlowMachines plays a seed and returns the world and what happened in it.
func playSlowMachines(seed uint64) (*resendWorld, []string) {
	random := rand.New(rand.NewPCG(seed, 41))
	millis := func(low, high int) time.Duration {
		return time.Duration(low+random.IntN(high-low+1)) * time.Millisecond
	}
	var log []string
	var w *resendWorld
	fail := func(format string, args ...any) {
		if w.failure == "" {
			w.failure = fmt.Sprintf(format, args...)
		}
	}
	w = newResendWorld(2+random.IntN(3), fail, func(limit int) int { return random.IntN(limit + 1) })
	w.log = func(format string, args ...any) { log = append(log, fmt.Sprintf(format, args...)) }
	for range 10 + random.IntN(30) {
		h := w.hosts[random.IntN(len(w.hosts))]
		span, gap := millis(20, 2500), millis(20, int(slowestGap/time.Millisecond))
		switch random.IntN(14) {
		case 0:
			w.slow = slowness{until: w.now + span, gap: gap}
			w.log("%v: the entry is slow until %v, gaps of %v", w.now, w.slow.until, gap)
		case 1, 2:
			h.slow = slowness{until: w.now + span, gap: gap}
			w.log("%v: %s is slow until %v, gaps of %v", w.now, h.name, h.slow.until, gap)
		case 3:
			for _, x := range w.hosts {
				w.resetLink(x, millis(0, 500))
			}
		case 4, 5:
			if waiting := w.waitingCallers(); len(waiting) > 0 {
				w.leave(waiting[random.IntN(len(waiting))])
			}
		case 6:
			w.submitStored()
		case 7, 8:
			w.stop(h, span)
		default:
			if w.now >= w.pausedUntil {
				w.submit()
			}
		}
		w.advance(millis(0, 700))
		if w.failure != "" {
			return w, log
		}
	}
	w.advance(5 * time.Second)
	return w, log
}

// slowestGap is the longest time for which a slow process does not run. Alone it is no
// pause.
const slowestGap = entry.MinPause - modelStep
