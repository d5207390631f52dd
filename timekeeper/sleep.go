package timekeeper

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it did so before ctx ended. It returns at once
// if d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
