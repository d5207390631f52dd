package server

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/promoter"
)

const (
	// httpTimeout by default bounds reading a request for metrics or status and writing its
	// response.
	httpTimeout = 5 * time.Second
	// httpIdleTimeout bounds the time between two requests on a connection.
	httpIdleTimeout = time.Minute
	// maxHTTPHeader by default bounds the header of a request in bytes.
	maxHTTPHeader = 8 << 10
	// percentile99 is the quantile reported for timers.
	percentile99 = 0.99
)

// A Status describes a host, as printed by the status command.
type Status struct {
	Host        string
	DataCentre  string
	State       string
	Revision    uint64
	Fresh       bool
	FreshReason string
	Connections int
	Uptime      time.Duration
	Services    []ServiceStatus
	// Hosts holds all hosts in this host's view, including itself.
	Hosts     []HostStatus
	Customers []CustomerStatus
	Counters  map[string]int64
}

// A HostStatus describes this host's view of a host.
type HostStatus struct {
	Name       string
	DataCentre string
	State      string
	Revision   uint64
	// Age is the time since the revision was confirmed.
	Age time.Duration
}

// A ServiceStatus describes a service that this host holds.
type ServiceStatus struct {
	Name      string
	Held      bool
	Term      uint64
	Primary   string
	Databases []DatabaseStatus
}

// A DatabaseStatus describes a database of a held service.
type DatabaseStatus struct {
	Name      string
	Role      string
	Reachable bool
	// Lag is the number of log entries received by any database of the service
	// that this one has not applied.
	Lag         uint64
	Running     int
	Queued      int
	Connections int
}

// A CustomerStatus describes the token bucket of a customer for a held service.
type CustomerStatus struct {
	Customer string
	Service  string
	// Tokens is the number of available tokens out of Burst. Rate is the share of
	// this service in the customer's rate, in tokens per second.
	Tokens float64
	Burst  float64
	Rate   float64
}

// Status returns the current status.
func (s *Server) Status() Status {
	fresh, reason := s.gossip.Fresh()
	config := s.Config()
	status := Status{
		Host: s.Settings.Host, DataCentre: s.Settings.DataCentre, State: s.State(), Revision: config.Revision,
		Fresh: fresh, FreshReason: reason, Connections: s.acceptor.Connections(), Uptime: s.Now().Sub(s.started),
		Counters: s.counters(),
	}
	for _, h := range s.placer.all() {
		status.Services = append(status.Services, s.serviceStatus(h))
	}
	status.Hosts = s.hostStatus()
	status.Customers = s.customerStatus(config)
	return status
}

// State returns "starting", "serving", "taken_out" or "leaving".
func (s *Server) State() string {
	switch {
	case s.leaving.Load():
		return "leaving"
	case !s.ready.Load():
		return "starting"
	case s.takenOut():
		return "taken_out"
	default:
		return "serving"
	}
}

func (s *Server) serviceStatus(h *heldService) ServiceStatus {
	view := h.watcher.View()
	stats := h.holder.Stats()
	status := ServiceStatus{Name: h.service, Held: h.serving(s.Now()), Term: view.Term, Primary: view.Primary}
	var logEnd uint64
	for _, m := range view.Members {
		logEnd = max(logEnd, m.Status.Received)
	}
	for _, m := range view.Members {
		status.Databases = append(status.Databases, databaseStatus(m, logEnd))
	}
	for i := range status.Databases {
		for _, d := range stats.Databases {
			if d.Name == status.Databases[i].Name {
				status.Databases[i].Running = d.Load.Running
				status.Databases[i].Queued = d.Load.Queued
				status.Databases[i].Connections = d.Connections.Open
			}
		}
	}
	return status
}

func databaseStatus(m promoter.MemberState, logEnd uint64) DatabaseStatus {
	return DatabaseStatus{
		Name: m.Name, Role: string(m.Status.Role), Reachable: m.Reachable,
		Lag: logEnd - min(logEnd, m.Status.Applied),
	}
}

func (s *Server) hostStatus() []HostStatus {
	view := s.gossip.View()
	var hosts []HostStatus
	for _, c := range s.gossip.Confirmations() {
		status := HostStatus{Name: c.Host, Revision: c.Revision, Age: c.Age}
		if h, ok := view.Host(c.Host); ok {
			status.DataCentre = h.DataCentre
			status.State = h.State.String()
		}
		hosts = append(hosts, status)
	}
	return hosts
}

func (s *Server) customerStatus(config configurer.Config) []CustomerStatus {
	var customers []CustomerStatus
	for _, name := range s.limiter.Names() {
		tokens, burst := s.limiter.Level(name)
		services := len(s.servicesOf(name.Customer))
		limit := config.Limits[config.Customers[name.Customer].Limit]
		customers = append(customers, CustomerStatus{
			Customer: name.Customer, Service: name.Service, Tokens: tokens, Burst: burst,
			Rate: limit.Rate / float64(max(1, services)),
		})
	}
	return customers
}

// counters returns the values of all counters, and the count and the 99th
// percentile in microseconds of each timer.
func (s *Server) counters() map[string]int64 {
	values := make(map[string]int64)
	s.flushTimers()
	s.Registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			values[name] = m.Count()
		case metrics.Timer:
			values[name+"_count"] = m.Count()
			values[name+"_p99_us"] = int64(m.Percentile(percentile99)) / int64(time.Microsecond)
		}
	})
	s.addClientLoad(values)
	return values
}

func (s *Server) statusJSON() ([]byte, error) {
	content, err := EncodeStatus(s.Status())
	return content, errors.Wrap(err, "encode status")
}

// serveHTTP serves /status and /metrics until ctx is cancelled.
func (s *Server) serveHTTP(ctx context.Context) error {
	if s.Settings.HTTPAddress == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := budgeter.ListenTCP(ctx, s.Settings.HTTPAddress)
	if err != nil {
		return errors.Wrap(err, "listen for http")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	timeout := cmp.Or(s.Settings.HTTPTimeout, httpTimeout)
	httpServer := &http.Server{
		Handler: mux, ReadHeaderTimeout: timeout, ReadTimeout: timeout, WriteTimeout: timeout,
		IdleTimeout: httpIdleTimeout, MaxHeaderBytes: cmp.Or(s.Settings.MaxHTTPHeader, maxHTTPHeader),
	}
	context.AfterFunc(ctx, func() { httpServer.Close() })
	if err := httpServer.Serve(s.counted(listener, budgeter.HTTP)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve http")
	}
	return nil
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	content, err := s.statusJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeJSON(w, content)
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	content, err := json.Marshal(s.counters())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeJSON(w, content)
}

func (s *Server) writeJSON(w http.ResponseWriter, content []byte) {
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(content); err != nil {
		s.Logger.Warn("http_response_not_sent", "error", err)
	}
}

// HeldTerms returns the term of each service that this host holds. It includes
// services that are being claimed, from the moment at which the term is
// established, and services that are being handed over.
func (s *Server) HeldTerms() map[string]uint64 {
	terms := make(map[string]uint64)
	for _, h := range s.placer.all() {
		if term := h.term(); term > 0 {
			terms[h.service] = term
		}
	}
	return terms
}
