package acceptor

import (
	"encoding/binary"
	"sync"

	"github.com/endiveturn/endiveturn/executor"
)

const (
	// headerSize is the size of a message header: the type and the length.
	headerSize = 5
	// smallBufferSize is the size of the buffer that each connection keeps; it is enough
	// for a short batch, and small enough that an idle connection with its account needs
	// no more memory than one without accounts and 512 bytes.
	smallBufferSize = 256
	// largeBufferSize is the size of the pooled buffer that is used while more
	// than a small buffer arrives at once.
	largeBufferSize = 16 << 10
	// maxStartupSize is the maximum length of a startup packet, as in
	// PostgreSQL.
	maxStartupSize = 10_000
)

var largeBufferPool = sync.Pool{New: func() any { return new([largeBufferSize]byte) }}

// A reader splits the input from a client into messages. Between batches it
// holds only the small buffer. It reads ahead by at most one buffer.
type reader struct {
	// source reads from the client, like io.Reader.
	source func(p []byte) (int, error)
	// pay, if not nil, is called before a request grows to a size in bytes. It returns the
	// size that its buffer should have, or the reason to refuse it.
	pay func(size int) (int, error)
	// large is nil while the small buffer is sufficient.
	large      *[largeBufferSize]byte
	start, end int
	small      [smallBufferSize]byte
}

// buffer returns the buffer in use.
func (r *reader) buffer() []byte {
	if r.large != nil {
		return r.large[:]
	}
	return r.small[:]
}

// buffered returns the number of bytes that have been read but not consumed.
func (r *reader) buffered() int { return r.end - r.start }

// release returns the large buffer to the pool if it is empty.
func (r *reader) release() {
	if r.large != nil && r.start == r.end {
		largeBufferPool.Put(r.large)
		r.large, r.start, r.end = nil, 0, 0
	}
}

// wait returns once at least one byte is buffered.
func (r *reader) wait() error {
	if r.start < r.end {
		return nil
	}
	r.release()
	return r.fill()
}

// fill reads into the empty buffer. If the last read filled the small buffer
// completely, more data is likely to follow, and it switches to the large one.
func (r *reader) fill() error {
	if r.large == nil && r.end == smallBufferSize {
		r.large = largeBufferPool.Get().(*[largeBufferSize]byte)
	}
	n, err := r.source(r.buffer())
	r.start, r.end = 0, n
	if n > 0 {
		return nil
	}
	return err
}

// appendN appends the next n bytes to dst. It allocates only for bytes that
// arrive, not for the announced length.
func (r *reader) appendN(dst []byte, n int) ([]byte, error) {
	for n > 0 {
		if r.start == r.end {
			if err := r.fill(); err != nil {
				return dst, err
			}
		}
		m := min(n, r.end-r.start)
		if len(dst)+m > uncountedRequest && r.pay != nil {
			size, err := r.pay(len(dst) + m)
			if err != nil {
				return dst, err
			}
			dst = reserve(dst, size)
		}
		dst = append(dst, r.buffer()[r.start:r.start+m]...)
		r.start += m
		n -= m
	}
	return dst, nil
}

// frame appends the next message, including its header, to dst and returns its
// type. limit is the maximum length of dst afterwards. Errors about the message
// are *executor.Refusal; other errors come from the connection.
func (r *reader) frame(dst []byte, limit int) (kind byte, frame []byte, err error) {
	start := len(dst)
	if dst, err = r.appendN(dst, headerSize); err != nil {
		return 0, dst, err
	}
	kind = dst[start]
	if !frontendTypes[kind] {
		return 0, dst, executor.RefuseNotRun(executor.CodeProtocolViolation, "unknown type of message")
	}
	length := int(int32(binary.BigEndian.Uint32(dst[start+1:])))
	switch {
	case length < 4:
		return 0, dst, executor.RefuseNotRun(executor.CodeProtocolViolation, "invalid length of message")
	case length > limit-start-1:
		return 0, dst, executor.RefuseNotRun(executor.CodeTooLarge, "batch is larger than the limit")
	}
	dst, err = r.appendN(dst, length-4)
	return kind, dst, err
}

// startupPacket returns the body of the next startup packet, which has no type
// byte.
func (r *reader) startupPacket() ([]byte, error) {
	header, err := r.appendN(make([]byte, 0, 4), 4)
	if err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(header)))
	if length < 8 || length > maxStartupSize {
		return nil, executor.RefuseNotRun(executor.CodeProtocolViolation, "invalid length of startup packet")
	}
	return r.appendN(make([]byte, 0, length-4), length-4)
}

// frontendTypes are the message types that a client may send.
var frontendTypes = func() (types [256]bool) {
	for _, c := range []byte("BCDEFHPQSXcdfp") {
		types[c] = true
	}
	return types
}()

// refuseMalformed returns the refusal of a message that cannot be decoded. It
// omits the error, which may quote what the client sent.
func refuseMalformed(error) error {
	return executor.RefuseNotRun(executor.CodeProtocolViolation, "malformed message")
}
