package measurer

import (
	"math"
	"slices"
	"time"
)

// percentile returns the smallest value that is at least as large as the
// fraction p of the values, or NaN if there are no values.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}

// milliseconds converts a duration to the value of a figure in ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ratio returns a/b, or NaN if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// filterOperations returns the operations that match.
func filterOperations(operations []Operation, match func(Operation) bool) []Operation {
	var selected []Operation
	for _, o := range operations {
		if match(o) {
			selected = append(selected, o)
		}
	}
	return selected
}

// endedBetween matches operations that ended at or after from and before to.
func endedBetween(from, to time.Duration) func(Operation) bool {
	return func(o Operation) bool { return o.End >= from && o.End < to }
}

// latencies returns the latencies of the operations in milliseconds.
func latencies(operations []Operation) []float64 {
	values := make([]float64, len(operations))
	for i, o := range operations {
		values[i] = milliseconds(o.End - o.Start)
	}
	return values
}

// throughput returns the rate of successful operations per second, as a series
// with one point per step.
func throughput(operations []Operation, step time.Duration) Series {
	series := Series{Name: "operations", Unit: "operations/s"}
	counts := map[int]int{}
	last := 0
	for _, o := range operations {
		if o.Outcome != Done {
			continue
		}
		bin := int(o.End / step)
		counts[bin]++
		last = max(last, bin)
	}
	for bin := range last + 1 {
		series.Points = append(series.Points, Point{At: time.Duration(bin) * step, Value: float64(counts[bin]) / step.Seconds()})
	}
	return series
}

// longestGap returns the longest time without an acknowledged write between from
// and to.
func longestGap(operations []Operation, from, to time.Duration) time.Duration {
	longest, last := time.Duration(0), from
	for _, o := range operations {
		if o.Kind != Write || o.Outcome != Done || o.End < from || o.End > to {
			continue
		}
		longest = max(longest, o.End-last)
		last = o.End
	}
	return max(longest, to-last)
}
