package logstate_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/claimapi"
	"github.com/limpettrail/limpettrail/internal/logstate"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
)

// BenchmarkClaims claims distinct keys over a log with a 3 ms write and 400
// appends a second, with the default budget, and reports claims a second and
// claims per record. "inflight" is the number of claims in progress per entry.
func BenchmarkClaims(b *testing.B) {
	for _, entries := range []int{1, 3} {
		for _, inflight := range []int{1, 100, 2000} {
			b.Run(fmt.Sprintf("entries=%d/inflight=%d", entries, inflight), func(b *testing.B) {
				claimBenchmark(b, entries, inflight)
			})
		}
	}
}

func claimBenchmark(b *testing.B, entries, inflight int) {
	s := newSystem(b, logserver.Options{AppendsPerSecond: logserver.DefaultAppendsPerSecond})
	results := make(chan claimapi.ClaimResult, entries*inflight)
	var all []*logstate.State
	for range entries {
		all = append(all, s.ready(s.entry(func(o *logstate.Options) {
			o.AppendBudget = logstate.DefaultAppendBudget
		})))
	}
	done := func(r claimapi.ClaimResult) { results <- r }
	b.ResetTimer()
	open, won := 0, 0
	for i := range b.N {
		if open == entries*inflight {
			if r := <-results; r.Won {
				won++
			}
			open--
		}
		all[i%entries].Claim(request(fmt.Sprint(i), 0), done)
		open++
	}
	for ; open > 0; open-- {
		if r := <-results; r.Won {
			won++
		}
	}
	b.StopTimer()
	records := len(s.server.Records(logstate.StreamClaims))
	b.ReportMetric(float64(won)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(won)/float64(records), "claims/record")
	b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "appends/s")
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAtRest reports the appends and reads a second, and the processor
// time, of idle entries and the log stand-in together.
func BenchmarkAtRest(b *testing.B) {
	const entries, span = 3, 2 * time.Second
	s := newSystem(b, logserver.Options{})
	for range entries {
		s.ready(s.entry(func(o *logstate.Options) { o.Maintenance = logstate.DefaultMaintenance }))
	}
	s.until("presence is written", func() bool { return s.server.Counts().Appends == entries })
	before, busy := s.server.Counts(), cpu()
	for b.Loop() {
		time.Sleep(span)
	}
	after := s.server.Counts()
	seconds := b.Elapsed().Seconds() * entries
	b.ReportMetric(float64(after.Appends-before.Appends)/seconds, "appends/s/entry")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s/entry")
	b.ReportMetric(float64(cpu()-busy)/float64(time.Second)/seconds*100, "cpu%/entry")
}

// BenchmarkConfigChange reports the time from the append of a change until it
// is in force at three entries, with n items.
func BenchmarkConfigChange(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSystem(b, logserver.Options{})
			var v int64
			for i := range n {
				v = s.change(class(fmt.Sprintf("class-%04d", i), 0, time.Second))
			}
			var all []*logstate.State
			for range 3 {
				all = append(all, s.entry(nil))
			}
			inForce := func() {
				for _, e := range all {
					s.until("the change is in force", func() bool { return e.Status().ConfigVersion >= v })
				}
			}
			inForce()
			base := int64(1)
			busy := cpu()
			for b.Loop() {
				v = s.change(config.Change{Kind: config.KindClass, Name: "class-0000", Base: base,
					Value: config.Value{ResponseTargetMicros: 1_000_000, TargetShare: 0.5}})
				base = v
				inForce()
			}
			b.ReportMetric(float64((cpu()-busy).Microseconds())/float64(b.N), "cpu-us/change")
		})
	}
}
