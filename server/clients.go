package server

import (
	"net"

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/budgeter"
)

// newClientBudget returns the budget of what connections of clients, other hosts and
// HTTP can cause this host to use.
func (s *Server) newClientBudget() *budgeter.Budget {
	limits := s.Settings.ClientLimits.Plan(s.Settings.MemoryMegabytes<<20, s.Settings.MaxDescriptors)
	if limits.ConnectionMemory > 0 {
		limits.ConnectionMemory = max(limits.ConnectionMemory, acceptor.RequiredMemory(s.Settings.MaxMessageBytes))
	}
	reporter := &budgeter.Reporter{Logger: s.Logger, Registry: s.Registry}
	reporter.ReportLimits(limits)
	return &budgeter.Budget{Limits: limits, Now: s.Now, OnEvent: reporter.Report}
}

// counted returns a listener whose connections count against the budget.
func (s *Server) counted(listener net.Listener, class budgeter.Class) net.Listener {
	return &budgeter.Listener{Listener: listener, Budget: s.clientBudget, Class: class}
}

// addClientLoad adds what connections use to the values of the metrics.
func (s *Server) addClientLoad(values map[string]int64) {
	load := s.clientBudget.Load()
	values["client_memory_bytes"] = load.Memory
	values["client_memory_closing_bytes"] = load.Closing
	for class, count := range load.Connections {
		values["open_connections."+class.String()] = int64(count)
	}
}
