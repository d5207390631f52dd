// Package storeemulator is an in-memory emulator of the platform's key-value
// store. It implements the subset of the etcd v3 API that the storer client
// uses, injects faults on demand and counts calls.
package storeemulator

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// MaxValueBytes is the size of the largest value that the store accepts.
	MaxValueBytes = 1 << 20
	// maxRequestBytes exceeds MaxValueBytes, so that a value that is too large
	// is rejected by the store and not by the transport.
	maxRequestBytes = 4 << 20
	// expiryInterval is how often expired leases are removed in the absence of
	// calls.
	expiryInterval = 50 * time.Millisecond
)

// An Emulator emulates one store. Its exported fields must be set before Run or
// Start.
type Emulator struct {
	// Address is the address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// Now returns the current time, which is used to expire leases and to count
	// calls; nil means time.Now.
	Now func() time.Time
	// Logger receives log events; nil means slog.Default.
	Logger *slog.Logger

	initOnce sync.Once
	keyspace *keyspace
	faults   faults
	calls    callCounter
}

// initialize sets defaults and creates the empty keyspace. Only the first call
// has an effect.
func (e *Emulator) initialize() {
	e.initOnce.Do(func() {
		if e.Now == nil {
			e.Now = time.Now
		}
		if e.Logger == nil {
			e.Logger = slog.Default()
		}
		e.keyspace = newKeyspace()
		e.faults.changed = make(chan struct{})
	})
}

// Run listens and serves until ctx is done, in which case it returns nil.
func (e *Emulator) Run(ctx context.Context) error {
	listener, err := e.listen(ctx)
	if err != nil {
		return err
	}
	return e.serve(ctx, listener)
}

// Start serves in the background. It returns the address and a function that
// stops the server and waits for it. Data are kept for the lifetime of the
// Emulator, so that it can be started again.
func (e *Emulator) Start() (address string, stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := e.listen(ctx)
	if err != nil {
		cancel()
		return "", nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := e.serve(ctx, listener); err != nil {
			e.Logger.Error("store_emulator_failed", "err", err.Error())
		}
	}()
	return listener.Addr().String(), func() { cancel(); <-done }, nil
}

func (e *Emulator) listen(ctx context.Context) (net.Listener, error) {
	e.initialize()
	address := e.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store emulator")
	}
	return e.faults.wrapListener(listener), nil
}

func (e *Emulator) serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxRequestBytes), grpc.UnaryInterceptor(e.intercept))
	storer.RegisterKVServer(server, &kvService{emulator: e})
	storer.RegisterLeaseServer(server, &leaseService{emulator: e})
	storer.RegisterWatchServer(server, &watchService{emulator: e})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	e.Logger.Info("store_emulator_listening", "address", listener.Addr().String())
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			server.Stop()
			return nil
		case err := <-failed:
			return errors.Wrap(err, "serve the store emulator")
		case <-ticker.C:
			e.keyspace.expire(e.Now())
			e.keyspace.recordRevision(e.Now())
		}
	}
}

// intercept counts a unary call and applies the faults to it.
func (e *Emulator) intercept(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	e.calls.add(operationOf(info.FullMethod), e.Now())
	if err := e.faults.beforeRequest(ctx); err != nil {
		return nil, err
	}
	response, err := handle(ctx, request)
	e.keyspace.recordRevision(e.Now())
	if err != nil {
		return nil, err
	}
	return response, e.faults.afterRequest(ctx, isWrite(request))
}

// isWrite reports whether a request can modify the store.
func isWrite(request any) bool {
	switch r := request.(type) {
	case *storer.TxnRequest:
		return containsWrite(r.Success) || containsWrite(r.Failure)
	case *storer.LeaseGrantRequest, *storer.LeaseRevokeRequest:
		return true
	default:
		return false
	}
}

func containsWrite(ops []*storer.RequestOp) bool {
	for _, op := range ops {
		if op.GetRequestRange() == nil {
			return true
		}
	}
	return false
}
