package budgeter

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A pipeListener accepts the other ends of connections in memory.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }
func (l pipeListener) Close() error              { return nil }
func (l pipeListener) Addr() net.Addr            { return nil }

// dial returns the client's end of a new connection.
func (l pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// TestListenerCountsRequests guards against requests that are collected without a
// bound, against memory that stays counted after the response, and against connections
// that never complete a request.
func TestListenerCountsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := pipeListener{conns: make(chan net.Conn, 1)}
		b := newTestBudget(Limits{Memory: 200 << 10})
		listener := &Listener{Listener: pipes, Budget: b.Budget, Class: Peers}
		client := pipes.dial()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		request := bytes.Repeat([]byte("x"), 50<<10)
		exchange := func() error {
			go func() { _, _ = client.Write(request) }() // an error shows on the other end
			_, err := io.ReadFull(conn, make([]byte, len(request)))
			return err
		}
		if err := exchange(); err != nil {
			t.Errorf("first request: got %v, want nil", err)
		}
		if got, want := b.Load().Memory, int64(requestCopies*len(request)); got != want {
			t.Errorf("memory of the request: got %d, want %d", got, want)
		}
		go func() { _, _ = io.ReadFull(client, make([]byte, 1)) }()
		if _, err := conn.Write([]byte("r")); err != nil {
			t.Fatal(err)
		}
		if got := b.Load().Memory; got != 0 {
			t.Errorf("memory after the response: got %d, want 0", got)
		}
		if err := exchange(); err != nil {
			t.Errorf("request after a response: got %v, want nil", err)
		}
		if err := exchange(); !errors.Is(err, ErrMemory) {
			t.Errorf("two requests without a response: got %v, want %v", err, ErrMemory)
		}
		conn.Close()
		b.Limits.Memory = 0
		client = pipes.dial()
		if conn, err = listener.Accept(); err != nil {
			t.Fatal(err)
		}
		for range maxFirstRequest / len(request) {
			if err := exchange(); err != nil {
				t.Errorf("part of a large first request: got %v, want nil", err)
			}
		}
		if err := exchange(); !errors.Is(err, ErrFirstRequest) {
			t.Errorf("large first request: got %v, want %v", err, ErrFirstRequest)
		}
		conn.Close()
		if got := b.Load().Connections[Peers]; got != 0 {
			t.Errorf("connections after the end: got %d, want 0", got)
		}
		pipes.dial()
		if conn, err = listener.Accept(); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := conn.Read(make([]byte, 1)); err == nil || time.Since(start) != firstRequestTimeout {
			t.Errorf("silent connection: got %v after %v, want an error after %v", err, time.Since(start), firstRequestTimeout)
		}
	})
}

// TestAcceptedConnectionsHaveAccounts guards against connections whose users find no
// account to count what they take besides the bytes received.
func TestAcceptedConnectionsHaveAccounts(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	conns := make(chan net.Conn, 1)
	conns <- server
	accepted, err := (&Listener{Listener: pipeListener{conns: conns}, Budget: &Budget{Now: time.Now}, Class: Peers}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if counted, ok := accepted.(interface{ Account() *Account }); !ok || counted.Account() == nil {
		t.Error("the connection has no account")
	}
}

// TestFirstRequestSettings guards against settings of the first request without effect.
func TestFirstRequestSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := pipeListener{conns: make(chan net.Conn, 1)}
		b := newTestBudget(Limits{FirstRequestTimeout: 3 * time.Second, MaxFirstRequest: 64 << 10})
		listener := &Listener{Listener: pipes, Budget: b.Budget, Class: Peers}
		client := pipes.dial()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = client.Write(make([]byte, 80<<10)) }() // an error shows on the other end
		if _, err := io.ReadFull(conn, make([]byte, 80<<10)); !errors.Is(err, ErrFirstRequest) {
			t.Errorf("first request above the setting: got %v, want %v", err, ErrFirstRequest)
		}
		conn.Close()
		pipes.dial()
		if conn, err = listener.Accept(); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := conn.Read(make([]byte, 1)); err == nil || time.Since(start) != 3*time.Second {
			t.Errorf("silent connection: got %v after %v, want an error after 3s", err, time.Since(start))
		}
		conn.Close()
	})
}
