package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet draws runs of classes a to d on 11 agents. The residuals have the spread of
// declared run times that are off by 40% and of 3% of the runs taking seven times as
// long.
type fleet struct {
	e       *Estimator
	rng     *rand.Rand
	now     time.Duration
	matrix  map[[2]string]float64      // slowdown for each slot beside, in logarithms
	slow    map[int]float64            // logarithm of the run times of an agent
	crowded map[int]float64            // further slots in use at an agent, of all classes
	shift   map[string]float64         // change of the run times of a class
	more    map[string]map[int]float64 // further slots in use of a class, by agent
	beside  [11]map[string]float64     // slowly changing neighbours
}

var classes = []string{"a", "b", "c", "d"}

func newFleet(seed uint64) *fleet {
	f := &fleet{e: New(), rng: rand.New(rand.NewPCG(seed, 1)), matrix: map[[2]string]float64{}, slow: map[int]float64{}, crowded: map[int]float64{}, shift: map[string]float64{}, more: map[string]map[int]float64{}}
	f.e.SetClasses(classes)
	for k := range f.beside {
		f.beside[k] = map[string]float64{}
	}
	return f
}

// run observes n runs of each class.
func (f *fleet) run(n int) {
	for range n * len(classes) {
		f.now += time.Millisecond
		k, class := f.rng.IntN(11), classes[f.rng.IntN(len(classes))]
		slots := f.beside[k]
		y := f.shift[class] + f.slow[k] + 0.4*f.rng.NormFloat64()
		if f.rng.Float64() < 0.03 {
			y += math.Log(7)
		}
		var list []Exposure
		for _, c := range classes {
			slots[c] = max(0, 0.7*slots[c]+0.3*(1.4+f.crowded[k]+f.more[c][k]+1.6*f.rng.NormFloat64()))
			y += f.matrix[[2]string{class, c}] * slots[c]
			list = append(list, Exposure{c, slots[c]})
		}
		f.e.Observe(f.now, uint64(k), class, y, list)
	}
}

func (f *fleet) pairs() (out []string) {
	for _, p := range f.e.Pairs() {
		out = append(out, p.Victim+p.Neighbour)
	}
	return out
}

// Guards against pairs that are not found within 3,000 runs of each class, and against
// estimates that are off by more than three standard errors and the 10% that clipping
// takes.
func TestKnownMatrixIsFound(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed)
		f.matrix = map[[2]string]float64{{"a", "b"}: 0.15, {"b", "a"}: 0.12, {"c", "d"}: 0.2, {"c", "c"}: 0.15}
		f.run(3000)
		assert.DeepEqual(t, f.pairs(), []string{"ab", "ba", "cc", "cd"})
		for _, p := range f.e.Pairs() {
			want := f.matrix[[2]string{p.Victim, p.Neighbour}]
			assert.Assert(t, math.Abs(p.Effect-want) < 0.1*want+3*p.Error, "seed %d: %+v, want %.2f", seed, p, want)
			assert.Equal(t, f.e.Effect(f.e.Index(p.Victim), f.e.Index(p.Neighbour)), p.Effect)
		}
	}
}

// Guards against a pair that stays after the interference has ended, and against one
// that comes and goes while it lasts.
func TestPairThatEndsIsDiscarded(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed)
		f.matrix[[2]string{"a", "b"}] = 0.15
		f.run(6000)
		assert.DeepEqual(t, f.pairs(), []string{"ab"})
		assert.Equal(t, len(f.e.Changes()), 1)
		clear(f.matrix)
		f.run(6000)
		assert.Equal(t, len(f.pairs()), 0)
		changes := f.e.Changes()
		assert.Equal(t, len(changes), 1)
		assert.Assert(t, !changes[0].Found)
	}
}

// Guards against effects that are no interference between two classes: noise alone, a
// slow worker on which more tasks are at work, a slow fleet, a class whose jobs changed,
// a class that runs mostly on slow workers, and a slowdown by any neighbour.
func TestNoPairWithoutInterference(t *testing.T) {
	disturbances := map[string]func(f *fleet, on float64){
		"none":      func(*fleet, float64) {},
		"straggler": func(f *fleet, on float64) { f.slow[3], f.crowded[3] = 1.4*on, 2*on },
		"fleet": func(f *fleet, on float64) {
			for k := range 11 {
				f.slow[k], f.crowded[k] = on, 2*on
			}
		},
		"longer jobs": func(f *fleet, on float64) {
			f.shift["a"], f.more["a"] = on, map[int]float64{}
			for k := range 11 {
				f.more["a"][k] = 2 * on
			}
		},
		"a class on slow workers": func(f *fleet, _ float64) {
			f.more["b"] = map[int]float64{}
			for k := range 4 {
				f.slow[k], f.more["b"][k] = 0.5, 2
			}
		},
		"any neighbour": func(f *fleet, on float64) {
			for _, v := range classes {
				for _, c := range classes {
					f.matrix[[2]string{v, c}] = 0.1 * on
				}
			}
		},
	}
	for name, disturb := range disturbances {
		for seed := range uint64(20) {
			f := newFleet(seed)
			for i := range 12 {
				disturb(f, float64(i%2))
				f.run(500)
			}
			assert.Equal(t, len(f.e.Changes()), 0, "%s, seed %d: %v", name, seed, f.e.Pairs())
		}
	}
}

