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
	// writes counts the writes that were started.
	writes atomic.Uint64
}

// Write counts the write before it starts: one that failed may have sent a part.
func (t *transport) Write(data []byte) (int, error) {
	t.writes.Add(1)
	if t.writeTimeout > 0 {
		if err := t.SetWriteDeadline(time.Now().Add(t.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return t.Conn.Write(data)
}
