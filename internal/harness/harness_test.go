package harness_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
)

// patience bounds each wait for an event. It is far above what a loaded
// machine needs, so that only a missing event fails a test.
const patience = 2 * time.Minute

func TestMain(m *testing.M) {
	code := m.Run()
	harness.Remove()
	os.Exit(code)
}

func start(t *testing.T, o harness.ClusterOptions) (context.Context, *harness.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	c, err := harness.StartCluster(ctx, t.TempDir(), o)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return ctx, c
}

// jobs returns n jobs of a few tasks each, sent at short intervals. They use
// about 5 slots, so that a cluster with 8 slots left is not overloaded and
// refuses none.
func jobs(n int) []load.Job {
	var list []load.Job
	for i := range n {
		j := load.Job{At: time.Duration(i) * 25 * time.Millisecond, Class: "render", Deadline: time.Minute}
		for k := range 1 + i%5 {
			j.Runs = append(j.Runs, time.Duration(20+10*k)*time.Millisecond)
		}
		list = append(list, j)
	}
	return list
}

// verdict waits for the callers and fails the test for each broken promise.
func verdict(t *testing.T, c *harness.Cluster, wait func() ([]load.Outcome, error)) map[observer.Ending]int {
	t.Helper()
	outcomes, err := wait()
	assert.NilError(t, err)
	found, err := c.Judge()
	assert.NilError(t, err)
	for _, v := range found {
		t.Error(v)
	}
	ends := make(map[observer.Ending]int)
	reasons := make(map[string]int)
	for _, o := range outcomes {
		ends[o.Ending]++
		if o.Reason != "" {
			reasons[o.Reason]++
		}
	}
	t.Log(ends, reasons)
	return ends
}

// refusedDial reports whether a caller could not connect, so that nothing of
// its request was sent.
func refusedDial(reason string) bool { return strings.Contains(reason, "connection refused") }
