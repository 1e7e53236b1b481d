package harness_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/faultproxy"
	"github.com/limpettrail/limpettrail/internal/harness"
	"github.com/limpettrail/limpettrail/internal/load"
	"github.com/limpettrail/limpettrail/internal/observer"
)

const (
	benchPatience = 10 * time.Minute
	idlePeriod    = 10 * time.Second
	// jobInterval spaces the jobs of BenchmarkZeroLengthTasks so that the
	// entry is busy but keeps up.
	jobInterval = 40 * time.Millisecond
)

func startBench(b *testing.B, o harness.ClusterOptions) (context.Context, *harness.Cluster) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), benchPatience)
	b.Cleanup(cancel)
	o.NoRace = true
	c, err := harness.StartCluster(ctx, b.TempDir(), o)
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	return ctx, c
}

func usage(b *testing.B, list []*harness.Process) (sum harness.Usage) {
	b.Helper()
	for _, p := range list {
		u, err := p.Usage()
		assert.NilError(b, err)
		sum.Processor += u.Processor
		sum.Resident += u.Resident
	}
	return sum
}

// BenchmarkZeroLengthTasks reports the processor time of each role for tasks
// that take no time, in jobs of the largest size. One iteration is one job.
func BenchmarkZeroLengthTasks(b *testing.B) {
	ctx, c := startBench(b, harness.ClusterOptions{Entries: 1, Agents: 4, Slots: 64})
	var list []load.Job
	for i := range b.N {
		list = append(list, load.Job{
			At: time.Duration(i) * jobInterval, Class: "render",
			Runs: make([]time.Duration, wire.MaxTasksPerJob), Deadline: time.Minute,
		})
	}
	entry, agents := usage(b, c.Entries), usage(b, c.Agents)
	b.ResetTimer()
	outcomes, err := c.Drive(ctx, "zero", list)()
	b.StopTimer()
	assert.NilError(b, err)
	for _, o := range outcomes {
		assert.Equal(b, o.Ending, observer.Complete, o.Reason)
	}
	tasks := float64(b.N * wire.MaxTasksPerJob)
	entrySpent := usage(b, c.Entries).Processor - entry.Processor
	agentSpent := usage(b, c.Agents).Processor - agents.Processor
	b.ReportMetric(float64(entrySpent.Microseconds())/tasks, "entry-us/task")
	b.ReportMetric(float64(agentSpent.Microseconds())/tasks, "agent-us/task")
	if entrySpent > 0 {
		b.ReportMetric(tasks/entrySpent.Seconds(), "tasks/entry-core-s")
	}
}

// BenchmarkIdleAgent reports what an agent without work costs, by the number
// of entries it is linked to. Each iteration watches it for idlePeriod.
func BenchmarkIdleAgent(b *testing.B) {
	for _, entries := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			_, c := startBench(b, harness.ClusterOptions{Entries: entries, Agents: 1, Slots: 8, Relay: true})
			before, bytes := usage(b, c.Agents), linkBytes(c)
			b.ResetTimer()
			for range b.N {
				time.Sleep(idlePeriod)
			}
			b.StopTimer()
			after := usage(b, c.Agents)
			watched := float64(b.N) * idlePeriod.Seconds()
			b.ReportMetric(100*(after.Processor-before.Processor).Seconds()/watched, "%core")
			b.ReportMetric(float64(after.Resident)/(1<<20), "MB")
			b.ReportMetric(float64(linkBytes(c)-bytes)/watched, "bytes/s")
		})
	}
}

func linkBytes(c *harness.Cluster) (sum uint64) {
	for _, r := range c.Relays {
		sum += r.Bytes(faultproxy.ToServer) + r.Bytes(faultproxy.ToClient)
	}
	return sum
}
