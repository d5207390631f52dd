package director

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
)

// requirements returns what a database must satisfy to run a read or write of
// the operation.
func (op *operation) requirements(writes bool, tried map[string]bool) Requirements {
	required := Requirements{Writes: writes, Consistency: op.route.Consistency, Tried: tried}
	if writes || op.route.Consistency == cataloger.Primary {
		return required
	}
	required.Floor, required.FloorKnown = op.service.floor(op.route.MaxStaleness - floorTransitMargin)
	ownFloor := op.session.floors[op.route.Service]
	if op.route.Consistency == cataloger.ReadYourWrites && required.FloorKnown && required.Floor.Before(ownFloor) {
		required.Floor = ownFloor
		required.FloorIsOwnCommit = true
	}
	return required
}

// openAttempt chooses a database and takes a connection to it on which the
// session's variables are set. If only the primary may serve and none is in
// force, it waits for one.
func (op *operation) openAttempt(ctx context.Context, required Requirements, since time.Time) (*attempt, error) {
	deadline := op.queueDeadline()
	op.floor, op.writes = required.Floor, required.Writes
	var ref *primaryRef
	var changed chan struct{}
	chosen := op.service.selectDatabase(op.customer, required, func() *database {
		if ref, changed = op.service.acquirePrimary(); ref == nil {
			return nil
		}
		return ref.database
	})
	if chosen.database == nil {
		return nil, op.awaitPrimary(ctx, changed, since.Add(op.primaryWait()))
	}
	return op.connect(ctx, chosen.database, ref, ref == nil && required.FloorIsOwnCommit, deadline)
}

// A selection is the database for an attempt, nil if none may serve now, with the candidates
// from which it was chosen.
type selection struct {
	database   *database
	candidates []Candidate
}

// selectDatabase chooses the database for an attempt. primary returns the database to use if
// it is to be the primary, or nil if no primary may be used now; it is called at most once.
func (s *service) selectDatabase(customer string, required Requirements, primary func() *database) selection {
	candidates, databases := s.candidates(customer, kindOf(required.Writes))
	if i := s.choose(required, candidates); i >= 0 && !candidates[i].Primary {
		return selection{databases[i], candidates}
	}
	if db := primary(); db != nil {
		return selection{db, candidates}
	}
	if i := s.chooseReplica(required, candidates); i >= 0 {
		return selection{databases[i], candidates}
	}
	return selection{nil, candidates}
}

// queueDeadline returns the time until which the operation may wait for a
// connection.
func (op *operation) queueDeadline() time.Time {
	share := time.Duration(queueTimeShare * float64(op.route.TargetLatency))
	return op.session.director.Now().Add(max(share, minQueueTime))
}

// chooseReplica returns the index of the best candidate other than the primary,
// or -1 if there is none.
func chooseReplica(required Requirements, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Primary || !required.satisfiedBy(c) {
			continue
		}
		if best < 0 || required.cost(c) < required.cost(candidates[best]) {
			best = i
		}
	}
	return best
}

func withTried(tried map[string]bool, id string) map[string]bool {
	next := map[string]bool{id: true}
	for other := range tried {
		next[other] = true
	}
	return next
}

// errNoPrimary reports that the service has no primary in force.
var errNoPrimary = errors.New("no primary in force, retry in " + primaryRetryAfter)

// awaitPrimary waits for a change of primary. It returns errFenced if the
// primary changed and the operation may be retried. It returns errNoPrimary if
// the primary did not change before the deadline, or at once if changed is nil.
func (op *operation) awaitPrimary(ctx context.Context, changed chan struct{}, deadline time.Time) error {
	if changed == nil {
		return errNoPrimary
	}
	timer := time.NewTimer(deadline.Sub(op.session.director.Now()))
	defer timer.Stop()
	select {
	case <-changed:
		return errFenced
	case <-timer.C:
	case <-ctx.Done():
	}
	return errNoPrimary
}

// connect takes a connection to db and sets the session's variables on it.
func (op *operation) connect(ctx context.Context, db *database, ref *primaryRef, floorIsOwnCommit bool, deadline time.Time) (*attempt, error) {
	a := &attempt{operation: op, database: db, primaryRef: ref, floorIsOwnCommit: floorIsOwnCommit}
	op.service.recordStart(db)
	a.startWait()
	balanced := op.service.isBalanced()
	if balanced {
		a.trial = op.service.beginTrial(db, kindOf(op.writes))
	}
	if err := a.acquirePermit(ctx, op.rank(false), deadline); err != nil {
		a.release()
		a.recordConnectError(err)
		return a, err
	}
	throttled := balanced && !db.pool.HasIdle(op.customer)
	if throttled {
		if err := a.throttle(); err != nil {
			a.release()
			a.recordConnectError(err)
			return a, err
		}
	}
	if balanced {
		deadline = op.connectDeadline()
	}
	conn, err := db.pool.Get(ctx, op.customer, op.session.variables, op.priority, deadline)
	if throttled && !errors.Is(err, connector.ErrQueueTimeout) {
		db.gate.RecordAttempt(err == nil)
	}
	if err != nil {
		a.release()
		a.recordConnectError(err)
		return a, err
	}
	a.conn = conn
	if err := a.applyVariables(); err != nil {
		op.recordSetupError(db, err)
		a.discardConn()
		return a, err
	}
	return a, nil
}

// rank returns the operation's rank in the queue of a database's semaphore.
func (op *operation) rank(inTransaction bool) rank {
	return rank{inTransaction: inTransaction, priority: op.priority, due: op.began.Add(op.route.TargetLatency)}
}

// acquirePermit waits for a permit of the database's semaphore.
func (a *attempt) acquirePermit(ctx context.Context, r rank, deadline time.Time) error {
	if a.hasPermit || a.ticket != nil {
		return nil
	}
	if a.operation.service.isBalanced() {
		return a.admit(ctx, r, deadline)
	}
	if err := a.database.semaphore.acquire(ctx, r, deadline); err != nil {
		return err
	}
	a.hasPermit = true
	return nil
}

// releasePermit returns the permit of the database's semaphore, if one is held.
func (a *attempt) releasePermit() {
	if a.ticket != nil {
		a.database.gate.Release(a.ticket, a.served)
		a.ticket = nil
	}
	if a.hasPermit {
		a.hasPermit = false
		a.database.semaphore.release()
	}
}

// recordConnectError records that the attempt got no slot or no connection.
func (a *attempt) recordConnectError(err error) {
	op := a.operation
	var refused *admissionError
	switch {
	case errors.As(err, &refused):
		a.cancelTrial()
	case errors.Is(err, connector.ErrQueueTimeout), errors.Is(err, connector.ErrTooManyConnections), errors.Is(err, connector.ErrClosed):
		a.cancelTrial()
		op.service.recordBusy(a.database)
	default:
		op.service.recordOutcome(a.database, kindOf(op.writes), balancer.Outcome{Failed: true, Trial: a.endTrial()})
		op.service.recordConnectFailure(a.database, err)
	}
}

// recordSetupError records that a statement of the proxy itself failed. Only a
// database that did not respond has failed.
func (op *operation) recordSetupError(db *database, err error) {
	var rejected *responseError
	switch {
	case isFenced(err):
	case errors.As(err, &rejected):
		op.service.recordBusy(db)
	default:
		op.service.recordFailure(db, err)
	}
}
