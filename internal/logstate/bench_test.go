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

// BenchmarkClaims claims distinct keys on a log with a write latency of 3 ms and
// a limit of 400 appends per second, with the default rate of claim records. It
// reports claims per second, claims per record and appends per second. "inflight"
// is the number of claims in flight per entry.
func BenchmarkClaims(b *testing.B) {
	for _, entries := range []int{1, 3} {
		for _, perEntry := range []int{1, 100, 2000} {
			b.Run(fmt.Sprintf("entries=%d/inflight=%d", entries, perEntry), func(b *testing.B) {
				claimBenchmark(b, entries, perEntry)
			})
		}
	}
}

func claimBenchmark(b *testing.B, entries, perEntry int) {
	s := newSystem(b, logserver.Options{AppendsPerSecond: logserver.DefaultAppendsPerSecond})
	results := make(chan claimapi.ClaimResult, entries*perEntry)
	var all []*logstate.State
	for range entries {
		all = append(all, s.ready(s.entry(func(o *logstate.Options) {
			o.ClaimAppendRate = logstate.DefaultClaimAppendRate
		})))
	}
	done := func(r claimapi.ClaimResult) { results <- r }
	b.ResetTimer()
	inFlight, won := 0, 0
	for i := range b.N {
		if inFlight == entries*perEntry {
			if r := <-results; r.Won {
				won++
			}
			inFlight--
		}
		all[i%entries].Claim(request(fmt.Sprint(i), 0), done)
		inFlight++
	}
	for ; inFlight > 0; inFlight-- {
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

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle reports the appends and reads per second, and the processor time,
// of idle entries together with the log server.
func BenchmarkIdle(b *testing.B) {
	const entries, interval = 3, 2 * time.Second
	s := newSystem(b, logserver.Options{})
	for range entries {
		s.ready(s.entry(func(o *logstate.Options) { o.MaintenanceInterval = logstate.DefaultMaintenanceInterval }))
	}
	s.until("presence is written", func() bool { return s.server.Counts().Appends == entries })
	before, cpuBefore := s.server.Counts(), cpuTime()
	for b.Loop() {
		time.Sleep(interval)
	}
	after := s.server.Counts()
	seconds := b.Elapsed().Seconds() * entries
	b.ReportMetric(float64(after.Appends-before.Appends)/seconds, "appends/s/entry")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s/entry")
	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(time.Second)/seconds*100, "cpu%/entry")
}

// BenchmarkConfigChange measures the time from the append of a change until it is in
// effect at three entries, with 100 and 1000 configured items.
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
			awaitChange := func() {
				for _, e := range all {
					s.until("the change is in effect", func() bool { return e.Status().ConfigVersion >= v })
				}
			}
			awaitChange()
			base := int64(1)
			cpuBefore := cpuTime()
			for b.Loop() {
				v = s.change(config.Change{Kind: config.KindClass, Name: "class-0000", Base: base,
					Value: config.Value{ResponseTargetMicros: 1_000_000, TargetShare: 0.5}})
				base = v
				awaitChange()
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/change")
		})
	}
}
