package hoster

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// A startStore is a store in memory, whose leases never expire.
type startStore struct {
	mu       sync.Mutex
	revision int64
	leases   int64
	entries  map[string]storer.Entry
	history  []storer.Change
	changed  chan struct{}
	calls    atomic.Int64
}

// startStoreDelay is the time that a call takes.
const startStoreDelay = 4 * time.Millisecond

func newStartStore() *startStore {
	return &startStore{entries: make(map[string]storer.Entry), changed: make(chan struct{})}
}

func (s *startStore) functions() storer.KeyValueStore {
	return storer.KeyValueStore{
		List: s.list, Changes: s.watch, Write: s.write, Era: func() int64 { return 0 },
		Grant: func(context.Context, time.Duration) (storer.LeaseID, error) {
			s.begin()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.leases++
			return storer.LeaseID(s.leases), nil
		},
		Renew:  func(context.Context, storer.LeaseID) error { s.begin(); return nil },
		Revoke: func(context.Context, storer.LeaseID) error { s.begin(); return nil },
	}
}

func (s *startStore) begin() {
	s.calls.Add(1)
	time.Sleep(startStoreDelay)
}

func (s *startStore) list(context.Context, string, string) (storer.Page, error) {
	s.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storer.Page{Revision: s.revision}
	for _, entry := range s.entries {
		page.Entries = append(page.Entries, entry)
	}
	return page, nil
}

func (s *startStore) watch(ctx context.Context, _ string, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
	s.begin()
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
	s.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[put.Key]; current.ModRevision != put.ExpectedRevision {
		return 0, &storer.ConflictError{Current: storer.Entry{Key: put.Key, Value: current.Value, ModRevision: current.ModRevision}}
	}
	s.put(put.Key, put.Value)
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

// expire removes a key whose lease has ended.
func (s *startStore) expire(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
