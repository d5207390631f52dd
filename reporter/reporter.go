// Package reporter writes logs and metrics without ever blocking a request.
package reporter

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 4096
	// flushInterval is the delay between two writes, during which lines are
	// collected.
	flushInterval = 100 * time.Millisecond
	// flushBytes is the size in bytes at which no further lines are added to a write.
	flushBytes = 32 << 10
)

// A Writer queues whole lines and writes them in the background. Lines that arrive
// while the queue is full are dropped and counted.
type Writer struct {
	// Out receives the lines. A slow Out does not block calls of Write.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer. Nothing is written to out before Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{Out: out, lines: make(chan []byte, queueCapacity)}
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that are left in the
// queue.
func (w *Writer) Run(ctx context.Context) error {
	var buffer []byte
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			buffer = w.collect(append(buffer[:0], line...))
			reported = w.flush(buffer, reported)
		case <-ctx.Done():
			w.drain(buffer[:0])
			return ctx.Err()
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// collect appends queued lines until the queue is empty or the buffer has reached
// flushBytes.
func (w *Writer) collect(buffer []byte) []byte {
	for len(buffer) < flushBytes {
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
	return buffer
}

// flush writes the buffer, followed by a log line with the number of lines
// dropped since the last report, if there are any. It returns the total number
// reported.
func (w *Writer) flush(buffer []byte, reported int64) int64 {
	dropped := w.Dropped()
	if dropped > reported {
		buffer = append(buffer, "level=WARN msg=log_lines_dropped count="...)
		buffer = strconv.AppendInt(buffer, dropped-reported, 10)
		buffer = append(buffer, '\n')
	}
	// A failure to write logs cannot be reported anywhere else.
	_, _ = w.Out.Write(buffer)
	return dropped
}

// drain writes all lines that are left in the queue.
func (w *Writer) drain(buffer []byte) {
	for len(w.lines) > 0 {
		buffer = w.collect(buffer[:0])
		_, _ = w.Out.Write(buffer)
	}
}

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: cutText}))
}

// maxTextLength is the length in bytes from which the text of a pair is cut. Names and
// request ids come from clients, and many lines may wait to be written.
const maxTextLength = 512

// cutText shortens the text of a pair.
func cutText(_ []string, pair slog.Attr) slog.Attr {
	if pair.Value.Kind() != slog.KindString || len(pair.Value.String()) <= maxTextLength {
		return pair
	}
	return slog.String(pair.Key, strings.ToValidUTF8(pair.Value.String()[:maxTextLength], "")+"...")
}
