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
	benchTimeout = 10 * time.Minute
	idleDuration = 10 * time.Second
	// jobInterval is the time between two jobs of BenchmarkZeroLengthTasks. The
	// entry is busy but keeps up.
	jobInterval = 40 * time.Millisecond
)

func startBenchCluster(b *testing.B, o harness.ClusterOptions) (context.Context, *harness.Cluster) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	b.Cleanup(cancel)
	o.NoRace = true
	c, err := harness.StartCluster(ctx, b.TempDir(), o)
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	return ctx, c
}

func totalUsage(b *testing.B, list []*harness.Process) (sum harness.Usage) {
	b.Helper()
	for _, p := range list {
		u, err := p.Usage()
		assert.NilError(b, err)
		sum.CPUTime += u.CPUTime
		sum.ResidentBytes += u.ResidentBytes
	}
	return sum
}

// BenchmarkZeroLengthTasks reports the CPU time of the entry and of the agents
// per task of zero run time, in jobs of the largest size. One iteration is one
// job.
func BenchmarkZeroLengthTasks(b *testing.B) {
	ctx, c := startBenchCluster(b, harness.ClusterOptions{Entries: 1, Agents: 4, Slots: 64})
	var list []load.Job
	for i := range b.N {
		list = append(list, load.Job{
			SendAt: time.Duration(i) * jobInterval, Class: "render",
			RunTimes: make([]time.Duration, wire.MaxTasksPerJob), Deadline: time.Minute,
		})
	}
	entryBefore, agentsBefore := totalUsage(b, c.Entries), totalUsage(b, c.Agents)
	b.ResetTimer()
	outcomes, err := c.SubmitJobs(ctx, "zero", list)()
	b.StopTimer()
	assert.NilError(b, err)
	for _, o := range outcomes {
		assert.Equal(b, o.Outcome, observer.Complete, o.Reason)
	}
	tasks := float64(b.N * wire.MaxTasksPerJob)
	entryCPUTime := totalUsage(b, c.Entries).CPUTime - entryBefore.CPUTime
	agentCPUTime := totalUsage(b, c.Agents).CPUTime - agentsBefore.CPUTime
	b.ReportMetric(float64(entryCPUTime.Microseconds())/tasks, "entry-us/task")
	b.ReportMetric(float64(agentCPUTime.Microseconds())/tasks, "agent-us/task")
	if entryCPUTime > 0 {
		b.ReportMetric(tasks/entryCPUTime.Seconds(), "tasks/entry-core-s")
	}
}

// BenchmarkIdleAgent reports the CPU, memory and link traffic of an idle agent,
// by the number of entries it is linked to. One iteration lasts idleDuration.
func BenchmarkIdleAgent(b *testing.B) {
	for _, entries := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			_, c := startBenchCluster(b, harness.ClusterOptions{Entries: entries, Agents: 1, Slots: 8, Relay: true})
			before, bytesBefore := totalUsage(b, c.Agents), linkBytes(c)
			b.ResetTimer()
			for range b.N {
				time.Sleep(idleDuration)
			}
			b.StopTimer()
			after := totalUsage(b, c.Agents)
			seconds := float64(b.N) * idleDuration.Seconds()
			b.ReportMetric(100*(after.CPUTime-before.CPUTime).Seconds()/seconds, "%core")
			b.ReportMetric(float64(after.ResidentBytes)/(1<<20), "MB")
			b.ReportMetric(float64(linkBytes(c)-bytesBefore)/seconds, "bytes/s")
		})
	}
}

func linkBytes(c *harness.Cluster) (sum uint64) {
	for _, r := range c.Relays {
		sum += r.Bytes(faultproxy.ToServer) + r.Bytes(faultproxy.ToClient)
	}
	return sum
}
