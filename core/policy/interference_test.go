package policy_test

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/agent"
	"github.com/limpettrail/limpettrail/core/interference"
	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/core/wire"
)

// besideModel slows runs down by what runs beside them at the moment.
type besideModel struct {
	matrix map[[2]string]float64 // by victim and neighbour: share of the run time added by each slot
	runs   map[int][]*besideRun  // by agent, in order of their starts
}

type besideRun struct {
	id    agent.AttemptID
	class string
	left  float64 // seconds of work
	rate  float64 // work done in a second
	at    time.Duration
}

func (b *besideModel) begin(d *driver, k int, r *agent.Run, run time.Duration) {
	class := r.Start.Class
	b.runs[k] = append(b.runs[k], &besideRun{id: r.Attempt, class: class, left: run.Seconds() * max(d.longer[class], 1), at: d.now})
	b.update(d, k)
}

func (b *besideModel) end(d *driver, k int, id agent.AttemptID) {
	b.runs[k] = slices.DeleteFunc(b.runs[k], func(r *besideRun) bool { return r.id == id })
	b.update(d, k)
}

// update recomputes the rates and the ends of the runs at an agent.
func (b *besideModel) update(d *driver, k int) {
	for _, r := range b.runs[k] {
		r.left -= r.rate * (d.now - r.at).Seconds()
		r.at = d.now
		slowdown := max(d.slow[k], 1)
		for _, other := range b.runs[k] {
			if other != r {
				slowdown += b.matrix[[2]string{r.class, other.class}]
			}
		}
		if r.rate == 1/slowdown {
			continue // its end stays
		}
		r.rate = 1 / slowdown
		rate := r.rate
		d.after(time.Duration(max(r.left, 0)/rate*float64(time.Second)), func() {
			if r.rate == rate && r.left-r.rate*(d.now-r.at).Seconds() < 1e-6 {
				d.endRun(k, agent.Finished{Attempt: r.id, Outcome: wire.Succeeded, RunTime: d.now - r.at})
			}
		})
	}
}

// interferenceDay describes a load of four classes at 11 workers of 8 slots.
type interferenceDay struct {
	seed    uint64
	mode    policy.Interference
	load    float64
	matrix  map[[2]string]float64
	end     time.Duration
	disturb func(d *driver)
}

var dayClasses = []string{"a", "b", "c", "d"}

// hurt is a class that two others slow down.
var hurt = map[[2]string]float64{{"a", "b"}: 0.2, {"a", "d"}: 0.1}

// play returns the driver after the day and all changes of pairs that the entries reported.
func (p interferenceDay) play() (*driver, [][]interference.Change) {
	settings := policy.Settings{}
	for _, c := range dayClasses {
		settings.Classes = append(settings.Classes, policy.Class{Name: c, ResponseTarget: 2 * time.Second, TargetShare: 0.99})
	}
	d := newDriver(p.seed, 3, 11, settings, func(i int) policy.Scheduler {
		return policy.New(policy.Options{Seed: p.seed*100 + uint64(i), Zone: fmt.Sprint("zone-", i), Interference: p.mode})
	})
	d.beside = &besideModel{matrix: p.matrix, runs: map[int][]*besideRun{}}
	d.declare = func(_ string, longest time.Duration) time.Duration {
		return time.Duration(float64(longest) * math.Exp(0.4*d.rng.NormFloat64()))
	}
	for _, c := range dayClasses {
		d.offerTailed(c, p.load/float64(len(dayClasses)), p.end)
	}
	if p.disturb != nil {
		p.disturb(d)
	}
	d.run(p.end)
	return d, d.pairChanges
}

