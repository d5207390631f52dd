package director

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// Metrics counts the sessions and statements that a host serves.
type Metrics struct {
	Registry gometrics.Registry

	lastSessionNumber atomic.Uint64
}

func (m *Metrics) nextSessionNumber() uint64 { return m.lastSessionNumber.Add(1) }

func (m *Metrics) increment(name string) {
	if m.Registry != nil {
		gometrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
	}
}

func (m *Metrics) setGauge(name string, value int64) {
	if m.Registry != nil {
		gometrics.GetOrRegisterGauge(name, m.Registry).Update(value)
	}
}

func (m *Metrics) recordSessionRefusal(code executor.Code) {
	m.increment("sessions_refused." + code.String())
}

// recordRefusal counts an operation that got no slot.
func (m *Metrics) recordRefusal(reason admitter.Reason) {
	m.increment("admission_refused." + reason.String())
}

// recordStatement counts a completed statement by its route's consistency and
// its result code, and records its latency.
func (m *Metrics) recordStatement(route cataloger.Route, response executor.Response, latency time.Duration) {
	if m.Registry == nil {
		return
	}
	consistency := route.Consistency.String()
	m.increment("statements." + consistency + "." + response.Code.String())
	name := "latency." + consistency
	histogram := m.Registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(512, 0.015))
	}).(gometrics.Histogram)
	histogram.Update(latency.Microseconds())
}
