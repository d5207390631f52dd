package hoster

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/reporter"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// maintenanceInterval is the interval of periodic maintenance.
	maintenanceInterval = time.Second
	// idleConnectionTimeout is how long a connection to a database stays idle before
	// it is closed.
	idleConnectionTimeout = 20 * time.Second
	// httpTimeout by default bounds the time for a request and for its response, httpIdleTimeout
	// that between two requests of a connection.
	httpTimeout     = 5 * time.Second
	httpIdleTimeout = time.Minute
	// maxHTTPHeader by default bounds the header of a request in bytes. Health checks and monitoring
	// systems send some hundred bytes.
	maxHTTPHeader = 8 << 10
	// isolationTolerance is how long a host may be without a current view before it
	// reports that it is not ready.
	isolationTolerance = 500 * time.Millisecond
)

// accept serves clients until ctx ends.
func (h *Host) accept(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			h.Logger.Warn("accept_failed", "error", err.Error())
			time.Sleep(10 * time.Millisecond)
			continue
		}
		account, err := h.budget.Open(budgeter.Clients, budgeter.Address(conn), func() { _ = conn.Close() })
		if err != nil {
			_ = conn.Close()
			continue
		}
		go h.director.Serve(ctx, h.Platform.Client(conn, account))
	}
}

// maintain does the periodic maintenance of connections, the catalog, metrics and
// usage reports until ctx ends.
func (h *Host) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.director.Maintain(idleConnectionTimeout)
			h.notifyChange(false)
			h.updateGauges()
			h.forgetObsoleteUsage()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateGauges updates the gauges that describe the state of the host.
func (h *Host) updateGauges() {
	set := func(name string, value int64) { gometrics.GetOrRegisterGauge(name, h.Registry).Update(value) }
	set("sessions", int64(h.director.Sessions()))
	set("operations_open_for_others", int64(h.forwarder.Active()))
	set("log_lines_dropped", h.Writer.Dropped())
	set("view_age_ms", timekeeper.Now().Sub(h.viewCompleteAsOf()).Milliseconds())
	set("store_revision", h.mirror.Revision())
	set("store_era", h.Platform.Store.Era())
	h.updateBudgetGauges(set)
	set("primaries_unconfirmed", boolGauge(h.awaitsConfirmation()))
	if catalog := h.latestCatalog(); catalog != nil {
		set("hosts", int64(len(catalog.Hosts)))
		if catalog.Configuration != nil {
			set("configuration_version", int64(catalog.Configuration.Version))
		}
	}
	for name, load := range h.director.ConnectionLoads() {
		set("connections_used."+name, int64(load.Used))
		set("connections_waited_for."+name, int64(load.Waiting))
	}
}

func boolGauge(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func (h *Host) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	timeout := cmp.Or(h.Settings.HTTPTimeout, httpTimeout)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: timeout, ReadTimeout: timeout, WriteTimeout: timeout,
		IdleTimeout: httpIdleTimeout, MaxHeaderBytes: cmp.Or(h.Settings.MaxHTTPHeader, maxHTTPHeader),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return errors.Wrap(server.Serve(listener), listener.Addr().String())
}

// isolated reports whether the host has been without a current view for long. It
// then reaches neither the store nor the other hosts, which can serve its clients
// better.
func (h *Host) isolated() bool {
	return timekeeper.Now().Sub(h.viewCompleteAsOf()) > director.MaxViewAge+isolationTolerance
}

// readiness handles the load balancer's health check. The host is ready while
// it has the configuration and a current view, until it stops.
func (h *Host) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.Platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		catalog := h.latestCatalog()
		if h.stopping.Load() || catalog == nil || catalog.Configuration == nil || h.isolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if h.Settings.MetricsAddress == "" {
		mux.HandleFunc("GET "+ExplainPath, h.explain)
	}
	return mux
}

func (h *Host) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		reporter.WriteMetrics(w, h.Registry)
	})
	mux.HandleFunc("GET "+ExplainPath, h.explain)
	return mux
}
