package director

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// Metrics counts what a host does for clients.
type Metrics struct {
	Registry gometrics.Registry

	sessions atomic.Uint64
}

func (m *Metrics) nextSession() uint64 { return m.sessions.Add(1) }

func (m *Metrics) count(name string) {
	if m.Registry != nil {
		gometrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
	}
}

func (m *Metrics) sessionRefused(code executor.Code) { m.count("sessions_refused." + code.String()) }

// finished counts a statement by kind of route and outcome.
func (m *Metrics) finished(route cataloger.Route, reply executor.Reply, took time.Duration) {
	if m.Registry == nil {
		return
	}
	kind := route.Consistency.String()
	m.count("statements." + kind + "." + reply.Code.String())
	name := "latency." + kind
	histogram := m.Registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(512, 0.015))
	}).(gometrics.Histogram)
	histogram.Update(took.Microseconds())
}
