package hoster

import (
	"net"
	"time"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/forwarder"
)

// newBudget returns the budget of the host's connections.
func (h *Host) newBudget() *budgeter.Budget {
	limits := h.Settings.ClientLimits.Plan(h.Settings.MemoryMegabytes<<20, h.Settings.MaxDescriptors)
	reporter := &budgeter.Reporter{Logger: h.Logger, Registry: h.Registry}
	reporter.ReportLimits(limits)
	return &budgeter.Budget{Limits: limits, Now: time.Now, OnEvent: reporter.Report}
}

// counted returns a listener whose connections count against the budget.
func (h *Host) counted(listener net.Listener, class budgeter.Class) net.Listener {
	counted := &budgeter.Listener{Listener: listener, Budget: h.budget, Class: class}
	if class == budgeter.Peers {
		counted.Refusal = forwarder.RefusalFrame()
	}
	return counted
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
