package sidecar

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the instance started. Unlike the clock of package time it counts
// the time for which the instance was suspended.
func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