// offerTailed submits jobs of 1 to 4 tasks of a class. The run times of a job are similar
// and those of the jobs log-normal with a median of 150 ms; 3% of the tasks take seven
// times as long.
func (d *driver) offerTailed(class string, load float64, end time.Duration) {
	mean := 0.150 * math.Exp(0.5*0.5*0.5) * (1 + 0.03*6) * math.Exp(0.5*0.2*0.2)
	rate := load * float64(8*len(d.agents)) / (mean * 1.75)
	var next func()
	next = func() {
		if d.now >= end {
			return
		}
		runs := make([]time.Duration, 1+3*(d.rng.IntN(4)/3))
		job := 0.150 * math.Exp(0.5*d.rng.NormFloat64())
		for i := range runs {
			sec := job * math.Exp(0.2*d.rng.NormFloat64())
			if d.rng.Float64() < 0.03 {
				sec *= 7
			}
			runs[i] = time.Duration(sec * float64(time.Second))
		}
		d.submit(d.rng.IntN(len(d.entries)), class, "", 20*time.Second, runs, false)
		d.after(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	d.after(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func pairNames(s policy.Scheduler) (out []string) {
	for _, p := range s.(policy.InterferenceReporter).InterferencePairs() {
		out = append(out, p.Victim+p.Neighbour)
	}
	return out
}

// found reports whether any entry reported a pair.
func found(changes [][]interference.Change) bool {
	return slices.ContainsFunc(changes, func(c []interference.Change) bool { return len(c) > 0 })
}

// seedsOr returns the number of seeds set by INTERFERENCE_SEEDS, or the given one.
func seedsOr(n uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv("INTERFERENCE_SEEDS"), 10, 32); err == nil {
		return v
	}
	return n
}

// Guards against interference of 20% a slot that an entry does not find within 2,500 runs
// of the victim of its own (100 s), or of 10% within 7,500, and against pairs of other
// classes.
func TestEachEntryFindsInterferingClasses(t *testing.T) {
	for seed := uint64(1); seed <= seedsOr(1); seed++ {
		d, _ := interferenceDay{seed: seed, mode: policy.InterferenceObserve, load: 0.7, matrix: hurt, end: 300 * time.Second}.play()
		for i, s := range d.scheds {
			assert.DeepEqual(t, pairNames(s), []string{"ab", "ad"})
			first := s.(policy.InterferenceReporter).InterferencePairs()[0]
			assert.Assert(t, first.Since < 100*time.Second, "seed %d, entry %d: %+v", seed, i, first)
		}
	}
}

// Guards against pairs without interference, with run times of a heavy tail and declared
// ones that are off by 40%, and against any difference to the scheduler without the
// feature then.
func TestNothingIsSeparatedWithoutInterference(t *testing.T) {
	loads := []float64{0.5, 0.7, 0.83, 0.95}
	for seed := uint64(1); seed <= seedsOr(4); seed++ {
		day := interferenceDay{seed: seed, mode: policy.InterferenceSeparate, load: loads[seed%4], end: 60 * time.Second}
		on, changes := day.play()
		assert.Assert(t, !found(changes), "seed %d: %+v", seed, changes)
		day.mode = policy.InterferenceOff
		off, _ := day.play()
		for _, c := range dayClasses {
			assert.Equal(t, on.figures(0, c, time.Second), off.figures(0, c, time.Second))
		}
	}
}

// Guards against effects that are taken for a pair: a worker that becomes four times as
// slow, a fleet in which tasks slow down with all that is at work beside them, at a load
// above its capacity, and a class whose run times double.
func TestDisturbancesAreNotInterference(t *testing.T) {
	crowding := map[[2]string]float64{}
	for _, v := range dayClasses {
		for _, c := range dayClasses {
			crowding[[2]string{v, c}] = 0.08
		}
	}
	between := func(d *driver, on, off func()) {
		d.after(30*time.Second, on)
		d.after(60*time.Second, off)
	}
	days := map[string]interferenceDay{
		"straggler": {load: 0.7, disturb: func(d *driver) {
			between(d, func() { d.slow[3] = 4 }, func() { delete(d.slow, 3) })
		}},
		"overload": {load: 0.9, matrix: crowding},
		"jobs": {load: 0.6, disturb: func(d *driver) {
			between(d, func() { d.longer["a"] = 2 }, func() { delete(d.longer, "a") })
		}},
	}
	for name, day := range days {
		for seed := uint64(1); seed <= seedsOr(1); seed++ {
			day.seed, day.mode, day.end = seed, policy.InterferenceSeparate, 90*time.Second
			_, changes := day.play()
			assert.Assert(t, !found(changes), "%s, seed %d: %+v", name, seed, changes)
		}
	}
}

// Guards against classes that stay apart after their interference has ended.
func TestPairsThatEndAreDiscarded(t *testing.T) {
	for seed := uint64(1); seed <= seedsOr(1); seed++ {
		matrix := maps.Clone(hurt)
		d, changes := interferenceDay{seed: seed, mode: policy.InterferenceSeparate, load: 0.7, matrix: matrix, end: 900 * time.Second,
			disturb: func(d *driver) { d.after(300*time.Second, func() { clear(matrix) }) }}.play()
		for i, s := range d.scheds {
			assert.Assert(t, len(changes[i]) >= 2, "seed %d, entry %d: %+v", seed, i, changes[i])
			assert.Equal(t, len(pairNames(s)), 0, "seed %d, entry %d: %+v", seed, i, changes[i])
		}
	}
}

// Guards against a separation that does not help its victims where there is room, that
// costs other classes there, and that costs any class more than a few percent where there
// is none. The load leaves out what interference adds: 95% is above the capacity.
func TestSeparationHelpsAndHarmsNobody(t *testing.T) {
	seeds := seedsOr(2)
	for _, load := range []float64{0.7, 0.83, 0.95} {
		var mean [2]map[string]figures
		for m, mode := range []policy.Interference{policy.InterferenceOff, policy.InterferenceSeparate} {
			mean[m] = map[string]figures{}
			for seed := uint64(1); seed <= seeds; seed++ {
				d, _ := interferenceDay{seed: seed, mode: mode, load: load, matrix: hurt, end: 150 * time.Second}.play()
				for _, c := range dayClasses {
					f, sum := d.figures(60*time.Second, c, 2*time.Second), mean[m][c]
					sum.p50 += f.p50 / float64(seeds)
					sum.p99 += f.p99 / float64(seeds)
					sum.complete += f.complete
					sum.refused += f.refused
					mean[m][c] = sum
				}
			}
		}
		for _, c := range dayClasses {
			off, on := mean[0][c], mean[1][c]
			t.Logf("load %.2f class %s: p50 %.2f to %.2f, p99 %.2f to %.2f, complete %d to %d, refused %d to %d", load, c, off.p50, on.p50, off.p99, on.p99, off.complete, on.complete, off.refused, on.refused)
			switch {
			case load < 0.9 && c == "a":
				assert.Assert(t, on.p50 < 0.9*off.p50 && on.p99 < off.p99)
			case load < 0.9:
				assert.Assert(t, on.p99 < 1.05*off.p99)
			default:
				assert.Assert(t, on.p99 < 1.15*off.p99)
				assert.Assert(t, float64(on.complete) > 0.97*float64(off.complete))
			}
		}
	}
}
