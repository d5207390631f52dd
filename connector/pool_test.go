package connector

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// A stubTransport only knows whether it was closed.
type stubTransport struct {
	mu     sync.Mutex
	closed bool
	dead   bool
	onEnd  func()
}

func (s *stubTransport) Send(executor.Request) error               { return nil }
func (s *stubTransport) Flush(time.Time) error                     { return nil }
func (s *stubTransport) Receive(time.Time) (executor.Reply, error) { return executor.Reply{}, nil }
func (s *stubTransport) Alive() bool                               { return !s.dead }

func (s *stubTransport) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.onEnd != nil {
		s.onEnd()
	}
	s.closed = true
	return nil
}

// A stubDatabase takes a bounded number of connections.
type stubDatabase struct {
	mu sync.Mutex
	// room is how many more connections it takes.
	room      int
	handshake time.Duration
	opened    int
	// most is the largest number of handshakes at once.
	most, now int
}

func (d *stubDatabase) dial(context.Context, string) (Transport, error) {
	d.mu.Lock()
	d.now++
	d.most = max(d.most, d.now)
	d.mu.Unlock()
	time.Sleep(d.handshake)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now--
	if d.room == 0 {
		return nil, ErrFull
	}
	d.room--
	d.opened++
	return &stubTransport{onEnd: func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.room++
	}}, nil
}

func newPool(d *stubDatabase, limit int) *Pool {
	p := &Pool{Dial: d.dial, Now: time.Now}
	p.SetBounds(Bounds{Share: limit})
	return p
}

// TestPoolKeepsCustomersApart guards against a connection that speaks for one
// customer and is used for another.
func TestPoolKeepsCustomersApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stubDatabase{room: 10}
		p := newPool(d, 1)
		deadline := time.Now().Add(time.Second)
		first, err := p.Get(t.Context(), "a", Values{}, 0, deadline)
		if err != nil {
			t.Fatal(err)
		}
		p.Put(first)
		second, err := p.Get(t.Context(), "b", Values{}, 0, deadline)
		if err != nil {
			t.Fatal(err)
		}
		if second.Customer != "b" || second == first {
			t.Errorf("got a connection of %q for b", second.Customer)
		}
		done := make(chan string, 1)
		go func() {
			c, err := p.Get(t.Context(), "c", Values{}, 0, deadline)
			if err != nil {
				t.Error(err)
				return
			}
			done <- c.Customer
		}()
		synctest.Wait()
		p.Put(second)
		if got := <-done; got != "c" {
			t.Errorf("a waiter got a connection of %q, want c", got)
		}
	})
}

// TestPoolBounds guards against more connections than the limit, and against
// bursts of handshakes that fill a database's queue.
func TestPoolBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stubDatabase{room: 100, handshake: 12 * time.Millisecond}
		p := newPool(d, 5)
		var group sync.WaitGroup
		var mu sync.Mutex
		most, used := 0, 0
		for i := range 50 {
			group.Add(1)
			go func() {
				defer group.Done()
				c, err := p.Get(t.Context(), string(rune('a'+i%8)), Values{}, 0, time.Now().Add(time.Minute))
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				used++
				most = max(most, used)
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
				mu.Lock()
				used--
				mu.Unlock()
				p.Put(c)
			}()
		}
		group.Wait()
		if most > 5 {
			t.Errorf("used %d connections at once, want at most 5", most)
		}
		if d.most > maxDialing {
			t.Errorf("opened %d connections at once, want at most %d", d.most, maxDialing)
		}
		if got := 100 - d.room; got > 5 {
			t.Errorf("%d connections are open, want at most 5", got)
		}
	})
}

// TestPoolBurst guards against sessions that wait for one connection a host
// though the database has room, where hosts outnumber connections.
func TestPoolBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stubDatabase{room: 3}
		p := newPool(d, 1)
		p.SetBounds(Bounds{Share: 1, Burst: 4, Rest: 100 * time.Millisecond})
		var used []*Conn
		for i := range 3 {
			c, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(50*time.Millisecond))
			if err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
			used = append(used, c)
		}
		if _, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(50*time.Millisecond)); err == nil {
			t.Error("got a connection beyond what the database takes")
		}
		for _, c := range used {
			p.Put(c)
		}
		if got := 3 - d.room; got != 1 {
			t.Errorf("%d connections rest, want the share of 1", got)
		}
		time.Sleep(101 * time.Millisecond)
		synctest.Wait()
		if got := 3 - d.room; got != 0 {
			t.Errorf("%d connections rest after the time for it, want 0", got)
		}
	})
}

// TestPoolHandsOver guards against handshakes beyond the bound when connections
// are returned for which only other customers wait.
func TestPoolHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stubDatabase{room: 10, handshake: 12 * time.Millisecond}
		p := newPool(d, 4)
		var used []*Conn
		for range 4 {
			c, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(time.Second))
			if err != nil {
				t.Fatal(err)
			}
			used = append(used, c)
		}
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				c, err := p.Get(t.Context(), "b", Values{}, 0, time.Now().Add(time.Second))
				if err != nil {
					t.Error(err)
					return
				}
				p.Put(c)
			})
		}
		synctest.Wait()
		for _, c := range used {
			p.Put(c)
		}
		group.Wait()
		if d.most > maxDialing {
			t.Errorf("opened %d connections at once, want at most %d", d.most, maxDialing)
		}
	})
}

// TestPoolWaitsForRoom guards against sessions that are refused while the
// database still counts the connections of hosts that lost power.
func TestPoolWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stubDatabase{}
		p := newPool(d, 3)
		go func() {
			time.Sleep(40 * time.Millisecond)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.room = 1
		}()
		if _, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(100*time.Millisecond)); err != nil {
			t.Errorf("got %v, want a connection once there is room", err)
		}
		_, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(50*time.Millisecond))
		if !errors.Is(err, ErrQueueTimeout) && !errors.Is(err, ErrFull) {
			t.Errorf("got %v, want %v or %v", err, ErrQueueTimeout, ErrFull)
		}
	})
}

// TestPoolSkipsDeadConnections guards against statements on connections that
// the database has closed meanwhile.
func TestPoolSkipsDeadConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &stubDatabase{room: 10}
		p := newPool(d, 2)
		c, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		c.Transport.(*stubTransport).dead = true
		p.Put(c)
		time.Sleep(2 * checkIdle)
		again, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if again == c {
			t.Error("got the dead connection again")
		}
		if used, waiting := p.InUse(); used != 1 || waiting != 0 {
			t.Errorf("got %d used and %d waiting, want 1 and 0", used, waiting)
		}
	})
}

// TestPoolClose guards against sessions that wait for a pool that has ended.
func TestPoolClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&stubDatabase{room: 1}, 1)
		c, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() {
			_, err := p.Get(t.Context(), "a", Values{}, 0, time.Now().Add(time.Hour))
			done <- err
		}()
		synctest.Wait()
		p.Close()
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Errorf("got %v, want %v", err, ErrClosed)
		}
		p.Put(c)
		if !c.Transport.(*stubTransport).closed {
			t.Error("a connection returned to a closed pool stays open")
		}
	})
}
