//go:build uncontrolled

package flooder

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// memberRounds is how often a member of a crowd connects again after its
	// connection was refused or closed.
	memberRounds = 3
	// settleTime is how long a crowd stays after all its members have sent what
	// they send, or can send no more.
	settleTime = 2 * time.Second
	// writeTimeout is how long a member waits for the product to read more.
	writeTimeout = time.Second
)

// A crowd is a number of uncontrolled clients of one address.
type crowd struct {
	address string
	size    int
	// act sends what a member sends. It may stop halfway; the connection stays
	// open afterwards and nothing is read from it.
	act func(conn net.Conn, member int) error
	// slowReaders makes every second member read a few bytes now and then.
	slowReaders bool
}

// run lets the crowd in, calls meanwhile once each member has acted, and sends the
// crowd away.
func (c crowd) run(t *testing.T, meanwhile func()) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	var acted, left sync.WaitGroup
	acted.Add(c.size)
	for member := range c.size {
		left.Go(func() { c.runMember(ctx, member, acted.Done) })
	}
	acted.Wait()
	time.Sleep(settleTime)
	meanwhile()
	leave()
	left.Wait()
}

// runMember connects and acts, again if the connection is closed, and calls acted
// after the first time.
func (c crowd) runMember(ctx context.Context, member int, acted func()) {
	first := sync.OnceFunc(acted)
	defer first()
	var dialer net.Dialer
	for range memberRounds {
		conn, err := dialer.DialContext(ctx, "tcp", c.address)
		if err == nil {
			_ = c.act(conn, member)
			first()
			awaitClose(ctx, conn, c.slowReaders && member%2 == 1)
			_ = conn.Close()
		}
		first()
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitClose returns when the other side has closed the connection or ctx ends. It
// reads nothing, or very slowly.
func awaitClose(ctx context.Context, conn net.Conn, readSlowly bool) {
	var few [16]byte
	for ctx.Err() == nil {
		if isClosed(conn) {
			return
		}
		if readSlowly {
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, _ = conn.Read(few[:]) // isClosed reports a failure
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// writeAll writes a text piece by piece. It gives up when the product reads none of a
// piece for long.
func writeAll(conn net.Conn, text []byte, piece int) error {
	for len(text) > 0 {
		n := min(piece, len(text))
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}
