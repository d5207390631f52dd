package director

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// maxAttempts bounds how often an operation is tried on databases.
	maxAttempts = 4
	// setupTimeout bounds what the proxy itself asks of a connection.
	setupTimeout = 500 * time.Millisecond
	// primaryWaitShare is the part of a statement's timeout that it may wait for
	// a primary while none is in force.
	primaryWaitShare = 0.8
	// queueShare is the part of its latency objective that an operation may
	// wait for a connection. Under overload the ones that are served are then
	// served in time, and the others are told at once.
	queueShare = 0.22
	// leastQueueTime is enough to open a connection.
	leastQueueTime = 45 * time.Millisecond
	// firstAttemptShare is the part of a read's timeout after which it is tried
	// on another database.
	firstAttemptShare = 0.5
	// floorMargin is taken off the age that reads accept, for the way to the
	// database.
	floorMargin = 150 * time.Millisecond
	// primaryRetryAfter is the advice to clients while a service has no
	// primary.
	primaryRetryAfter = "500ms"
	// busyPauseBetween is the least pause before an operation is tried again
	// where it was turned away.
	busyPauseBetween = 15 * time.Millisecond
	// maxShapes bounds the prepared statements on one connection.
	maxShapes = 256
)

// errFenced says that the primary of a use is no longer in force.
var errFenced = errors.New("primary is no longer in force")

// An attempt is an operation on one database.
type attempt struct {
	operation *operation
	database  *database
	// use is nil unless the database is used as primary.
	use  *use
	conn *connector.Conn
	// sent is when the last statement was sent, as an instant of SinceBoot.
	sent time.Time
	// ownFloor is set if the floor of the attempt's statements is a commit of
	// the session itself.
	ownFloor bool
	// entered is set during the attempt's turn at its database.
	entered bool
	// passed is set once a statement of the client was sent.
	passed bool
}

// need returns what a read or write of the operation asks of a database.
func (op *operation) need(writes bool, tried map[string]bool) Need {
	need := Need{Writes: writes, Consistency: op.route.Consistency, Tried: tried}
	if writes || op.route.Consistency == cataloger.Primary {
		return need
	}
	need.Floor, need.FloorKnown = op.service.floor(op.route.MaxStaleness - floorMargin)
	own := op.session.floors[op.route.Service]
	if op.route.Consistency == cataloger.ReadYourWrites && need.FloorKnown && need.Floor.Before(own) {
		need.Floor = own
		need.OwnFloor = true
	}
	return need
}

// open chooses a database and takes a connection on which the session's values
// are in force. It waits for a primary if only that may serve and none is in
// force.
func (op *operation) open(ctx context.Context, need Need, since time.Time) (*attempt, error) {
	deadline := op.queueDeadline()
	op.floor = need.Floor
	candidates, databases := op.service.candidates(op.customer)
	i := Choose(need, candidates)
	if i >= 0 && !candidates[i].Primary {
		return op.connect(ctx, databases[i], nil, need.OwnFloor, deadline)
	}
	u, changed := op.service.acquirePrimary()
	if u != nil {
		return op.connect(ctx, u.database, u, false, deadline)
	}
	if j := chooseReplica(need, candidates); j >= 0 {
		return op.connect(ctx, databases[j], nil, need.OwnFloor, deadline)
	}
	wait := time.Duration(primaryWaitShare * float64(op.route.StatementTimeout))
	return nil, op.awaitPrimary(ctx, changed, since.Add(wait))
}

// queueDeadline returns until when an operation may wait for a connection.
func (op *operation) queueDeadline() time.Time {
	share := time.Duration(queueShare * float64(op.route.TargetLatency))
	return op.session.director.Now().Add(max(share, leastQueueTime))
}

// chooseReplica returns the index of the best candidate but the primary, or -1.
func chooseReplica(need Need, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Primary || !need.allows(c) {
			continue
		}
		if best < 0 || need.cost(c) < need.cost(candidates[best]) {
			best = i
		}
	}
	return best
}

func with(tried map[string]bool, id string) map[string]bool {
	next := map[string]bool{id: true}
	for other := range tried {
		next[other] = true
	}
	return next
}

// errNoPrimary says that the service has no primary in force.
var errNoPrimary = errors.New("no primary in force, retry in " + primaryRetryAfter)

// awaitPrimary waits for a change of primary, and returns errNoPrimary if
// there is none in time or errFenced if the operation may try again.
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

// connect takes a connection and installs the session's values.
func (op *operation) connect(ctx context.Context, db *database, u *use, ownFloor bool, deadline time.Time) (*attempt, error) {
	a := &attempt{operation: op, database: db, use: u, ownFloor: ownFloor}
	op.service.started(db)
	if err := a.enter(ctx, op.rank(false), deadline); err != nil {
		a.finish()
		op.connectFailed(db, err)
		return a, err
	}
	conn, err := db.pool.Get(ctx, op.customer, op.session.values, op.priority, deadline)
	if err != nil {
		a.finish()
		op.connectFailed(db, err)
		return a, err
	}
	a.conn = conn
	if err := a.install(); err != nil {
		op.service.failed(db, err)
		a.discard()
		return a, err
	}
	return a, nil
}

