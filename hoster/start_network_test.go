package hoster

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/storer"
)

// A startStore is a store in memory.
type startStore struct {
	mu       sync.Mutex
	revision int64
	leases   []*startLease
	// down makes all calls fail.
	down    atomic.Bool
	entries map[string]storer.Entry
	history []storer.Change
	changed chan struct{}
	calls   atomic.Int64
}

// A startLease is a lease of a startStore. Its keys are removed when it ends.
type startLease struct {
	ttl    time.Duration
	expiry *time.Timer
	ended  bool
	keys   []string
}

// startStoreDelay is the time that a call takes.
const startStoreDelay = 4 * time.Millisecond

func newStartStore() *startStore {
	return &startStore{entries: make(map[string]storer.Entry), changed: make(chan struct{})}
}

func (s *startStore) functions() storer.KeyValueStore {
	return storer.KeyValueStore{
		List: s.list, Changes: s.watch, Write: s.write, Era: func() int64 { return 0 },
		Grant: s.grant,
		Renew: func(_ context.Context, id storer.LeaseID) error {
			return s.withLease(id, func(l *startLease) { l.expiry.Reset(l.ttl) })
		},
		Revoke: func(_ context.Context, id storer.LeaseID) error { return s.withLease(id, s.endLease) },
	}
}

func (s *startStore) grant(_ context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := s.begin(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := &startLease{ttl: ttl}
	lease.expiry = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(lease)
	})
	s.leases = append(s.leases, lease)
	return storer.LeaseID(len(s.leases)), nil
}

// withLease calls use with a lease that has not ended.
func (s *startStore) withLease(id storer.LeaseID, use func(lease *startLease)) error {
	if err := s.begin(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id-1]
	if lease.ended {
		return storer.ErrLeaseExpired
	}
	use(lease)
	return nil
}

// endLease ends a lease; its caller holds mu.
func (s *startStore) endLease(lease *startLease) {
	lease.expiry.Stop()
	if lease.ended {
		return
	}
	lease.ended = true
	for _, key := range lease.keys {
		s.remove(key)
	}
}

func (s *startStore) begin() error {
	s.calls.Add(1)
	time.Sleep(startStoreDelay)
	if s.down.Load() {
		return storer.ErrUnavailable
	}
	return nil
}

func (s *startStore) list(context.Context, string, string) (storer.Page, error) {
	if err := s.begin(); err != nil {
		return storer.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storer.Page{Revision: s.revision}
	for _, entry := range s.entries {
		page.Entries = append(page.Entries, entry)
	}
	return page, nil
}

func (s *startStore) watch(ctx context.Context, _ string, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes, current, changed := s.history[revision:], s.revision, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, current, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, current, nil
		case <-ctx.Done():
			return nil, 0, errors.Join(storer.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *startStore) write(_ context.Context, put storer.Put) (int64, error) {
	if err := s.begin(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[put.Key]; current.ModRevision != put.ExpectedRevision {
		return 0, &storer.ConflictError{Current: storer.Entry{Key: put.Key, Value: current.Value, ModRevision: current.ModRevision}}
	}
	if put.Lease != 0 && s.leases[put.Lease-1].ended {
		return 0, storer.ErrLeaseExpired
	}
	s.put(put.Key, put.Value)
	for _, lease := range s.leases {
		lease.keys = slices.DeleteFunc(lease.keys, func(key string) bool { return key == put.Key })
	}
	if put.Lease != 0 {
		lease := s.leases[put.Lease-1]
		lease.keys = append(lease.keys, put.Key)
	}
	return s.revision, nil
}

// put writes a key. Its caller holds mu, unless the store is not in use yet.
func (s *startStore) put(key string, value []byte) {
	s.revision++
	entry := storer.Entry{Key: key, Value: value, ModRevision: s.revision}
	s.entries[key] = entry
	s.history = append(s.history, storer.Change{Entry: entry})
	close(s.changed)
	s.changed = make(chan struct{})
}

// change writes a key as its owner does.
func (s *startStore) change(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value)
}

// leader returns the name of the leader, or "".
func (s *startStore) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return overseer.LeaderName(s.entries[overseer.LeaderKey].Value)
}

// unregister removes the key of a database, as if its lease had ended.
func (s *startStore) unregister(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// remove removes a key. Its caller holds mu.
func (s *startStore) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, storer.Change{Entry: storer.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// A startNetwork connects hosts within the process and counts the bytes of each.
type startNetwork struct {
	mu        sync.Mutex
	listeners map[string]*startListener
}

type startListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
	link    *startLink
}

// A startLink is the link of a host. It counts what the host sends and receives, and takes
// time for what it sends.
type startLink struct {
	bytes atomic.Int64

	mu        sync.Mutex
	busyUntil time.Time
	// released is closed when the link is not held any more, nil if it is not held.
	released chan struct{}
}

// setHeld makes the link keep what arrives, or deliver it.
func (l *startLink) setHeld(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held && l.released == nil:
		l.released = make(chan struct{})
	case !held && l.released != nil:
		close(l.released)
		l.released = nil
	}
}

// await waits while the link is held.
func (l *startLink) await() {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released != nil {
		<-released
	}
}

// startLinkRate is in bytes per second: 10 Mbit/s.
const startLinkRate = 10e6 / 8

func (l *startLink) send(bytes int) {
	l.bytes.Add(int64(bytes))
	l.mu.Lock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / startLinkRate * float64(time.Second)))
	wait := l.busyUntil.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

func (n *startNetwork) listen(address string, link *startLink) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &startListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{}), link: link}
	n.listeners[address] = l
	return l
}

// dial connects the host with the link to an address.
func (n *startNetwork) dial(ctx context.Context, address string, link *startLink) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- linkedConn{Conn: far, link: l.link}:
		return linkedConn{Conn: near, link: link}, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	return nil, errors.New("connection refused")
}

func (l *startListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *startListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *startListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

type linkedConn struct {
	net.Conn
	link *startLink
}

func (c linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.bytes.Add(int64(n))
	c.link.await()
	return n, err
}

func (c linkedConn) Write(p []byte) (int, error) {
	c.link.send(len(p))
	return c.Conn.Write(p)
}
