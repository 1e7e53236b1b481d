package entryd_test

import (
	"strings"
	"testing"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// benchmarkShell sends jobs of zero-length tasks through HTTP, the entry and
// one agent link; callers and agent share the processor with the entry.
func benchmarkShell(b *testing.B, tasks int) {
	e := startEntry(b, entryd.Options{})
	startAgent(b, e, wire.MaxSlots, func(s wire.Start) wire.Result { return echo(s) })
	body := `{"class":"c","tasks":[0` + strings.Repeat(",0", tasks-1) + `]}`
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if r, err := try("POST", jobs(e), body); err != nil || r.status != 200 {
				b.Errorf("%v %v", err, r)
			}
		}
	})
	b.ReportMetric(float64(b.N*tasks)/b.Elapsed().Seconds(), "tasks/s")
}

func BenchmarkShell1TaskPerJob(b *testing.B)   { benchmarkShell(b, 1) }
func BenchmarkShell88TasksPerJob(b *testing.B) { benchmarkShell(b, 88) }
