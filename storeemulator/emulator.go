// Package storeemulator is an in-memory stand-in for the platform's key-value
// store: the subset of the etcd v3 API that the storer client uses, with
// faults on demand and counts of calls.
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
	// MaxValueBytes is the largest value that the store accepts.
	MaxValueBytes = 1 << 20
	// maxRequestBytes admits a request with a value that is too large, so that
	// the store and not the transport refuses it.
	maxRequestBytes = 4 << 20
	// expiryInterval is how often leases are checked while nobody calls.
	expiryInterval = 50 * time.Millisecond
)

// An Emulator is one store. Its exported fields are set before Run or Start.
type Emulator struct {
	// Address is where to listen; empty means a free port of 127.0.0.1.
	Address string
	// Now returns the time by which leases expire and calls are counted; nil
	// means time.Now.
	Now func() time.Time
	// Logger gets a line per event; nil means slog.Default.
	Logger *slog.Logger

	once   sync.Once
	space  *space
	faults faults
	calls  calls
}

// init prepares the tables.
func (e *Emulator) init() {
	e.once.Do(func() {
		if e.Now == nil {
			e.Now = time.Now
		}
		if e.Logger == nil {
			e.Logger = slog.Default()
		}
		e.space = newSpace()
		e.faults.changed = make(chan struct{})
	})
}

// Run listens and serves until ctx ends, which is not an error.
func (e *Emulator) Run(ctx context.Context) error {
	listener, err := e.listen(ctx)
	if err != nil {
		return err
	}
	return e.serve(ctx, listener)
}

// Start serves in the background and returns the address, and a function that
// ends the server and waits for it. Data are kept while the Emulator is, so
// that it can be started again.
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
			e.Logger.Error("store emulator failed", "err", err.Error())
		}
	}()
	return listener.Addr().String(), func() { cancel(); <-done }, nil
}

func (e *Emulator) listen(ctx context.Context) (net.Listener, error) {
	e.init()
	address := e.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "store emulator")
	}
	return e.faults.wrap(listener), nil
}

func (e *Emulator) serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxRequestBytes), grpc.UnaryInterceptor(e.intercept))
	storer.RegisterKVServer(server, &kvService{emulator: e})
	storer.RegisterLeaseServer(server, &leaseService{emulator: e})
	storer.RegisterWatchServer(server, &watchService{emulator: e})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	e.Logger.Info("store emulator listening", "address", listener.Addr().String())
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			server.Stop()
			return nil
		case err := <-failed:
			return errors.Wrap(err, "store emulator")
		case <-ticker.C:
			e.space.expire(e.Now())
		}
	}
}

// intercept applies the faults to a call that has one request and counts it.
func (e *Emulator) intercept(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	e.calls.add(operationOf(info.FullMethod), e.Now())
	if err := e.faults.before(ctx); err != nil {
		return nil, err
	}
	answer, err := handle(ctx, request)
	if err != nil {
		return nil, err
	}
	return answer, e.faults.after(ctx, isChange(request))
}

// isChange reports whether a request changes the store.
func isChange(request any) bool {
	switch r := request.(type) {
	case *storer.TxnRequest:
		return changes(r.Success) || changes(r.Failure)
	case *storer.LeaseGrantRequest, *storer.LeaseRevokeRequest:
		return true
	default:
		return false
	}
}

func changes(ops []*storer.RequestOp) bool {
	for _, op := range ops {
		if op.GetRequestRange() == nil {
			return true
		}
	}
	return false
}
