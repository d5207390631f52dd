package acceptor

import (
	"encoding/binary"
	"sync"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	// headerSize is the length of the type and the length of a message.
	headerSize = 5
	// smallBuffer is kept by every connection; it holds the usual batch.
	smallBuffer = 512
	// largeBuffer is borrowed while more than a small buffer arrives at once.
	largeBuffer = 16 << 10
	// maxStartup is the length of a startup packet that PostgreSQL accepts.
	maxStartup = 10_000
)

var largeBuffers = sync.Pool{New: func() any { return new([largeBuffer]byte) }}

// A reader cuts what a caller sends into messages. Between batches it holds
// the small buffer only. What it reads ahead of a batch is at most one buffer.
type reader struct {
	// fillFrom reads into p like io.Reader.
	fillFrom func(p []byte) (int, error)
	// large is nil while the small buffer is enough.
	large      *[largeBuffer]byte
	start, end int
	small      [smallBuffer]byte
}

// buffer returns the buffer in use.
func (r *reader) buffer() []byte {
	if r.large != nil {
		return r.large[:]
	}
	return r.small[:]
}

// buffered returns the number of bytes that were read ahead.
func (r *reader) buffered() int { return r.end - r.start }

// release returns the large buffer if it is empty.
func (r *reader) release() {
	if r.large != nil && r.start == r.end {
		largeBuffers.Put(r.large)
		r.large, r.start, r.end = nil, 0, 0
	}
}

// wait returns when at least one byte has arrived.
func (r *reader) wait() error {
	if r.start < r.end {
		return nil
	}
	r.release()
	return r.fill()
}

// fill reads into the empty buffer. When the small buffer was filled to the
// end, more is likely to follow, and the large one is used.
func (r *reader) fill() error {
	if r.large == nil && r.end == smallBuffer {
		r.large = largeBuffers.Get().(*[largeBuffer]byte)
	}
	n, err := r.fillFrom(r.buffer())
	r.start, r.end = 0, n
	if n > 0 {
		return nil
	}
	return err
}

// take appends the next n bytes to dst. It allocates no more than arrives.
func (r *reader) take(dst []byte, n int) ([]byte, error) {
	for n > 0 {
		if r.start == r.end {
			if err := r.fill(); err != nil {
				return dst, err
			}
		}
		m := min(n, r.end-r.start)
		dst = append(dst, r.buffer()[r.start:r.start+m]...)
		r.start += m
		n -= m
	}
	return dst, nil
}

// frame appends the next message, with its header, to dst and returns its
// type. limit bounds the length of dst afterwards. Errors about the message
// are *executor.Refusal; others come from the connection.
func (r *reader) frame(dst []byte, limit int) (kind byte, frame []byte, err error) {
	at := len(dst)
	if dst, err = r.take(dst, headerSize); err != nil {
		return 0, dst, err
	}
	kind = dst[at]
	if !frontendTypes[kind] {
		return 0, dst, executor.RefuseNotRun(executor.CodeProtocolViolation, "unknown type of message")
	}
	length := int(int32(binary.BigEndian.Uint32(dst[at+1:])))
	switch {
	case length < 4:
		return 0, dst, executor.RefuseNotRun(executor.CodeProtocolViolation, "invalid length of message")
	case length > limit-at-1:
		return 0, dst, executor.RefuseNotRun(executor.CodeTooLarge, "batch is larger than the limit")
	}
	dst, err = r.take(dst, length-4)
	return kind, dst, err
}

// startup returns the body of the next startup packet, which has no type.
func (r *reader) startup() ([]byte, error) {
	header, err := r.take(make([]byte, 0, 4), 4)
	if err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(header)))
	if length < 8 || length > maxStartup {
		return nil, executor.RefuseNotRun(executor.CodeProtocolViolation, "invalid length of startup packet")
	}
	return r.take(make([]byte, 0, length-4), length-4)
}

// frontendTypes are the types of messages that a caller may send.
var frontendTypes = func() (types [256]bool) {
	for _, c := range []byte("BCDEFHPQSXcdfp") {
		types[c] = true
	}
	return types
}()

// malformed is the refusal of a message that cannot be decoded. The error is
// left out, since it may quote what the caller sent.
func malformed(error) error {
	return executor.RefuseNotRun(executor.CodeProtocolViolation, "malformed message")
}
