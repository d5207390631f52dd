package messenger

import (
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// A responseWriter sends the response to a batch in chunks. A peer that does not
// read blocks it, which applies back pressure to the endpoint.
type responseWriter struct {
	stream peerpb.DRPCPeer_ExecuteStream
	reply  peerpb.ExecuteAnswer
	number uint64
	// buffered is sent when it fills a chunk or with the last frame of the reply.
	buffered []byte
	// onSent is called after each chunk has been sent.
	onSent func()
	// err is the first send error, after which the stream is unusable.
	err error
}

// reset prepares the writer for the response to another batch.
func (w *responseWriter) reset(number uint64, onSent func()) {
	w.number = number
	w.onSent = onSent
	w.buffered = w.buffered[:0]
	w.err = nil
}

// Write implements io.Writer.
func (w *responseWriter) Write(data []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	written := 0
	for len(data) > 0 {
		n := min(chunkSize-len(w.buffered), len(data))
		w.buffered = append(w.buffered, data[:n]...)
		data = data[n:]
		written += n
		if len(w.buffered) < chunkSize {
			break
		}
		w.reply.Reset()
		w.reply.Number = w.number
		w.reply.Data = w.buffered
		if err := w.stream.Send(&w.reply); err != nil {
			w.err = errors.Wrap(err, "send answer")
			return written, w.err
		}
		w.buffered = w.buffered[:0]
		w.onSent()
	}
	return written, nil
}

// finalReply returns the last frame of the reply, with the data that has not been
// sent yet.
func (w *responseWriter) finalReply() *peerpb.ExecuteAnswer {
	w.reply.Reset()
	w.reply.Number = w.number
	w.reply.Data = w.buffered
	return &w.reply
}
