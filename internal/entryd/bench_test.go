package entryd_test

import (
	"strings"
	"testing"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

// benchmarkEntry sends jobs whose tasks take no time through HTTP, the entry and
// one agent link. The callers and the agent run on the same processors as the
// entry.
func benchmarkEntry(b *testing.B, tasks int) {
	e := startEntry(b, entryd.Options{})
	startAgent(b, e, wire.MaxSlots, func(s wire.Start) wire.Result { return echo(s) })
	body := `{"class":"c","tasks":[0` + strings.Repeat(",0", tasks-1) + `]}`
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if r, err := tryRequest("POST", jobsURL(e), body); err != nil || r.status != 200 {
				b.Errorf("%v %v", err, r)
			}
		}
	})
	b.ReportMetric(float64(b.N*tasks)/b.Elapsed().Seconds(), "tasks/s")
}

func BenchmarkEntry1TaskPerJob(b *testing.B)   { benchmarkEntry(b, 1) }
func BenchmarkEntry88TasksPerJob(b *testing.B) { benchmarkEntry(b, 88) }
