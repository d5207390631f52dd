package messenger

import (
	"net"
	"sync/atomic"
	"time"
)

// A transport is a connection that knows whether anything was written to it,
// which decides between "not run" and "outcome unknown".
type transport struct {
	net.Conn
	// writeTimeout bounds a single write; 0 stands for no bound.
	writeTimeout time.Duration
	// writes counts the writes of which at least one byte was taken.
	writes atomic.Uint64
}

// Write counts a write of which a part was sent as well: what is buffered after
// an error may still reach the peer.
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
