package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/promoter"
)

const (
	// httpTimeout bounds a request for metrics or status.
	httpTimeout = 5 * time.Second
	// percentile99 is the quantile given for timers.
	percentile99 = 0.99
)

// A Status describes a host, as the status command prints it.
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
	// Hosts are all hosts this one knows, itself included.
	Hosts     []HostStatus
	Customers []CustomerStatus
	Counters  map[string]int64
}

// A HostStatus is what this host knows of another.
type HostStatus struct {
	Name       string
	DataCentre string
	State      string
	Revision   uint64
	// Age is how long ago the revision was confirmed.
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
	// Lag is the number of log entries that the database has not applied.
	Lag         uint64
	Running     int
	Queued      int
	Connections int
}

// A CustomerStatus describes a customer's tokens for a held service.
type CustomerStatus struct {
	Customer string
	Service  string
	// Tokens is the number left of Burst; Rate is the share of this service.
	Tokens float64
	Burst  float64
	Rate   float64
}

// Status returns the present status.
func (s *Server) Status() Status {
	fresh, reason := s.gossip.Fresh()
	set := s.Set()
	status := Status{
		Host: s.Settings.Host, DataCentre: s.Settings.DataCentre, State: s.State(), Revision: set.Revision,
		Fresh: fresh, FreshReason: reason, Connections: s.acceptor.Connections(), Uptime: s.Now().Sub(s.started),
		Counters: s.counters(),
	}
	for _, h := range s.placer.all() {
		status.Services = append(status.Services, s.serviceStatus(h))
	}
	status.Hosts = s.hostStatus()
	status.Customers = s.customerStatus(set)
	return status
}

// State returns starting, serving, taken_out or leaving.
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

func (s *Server) serviceStatus(h *holding) ServiceStatus {
	view := h.watcher.View()
	stats := h.holder.Stats()
	status := ServiceStatus{Name: h.service, Held: h.held(s.Now()), Term: view.Term, Primary: view.Primary}
	var head uint64
	for _, m := range view.Members {
		head = max(head, m.Status.Received)
	}
	for _, m := range view.Members {
		status.Databases = append(status.Databases, databaseStatus(m, head))
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

func databaseStatus(m promoter.MemberView, head uint64) DatabaseStatus {
	return DatabaseStatus{
		Name: m.Name, Role: string(m.Status.Role), Reachable: m.Reachable,
		Lag: head - min(head, m.Status.Applied),
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

func (s *Server) customerStatus(set configurer.Set) []CustomerStatus {
	var list []CustomerStatus
	for _, name := range s.limiter.Names() {
		level, burst := s.limiter.Level(name)
		services := len(s.servicesOf(name.Customer))
		limit := set.Limits[set.Customers[name.Customer].Limit]
		list = append(list, CustomerStatus{
			Customer: name.Customer, Service: name.Service, Tokens: level, Burst: burst,
			Rate: limit.Rate / float64(max(1, services)),
		})
	}
	return list
}

// counters returns all counters, and the 99th percentile of each timer in
// microseconds.
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
	return values
}

func (s *Server) statusJSON() ([]byte, error) {
	content, err := EncodeStatus(s.Status())
	return content, errors.Wrap(err, "encode status")
}

// serveHTTP answers /status and /metrics until ctx ends.
func (s *Server) serveHTTP(ctx context.Context) error {
	if s.Settings.HTTPAddress == "" {
		<-ctx.Done()
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Settings.HTTPAddress)
	if err != nil {
		return errors.Wrap(err, "listen for http")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.answerStatus)
	mux.HandleFunc("GET /metrics", s.answerMetrics)
	httpServer := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout}
	context.AfterFunc(ctx, func() { httpServer.Close() })
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve http")
	}
	return nil
}

func (s *Server) answerStatus(w http.ResponseWriter, _ *http.Request) {
	content, err := s.statusJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.answer(w, content)
}

func (s *Server) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	content, err := json.Marshal(s.counters())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.answer(w, content)
}

func (s *Server) answer(w http.ResponseWriter, content []byte) {
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(content); err != nil {
		s.Logger.Warn("http answer not sent", "error", err)
	}
}

// HeldTerms returns the terms by which this host holds services, by service. A
// service that is being claimed or handed over is among them once it has a
// term.
func (s *Server) HeldTerms() map[string]uint64 {
	terms := make(map[string]uint64)
	for _, h := range s.placer.all() {
		if term := h.term(); term > 0 {
			terms[h.service] = term
		}
	}
	return terms
}
