package messenger

import (
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// An answerWriter sends the answer of a batch in chunks. A peer that does not
// read blocks it, and with it the endpoint.
type answerWriter struct {
	stream peerpb.DRPCPeer_ExecuteStream
	answer peerpb.ExecuteAnswer
	number uint64
	// data is sent when a chunk is full or with the end of the answer.
	data []byte
	// onSent is called after each chunk that was sent.
	onSent func()
	// err is the first error of a send; the stream is of no more use then.
	err error
}

// reset starts the answer of another batch.
func (w *answerWriter) reset(number uint64, onSent func()) {
	w.number = number
	w.onSent = onSent
	w.data = w.data[:0]
	w.err = nil
}

// Write implements io.Writer.
func (w *answerWriter) Write(data []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	written := 0
	for len(data) > 0 {
		n := min(chunkSize-len(w.data), len(data))
		w.data = append(w.data, data[:n]...)
		data = data[n:]
		written += n
		if len(w.data) < chunkSize {
			break
		}
		w.answer.Reset()
		w.answer.Number = w.number
		w.answer.Data = w.data
		if err := w.stream.Send(&w.answer); err != nil {
			w.err = errors.Wrap(err, "send answer")
			return written, w.err
		}
		w.data = w.data[:0]
		w.onSent()
	}
	return written, nil
}

// take returns the frame that ends the answer, with the data not sent yet.
func (w *answerWriter) take() *peerpb.ExecuteAnswer {
	w.answer.Reset()
	w.answer.Number = w.number
	w.answer.Data = w.data
	return &w.answer
}
