package faultmatrix

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaults fix rapid's seed, so that CI gives the same verdict on every run. An
// argument on the command line overrides them.
var defaults = map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	code := m.Run()
	if programDir != "" {
		os.RemoveAll(programDir)
	}
	os.Exit(code)
}

// TestRandomFaults guards against combinations of up to five faults at any
// steps. A failure shrinks to the fewest faults that show it.
func TestRandomFaults(t *testing.T) {
	var n totals
	rapid.Check(t, func(t *rapid.T) {
		var hooks []*injection
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			f := rapid.SampledFrom(allFaults).Draw(t, "fault")
			s := rapid.SampledFrom(allSteps).Draw(t, "step")
			nth := rapid.IntRange(1, 8).Draw(t, "occurrence")
			t.Logf("%s at occurrence %d of %s", f.name, nth, s)
			hooks = append(hooks, &injection{step: s, nth: nth, fault: f})
		}
		w := explore(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), variant{}, hooks...)
		n.add(w)
		for _, v := range w.check.found {
			t.Fatalf("%s: %s", v.promise, v.detail)
		}
	})
	n.log(t)
}
