package main

import (
	"context"
	"io"
	"log/slog"
	"time"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// An environment holds the context, the standard streams and the clock that a
// command uses.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	now    func() time.Time
}

// logger writes one key=value line per event to stderr.
func (e *environment) logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(e.stderr, &slog.HandlerOptions{Level: level, ReplaceAttr: errorAsText}))
}

// errorAsText replaces an attribute that is an error by its text. The handler would
// also print the stack trace of an error of pkg/errors, which does not belong on a
// line of key=value pairs.
func errorAsText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
