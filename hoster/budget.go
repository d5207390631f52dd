package hoster

import (
	"net"
	"sync"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/budgeter"
)

// maxClientEvents bounds the log lines a second about connections that were refused or
// closed. The metrics count all of them.
const maxClientEvents = 10

// newBudget returns the budget of the host's connections.
func (h *Host) newBudget() *budgeter.Budget {
	limits := budgeter.Plan(h.Settings.MemoryMegabytes<<20, h.Settings.MaxDescriptors)
	h.Logger.Info("limits_in_force", "memory", limits.Memory, "connection_memory", limits.ConnectionMemory,
		"clients", limits.Connections[budgeter.Clients], "peers", limits.Connections[budgeter.Peers], "http", limits.Connections[budgeter.HTTP])
	events := &eventLimit{}
	return &budgeter.Budget{Limits: limits, Now: time.Now, OnEvent: func(e budgeter.Event) { h.reportEvent(e, events) }}
}

// processDescriptors returns the limit of descriptors of the process, 0 if it is unknown.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

// counted returns a listener whose connections count against the budget.
func (h *Host) counted(listener net.Listener, class budgeter.Class) net.Listener {
	return &budgeter.Listener{Listener: listener, Budget: h.budget, Class: class}
}

// reportEvent logs and counts a connection that was refused or closed.
func (h *Host) reportEvent(e budgeter.Event, events *eventLimit) {
	counter := "client_closed."
	if e.Refused {
		counter = "client_refused."
	}
	gometrics.GetOrRegisterCounter(counter+e.Class.String(), h.Registry).Inc(1)
	if !events.allow(time.Now()) {
		return
	}
	fields := []any{"class", e.Class.String(), "reason", e.Reason.Error(), "client", e.Address, "customer", e.Customer, "bytes", e.Bytes}
	if e.Refused {
		h.Logger.Warn("client_refused", fields...)
		return
	}
	h.Logger.Warn("client_closed", fields...)
}

// updateBudgetGauges updates the gauges of what connections use.
func (h *Host) updateBudgetGauges(set func(name string, value int64)) {
	load := h.budget.Load()
	set("client_memory_bytes", load.Memory)
	set("client_memory_closing_bytes", load.Closing)
	for class, count := range load.Connections {
		set("open_connections."+class.String(), int64(count))
	}
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
	return l.lines <= maxClientEvents
}
