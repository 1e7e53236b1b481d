package claims

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/limpettrail/limpettrail/core/wire"
)

const claimsPerRecord = 100

// fill claims n distinct keys at one log time, so that none expires, and returns
// the total size of the records.
func fill(b *testing.B, table *Table, n int) int {
	bytes := 0
	for i := 0; i < n; i += claimsPerRecord {
		r := Record{Entry: wire.Incarnation(1 + i%48), Peer: "10.20.30.40:7000"}
		for j := range claimsPerRecord {
			var c Claim
			binary.LittleEndian.PutUint64(c.Hash[:], uint64(i+j)*0x9E3779B97F4A7C15)
			binary.LittleEndian.PutUint64(c.Submission[:], uint64(i+j))
			c.CreatedMillis = 1_700_000_000_000
			r.Claims = append(r.Claims, c)
		}
		body, err := r.Encode()
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(body)
		table.Apply(table.Next(), 1_700_000_000_000*time.Millisecond, body)
	}
	return bytes
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply measures claims per second, log bytes per claim and heap bytes
// per live claim.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 400_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				before := heapBytes()
				table := New(Options{})
				b.StartTimer()
				size := fill(b, table, n)
				b.StopTimer()
				b.ReportMetric(float64(heapBytes()-before)/float64(table.Len()), "heapB/claim")
				b.ReportMetric(float64(size)/float64(n), "logB/claim")
				runtime.KeepAlive(table)
				b.StartTimer()
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}
