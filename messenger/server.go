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

// farewell is how long a stopping server keeps streams that it has ended, so that
// peers read the end before the connection breaks.
const farewell = 300 * time.Millisecond

// ErrNoListener says that a server has nothing to listen on.
var ErrNoListener = errors.New("messenger server has no listener")

// A Server answers other hosts. Its exported fields are set before Run. A
// request whose handler is nil is refused as unimplemented.
type Server struct {
	Listener net.Listener
	// Opener runs the exchanges of other hosts on the services held here.
	Opener executor.Opener

	Heartbeat  func(context.Context, gossiper.Heartbeat) (gossiper.Heartbeat, error)
	Probe      func(ctx context.Context, target gossiper.Host) (answered bool, err error)
	FetchSet   func(ctx context.Context, known uint64) (Set, error)
	PullTokens func(context.Context, limiter.PullRequest) (limiter.PullReply, error)
	TakeOver   func(ctx context.Context, service string, term uint64) error
	Cancel     func(ctx context.Context, processID uint32, secret []byte) error
	Status     func(context.Context) ([]byte, error)

	// MaxBatch is the largest batch in bytes; 0 stands for 16 MB.
	MaxBatch int
	// Logger may be nil.
	Logger *slog.Logger

	setUp sync.Once
	// stopping is closed when Run ends.
	stopping chan struct{}

	mu sync.Mutex
	// draining says that no new exchange is accepted.
	draining bool
	// exchanges is the number of open exchanges and streams that of streams.
	exchanges int
	streams   int
	// changed is closed and replaced when one of the numbers falls.
	changed chan struct{}
}

func (s *Server) init() {
	s.setUp.Do(func() {
		s.stopping = make(chan struct{})
		s.changed = make(chan struct{})
	})
}

// Run serves until ctx ends. Exchanges that are open then are closed, which
// rolls back their transactions; Drain before avoids that.
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
		Manager: managerOptions(readBuffer),
		Log: func(err error) {
			if s.Logger != nil && ctx.Err() == nil {
				s.Logger.Debug("peer connection ended", "reason", err)
			}
		},
	})
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		s.dismiss()
		cancel()
	})
	defer stop()
	listener := &stoppableListener{Listener: s.Listener, stopping: s.stopping, done: serving.Done()}
	if err := server.Serve(serving, listener); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}

// dismiss ends the streams that have no batch running, waits until the peers have
// closed theirs, and accepts no more connections.
func (s *Server) dismiss() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	close(s.stopping)
	_ = s.Listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), farewell)
	defer cancel()
	// An error means that a peer kept its connection, which is then cut.
	_ = s.wait(ctx, func() bool { return s.streams == 0 })
}

// Drain refuses new exchanges as moved and waits until the open ones have ended,
// or until ctx ends, whose error it returns then.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.wait(ctx, func() bool { return s.exchanges == 0 })
}

// wait waits until the condition, which is called under mu, holds.
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

// Exchanges returns the number of exchanges that other hosts have open here.
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

// count changes the numbers of exchanges and streams.
func (s *Server) count(exchanges, streams int) {
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

// A stoppableListener can be closed without an end of the connections: drpc's
// server cuts them as soon as it can accept no more.
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

// A limitedHandler bounds the messages of all streams.
type limitedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h limitedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	limited := limitedStream{Stream: stream, sendLimit: maxFrame}
	if rpc == fetchSetRPC {
		limited.sendLimit = maxSetFrame
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
