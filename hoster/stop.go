package hoster

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// balancerDrainDelay is how long the load balancer may send new connections
	// after the host reports that it is not ready.
	balancerDrainDelay = 2300 * time.Millisecond
	// exitReserve is the part of the stop timeout that is left unused.
	exitReserve = 400 * time.Millisecond
)

// errStopped ends the run group after a requested stop.
var errStopped = errors.New("stopped")

// awaitStop waits for ctx and then stops in an order that interrupts no request: the
// host first reports that it is not ready, and once the load balancer sends no new
// connections, sessions end as they become idle.
func (h *Host) awaitStop(ctx, workCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return workCtx.Err()
	}
	began := time.Now()
	h.Logger.Info("host_stopping", "host", h.Settings.Host, "sessions", h.director.Sessions())
	h.stopping.Store(true)
	h.forwarder.Stop()
	h.notifyChange(false)
	if h.largeFleet() {
		// The report of the hub makes all hosts use other pool hosts.
		h.exchanger.TriggerExchanges()
	}
	h.overseer.StopCampaigning()
	stopTimeout := h.stopTimeout()
	// Clients that connect before the load balancer has detected the stop are
	// served as usual.
	time.Sleep(min(balancerDrainDelay, stopTimeout/2))
	h.director.Stop(began.Add(stopTimeout / 2))
	h.forwarder.StopAt(began.Add(stopTimeout / 2))
	deadline := began.Add(stopTimeout - exitReserve)
	for time.Now().Before(deadline) {
		if h.director.Sessions() == 0 && h.forwarder.Active() == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.director.CloseAll()
	h.accounting.flush(workCtx, deadline)
	revoke, cancel := context.WithTimeout(workCtx, exitReserve/2)
	defer cancel()
	h.ended.Store(true)
	h.overseer.Stop(revoke)
	return errStopped
}
