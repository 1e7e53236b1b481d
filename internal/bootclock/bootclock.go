// Package bootclock provides a monotonic clock that includes the time during
// which the machine was suspended (CLOCK_BOOTTIME). Leases and deadlines are
// measured with it, so that a process which resumes after a suspension does not
// treat an expired lease as still valid.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation.
type Clock struct{ start time.Duration }

// New returns a clock that starts at zero.
func New() Clock { return Clock{start: SinceBoot()} }

// Now returns the time since the clock was created.
func (c Clock) Now() time.Duration { return SinceBoot() - c.start }

// SinceBoot returns the time since the boot of the machine, which is the same for all of its
// processes. clock_gettime does not fail for a valid
// clock, and without a clock no lease could be measured, so a failure panics.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
