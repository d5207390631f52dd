package messenger

import (
	"net"
	"sync/atomic"
	"time"
)

// A transport is a connection that counts its writes. Whether any part of a batch
// was written determines whether its outcome is "not run" or "unknown".
type transport struct {
	net.Conn
	// writeTimeout bounds a single write; 0 means no bound.
	writeTimeout time.Duration
	// writes counts the writes of which at least one byte was accepted.
	writes atomic.Uint64
}

// Write implements net.Conn. It also counts writes that fail after a part of the
// data, since what was buffered before the error may still reach the peer.
func (t *transport) Write(data []byte) (int, error) {
	if t.writeTimeout > 0 {
		if err := t.SetWriteDeadline(time.Now().Add(t.writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := t.Conn.Write(data)
	if n > 0 {
		t.writes.Add(1)
	}
	return n, err
}
