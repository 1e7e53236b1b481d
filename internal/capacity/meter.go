package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the state of this process's meters.
type usage struct {
	heap   float64 // bytes that are reachable
	stack  float64 // bytes
	allocs float64 // since the start of the process
	bytes  float64 // allocated since the start of the process
	cpu    time.Duration
	at     time.Time
}

// settled returns the usage after the garbage is collected. Two collections are
// needed for memory that finalizers and pools hold.
func settled() usage {
	runtime.GC()
	runtime.GC()
	return sample()
}

func sample() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		heap: float64(m.HeapAlloc), stack: float64(m.StackInuse),
		allocs: float64(m.Mallocs), bytes: float64(m.TotalAlloc),
		cpu: processorTime(), at: time.Now(),
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// difference of two usages.
type difference struct {
	heap, stack, allocs, bytes float64
	cpu                        float64 // microseconds
	seconds                    float64
}

func since(before, after usage) difference {
	return difference{
		heap: after.heap - before.heap, stack: after.stack - before.stack,
		allocs: after.allocs - before.allocs, bytes: after.bytes - before.bytes,
		cpu:     float64((after.cpu - before.cpu).Nanoseconds()) / 1e3,
		seconds: after.at.Sub(before.at).Seconds(),
	}
}
