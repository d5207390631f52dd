package hoster

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/budgeter"
)

// listeners are the listeners of a host.
type listeners struct {
	clients, peers, readiness net.Listener
	// metrics is nil if the settings have no address for metrics.
	metrics net.Listener
}

// openListeners opens all listeners of the settings. If one cannot be opened, those
// opened before are closed.
func (h *Host) openListeners(ctx context.Context) (l listeners, err error) {
	listen := h.Listen
	if listen == nil {
		listen = budgeter.ListenTCP
	}
	var opened []net.Listener
	for _, target := range []struct {
		listener         *net.Listener
		address, purpose string
	}{
		{&l.clients, h.Settings.ClientAddress, "clients"},
		{&l.peers, h.Settings.PeerAddress, "hosts"},
		{&l.readiness, h.Settings.ReadinessAddress, "readiness checks"},
		{&l.metrics, h.Settings.MetricsAddress, "metrics"},
	} {
		if target.address == "" {
			continue
		}
		*target.listener, err = listen(ctx, target.address)
		if err != nil {
			for _, listener := range opened {
				_ = listener.Close() // nothing was accepted yet
			}
			return listeners{}, errors.Wrapf(err, "listen for %s", target.purpose)
		}
		opened = append(opened, *target.listener)
	}
	return l, nil
}
