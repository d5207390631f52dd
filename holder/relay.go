package holder

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/pooler"
)

const (
	// flushSize is the size from which buffered data of a response is forwarded.
	// Together with the read buffer it bounds the memory of a response.
	flushSize = 32 << 10
	// maxHeldSize bounds the data that is held back until a commit is confirmed.
	maxHeldSize = 256 << 10
	// positionParameter is the name of the parameter in which a database reports
	// the position of a commit.
	positionParameter = "group_position"
)

var (
	// errHeldResponseTooLarge means that the response after a commit is larger
	// than maxHeldSize.
	errHeldResponseTooLarge = errors.New("answer after a commit is too large to hold back")
	// errClientWrite means that the response could not be written to the client.
	errClientWrite = errors.New("answer not taken")
)

// relayBuffers is the pool of response buffers.
var relayBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, flushSize)
	return &buffer
}}

// A relay forwards the response of one batch to the client.
type relay struct {
	response *pooler.Response
	writer   io.Writer
	// mayCommit is set when the response from the first CommandComplete on must be
	// held back.
	mayCommit bool

	buffer  *[]byte
	holding bool
	// forwarded is set once a byte of the response was forwarded.
	forwarded bool
	// messageRead is set once a message of the response was read.
	messageRead bool
	// firstErrorCode is the SQLSTATE of an error that was the first message.
	firstErrorCode string
	// lastErrorCode is the SQLSTATE of the last error.
	lastErrorCode string
	position      executor.Position
}

// readResponse reads the response up to ReadyForQuery. Data that was not
// forwarded remains in the buffer for flush.
func (r *relay) readResponse() error {
	r.buffer = relayBuffers.Get().(*[]byte)
	for {
		message, err := r.response.Next()
		if err != nil {
			return err
		}
		if message.Type == pooler.TypeReady {
			return nil
		}
		internal, err := r.inspect(message)
		if err != nil {
			return err
		}
		r.messageRead = true
		if !internal {
			if err := r.forward(message); err != nil {
				return err
			}
		}
	}
}

// inspect records what the relay needs from a message and reports whether the
// message is internal, that is, not forwarded to the client.
func (r *relay) inspect(message pooler.Message) (bool, error) {
	switch message.Type {
	case pooler.TypeParameterStatus:
		body, err := r.response.Body()
		if err != nil {
			return false, err
		}
		name, value := pooler.Parameter(body)
		if name != positionParameter {
			return false, nil
		}
		position, err := executor.ParsePosition(value)
		r.position = r.position.Max(position)
		return true, err
	case pooler.TypeError:
		body, err := r.response.Body()
		if err != nil {
			return false, err
		}
		r.lastErrorCode = pooler.ErrorCode(body)
		if !r.messageRead {
			r.firstErrorCode = r.lastErrorCode
		}
	case pooler.TypeCommandComplete:
		r.holding = r.holding || r.mayCommit
	}
	return false, nil
}

// forward adds a message to the buffer and flushes the buffer when it is full.
func (r *relay) forward(message pooler.Message) error {
	buffer := append(*r.buffer, message.Type)
	*r.buffer = binary.BigEndian.AppendUint32(buffer, uint32(message.Size)+4)
	for remaining := message.Size; remaining > 0; {
		if err := r.flushIfFull(); err != nil {
			return err
		}
		n, err := r.appendBody(min(remaining, flushSize))
		if err != nil {
			return err
		}
		remaining -= n
	}
	return r.flushIfFull()
}

// appendBody appends up to n bytes of the message body to the buffer.
func (r *relay) appendBody(n int) (int, error) {
	if body, ok := r.response.BufferedBody(); ok {
		*r.buffer = append(*r.buffer, body...)
		return len(body), nil
	}
	buffer := *r.buffer
	start := len(buffer)
	for cap(buffer)-start < n {
		buffer = append(buffer[:cap(buffer)], 0)
	}
	buffer = buffer[:start+n]
	n, err := r.response.Read(buffer[start:])
	*r.buffer = buffer[:start+n]
	return n, err
}

// flushIfFull flushes a full buffer, unless its content must be held back.
func (r *relay) flushIfFull() error {
	if r.holding {
		if len(*r.buffer) > maxHeldSize {
			return errors.WithStack(errHeldResponseTooLarge)
		}
		return nil
	}
	if len(*r.buffer) < flushSize {
		return nil
	}
	return r.flush()
}

// flush writes the buffer to the client.
func (r *relay) flush() error {
	if len(*r.buffer) == 0 {
		return nil
	}
	r.forwarded = true
	_, err := r.writer.Write(*r.buffer)
	*r.buffer = (*r.buffer)[:0]
	if err != nil {
		return errors.Wrap(errClientWrite, err.Error())
	}
	return nil
}

// release returns the buffer to the pool. Large ones are left to the garbage
// collector.
func (r *relay) release() {
	if r.buffer != nil && cap(*r.buffer) <= 2*flushSize {
		*r.buffer = (*r.buffer)[:0]
		relayBuffers.Put(r.buffer)
	}
	r.buffer = nil
}
