package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

const executeRPC = "/endiveturn.peer.Peer/Execute"

// writeTimeout bounds writes to a peer that reads requests at all times: one
// that takes longer is gone.
const writeTimeout = 5 * time.Second

// A line is a connection with one Execute stream, which carries one exchange at
// a time. It is pooled between exchanges and discarded after any fault.
type line struct {
	*drpcconn.Conn
	address   string
	transport *transport
	stream    drpc.Stream
	encoding  drpc.Encoding
	// number is that of the last batch sent.
	number uint64
	// batch and answer are reused from batch to batch.
	batch  peerpb.Batch
	answer peerpb.ExecuteAnswer
	// onDiscard is called once.
	onDiscard func(*line)

	mu sync.Mutex
	// watch fires when the peer has been silent for too long.
	watch *time.Timer
	// due is when the peer is given up; zero while nothing is awaited.
	due time.Time
	// running is the number of the batch that is awaited, 0 if none.
	running uint64
	// canceled says that the running batch was canceled, which leaves the peer
	// less time.
	canceled  bool
	discarded bool
}

// neverBlocked is closed: the stream of a pooled line is idle.
var neverBlocked = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// newLine starts the stream on a connection. Nothing is sent before hello.
func newLine(t *transport, address string, onDiscard func(*line)) (*line, error) {
	l := &line{
		Conn:      drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions(readBuffer)}),
		address:   address,
		transport: t,
		encoding:  limitedEncoding{Encoding: protoEncoding{}, sendLimit: maxFrame, receiveLimit: maxFrame},
		onDiscard: onDiscard,
	}
	stream, err := l.NewStream(context.Background(), executeRPC, l.encoding)
	if err != nil {
		_ = l.Conn.Close()
		return nil, errors.Wrapf(err, "open stream to %s", address)
	}
	l.stream = stream
	l.watch = time.AfterFunc(time.Hour, l.expire)
	l.watch.Stop()
	return l, nil
}

func managerOptions(buffer int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: buffer}}
}

// hello waits until the peer serves the stream. A batch sent to a host that
// accepts connections only in its kernel, since it is held up or has just
// stopped, would otherwise end with an unknown outcome.
func (l *line) hello(ctx context.Context, patience time.Duration) error {
	l.await(patience)
	defer l.pause()
	stop := context.AfterFunc(ctx, l.discard)
	defer stop()
	request := peerpb.ExecuteRequest{Version: ProtocolVersion, Hello: true}
	if err := l.stream.MsgSend(&request, l.encoding); err != nil {
		return errors.Wrapf(err, "greet %s", l.address)
	}
	answer, err := l.receive()
	if err != nil {
		return errors.Wrapf(err, "greet %s", l.address)
	}
	if answer.GetRefusal() != nil {
		return errors.Wrapf(refusalFromWire(answer.GetRefusal()), "greet %s", l.address)
	}
	if !answer.GetHello() {
		return errors.Errorf("%s sent another frame before its greeting", l.address)
	}
	return nil
}

// Unblocked hides that the connection's stream is open at all times.
func (l *line) Unblocked() <-chan struct{} { return neverBlocked }

// Close discards the line; the pool calls it for idle ones.
func (l *line) Close() error {
	l.discard()
	return nil
}

// discard closes the connection, which ends a read or write under way.
func (l *line) discard() {
	l.mu.Lock()
	if l.discarded {
		l.mu.Unlock()
		return
	}
	l.discarded = true
	l.watch.Stop()
	l.mu.Unlock()
	_ = l.transport.Close()
	// The close waits for drpc's goroutines, one of which may hold a frame that
	// nobody reads any more.
	go func() { _ = l.Conn.Close() }()
	if l.onDiscard != nil {
		l.onDiscard(l)
	}
}

// begin numbers the next batch and starts to wait for its answer.
func (l *line) begin(patience time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	l.running = l.number
	l.canceled = false
	l.arm(patience)
	return l.number
}

// await gives the peer so long from now to send the next frame.
func (l *line) await(patience time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arm(patience)
}

// pause stops waiting while the caller takes in data.
func (l *line) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = time.Time{}
	l.watch.Stop()
}

// end stops waiting for the batch.
func (l *line) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = 0
	l.due = time.Time{}
	l.watch.Stop()
}

func (l *line) arm(patience time.Duration) {
	if l.discarded {
		return
	}
	if l.canceled {
		patience = min(patience, cancelPatience)
	}
	l.due = time.Now().Add(patience)
	l.watch.Reset(patience)
}

// expire discards the line if it is still overdue: the timer may have fired
// just as the answer came.
func (l *line) expire() {
	l.mu.Lock()
	overdue := !l.due.IsZero() && !time.Now().Before(l.due)
	l.mu.Unlock()
	if overdue {
		l.discard()
	}
}

// cancelBatch asks the peer to cancel the batch if it still runs, and discards
// the line unless the batch ends soon. A cancel that arrives late carries an
// old number, which the peer ignores.
func (l *line) cancelBatch(number uint64) {
	l.mu.Lock()
	running := l.running == number && !l.discarded
	if running {
		l.canceled = true
		l.arm(cancelPatience)
	}
	l.mu.Unlock()
	if !running {
		return
	}
	request := peerpb.ExecuteRequest{Version: ProtocolVersion, Number: number, Cancel: true}
	if err := l.stream.MsgSend(&request, l.encoding); err != nil {
		l.discard()
	}
}

// receive reads the next frame into answer.
func (l *line) receive() (*peerpb.ExecuteAnswer, error) {
	l.answer.Reset()
	err := l.stream.MsgRecv(&l.answer, l.encoding)
	return &l.answer, err
}
