// Package bootclock reads a clock that never jumps and that counts the time in
// which the machine was suspended. Leases and deadlines are measured with it: a
// process that wakes must not take what it held before for still valid.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time since it was made.
type Clock struct{ start time.Duration }

// New returns a clock that starts at zero.
func New() Clock { return Clock{start: read()} }

// Now returns the time since New.
func (c Clock) Now() time.Duration { return read() - c.start }

// read returns the time since boot. The call cannot fail with a valid clock, and
// a failure would leave every lease without a clock.
func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
