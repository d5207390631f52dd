package acceptor

import (
	"bufio"
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// writeBuffer is the size of the buffer that is borrowed for an answer.
const writeBuffer = 8 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, writeBuffer) }}

// errNotMessages says that an exchange wrote something that is no message.
var errNotMessages = errors.New("answer of the exchange is no sequence of messages")

// An answer is what a caller gets for one batch. It implements io.Writer for
// messages of an exchange.
type answer struct {
	out     *bufio.Writer
	scanner scanner
	// err is the first error of writing to the caller.
	err error
}

// newAnswer borrows a buffer; finish returns it.
func newAnswer(w io.Writer) *answer {
	out := writers.Get().(*bufio.Writer)
	out.Reset(w)
	return &answer{out: out}
}

// Write passes messages on to the caller.
func (a *answer) Write(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	if !a.scanner.scan(p) {
		a.err = errNotMessages
		return 0, a.err
	}
	n, err := a.out.Write(p)
	a.err = err
	return n, err
}

// send adds messages of the proxy itself.
func (a *answer) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		if a.err != nil {
			return
		}
		encoded, err := m.Encode(a.out.AvailableBuffer())
		if err == nil {
			_, err = a.out.Write(encoded)
		}
		a.err = err
	}
}

// finish sends what is left and returns the first error of the answer.
func (a *answer) finish() error {
	if a.err == nil {
		a.err = a.out.Flush()
	}
	a.out.Reset(io.Discard)
	writers.Put(a.out)
	a.out = nil
	return a.err
}

// errorResponse returns the message of a refusal.
func errorResponse(severity string, refusal *executor.Refusal) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: refusal.Code, Message: refusal.Message,
	}
}

// fail adds an error that leaves the connection usable.
func (a *answer) fail(refusal *executor.Refusal) {
	a.scanner.failed = true
	a.send(errorResponse("ERROR", refusal))
}
