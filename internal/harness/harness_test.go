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

// waitTimeout bounds all waits of a test. It is far longer than a loaded machine
// needs, so that a test fails only if an event is missing.
const waitTimeout = 2 * time.Minute

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

func startCluster(t *testing.T, o harness.ClusterOptions) (context.Context, *harness.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	c, err := harness.StartCluster(ctx, t.TempDir(), o)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return ctx, c
}

// jobs returns n jobs of a few tasks each, submitted at short intervals. They
// occupy about 5 slots, so that a cluster with 8 remaining slots is not
// overloaded and refuses none of them.
func jobs(n int) []load.Job {
	var list []load.Job
	for i := range n {
		j := load.Job{SendAt: time.Duration(i) * 25 * time.Millisecond, Class: "render", Deadline: time.Minute}
		for k := range 1 + i%5 {
			j.RunTimes = append(j.RunTimes, time.Duration(20+10*k)*time.Millisecond)
		}
		list = append(list, j)
	}
	return list
}

// checkOutcomes waits for the callers and fails the test for each violated
// promise. It returns the number of jobs by how they ended.
func checkOutcomes(t *testing.T, c *harness.Cluster, awaitOutcomes func() ([]load.JobResult, error)) map[observer.Outcome]int {
	t.Helper()
	outcomes, err := awaitOutcomes()
	assert.NilError(t, err)
	violations, err := c.CheckPromises()
	assert.NilError(t, err)
	for _, v := range violations {
		t.Error(v)
	}
	outcomeCounts := make(map[observer.Outcome]int)
	reasons := make(map[string]int)
	for _, o := range outcomes {
		outcomeCounts[o.Outcome]++
		if o.Reason != "" {
			reasons[o.Reason]++
		}
	}
	t.Log(outcomeCounts, reasons)
	return outcomeCounts
}

// connectionRefused reports whether a caller could not connect, so that no part
// of its request was sent.
func connectionRefused(reason string) bool { return strings.Contains(reason, "connection refused") }
