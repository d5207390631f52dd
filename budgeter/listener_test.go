package budgeter

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcwire"
)

// A pipeListener accepts the other ends of connections in memory.
type pipeListener struct{ conns chan net.Conn }

// Accept waits for dial or end.
func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return nil }

// end makes Accept return an error.
func (l pipeListener) end() { close(l.conns) }

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
		const size, header = 50 << 10, 6
		request := drpcwire.AppendFrame(nil, drpcwire.Frame{
			Data: make([]byte, size-header), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Done: true,
		})
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

// TestIncompleteMessagesStayCounted guards against another host that, after a first
// exchange, sends a large message slowly: heartbeats and responses that are sent meanwhile
// must not end the charge for what drpc has collected.
func TestIncompleteMessagesStayCounted(t *testing.T) {
	pipes := pipeListener{conns: make(chan net.Conn, 1)}
	b := newTestBudget(Limits{Memory: 1 << 20})
	client := pipes.dial()
	conn, err := (&Listener{Listener: pipes, Budget: b.Budget, Class: Peers}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	receive := func(message []byte) error {
		go func() { _, _ = client.Write(message) }() // an error shows on the other end
		_, err := io.ReadFull(conn, make([]byte, len(message)))
		return err
	}
	respond := func() {
		go func() { _, _ = io.ReadFull(client, make([]byte, 1)) }()
		if _, err := conn.Write([]byte("r")); err != nil {
			t.Fatal(err)
		}
	}
	frame := func(done bool, announced, size int) []byte {
		data := drpcwire.AppendFrame(nil, drpcwire.Frame{
			Data: make([]byte, announced), ID: drpcwire.ID{Stream: 1, Message: 300}, Kind: drpcwire.KindMessage, Done: done,
		})
		return data[:len(data)-announced+size]
	}
	const part = 64 << 10
	for _, step := range []struct {
		name    string
		message []byte
		// least and most bound the memory after a response.
		least, most int64
	}{
		{"complete message", frame(true, part, part), 0, 0},
		{"first frame of a message", frame(false, part, part), requestCopies * part, requestCopies * (part + 10)},
		{"part of a frame", frame(true, part, part/2), requestCopies * part * 3 / 2, requestCopies * (part*3/2 + 20)},
		{"rest of the message", make([]byte, part/2), 0, 0},
	} {
		if err := receive(step.message); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		respond()
		if got := b.Load().Memory; got < step.least || got > step.most {
			t.Errorf("%s: memory after a response: got %d, want %d to %d", step.name, got, step.least, step.most)
		}
	}
	for range 10 {
		if err = receive(frame(false, part, part)); err != nil {
			break
		}
		respond()
	}
	if !errors.Is(err, ErrMemory) {
		t.Errorf("message above the memory: got %v, want %v", err, ErrMemory)
	}
}

// TestRefusalIsSent guards against a connection that is refused in the way in which one to a
// failed host ends, and against refusals that are sent without a bound.
func TestRefusalIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipes := pipeListener{conns: make(chan net.Conn, 1)}
		b := newTestBudget(Limits{ConnectionCost: 1 << 20, Memory: 1})
		listener := &Listener{Listener: pipes, Budget: b.Budget, Class: Peers, Refusal: []byte("full")}
		go func() { _, _ = listener.Accept() }() // it accepts none, and waits to the end
		first := pipes.dial()
		got := make([]byte, 4)
		if _, err := io.ReadFull(first, got); err != nil || string(got) != "full" {
			t.Errorf("refused connection: got %q, %v, want %q", got, err, "full")
		}
		var refused, closed int
		for range maxRefusing + 5 {
			conn := pipes.dial()
			synctest.Wait()
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := conn.Read(got[:1]); err == nil {
				refused++
			} else {
				closed++
			}
		}
		if refused > maxRefusing || closed == 0 {
			t.Errorf("refusals that are not read: %d sent, %d only closed, want at most %d sent", refused, closed, maxRefusing)
		}
		pipes.end()
		time.Sleep(time.Second)
	})
}
