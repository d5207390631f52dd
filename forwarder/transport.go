package forwarder

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// A transport is a connection to another host that counts its writes, so that it is known
// whether any part of a statement was sent.
type transport struct {
	net.Conn
	// written counts the bytes that were accepted.
	written atomic.Uint64
}

// Write implements net.Conn. Bytes accepted before an error count, since they may still
// arrive.
func (t *transport) Write(data []byte) (int, error) {
	n, err := t.Conn.Write(data)
	t.written.Add(uint64(n))
	return n, err
}

// dialTCP opens a connection that is reset when it is closed, so that a partition does
// not deliver statements after this host has given them up.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "configure connection")
		}
	}
	return conn, nil
}
