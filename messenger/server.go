package messenger

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// streamCloseTimeout is how long a stopping server waits for peers to close the
// streams that it has ended, so that they read the end of the stream before the
// connection is closed.
const streamCloseTimeout = 300 * time.Millisecond

// ErrNoListener is returned by Run if Listener is not set.
var ErrNoListener = errors.New("messenger server has no listener")

// A Server handles the requests of other hosts. Its exported fields must be set
// before Run. A request whose handler is nil is refused as unimplemented.
type Server struct {
	Listener net.Listener
	// Opener opens the exchanges of other hosts with the services that this host
	// holds.
	Opener executor.Opener

	Heartbeat  func(context.Context, gossiper.Heartbeat) (gossiper.Heartbeat, error)
	Probe      func(ctx context.Context, target gossiper.Host) (replied bool, err error)
	FetchSet   func(ctx context.Context, known uint64) (EncodedConfig, error)
	PullTokens func(context.Context, limiter.PullRequest) (limiter.PullReply, error)
	TakeOver   func(ctx context.Context, service string, term uint64) error
	Cancel     func(ctx context.Context, processID uint32, secret []byte) error
	Status     func(context.Context) ([]byte, error)

	// MaxBatch is the maximum size of a split batch in bytes; 0 means 16 MiB.
	MaxBatch int
	// Logger may be nil.
	Logger *slog.Logger

	initOnce sync.Once
	// stopping is closed when the context of Run is cancelled.
	stopping chan struct{}

	mu sync.Mutex
	// draining is set once no new exchanges are accepted.
	draining bool
	// exchanges and streams are the numbers of open exchanges and streams.
	exchanges int
	streams   int
	// changed is closed and replaced when the number of streams or, while
	// draining, of exchanges decreases.
	changed chan struct{}
}

func (s *Server) init() {
	s.initOnce.Do(func() {
		s.stopping = make(chan struct{})
		s.changed = make(chan struct{})
	})
}

// Run serves until ctx is cancelled. It then closes the open exchanges, which
// rolls back their transactions; a call to Drain before avoids that.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	if s.Listener == nil {
		return errors.WithStack(ErrNoListener)
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{server: s}); err != nil {
		return errors.Wrap(err, "register service")
	}
	server := drpcserver.NewWithOptions(limitedHandler{mux}, drpcserver.Options{
		Manager: managerOptions(maxReadBuffer),
		Log: func(err error) {
			if s.Logger != nil && ctx.Err() == nil {
				s.Logger.Debug("peer_connection_ended", "reason", err)
			}
		},
	})
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		s.endStreams()
		cancel()
	})
	defer stop()
	listener := &stoppableListener{Listener: s.Listener, stopping: s.stopping, done: serveCtx.Done()}
	if err := server.Serve(serveCtx, listener); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}

// endStreams stops accepting connections, ends the streams that have no running
// batch, and waits until the peers have closed their ends.
func (s *Server) endStreams() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	close(s.stopping)
	_ = s.Listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), streamCloseTimeout)
	defer cancel()
	// An error means that a peer has not closed its stream, whose connection is then
	// closed.
	_ = s.wait(ctx, func() bool { return s.streams == 0 })
}

// Drain refuses new exchanges with the outcome executor.HeldElsewhere and waits
// until the open ones have ended. If ctx is cancelled first, it returns the
// error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.wait(ctx, func() bool { return s.exchanges == 0 })
}

// wait waits until the condition, which is evaluated under mu, holds.
func (s *Server) wait(ctx context.Context, condition func() bool) error {
	for {
		s.mu.Lock()
		done, changed := condition(), s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for exchanges")
		case <-changed:
		}
	}
}

// Exchanges returns the number of exchanges that other hosts have open on this
// host.
func (s *Server) Exchanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges
}

// admit counts an exchange unless the server is draining.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.exchanges++
	return true
}

// adjustCounts adds to the numbers of open exchanges and streams.
func (s *Server) adjustCounts(exchanges, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges += exchanges
	s.streams += streams
	if exchanges < 0 && s.draining || streams < 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *Server) maxBatch() int {
	if s.MaxBatch == 0 {
		return defaultMaxBatch
	}
	return s.MaxBatch
}

// A stoppableListener can be closed without closing the accepted connections.
// drpc's server closes them as soon as Accept fails, so that after a stop Accept
// blocks until done is closed.
type stoppableListener struct {
	net.Listener
	stopping <-chan struct{}
	done     <-chan struct{}
}

// Accept implements net.Listener.
func (l *stoppableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.stopping:
			<-l.done
		default:
		}
	}
	return conn, err
}

// A limitedHandler bounds the size of the messages of all streams.
type limitedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h limitedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	limited := limitedStream{Stream: stream, sendLimit: maxFrame}
	if rpc == fetchSetRPC {
		limited.sendLimit = maxConfigFrame
	}
	return h.Handler.HandleRPC(limited, rpc)
}

const fetchSetRPC = "/endiveturn.peer.Peer/FetchSet"

type limitedStream struct {
	drpc.Stream
	sendLimit int
}

// MsgSend implements drpc.Stream.
func (s limitedStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	return s.Stream.MsgSend(message, limitedEncoding{Encoding: encoding, sendLimit: s.sendLimit, receiveLimit: maxFrame})
}

// MsgRecv implements drpc.Stream.
func (s limitedStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	return s.Stream.MsgRecv(message, limitedEncoding{Encoding: encoding, sendLimit: s.sendLimit, receiveLimit: maxFrame})
}
