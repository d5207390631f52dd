package server

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Guards against durations that are lost, or counted twice, on their way to the
// timer.
func TestRecorder(t *testing.T) {
	for _, updates := range []int{0, 1, recordedAtOnce, 3*recordedAtOnce + 5} {
		r := &recorder{timer: metrics.NewTimer()}
		for i := range updates {
			r.Update(time.Duration(i))
		}
		r.flush()
		r.flush()
		if got := r.timer.Count(); got != int64(updates) {
			t.Errorf("%d updates: got %d", updates, got)
		}
	}
}
