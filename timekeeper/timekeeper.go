// Package timekeeper tells the time by which leases, ages and freshness are
// judged.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as an instant without a
// monotonic reading. Unlike the monotonic clock of the runtime it goes on
// while the machine is suspended, and unlike the time of day it never jumps.
// Instants of one machine can be compared with each other only.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported kernel; the monotonic clock is
		// wrong only about suspensions.
		return time.Unix(0, int64(time.Since(start)))
	}
	return time.Unix(now.Sec, now.Nsec)
}

var start = time.Now()