// Guards against a pair on the evidence of one agent among many, or of two in all.
func TestFewAgentsAreNoEvidence(t *testing.T) {
	for _, c := range []struct{ agents, affected int }{{6, 1}, {2, 2}} {
		f := newFleet(1)
		for range 20000 {
			f.now += time.Millisecond
			k, b := f.rng.IntN(c.agents), 2*f.rng.Float64()
			y := 0.2 * f.rng.NormFloat64()
			if k < c.affected {
				y += 0.6 * b
			}
			f.e.Observe(f.now, uint64(k), "a", y, []Exposure{{"b", b}, {"c", 2 * f.rng.Float64()}})
		}
		assert.Equal(t, len(f.e.Changes()), 0, "%+v", c)
	}
}

// Guards against state that grows without bound, and against estimates that outlive
// their class or the last run.
func TestStateIsBoundedAndForgotten(t *testing.T) {
	f := newFleet(1)
	f.matrix[[2]string{"a", "b"}] = 0.2
	f.run(2000)
	assert.DeepEqual(t, f.pairs(), []string{"ab"})
	f.e.SetClasses([]string{"a", "c"})
	assert.Equal(t, len(f.pairs()), 0)
	assert.Equal(t, f.e.Index("b"), -1)
	f.e.SetClasses(classes)
	f.matrix[[2]string{"a", "b"}] = 0
	f.run(2000)
	assert.Equal(t, len(f.pairs()), 0) // nothing is left of the former class
	f.matrix[[2]string{"a", "b"}] = 0.2
	f.run(4000)
	assert.DeepEqual(t, f.pairs(), []string{"ab"})
	f.e.Expire(f.now + maxUnconfirmed + time.Second)
	assert.Equal(t, len(f.pairs()), 0)

	names := make([]string, 3*MaxClasses)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	f.e.SetClasses(names)
	for i := range 3 * MaxAgents {
		f.e.Observe(f.now, uint64(i), names[i%len(names)], math.Inf(i%3-1), []Exposure{{names[(i+1)%len(names)], 1}, {"unknown", 1e300}})
	}
	assert.Equal(t, f.e.Len(), MaxClasses)
	assert.Assert(t, len(f.e.agents) <= MaxAgents)
}

// Guards against agents that ran only classes that are not tracked and take the room of
// others.
func TestAgentsWithoutTrackedRunsTakeNoRoom(t *testing.T) {
	e := New()
	e.SetClasses([]string{"a", "b"})
	for i := range uint64(MaxAgents) {
		e.Observe(0, i, "untracked", 0, nil)
		e.Observe(0, i, "a", math.NaN(), nil)
	}
	e.Observe(0, 5000, "a", 0, nil)
	assert.Equal(t, len(e.agents), 1)
	assert.Assert(t, e.agents[5000] != nil)
}

// Guards against busy classes that are never tracked because idle ones were published
// before them, and against classes that take the places of others that run.
func TestClassesThatRunTakePlacesOfIdleOnes(t *testing.T) {
	e, names := New(), make([]string, 1668)
	for i := range names {
		names[i] = fmt.Sprint("c", i)
	}
	e.SetClasses(names)
	generation := e.Generation()
	now := time.Duration(0)
	for i := range 50 {
		now += time.Second
		e.Observe(now, 1, names[1000+i], 0, []Exposure{{names[1100+i%14], 1}, {"unknown", 1}})
	}
	for i := range 50 {
		assert.Assert(t, e.Index(names[1000+i]) >= 0)
	}
	for i := range 14 {
		assert.Assert(t, e.Index(names[1100+i]) >= 0) // seen beside runs only
	}
	assert.Assert(t, e.Generation() > generation)
	generation = e.Generation()
	now += idleClass / 2
	e.Observe(now, 1, names[1200], 0, nil)
	assert.Equal(t, e.Index(names[1200]), -1)
	assert.Equal(t, e.Generation(), generation)
	e.Observe(now, 1, names[1001], 0, nil)
	now += idleClass/2 + time.Second
	e.Observe(now, 1, names[1200], 0, nil)
	assert.Assert(t, e.Index(names[1200]) >= 0)
	assert.Equal(t, e.Index(names[1000]), -1) // idle for the longest time
	assert.Assert(t, e.Index(names[1001]) >= 0)
	assert.Equal(t, e.Index("unknown"), -1)
	assert.Equal(t, e.Len(), MaxClasses)
}

// Benchmark of one run, evaluations included.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("classes=%d", n), func(b *testing.B) {
			e, rng := New(), rand.New(rand.NewPCG(1, 1))
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			e.SetClasses(names)
			list := make([]Exposure, 8)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for j := range list {
					list[j] = Exposure{names[rng.IntN(n)], rng.Float64()}
				}
				e.Observe(time.Duration(i)*time.Millisecond, uint64(rng.IntN(11)), names[rng.IntN(n)], rng.NormFloat64(), list)
			}
		})
	}
}
