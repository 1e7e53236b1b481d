package policy_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/policy"
)

const meanRunSeconds = 0.2066 // mean of heavyTail in seconds

// offer submits jobs of 1 to 32 tasks of a class until the virtual time end. Arrivals
// are a Poisson process whose mean load is the given share of all slots.
func (d *driver) offer(class, team string, load float64, deadline, end time.Duration) {
	const meanTasks = 0.7*1 + 0.2*4 + 0.09*12 + 0.01*32
	rate := load * float64(8*len(d.agents)) / (meanRunSeconds * meanTasks)
	var next func()
	next = func() {
		if d.now >= end {
			return
		}
		n := 1
		switch u := d.rng.Float64(); {
		case u > 0.99:
			n = 32
		case u > 0.90:
			n = 12
		case u > 0.70:
			n = 4
		}
		runs := make([]time.Duration, n)
		for i := range runs {
			runs[i] = d.heavyTail()
		}
		d.submit(d.rng.IntN(len(d.entries)), class, team, deadline, runs, false)
		d.after(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	d.after(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// heavyTail draws a run time: log-normal, median 150 ms, at most 5 s.
func (d *driver) heavyTail() time.Duration {
	sec := 0.150 * math.Exp(0.8*d.rng.NormFloat64())
	return time.Duration(min(max(sec, 0.02), 5) * float64(time.Second))
}

// figures are the measurements of one run after the warm-up.
type figures struct {
	p50, p99      float64 // of the slowdown
	wasted        float64 // messages per succeeded task
	complete      int     // jobs
	goodTasks     int     // tasks of complete jobs
	late          int     // complete jobs beyond the class's target
	refused       int
	other         int     // neither complete nor refused
	startsPerTask float64 // starts per result
}

func (d *driver) figures(from time.Duration, class string, within time.Duration) figures {
	var f figures
	var slowdowns []float64
	for _, s := range d.done {
		if s.at < from || s.class != class {
			continue
		}
		switch s.answer.Outcome {
		case entry.Complete:
			f.complete++
			f.goodTasks += s.tasks
			slowdowns = append(slowdowns, s.slowdown())
			if s.end-s.at > within {
				f.late++
			}
		case entry.Refused:
			f.refused++
		default:
			f.other++
		}
	}
	slices.Sort(slowdowns)
	if len(slowdowns) > 0 {
		f.p50 = slowdowns[len(slowdowns)/2]
		f.p99 = slowdowns[len(slowdowns)*99/100]
	}
	var results, refused, starts, cancels uint64
	for _, e := range d.entries {
		st := e.Stats()
		results += st.Results
		refused += st.Refused
		cancels += st.Cancels
		starts += st.Starts
	}
	f.wasted = float64(2*refused+cancels) / float64(max(results, 1))
	f.startsPerTask = float64(starts) / float64(max(results, 1))
	return f
}

var oneClass = policy.Settings{Classes: []policy.Class{{Name: "c", ResponseTarget: 2 * time.Second, TargetShare: 0.99}}}

func adaptive(seed uint64) func(int) policy.Scheduler {
	return func(i int) policy.Scheduler {
		return policy.New(policy.Options{Seed: seed*100 + uint64(i), Zone: fmt.Sprint("zone-", i)})
	}
}

func runLoad(seed uint64, entries int, load float64, sched func(int) policy.Scheduler) figures {
	d := newDriver(seed, entries, 11, oneClass, sched)
	d.offer("c", "", load, 20*time.Second, 120*time.Second)
	d.run(150 * time.Second)
	return d.figures(5*time.Second, "c", 2*time.Second)
}

// TestAblation prints the figures for docs/policy.md; it checks nothing.
func TestAblation(t *testing.T) {
	if os.Getenv("POLICY_ABLATION") == "" {
		t.Skip("set POLICY_ABLATION=1 to print figures")
	}
	names := []string{"", "estimates", "slack-order", "spread", "speed", "health", "max-wait", "look-ahead", "ageing"}
	for _, load := range []float64{0.7, 0.9, 0.95} {
		for seed := uint64(1); seed <= 3; seed++ {
			one := runLoad(seed, 1, load, adaptive(seed))
			base := runLoad(seed, 3, load, func(int) policy.Scheduler { return policy.NewLeastBusy() })
			t.Logf("load %.2f seed %d one entry: p50 %.3f p99 %.3f wasted %.3f; least-busy: p50 %.3f p99 %.3f", load, seed, one.p50, one.p99, one.wasted, base.p50, base.p99)
			for _, name := range names {
				part, _ := policy.PartByName(name)
				f := runLoad(seed, 3, load, func(i int) policy.Scheduler {
					return policy.New(policy.Options{Seed: seed*100 + uint64(i), Zone: fmt.Sprint("zone-", i), Disable: part})
				})
				t.Logf("load %.2f seed %d without %-12q p50 %.3f p99 %.3f (to one entry %.3f %.3f) wasted %.3f refused %d", load, seed, name, f.p50, f.p99, f.p50/one.p50, f.p99/one.p99, f.wasted, f.refused)
			}
		}
	}
}
