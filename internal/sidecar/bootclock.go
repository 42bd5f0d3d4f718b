package sidecar

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// bootClock returns the time since the start of the instance. Unlike the clock of time.Now, it counts
// the time for which the instance was suspended.
func bootClock() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, trace.Wrap(err, "the boot clock cannot be read")
	}
	return time.Duration(ts.Nano()), nil
}
