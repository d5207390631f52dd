package acceptor

import (
	"math/bits"
	"sync"
)

const (
	// minBufferBits and maxBufferBits are the sizes, as powers of two, of the buffers that
	// are pooled: from the first one above the size that is not counted to the greatest
	// message by default. Without the pools, messages that are refused or complete leave
	// megabytes behind for the garbage collector, which on a busy machine is too slow for them.
	minBufferBits, maxBufferBits = 14, 20
)

// bufferPools hold buffers of large requests by their size.
var bufferPools [maxBufferBits - minBufferBits + 1]sync.Pool

// newBuffer returns an empty buffer of at least the given capacity.
func newBuffer(size int) []byte {
	size = max(size, 1<<minBufferBits)
	class := bits.Len(uint(size-1)) - minBufferBits
	if class >= len(bufferPools) {
		return make([]byte, 0, size)
	}
	if buffer, ok := bufferPools[class].Get().(*[]byte); ok {
		return *buffer
	}
	return make([]byte, 0, 1<<(class+minBufferBits))
}

// recycleBuffer makes a buffer that is no longer used available to newBuffer. It leaves
// those of other sizes to the garbage collector.
func recycleBuffer(buffer []byte) {
	size := cap(buffer)
	class := bits.Len(uint(size)) - 1 - minBufferBits
	if class < 0 || class >= len(bufferPools) || size != 1<<(class+minBufferBits) {
		return
	}
	buffer = buffer[:0]
	bufferPools[class].Put(&buffer)
}

// reserve returns the buffer with a capacity of at least size and the same content. The
// given one must not be used afterwards.
func reserve(buffer []byte, size int) []byte {
	if cap(buffer) >= size {
		return buffer
	}
	larger := append(newBuffer(size), buffer...)
	recycleBuffer(buffer)
	return larger
}
