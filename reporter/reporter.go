// Package reporter writes logs and metrics without ever holding up a request.
package reporter

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// flushInterval is how long lines are collected before they are written.
	flushInterval = 100 * time.Millisecond
	// flushBytes is how much is written at once.
	flushBytes = 32 << 10
)

// A Writer takes whole lines and writes them in the background. Lines that
// find the queue full are dropped and counted.
type Writer struct {
	// Out receives the lines; a slow Out delays nobody.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer whose Run has to be started.
func NewWriter(out io.Writer) *Writer {
	return &Writer{Out: out, lines: make(chan []byte, queueLines)}
}

// Write queues one line. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends, and then what is left.
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

// collect appends what waits in the queue, up to flushBytes.
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

// flush writes the buffer, with a line on newly dropped ones.
func (w *Writer) flush(buffer []byte, reported int64) int64 {
	dropped := w.Dropped()
	if dropped > reported {
		buffer = append(buffer, "level=WARN msg=log_lines_dropped count="...)
		buffer = strconv.AppendInt(buffer, dropped-reported, 10)
		buffer = append(buffer, '\n')
	}
	// There is nowhere to report that logs can't be written.
	_, _ = w.Out.Write(buffer)
	return dropped
}

func (w *Writer) drain(buffer []byte) {
	for len(w.lines) > 0 {
		buffer = w.collect(buffer[:0])
		_, _ = w.Out.Write(buffer)
	}
}

// NewLogger returns a logger of one line of key=value pairs for each event.
func NewLogger(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
