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
	// relaySize is the amount of an answer that is passed on at once. Together
	// with the read buffer it bounds the memory of an answer.
	relaySize = 32 << 10
	// holdSize bounds what is held back until a commit is confirmed.
	holdSize = 256 << 10
	// positionParameter is the parameter by which a database reports a commit.
	positionParameter = "group_position"
)

var (
	// errHoldFull says that more follows a commit than can be held back.
	errHoldFull = errors.New("answer after a commit is too large to hold back")
	// errWriter says that the caller did not take the answer.
	errWriter = errors.New("answer not taken")
)

// relayBuffers keeps buffers of answers.
var relayBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, relaySize)
	return &buffer
}}

// A relay passes the answer of one batch on.
type relay struct {
	answer *pooler.Answer
	writer io.Writer
	// mayCommit is set when everything from the first CommandComplete on has to
	// be held back.
	mayCommit bool

	buffer *[]byte
	held   bool
	// passed is set once a byte of the answer was passed on.
	passed bool
	// seen is set once a message of the answer was read.
	seen bool
	// firstError is the SQLSTATE of an error that was the first message.
	firstError string
	// lastError is the SQLSTATE of the last error.
	lastError string
	position  executor.Position
}

// run reads the answer up to ReadyForQuery. What was not passed on remains in
// the buffer for flush.
func (r *relay) run() error {
	r.buffer = relayBuffers.Get().(*[]byte)
	for {
		message, err := r.answer.Next()
		if err != nil {
			return err
		}
		if message.Type == pooler.TypeReady {
			return nil
		}
		own, err := r.inspect(message)
		if err != nil {
			return err
		}
		r.seen = true
		if !own {
			if err := r.pass(message); err != nil {
				return err
			}
		}
	}
}

// inspect takes note of a message and reports whether it is for the holder only.
func (r *relay) inspect(message pooler.Message) (bool, error) {
	switch message.Type {
	case pooler.TypeParameterStatus:
		body, err := r.answer.Body()
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
		body, err := r.answer.Body()
		if err != nil {
			return false, err
		}
		r.lastError = pooler.ErrorCode(body)
		if !r.seen {
			r.firstError = r.lastError
		}
	case pooler.TypeCommandComplete:
		r.held = r.held || r.mayCommit
	}
	return false, nil
}

// pass adds a message to the buffer and passes full buffers on.
func (r *relay) pass(message pooler.Message) error {
	buffer := append(*r.buffer, message.Type)
	*r.buffer = binary.BigEndian.AppendUint32(buffer, uint32(message.Size)+4)
	for left := message.Size; left > 0; {
		if err := r.room(); err != nil {
			return err
		}
		n, err := r.fill(min(left, relaySize))
		if err != nil {
			return err
		}
		left -= n
	}
	return r.room()
}

// fill appends up to n bytes of the body to the buffer.
func (r *relay) fill(n int) (int, error) {
	if body, ok := r.answer.Taken(); ok {
		*r.buffer = append(*r.buffer, body...)
		return len(body), nil
	}
	buffer := *r.buffer
	start := len(buffer)
	for cap(buffer)-start < n {
		buffer = append(buffer[:cap(buffer)], 0)
	}
	buffer = buffer[:start+n]
	n, err := r.answer.Read(buffer[start:])
	*r.buffer = buffer[:start+n]
	return n, err
}

// room passes a full buffer on, unless it has to be held back.
func (r *relay) room() error {
	if r.held {
		if len(*r.buffer) > holdSize {
			return errors.WithStack(errHoldFull)
		}
		return nil
	}
	if len(*r.buffer) < relaySize {
		return nil
	}
	return r.flush()
}

// flush passes the buffer on.
func (r *relay) flush() error {
	if len(*r.buffer) == 0 {
		return nil
	}
	r.passed = true
	_, err := r.writer.Write(*r.buffer)
	*r.buffer = (*r.buffer)[:0]
	if err != nil {
		return errors.Wrap(errWriter, err.Error())
	}
	return nil
}

// release gives the buffer back. Large ones are left to the garbage collector.
func (r *relay) release() {
	if r.buffer != nil && cap(*r.buffer) <= 2*relaySize {
		*r.buffer = (*r.buffer)[:0]
		relayBuffers.Put(r.buffer)
	}
	r.buffer = nil
}
