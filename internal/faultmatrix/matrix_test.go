package faultmatrix

import (
	"flag"
	"fmt"
	"hash/fnv"
	"sync"
	"testing"
)

// cell is a cell of the matrix: one fault at one step.
type cell struct {
	fault *fault
	step  step
}

func (c cell) name() string { return c.fault.name + "/" + string(c.step) }

// seed derives the seed from the cell's name, so that it does not depend on the
// order of faults and steps.
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

const jobsPerSimulation = 8

// faultOccurrences are the occurrences of a step at which a single fault is injected.
// They cover the first task of a job and a point at which several jobs are in progress.
var faultOccurrences = []int{1, 2, 4}

// runSimulation runs jobsPerSimulation jobs with the given injections.
func runSimulation(seed uint64, v variant, injections ...*injection) *simulation {
	sim := newSimulation(seed, v)
	sim.injections = injections
	sim.scheduleWorkload(jobsPerSimulation)
	sim.run()
	return sim
}

// totals counts over all simulations of a test, for its log.
type totals struct{ simulations, steps, faults int }

func (n *totals) add(sim *simulation) {
	n.simulations++
	n.steps += sim.steps
	n.faults += sim.injectedFaults
}

func (n *totals) log(t *testing.T) {
	t.Logf("%d simulations, %d machine steps, %d faults injected", n.simulations, n.steps, n.faults)
}

func reportViolations(t *testing.T, sim *simulation, format string, args ...any) {
	t.Helper()
	for _, v := range sim.checker.violations {
		t.Errorf("%s: %s: %s", fmt.Sprintf(format, args...), v.promise, v.detail)
	}
}

// TestNoJobIsLostWithoutFaults guards against a simulation that loses jobs
// without any fault. The matrix would prove nothing in such a simulation.
func TestNoJobIsLostWithoutFaults(t *testing.T) {
	sim := runSimulation(1, variant{})
	reportViolations(t, sim, "no fault")
	for _, id := range sortedIDs(sim.submissions) {
		if sub := sim.submissions[id]; !sub.job.done {
			t.Errorf("%s ended as %v (%s)", sub.job.name, sub.outcome, sub.reason)
		}
	}
}

// TestMatrix guards against a single fault, at any step of a request or of a
// configuration change, that violates a promise.
func TestMatrix(t *testing.T) {
	var n totals
	for _, c := range allCells() {
		if !c.possible() {
			continue
		}
		t.Run(c.name(), func(t *testing.T) {
			for _, nth := range faultOccurrences {
				inj := &injection{step: c.step, nth: nth, fault: c.fault}
				sim := runSimulation(c.seed(), variant{}, inj)
				if c.fault.harmless {
					sim.checker.checkNoJobLost(sim)
				}
				reportViolations(t, sim, "seed %d, occurrence %d", c.seed(), nth)
				if !inj.done && nth == 1 {
					t.Error("the step was not reached, so the fault was not injected")
				}
				n.add(sim)
			}
		})
	}
	n.log(t)
}

// TestPairs guards against two faults that together violate a promise. It runs
// every ordered pair of faults, including a fault paired with itself, at steps
// drawn from the pair's fixed seed.
func TestPairs(t *testing.T) {
	var n totals
	for _, first := range allFaults {
		for _, second := range allFaults {
			c := cell{first, step(second.name)}
			sim := runSimulation(c.seed(), variant{}, pairInjections(first, second, c.seed())...)
			reportViolations(t, sim, "pair %s, seed %d", c.name(), c.seed())
			n.add(sim)
		}
	}
	n.log(t)
}

// pairInjections returns injections of both faults at steps drawn from the seed.
func pairInjections(first, second *fault, seed uint64) []*injection {
	return []*injection{
		{step: stepOf(first, seed), nth: 1 + int(seed%3), fault: first},
		{step: stepOf(second, seed/16), nth: 1 + int(seed/256%4), fault: second},
	}
}

// stepOf returns the only step at which the fault can occur or, if there are several,
// the one that draw selects.
func stepOf(f *fault, draw uint64) step {
	if f.onlyAt != "" {
		return f.onlyAt
	}
	return allSteps[draw%uint64(len(allSteps))]
}

var stride = flag.Int("stride", 101, "run every nth ordered pair of cells; 1 runs all")

// TestCellPairs guards against two faults at given steps that together violate a
// promise. It runs every nth ordered pair of cells, including a cell paired with
// itself; the flag stride sets n.
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
				sim := runSimulation(first.seed()^second.seed(), variant{},
					&injection{step: first.step, nth: 1 + j%3, fault: first.fault},
					&injection{step: second.step, nth: 1 + i%4, fault: second.fault})
				reportViolations(t, sim, "with %s, occurrences %d and %d", second.name(), 1+j%3, 1+i%4)
				mu.Lock()
				n.add(sim)
				mu.Unlock()
			}
		})
	}
}
