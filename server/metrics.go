package server

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/tracker"
)

// count increments a counter. It caches the counters, since the registry takes a
// lock and inspects types on each lookup.
func (s *Server) count(name string) {
	if c, ok := s.counterCache.Load(name); ok {
		c.(metrics.Counter).Inc(1)
		return
	}
	c := metrics.GetOrRegisterCounter(name, s.Registry)
	s.counterCache.Store(name, c)
	c.Inc(1)
}

// timer returns the bufferedTimer of a name. It caches them like count.
func (s *Server) timer(name string) *bufferedTimer {
	if r, ok := s.timerCache.Load(name); ok {
		return r.(*bufferedTimer)
	}
	r, _ := s.timerCache.LoadOrStore(name, &bufferedTimer{timer: metrics.GetOrRegisterTimer(name, s.Registry)})
	return r.(*bufferedTimer)
}

// flushTimers passes all buffered durations to their timers.
func (s *Server) flushTimers() {
	s.timerCache.Range(func(_, value any) bool {
		value.(*bufferedTimer).flush()
		return true
	})
}

func (s *Server) batchDone(duration time.Duration, outcome string) {
	s.budget.recordRequest()
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

func (s *Server) countTokens(_ limiter.BucketName, amount float64) {
	s.count("token_transfers")
	metrics.GetOrRegisterCounter("tokens_received", s.Registry).Inc(int64(amount))
}
