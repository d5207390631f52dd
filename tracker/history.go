package tracker

import "time"

const (
	// maxSamples bounds the number of samples.
	maxSamples = 4096
	// minSampleInterval is the least time between two samples. With maxSamples it
	// makes the history cover at least 20 s at any rate of writes; it covers 40 s
	// when Record drops the older half.
	minSampleInterval = 10 * time.Millisecond
)

// History records the end of the primary's log over time. It is not safe for
// concurrent use.
type History struct {
	// samples are in the order of time.
	samples []sample
}

// A sample records that the primary's log ended at or below offset at the time:
// the query that returned the offset was sent then or later.
type sample struct {
	at     time.Time
	offset uint64
}

// Record records the end of the primary's log from the response to a query that
// was sent at the time.
func (h *History) Record(at time.Time, offset uint64) {
	if n := len(h.samples); n > 0 && at.Sub(h.samples[n-1].at) < minSampleInterval {
		return
	}
	if len(h.samples) >= maxSamples {
		h.samples = append(h.samples[:0], h.samples[maxSamples/2:]...)
	}
	h.samples = append(h.samples, sample{at: at, offset: offset})
}

// Reset removes all samples.
func (h *History) Reset() { h.samples = h.samples[:0] }

// EndAt returns an offset that the primary's log had not passed at the time, or
// false if no sample is recent enough.
func (h *History) EndAt(at time.Time) (uint64, bool) {
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
