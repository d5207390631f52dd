// Package timekeeper provides the clock by which leases, ages and freshness are
// measured.
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock replaces the clock of the machine if it is set.
var clock atomic.Pointer[func() time.Time]

// Replace makes Now return the times of another clock until restore is called, for tests of
// whole processes in virtual time.
func Replace(now func() time.Time) (restore func()) {
	clock.Store(&now)
	return func() { clock.Store(nil) }
}

// Now returns the time since the machine booted, as a time.Time without a
// monotonic reading. Unlike the monotonic clock of the Go runtime, it advances
// while the machine is suspended; unlike the time of day, it never jumps. Only
// times of the same machine and boot can be compared with each other.
func Now() time.Time {
	if now := clock.Load(); now != nil {
		return (*now)()
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists on every supported kernel. The monotonic clock of
		// the runtime, used instead, is wrong only in that it does not count
		// suspensions.
		return time.Unix(0, int64(time.Since(processStart)))
	}
	return time.Unix(now.Sec, now.Nsec)
}

// processStart is the time at which the process started.
var processStart = time.Now()
