package server

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/tracker"
)

// count adds one to a counter. The counters are kept beside the registry, which
// takes a lock and looks at types on each call.
func (s *Server) count(name string) {
	if c, ok := s.metrics.Load(name); ok {
		c.(metrics.Counter).Inc(1)
		return
	}
	c := metrics.GetOrRegisterCounter(name, s.Registry)
	s.metrics.Store(name, c)
	c.Inc(1)
}

// timer returns the recorder of a name, kept as the counters are.
func (s *Server) timer(name string) *recorder {
	if r, ok := s.recorders.Load(name); ok {
		return r.(*recorder)
	}
	r, _ := s.recorders.LoadOrStore(name, &recorder{timer: metrics.GetOrRegisterTimer(name, s.Registry)})
	return r.(*recorder)
}

// flushTimers hands over the durations that were not handed to their timers yet.
func (s *Server) flushTimers() {
	s.recorders.Range(func(_, value any) bool {
		value.(*recorder).flush()
		return true
	})
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
