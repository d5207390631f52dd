// Package holder runs the batches of one service on its databases: it admits,
// queues and routes them, streams their answers and acknowledges their writes.
// It works under the term that the module promoter has raised.
package holder

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/promoter"
	"github.com/endiveturn/endiveturn/tracker"
)

// A Group is the group of databases that this host holds; promoter.Watcher
// implements it.
type Group interface {
	// View returns the latest snapshot.
	View() promoter.View
	// Confirm waits until a majority of the databases holds the position in its
	// term. Errors are promoter.ErrFenced and those of ctx.
	Confirm(ctx context.Context, position executor.Position) error
}

// Counters are called for each event of their kind; each may be nil.
type Counters struct {
	// Routed counts batches sent to a database, by the reason of the choice.
	Routed func(database string, replica bool, reason tracker.Reason)
	// Queued gives the time a batch waited for its slot.
	Queued func(customer string, wait time.Duration)
	// Confirmed gives the time from a commit to its acknowledgement.
	Confirmed func(wait time.Duration)
	// Retried counts batches sent again within the retry budget.
	Retried func()
	// Refused counts refusals by their SQLSTATE.
	Refused func(customer, code string)
}

// errMoved is the cause of contexts of batches that wait while the holder is
// drained.
var errMoved = errors.New("service moves to another host")

// A Holder serves one service. Its exported fields are set before first use. It
// is safe for concurrent use.
type Holder struct {
	Service configurer.Service
	// Configuration returns the present databases and shares. It is called for
	// every batch and must be cheap.
	Configuration func() Configuration
	Group         Group
	Limiter       *limiter.Limiter
	// CheckKey refuses attributes whose key does not admit any more; it may be
	// nil.
	CheckKey func(executor.Attributes) *executor.Refusal
	// Dial opens a network connection to a database.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Password is the password of the service's endpoint user.
	Password string
	// MaxSessions bounds the table of floors; 0 stands for defaultMaxSessions.
	MaxSessions int
	// Now returns the time with a monotonic reading.
	Now      func() time.Time
	Logger   *slog.Logger
	Counters Counters

	once     sync.Once
	tracker  tracker.Tracker
	budget   budget
	writes   gate
	running  counter
	moving   context.Context
	move     context.CancelCauseFunc
	draining atomic.Bool
	// applied is what observe, find and candidates use without mu.
	applied atomic.Pointer[applied]
	// turn is the number of times that candidates was called.
	turn atomic.Uint64

	mu sync.Mutex
	// closed is set once all connections are closed for good.
	closed     bool
	configured bool
	revision   uint64
	databases  map[string]*database
	// seen identifies the view that was applied last.
	seen <-chan struct{}
	// term is the term of the pools.
	term uint64
	// based names the promotion that the floors are based on.
	based promotion
	// replicas are the replicas of the view that was applied last.
	replicas []tracker.Replica
}

// An applied is what pools and floors follow. It is immutable and replaced under
// the holder's mutex, so that batches need not take it.
type applied struct {
	configured bool
	revision   uint64
	seen       <-chan struct{}
	databases  map[string]*database
	replicas   []tracker.Replica
}

// A promotion identifies a term in which a database became primary.
type promotion struct {
	term    uint64
	primary string
}

const (
	// defaultMaxSessions bounds the table of floors at about 20 MB.
	defaultMaxSessions = 100_000
	// warmInterval is how often pools open and close idle connections.
	warmInterval = 50 * time.Millisecond
)

func (h *Holder) prepare() {
	h.once.Do(func() {
		h.moving, h.move = context.WithCancelCause(context.Background())
		sessions := h.MaxSessions
		if sessions == 0 {
			sessions = defaultMaxSessions
		}
		h.tracker.SetMaxEntries(sessions)
	})
}

// Open starts an exchange.
func (h *Holder) Open(_ context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	h.prepare()
	if attributes.Customer == "" || attributes.Session == "" {
		return nil, executor.RefuseNotRun(executor.CodeInternal, "request without customer or session")
	}
	if h.isDraining() {
		return nil, moved()
	}
	return &exchange{
		holder: h, attributes: attributes,
		session: tracker.Session{Customer: attributes.Customer, Name: attributes.Session},
	}, nil
}

// Run follows the group and keeps connections warm until ctx ends, and then
// closes all connections.
func (h *Holder) Run(ctx context.Context) error {
	h.prepare()
	defer func() {
		h.startMoving()
		h.close()
	}()
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		view := h.observe()
		h.warm(ctx, view)
		select {
		case <-ctx.Done():
			return nil
		case <-view.Changed:
		case <-ticker.C:
		}
	}
}

// PauseWrites stops starting batches that may write and waits until those that
// run, and the open transactions that may write, have ended. Further ones wait
// until resume is called; none is refused. When ctx ends before that, writes go
// on and its cause is returned.
func (h *Holder) PauseWrites(ctx context.Context) (resume func(), err error) {
	return h.writes.pause(ctx)
}

// Drain stops starting batches: later and queued ones get Outcome Moved. It
// waits until running batches and open transactions have ended or ctx ends, and
// closes all connections then.
func (h *Holder) Drain(ctx context.Context) error {
	h.prepare()
	h.startMoving()
	err := h.running.wait(ctx)
	h.close()
	return err
}

// startMoving makes later and waiting batches move to another host.
func (h *Holder) startMoving() {
	h.draining.Store(true)
	h.move(errMoved)
}

func (h *Holder) isDraining() bool { return h.draining.Load() }

// begin counts a batch or transaction unless the holder is draining. It counts
// first: either it sees that the holder drains, or Drain sees the batch.
func (h *Holder) begin() bool {
	h.running.add(1)
	if h.draining.Load() {
		h.running.add(-1)
		return false
	}
	return true
}

func (h *Holder) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, database := range h.databases {
		database.pool.Close()
	}
}
