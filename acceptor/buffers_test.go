package acceptor

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// TestLargeRequestsReuseBuffers guards against requests that leave each size of their
// buffer behind for the garbage collector, which a crowd of clients outruns.
func TestLargeRequestsReuseBuffers(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // a collection empties the pools
	const requests, size = 20, 1 << 20
	allocated := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.TotalAlloc
	}
	before := allocated()
	for range requests {
		r := new(request)
		for n := 1 << minBufferBits; n <= size; n *= 2 {
			r.raw = reserve(r.raw, n)
		}
		r.messages = reserve(r.messages, size)
		r.release()
	}
	// The race detector drops a quarter of what is put into a pool.
	if got, limit := allocated()-before, uint64(requests*3*size/2); got > limit {
		t.Errorf("allocated for %d requests of %d bytes: got %d bytes, want at most half of the buffers, %d", requests, size, got, limit)
	}
}

// TestReserveKeepsContent guards against a buffer that loses what it holds when it grows,
// or that two requests get at once.
func TestReserveKeepsContent(t *testing.T) {
	first := append(newBuffer(1<<minBufferBits), "content"...)
	first = reserve(first, 1<<maxBufferBits)
	if got, want := string(first), "content"; got != want || cap(first) < 1<<maxBufferBits {
		t.Errorf("larger buffer: got %q with room for %d bytes, want %q with room for %d", got, cap(first), want, 1<<maxBufferBits)
	}
	second := append(newBuffer(1<<maxBufferBits), "other"...)
	if got, want := string(first), "content"; got != want {
		t.Errorf("buffer after another was taken: got %q, want %q", got, want)
	}
	recycleBuffer(second)
	for _, size := range []int{0, 1, 1<<minBufferBits + 1, 1<<maxBufferBits + 1, 1 << (maxBufferBits + 1)} {
		if got := newBuffer(size); len(got) != 0 || cap(got) < size {
			t.Errorf("buffer of %d bytes: got %d of %d bytes, want none of at least as many", size, len(got), cap(got))
		}
		recycleBuffer(make([]byte, size))
	}
}
