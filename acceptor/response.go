package acceptor

import (
	"bufio"
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// writeBufferSize is the size of the pooled buffers for responses.
const writeBufferSize = 8 << 10

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, writeBufferSize) }}

// errMalformedStream means that an exchange wrote something other than complete
// backend messages.
var errMalformedStream = errors.New("exchange wrote data that is not a sequence of backend messages")

// A responseWriter writes the response to one request to the client. It
// implements io.Writer for the messages from an exchange.
type responseWriter struct {
	out     *bufio.Writer
	scanner scanner
	// err is the first error of a write to the client.
	err error
}

// newResponseWriter takes a buffer from the pool; finish puts it back.
func newResponseWriter(w io.Writer) *responseWriter {
	out := writerPool.Get().(*bufio.Writer)
	out.Reset(w)
	return &responseWriter{out: out}
}

// Write forwards messages from an exchange to the client.
func (w *responseWriter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	if !w.scanner.scan(p) {
		w.err = errMalformedStream
		return 0, w.err
	}
	n, err := w.out.Write(p)
	w.err = err
	return n, err
}

// send adds messages that the proxy itself generates.
func (w *responseWriter) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		if w.err != nil {
			return
		}
		encoded, err := m.Encode(w.out.AvailableBuffer())
		if err == nil {
			_, err = w.out.Write(encoded)
		}
		w.err = err
	}
}

// finish flushes the buffer, returns it to the pool and returns the first error
// of the response.
func (w *responseWriter) finish() error {
	if w.err == nil {
		w.err = w.out.Flush()
	}
	w.out.Reset(io.Discard)
	writerPool.Put(w.out)
	w.out = nil
	return w.err
}

// errorResponse returns the ErrorResponse message for a refusal.
func errorResponse(severity string, refusal *executor.Refusal) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: refusal.Code, Message: refusal.Message,
	}
}

// sendError adds an error after which the connection remains usable.
func (w *responseWriter) sendError(refusal *executor.Refusal) {
	w.scanner.errorSeen = true
	w.send(errorResponse("ERROR", refusal))
}
