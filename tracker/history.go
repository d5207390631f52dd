package tracker

import "time"

const (
	// historyLength bounds the samples kept.
	historyLength = 4096
	// historyInterval is the least time between two samples, so that the history
	// reaches back 40 s at any rate of writes.
	historyInterval = 10 * time.Millisecond
)

// History keeps where the log of the primary ended over time. It is not safe for
// concurrent use.
type History struct {
	// samples are in the order of their times.
	samples []sample
}

// A sample says that the log of the primary ended at or below offset at the
// time: the query that brought the offset was sent then or later.
type sample struct {
	at     time.Time
	offset uint64
}

// Observe records the end of the primary's log from the answer to a query that
// was sent at the time.
func (h *History) Observe(at time.Time, offset uint64) {
	if n := len(h.samples); n > 0 && at.Sub(h.samples[n-1].at) < historyInterval {
		return
	}
	if len(h.samples) >= historyLength {
		h.samples = append(h.samples[:0], h.samples[historyLength/2:]...)
	}
	h.samples = append(h.samples, sample{at: at, offset: offset})
}

// Reset forgets all samples.
func (h *History) Reset() { h.samples = h.samples[:0] }

// End returns an offset that the log of the primary had not passed at the time,
// or false when the history does not tell.
func (h *History) End(at time.Time) (uint64, bool) {
	low, high := 0, len(h.samples)
	for low < high {
		middle := (low + high) / 2
		if h.samples[middle].at.Before(at) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(h.samples) {
		return 0, false
	}
	return h.samples[low].offset, true
}
