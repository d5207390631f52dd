package server

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/tracker"
)

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Registry).Inc(1)
}

func (s *Server) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, s.Registry)
}

func (s *Server) batchDone(duration time.Duration, outcome string) {
	s.budget.request()
	s.count("batches_" + outcome)
	s.timer("batch").Update(duration)
}

func (s *Server) countRouted(_ string, replica bool, reason tracker.Reason) {
	if replica {
		s.count("routed_to_replica")
		return
	}
	s.count("routed_to_primary_" + string(reason))
}

func (s *Server) countTokens(_ limiter.Name, amount float64) {
	s.count("token_transfers")
	metrics.GetOrRegisterCounter("tokens_received", s.Registry).Inc(int64(amount))
}
