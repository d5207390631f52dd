package hoster

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
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
		listen = listenTCP
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

// receiveBufferSize is the size in bytes of the kernel's buffer for what a connection has
// received and the host has not read, of which the kernel takes twice as much. The
// platform counts it as memory of the process, and without a limit it grows to
// megabytes. A client 3 ms away can still send about 10 MB/s.
const receiveBufferSize = 16 << 10

func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(ctx, "tcp", address)
}
