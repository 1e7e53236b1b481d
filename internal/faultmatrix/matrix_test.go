package faultmatrix

import (
	"flag"
	"fmt"
	"hash/fnv"
	"sync"
	"testing"
)

// cell is one fault at one step.
type cell struct {
	fault *fault
	step  step
}

func (c cell) name() string { return c.fault.name + "/" + string(c.step) }

// seed is derived from the cell's name, so that it does not depend on the order.
func (c cell) seed() uint64 {
	h := fnv.New32a()
	h.Write([]byte(c.name()))
	return uint64(h.Sum32())
}

// possible reports whether the fault can occur at the step.
func (c cell) possible() bool { return c.fault.onlyAt == "" || c.fault.onlyAt == c.step }

func allCells() []cell {
	var cells []cell
	for _, f := range allFaults {
		for _, s := range allSteps {
			cells = append(cells, cell{f, s})
		}
	}
	return cells
}

const jobsPerWorld = 8

// nths are the occurrences of a step at which a single fault is injected: one
// of a job's first task, one in the middle of several jobs.
var nths = []int{1, 2, 4}

func explore(seed uint64, v variant, hooks ...*injection) *world {
	w := newWorld(seed, v)
	w.hooks = hooks
	w.workload(jobsPerWorld)
	w.run()
	return w
}

// totals of all worlds of a test, for the log.
type totals struct{ worlds, steps, faults int }

func (n *totals) add(w *world) {
	n.worlds++
	n.steps += w.steps
	n.faults += w.faults
}

func (n *totals) log(t *testing.T) {
	t.Logf("%d worlds, %d machine steps, %d faults injected", n.worlds, n.steps, n.faults)
}

func report(t *testing.T, w *world, format string, args ...any) {
	t.Helper()
	for _, v := range w.check.found {
		t.Errorf("%s: %s: %s", fmt.Sprintf(format, args...), v.promise, v.detail)
	}
}

// TestNoFault guards against a world that loses jobs without any fault, in
// which the matrix would prove nothing.
func TestNoFault(t *testing.T) {
	w := explore(1, variant{})
	report(t, w, "no fault")
	for _, id := range sortedIDs(w.calls) {
		if c := w.calls[id]; !c.job.done {
			t.Errorf("%s ended as %v (%s)", c.job.name, c.outcome, c.reason)
		}
	}
}

// TestMatrix guards each promise against one fault at each step of a request
// and of a configuration change.
func TestMatrix(t *testing.T) {
	var n totals
	for _, c := range allCells() {
		if !c.possible() {
			continue
		}
		t.Run(c.name(), func(t *testing.T) {
			for _, nth := range nths {
				h := &injection{step: c.step, nth: nth, fault: c.fault}
				w := explore(c.seed(), variant{}, h)
				if c.fault.harmless {
					w.check.costsNothing(w)
				}
				report(t, w, "seed %d, occurrence %d", c.seed(), nth)
				if !h.done && nth == 1 {
					t.Error("the step was not reached, so the fault was not injected")
				}
				n.add(w)
			}
		})
	}
	n.log(t)
}

// TestPairs guards against faults that meet: every ordered pair of faults,
// also the same one twice, at steps drawn from the pair's fixed seed.
func TestPairs(t *testing.T) {
	var n totals
	for _, first := range allFaults {
		for _, second := range allFaults {
			c := cell{first, step(second.name)}
			w := explore(c.seed(), variant{}, pair(first, second, c.seed())...)
			report(t, w, "pair %s, seed %d", c.name(), c.seed())
			n.add(w)
		}
	}
	n.log(t)
}

func pair(first, second *fault, seed uint64) []*injection {
	return []*injection{
		{step: stepOf(first, seed), nth: 1 + int(seed%3), fault: first},
		{step: stepOf(second, seed/16), nth: 1 + int(seed/256%4), fault: second},
	}
}

func stepOf(f *fault, draw uint64) step {
	if f.onlyAt != "" {
		return f.onlyAt
	}
	return allSteps[draw%uint64(len(allSteps))]
}

var stride = flag.Int("stride", 101, "run every nth ordered pair of cells; 1 runs all")

// TestCellPairs guards against two faults at chosen steps: every nth ordered
// pair of cells, the same cell twice included.
func TestCellPairs(t *testing.T) {
	var cells []cell
	for _, c := range allCells() {
		if c.possible() {
			cells = append(cells, c)
		}
	}
	var mu sync.Mutex
	var n totals
	t.Cleanup(func() { n.log(t) })
	for i, first := range cells {
		t.Run(first.name(), func(t *testing.T) {
			t.Parallel()
			for j, second := range cells {
				if (i*len(cells)+j)%*stride != 0 {
					continue
				}
				w := explore(first.seed()^second.seed(), variant{},
					&injection{step: first.step, nth: 1 + j%3, fault: first.fault},
					&injection{step: second.step, nth: 1 + i%4, fault: second.fault})
				report(t, w, "with %s, occurrences %d and %d", second.name(), 1+j%3, 1+i%4)
				mu.Lock()
				n.add(w)
				mu.Unlock()
			}
		})
	}
}
