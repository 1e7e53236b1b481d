package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the resource usage of this process at one time.
type usage struct {
	heap   float64 // bytes of allocated objects
	stack  float64 // bytes
	allocs float64 // since the start of the process
	bytes  float64 // allocated since the start of the process
	cpu    time.Duration
	at     time.Time
}

// usageAfterGC returns the usage after garbage collection. Two collections are
// needed to free memory that finalizers and pools hold.
func usageAfterGC() usage {
	runtime.GC()
	runtime.GC()
	return currentUsage()
}

func currentUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		heap: float64(m.HeapAlloc), stack: float64(m.StackInuse),
		allocs: float64(m.Mallocs), bytes: float64(m.TotalAlloc),
		cpu: cpuTime(), at: time.Now(),
	}
}

// cpuTime returns the user and system time of the process, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// delta is the difference of two usages.
type delta struct {
	heap, stack, allocs, bytes float64
	cpu                        float64 // microseconds
	seconds                    float64
}

func usageDelta(before, after usage) delta {
	return delta{
		heap: after.heap - before.heap, stack: after.stack - before.stack,
		allocs: after.allocs - before.allocs, bytes: after.bytes - before.bytes,
		cpu:     float64((after.cpu - before.cpu).Nanoseconds()) / 1e3,
		seconds: after.at.Sub(before.at).Seconds(),
	}
}
