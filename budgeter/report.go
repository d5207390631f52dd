package budgeter

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxEventLines bounds the log lines a second about connections that were refused or
// closed. The metrics count all of them.
const maxEventLines = 10

// A Reporter logs and counts the events of a budget. Its exported fields are set before
// first use.
type Reporter struct {
	Logger   *slog.Logger
	Registry metrics.Registry

	limit eventLimit
}

// Report logs and counts a connection that was refused or closed.
func (r *Reporter) Report(e Event) {
	counter := "client_closed."
	if e.Refused {
		counter = "client_refused."
	}
	metrics.GetOrRegisterCounter(counter+e.Class.String(), r.Registry).Inc(1)
	if !r.limit.allow(time.Now()) {
		return
	}
	fields := []any{"class", e.Class.String(), "reason", e.Reason.Error(), "client", e.Address, "customer", e.Customer, "bytes", e.Bytes}
	if e.Refused {
		r.Logger.Warn("client_refused", fields...)
		return
	}
	r.Logger.Warn("client_closed", fields...)
}

// ReportLimits logs the limits in force.
func (r *Reporter) ReportLimits(l Limits) {
	r.Logger.Info("limits_in_force", "memory", l.Memory, "connection_memory", l.ConnectionMemory,
		"clients", l.Connections[Clients], "peers", l.Connections[Peers], "http", l.Connections[HTTP])
}

// An eventLimit bounds the number of log lines a second.
type eventLimit struct {
	mu     sync.Mutex
	second int64
	lines  int
}

// allow reports whether another line may be logged now.
func (l *eventLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxEventLines
}
