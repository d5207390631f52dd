// Package holder runs the batches of one service on its databases: it admits,
// queues and routes them, streams their responses and acknowledges their
// commits. A Holder runs on the host that holds the lease of the service, under
// the term that package promoter has established.
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

// A Group is the group of databases of the service; promoter.Watcher implements
// it.
type Group interface {
	// View returns the latest snapshot.
	View() promoter.View
	// Confirm waits until a majority of the databases has stored the position in
	// its term. Errors are promoter.ErrFenced and those of ctx.
	Confirm(ctx context.Context, position executor.Position) error
}

// Callbacks contains one function for each kind of event. Each function is
// called for every event of its kind and may be nil.
type Callbacks struct {
	// Routed is called for each batch sent to a database, with the reason of the
	// routing decision.
	Routed func(database string, replica bool, reason tracker.Reason)
	// Queued is called with the time that a batch waited for its slot.
	Queued func(customer string, wait time.Duration)
	// Confirmed is called with the time from a commit to its acknowledgement.
	Confirmed func(wait time.Duration)
	// Retried is called for each retry within the retry budget.
	Retried func()
	// Refused is called for each refusal, with its SQLSTATE.
	Refused func(customer, code string)
}

// errHeldElsewhere is the cause of the context of batches that wait while the
// holder is drained.
var errHeldElsewhere = errors.New("service moves to another host")

// A Holder executes the batches of one service. Its exported fields are set
// before first use. It is safe for concurrent use.
type Holder struct {
	Service configurer.Service
	// Configuration returns the current databases and shares. It is called for
	// each batch and must be cheap.
	Configuration func() Configuration
	Group         Group
	Limiter       *limiter.Limiter
	// CheckKey refuses attributes whose key is no longer valid; it may be nil.
	CheckKey func(executor.Attributes) *executor.Refusal
	// Dial opens a network connection to a database.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Password is the password of the service's endpoint user.
	Password string
	// MaxSessions bounds the number of sessions whose floors are kept; 0 means
	// defaultMaxSessions.
	MaxSessions int
	// Now returns the time with a monotonic reading.
	Now       func() time.Time
	Logger    *slog.Logger
	Callbacks Callbacks

	initOnce       sync.Once
	tracker        tracker.Tracker
	retryBudget    retryBudget
	writeGate      writeGate
	inFlight       inFlightCounter
	drainCtx       context.Context
	cancelDrainCtx context.CancelCauseFunc
	draining       atomic.Bool
	// snapshot is read without mu by syncView, findDatabase, servesReads and
	// readCandidates.
	snapshot atomic.Pointer[snapshot]
	// rotation counts the calls of readCandidates.
	rotation atomic.Uint64

	mu sync.Mutex
	// closed is set once all connections are closed permanently.
	closed     bool
	configured bool
	revision   uint64
	databases  map[string]*database
	// viewChanged is the Changed channel of the view that was applied last and
	// identifies that view.
	viewChanged <-chan struct{}
	// term is the term of the connection pools.
	term uint64
	// floorBase is the promotion from which the floors were last reset.
	floorBase promotion
	// replicas are the replicas in service in the view that was applied last.
	replicas []tracker.Replica
}

// A snapshot is the configuration and view that pools and floors currently
// follow. It is immutable and replaced under the mutex of the holder, so that
// batches can read it without the mutex.
type snapshot struct {
	configured  bool
	revision    uint64
	viewChanged <-chan struct{}
	databases   map[string]*database
	replicas    []tracker.Replica
}

// A promotion identifies a term in which a database became the primary.
type promotion struct {
	term    uint64
	primary string
}

const (
	// defaultMaxSessions bounds the memory of the floors at about 20 MB.
	defaultMaxSessions = 100_000
	// poolMaintenanceInterval is how often pools open and close idle connections.
	poolMaintenanceInterval = 50 * time.Millisecond
)

func (h *Holder) initialize() {
	h.initOnce.Do(func() {
		h.drainCtx, h.cancelDrainCtx = context.WithCancelCause(context.Background())
		sessions := h.MaxSessions
		if sessions == 0 {
			sessions = defaultMaxSessions
		}
		h.tracker.SetMaxEntries(sessions)
	})
}

// Open starts an exchange.
func (h *Holder) Open(_ context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	h.initialize()
	if attributes.Customer == "" || attributes.Session == "" {
		return nil, executor.RefuseNotRun(executor.CodeInternal, "request without customer or session")
	}
	if h.isDraining() {
		return nil, refuseHeldElsewhere()
	}
	return &exchange{
		holder: h, attributes: attributes,
		session: tracker.Session{Customer: attributes.Customer, Name: attributes.Session},
	}, nil
}

// Run applies views of the group and maintains idle connections until ctx ends,
// and then closes all connections.
func (h *Holder) Run(ctx context.Context) error {
	h.initialize()
	defer func() {
		h.startDrain()
		h.close()
	}()
	ticker := time.NewTicker(poolMaintenanceInterval)
	defer ticker.Stop()
	for {
		view := h.syncView()
		h.maintainPools(ctx, view)
		select {
		case <-ctx.Done():
			return nil
		case <-view.Changed:
		case <-ticker.C:
		}
	}
}

// PauseWrites stops starting batches that may write and waits until the running
// ones, and the open transactions that may write, have ended. Later ones wait
// until resume is called; none is refused. If ctx ends first, writes continue
// and the cause of ctx is returned.
func (h *Holder) PauseWrites(ctx context.Context) (resume func(), err error) {
	return h.writeGate.pause(ctx)
}

// Drain stops starting batches: queued and later ones end with the outcome
// executor.HeldElsewhere. It waits until running batches and open transactions
// have ended or ctx ends, and then closes all connections.
func (h *Holder) Drain(ctx context.Context) error {
	h.initialize()
	h.startDrain()
	err := h.inFlight.wait(ctx)
	h.close()
	return err
}

// startDrain makes queued and later batches end with the outcome
// executor.HeldElsewhere.
func (h *Holder) startDrain() {
	h.draining.Store(true)
	h.cancelDrainCtx(errHeldElsewhere)
}

func (h *Holder) isDraining() bool { return h.draining.Load() }

// beginWork counts a batch unless the holder is draining. It increments the
// counter before it checks draining, so that either this call observes the drain or
// Drain observes the batch.
func (h *Holder) beginWork() bool {
	h.inFlight.add(1)
	if h.draining.Load() {
		h.inFlight.add(-1)
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
