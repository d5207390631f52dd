package groupemulator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxAdminConnections limits the connections of group_admin. A host opens two;
// the rest leave room for connections left open by former holders that have
// become unreachable.
const maxAdminConnections = 16

// A connectionCount counts the open connections of one kind of user.
type connectionCount struct {
	open    atomic.Int64
	maxOpen atomic.Int64
}

// reserve counts a new connection. It returns false if limit connections are
// already open.
func (c *connectionCount) reserve(limit int) bool {
	n := c.open.Add(1)
	if n > int64(limit) {
		c.open.Add(-1)
		return false
	}
	storeMax(&c.maxOpen, n)
	return true
}

// A server holds the listener and the connection counts of a database.
type server struct {
	data, admin connectionCount
	lastPID     atomic.Uint32

	mu sync.Mutex
	// address is set when the first listener opens and reused after a restart.
	address  string
	listener net.Listener
}

// listen opens the listener and starts to accept connections.
func (d *database) listen() error {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	if d.server.listener != nil {
		return errors.Wrapf(ErrRunning, "database %s", d.member.Name)
	}
	address := d.server.address
	if address == "" {
		address = d.member.Address
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for database %s", d.member.Name)
	}
	d.server.listener, d.server.address = listener, listener.Addr().String()
	d.group.running.Go(func() { d.acceptConnections(listener) })
	return nil
}

func (d *database) currentAddress() string {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	return d.server.address
}

func (d *database) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := newSession(d, conn)
		if !d.register(s) {
			s.reset()
			continue
		}
		d.group.running.Go(s.serve)
	}
}

// register adds the session to the database. It returns false if the database is
// killed.
func (d *database) register(s *session) bool {
	s.pid = d.server.lastPID.Add(1)
	_, _ = rand.Read(s.secret[:])
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.has(faultKilled) {
		return false
	}
	d.sessions[s.pid] = s
	return true
}

// kill closes the listener and resets all connections. Open transactions and
// locks are lost; the log is kept.
func (d *database) kill() {
	d.server.mu.Lock()
	if d.server.listener != nil {
		d.server.listener.Close()
		d.server.listener = nil
	}
	d.server.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.set(faultKilled)
	for _, s := range d.sessions {
		d.endSession(s, sqlErrorf(codeShutdown, "the database was killed"))
		s.reset()
	}
}

func (d *database) restart() error {
	// Open the listener first: restarting a running database must fail without
	// clearing its faults.
	if err := d.listen(); err != nil {
		return err
	}
	d.faults.clear(faultKilled | faultPaused)
	return nil
}

// cancel interrupts the batch that the session currently runs, if the secret
// matches.
func (d *database) cancel(pid uint32, secret []byte) {
	d.mu.Lock()
	s := d.sessions[pid]
	d.mu.Unlock()
	if s == nil || len(secret) != len(s.secret) ||
		binary.BigEndian.Uint32(secret) != binary.BigEndian.Uint32(s.secret[:]) {
		return
	}
	select {
	case s.canceled <- struct{}{}:
	default:
	}
}
