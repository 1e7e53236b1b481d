package faultmatrix

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// rapidDefaults fixes rapid's seed, so that every CI run tests the same cases.
// Command-line flags override these values.
var rapidDefaults = map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	for name, value := range rapidDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	code := m.Run()
	if binaryDir != "" {
		os.RemoveAll(binaryDir)
	}
	os.Exit(code)
}

// TestRandomFaults guards against combinations of up to five faults, at any
// steps, that violate a promise. rapid shrinks a failure to few faults.
func TestRandomFaults(t *testing.T) {
	var n totals
	rapid.Check(t, func(t *rapid.T) {
		var injections []*injection
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			f := rapid.SampledFrom(allFaults).Draw(t, "fault")
			s := rapid.SampledFrom(allSteps).Draw(t, "step")
			nth := rapid.IntRange(1, 8).Draw(t, "occurrence")
			t.Logf("%s at occurrence %d of %s", f.name, nth, s)
			injections = append(injections, &injection{step: s, nth: nth, fault: f})
		}
		sim := runSimulation(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), variant{}, injections...)
		n.add(sim)
		for _, v := range sim.checker.violations {
			t.Fatalf("%s: %s", v.promise, v.detail)
		}
	})
	n.log(t)
}
