package timekeeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSleep guards against a pause that outlasts a stop, and against one that counts as
// complete although it was cut short.
func TestSleep(t *testing.T) {
	tests := []struct {
		name string
		// endAfter is when the context ends.
		endAfter, pause time.Duration
		want            bool
		took            time.Duration
	}{
		{name: "whole pause", endAfter: time.Hour, pause: time.Second, want: true, took: time.Second},
		{name: "context ends", endAfter: time.Second, pause: time.Hour, took: time.Second},
		{name: "no pause", endAfter: time.Hour, pause: -time.Second, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.endAfter)
				defer cancel()
				began := time.Now()
				if got := Sleep(ctx, test.pause); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
				if got := time.Since(began); got != test.took {
					t.Errorf("got a pause of %v, want %v", got, test.took)
				}
			})
		})
	}
}