// rank returns the operation's place among others that wait.
func (op *operation) rank(open bool) rank {
	return rank{open: open, priority: op.priority, due: op.began.Add(op.route.TargetLatency)}
}

// enter waits for the attempt's turn at its database.
func (a *attempt) enter(ctx context.Context, r rank, deadline time.Time) error {
	if a.entered {
		return nil
	}
	if err := a.database.gate.enter(ctx, r, deadline); err != nil {
		return err
	}
	a.entered = true
	return nil
}

// leave ends the attempt's turn at its database.
func (a *attempt) leave() {
	if a.entered {
		a.entered = false
		a.database.gate.leave()
	}
}

func (op *operation) connectFailed(db *database, err error) {
	switch {
	case errors.Is(err, connector.ErrQueueTimeout), errors.Is(err, connector.ErrFull), errors.Is(err, connector.ErrClosed):
		op.service.busy(db)
	default:
		op.service.unopened(db, err)
	}
}

// install puts exactly the session's values into force on the connection.
func (a *attempt) install() error {
	values := a.operation.session.values
	if !values.Covers(a.conn.Values) {
		if err := a.own(executor.Request{Verb: executor.VerbDiscard}); err != nil {
			return err
		}
		a.conn.Values = connector.Values{}
		a.conn.Prepared = make(map[string]bool)
	}
	for _, value := range values.Missing(a.conn.Values) {
		if err := a.own(executor.Request{Verb: executor.VerbSet, Name: value.Name, Arguments: value.Data}); err != nil {
			return err
		}
	}
	a.conn.Values = values
	return nil
}

// installPrepared makes a prepared statement known on the connection.
func (a *attempt) installPrepared(p *prepared) error {
	if p == nil || a.conn.Prepared[p.name] {
		return nil
	}
	if len(a.conn.Prepared) >= maxShapes {
		return errors.New("too many prepared statements on the connection")
	}
	statement := executor.Request{Verb: executor.VerbPrepare, Name: p.name, Arguments: p.shape, Writes: p.writes}
	if err := a.own(statement); err != nil {
		return err
	}
	a.conn.Prepared[p.name] = true
	return nil
}

// own runs a statement of the proxy itself, which must succeed.
func (a *attempt) own(statement executor.Request) error {
	reply, err := a.exchange(statement, a.operation.session.director.Now().Add(setupTimeout))
	if err != nil {
		return err
	}
	if reply.Code != executor.CodeNone {
		return &replyError{reply: reply}
	}
	return nil
}

// A replyError is an error that a database answered.
type replyError struct{ reply executor.Reply }

// Error returns code and text.
func (e *replyError) Error() string { return e.reply.Code.String() + ": " + e.reply.Text }

// exchange sends a statement and reads its reply.
func (a *attempt) exchange(statement executor.Request, deadline time.Time) (executor.Reply, error) {
	if a.use != nil && !a.operation.service.inForce(a.use, a.conn) {
		return executor.Reply{}, errFenced
	}
	a.sent = a.operation.session.director.SinceBoot()
	began := a.operation.session.director.Now()
	if err := a.conn.Send(statement); err != nil {
		return executor.Reply{}, err
	}
	if statement.ID != "" {
		a.passed = true
	}
	if err := a.conn.Flush(deadline); err != nil {
		return executor.Reply{}, err
	}
	reply, err := a.conn.Receive(deadline)
	if err != nil {
		if a.passed {
			a.operation.used()
		}
		return executor.Reply{}, err
	}
	a.operation.service.succeeded(a.database, a.sent, reply.Position)
	if statement.ID != "" && reply.Code == executor.CodeNone {
		a.operation.service.took(a.database, a.operation.session.director.Now().Sub(began))
	}
	a.noteLag(statement, reply)
	if statement.ID != "" && !reply.Code.NotRun() {
		a.operation.used()
	}
	return reply, nil
}

// noteLag learns from the answer to a statement with a floor.
func (a *attempt) noteLag(statement executor.Request, reply executor.Reply) {
	switch {
	case statement.Floor.IsZero() || a.ownFloor:
	case reply.Code == executor.CodeLagging:
		a.operation.service.lags(a.database)
		a.operation.session.director.Logger.Info("replica_lagging", "request", statement.ID, "service", a.operation.service.name,
			"database", a.database.endpoint.ID, "floor", statement.Floor.String(), "at", reply.Position.String())
	case reply.Code == executor.CodeNone:
		a.operation.service.caughtUp(a.database)
	}
}

// finish ends the attempt's hold on its database.
func (a *attempt) finish() {
	a.leave()
	a.operation.service.ended(a.database)
	if a.use != nil {
		a.operation.service.release(a.use)
	}
}

// put returns the connection, on which no transaction is open.
func (a *attempt) put() {
	a.database.pool.Put(a.conn)
	a.finish()
}

// discard closes the connection, which rolls back what is open on it.
func (a *attempt) discard() {
	a.database.pool.Discard(a.conn)
	a.finish()
}

// end puts or discards the connection, depending on the state in which the
// last reply left it.
func (a *attempt) end(state byte) {
	switch state {
	case executor.StateIdle:
		a.put()
		return
	case executor.StateFailed, executor.StateTransaction:
		if err := a.own(executor.Request{Verb: executor.VerbRollback}); err == nil {
			a.put()
			return
		}
	}
	a.discard()
}
