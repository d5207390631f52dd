package director

import (
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

const (
	// maxAttempts is the maximum number of attempts for one operation.
	maxAttempts = 4
	// setupTimeout is the timeout of statements that the proxy itself runs on
	// a connection.
	setupTimeout = 500 * time.Millisecond
	// primaryWaitShare is the fraction of the statement timeout, or of the latency
	// objective while balancing, that an operation may wait for a primary while none is
	// in force.
	primaryWaitShare = 0.8
	// queueTimeShare is the fraction of its latency objective that an operation
	// may wait for a connection. Under overload the operations that are served
	// then meet their objective, and the others are rejected early.
	queueTimeShare = 0.22
	// minQueueTime is the minimum wait for a connection: enough to open one.
	minQueueTime = 45 * time.Millisecond
	// firstAttemptShare is the fraction of a read's timeout after which it is
	// retried on another database.
	firstAttemptShare = 0.5
	// floorTransitMargin is subtracted from the staleness that reads accept, to
	// allow for the transit time to the database.
	floorTransitMargin = 150 * time.Millisecond
	// primaryRetryAfter is the retry delay suggested to clients while a service
	// has no primary.
	primaryRetryAfter = "500ms"
	// retryDelay is the minimum delay before an operation that a database
	// rejected is retried.
	retryDelay = 15 * time.Millisecond
	// maxPreparedPerConn is the maximum number of prepared statements on one
	// connection.
	maxPreparedPerConn = 256
)

// errFenced reports that the primary of a primaryRef is no longer in force.
var errFenced = errors.New("primary is no longer in force")

// errViewTooOld reports that this host's view is too old to use the primary of a
// primaryRef, which may still be in force.
var errViewTooOld = errors.New("view of the primaries is too old")

// errUnconfirmed reports that a database acknowledged a write when it may no longer have been
// the primary: this host's view expired meanwhile, or shows another primary. The statement may
// have been sent late, by a host that was suspended after it had checked its view.
var errUnconfirmed = errors.New("primary was no longer in force when it acknowledged the write")

// isFenced reports whether a statement was not sent because its primary must not
// be used.
func isFenced(err error) bool { return errors.Is(err, errFenced) || errors.Is(err, errViewTooOld) }

// An attempt is one try at running an operation on a particular database.
type attempt struct {
	operation *operation
	database  *database
	// primaryRef is nil unless the database is used as primary.
	primaryRef *primaryRef
	conn       *connector.Conn
	// sent is the time at which the last statement was sent, on the clock of
	// Director.SinceBoot.
	sent time.Time
	// floorIsOwnCommit is set if the floor of the attempt's statements is a
	// commit of the same session.
	floorIsOwnCommit bool
	// ticket is the attempt's slot while it holds one of the database's gate, and
	// served is set once a statement of the client has succeeded with that slot.
	ticket *admitter.Ticket
	served bool
	// hasPermit is set while the attempt holds a permit of the database's
	// semaphore.
	hasPermit bool
	// clientStatementSent is set while a statement of the client was sent that
	// the database has not rejected without running it.
	clientStatementSent bool
	// trial is the number of the trial request that the attempt is, 0 if it is none or has
	// had an outcome.
	trial uint64
	// awaiting is set while the attempt waits for the database: for a
	// connection, or for the response to a statement.
	awaiting bool
}

// applyVariables sets exactly the session's variables on the connection.
func (a *attempt) applyVariables() error {
	variables := a.operation.session.variables
	if !variables.HasAllNames(a.conn.Variables) {
		if err := a.execInternal(executor.Request{Verb: executor.VerbDiscard}); err != nil {
			return err
		}
		a.conn.Variables = connector.Variables{}
		a.conn.Prepared = make(map[string]bool)
	}
	for _, variable := range variables.Diff(a.conn.Variables) {
		if err := a.execInternal(executor.Request{Verb: executor.VerbSet, Name: variable.Name, Arguments: variable.Value}); err != nil {
			return err
		}
	}
	a.conn.Variables = variables
	return nil
}

// ensurePrepared prepares a statement on the connection unless it is prepared
// there already.
func (a *attempt) ensurePrepared(p *prepared) error {
	if p == nil || a.conn.Prepared[p.name] {
		return nil
	}
	if len(a.conn.Prepared) >= maxPreparedPerConn {
		return errors.New("too many prepared statements on the connection")
	}
	statement := executor.Request{Verb: executor.VerbPrepare, Name: p.name, Arguments: p.text, Writes: p.writes}
	if err := a.execInternal(statement); err != nil {
		return err
	}
	a.conn.Prepared[p.name] = true
	return nil
}

// execInternal runs a statement of the proxy itself and returns an error unless
// it succeeds.
func (a *attempt) execInternal(statement executor.Request) error {
	response, err := a.roundTrip(statement, a.operation.session.director.Now().Add(setupTimeout))
	if err != nil {
		return err
	}
	if response.Code != executor.CodeNone {
		return &responseError{response: response}
	}
	return nil
}

// A responseError is an error response from a database.
type responseError struct{ response executor.Response }

// Error returns the code and text of the response.
func (e *responseError) Error() string { return e.response.Code.String() + ": " + e.response.Text }

// roundTrip sends a statement and reads its response.
func (a *attempt) roundTrip(statement executor.Request, deadline time.Time) (executor.Response, error) {
	if a.primaryRef != nil {
		if err := a.operation.service.bindPrimaryRef(a.primaryRef, a.conn); err != nil {
			return executor.Response{}, err
		}
	}
	a.startWait()
	a.sent = a.operation.session.director.SinceBoot()
	began := a.operation.session.director.Now()
	if err := a.conn.Send(statement); err != nil {
		return executor.Response{}, err
	}
	if statement.ID != "" {
		a.clientStatementSent = true
	}
	endRequest := a.countRequest(statement)
	if err := a.conn.Flush(deadline); err != nil {
		endRequest(false)
		return executor.Response{}, err
	}
	response, err := a.conn.Receive(deadline)
	endRequest(err != nil || !response.Code.NotRun())
	if statement.ID != "" {
		a.recordOutcome(response, err, a.operation.session.director.Now().Sub(began))
	}
	if err != nil {
		if a.clientStatementSent {
			a.operation.markMayHaveRun()
		}
		return executor.Response{}, err
	}
	a.recordResponse(statement, response, began)
	if a.acknowledgesWrite(statement, response) && a.operation.service.verifyPrimaryRef(a.primaryRef) != nil {
		return executor.Response{}, errUnconfirmed
	}
	return response, nil
}

// recordResponse records what the response to a statement shows about the database. began is
// when the statement was sent.
func (a *attempt) recordResponse(statement executor.Request, response executor.Response, began time.Time) {
	a.operation.service.recordSuccess(a.database)
	a.operation.fromPrimary, a.operation.primaryRevision = a.operation.service.recordPrimaryPosition(a.primaryRef, a.sent, response.Position)
	if statement.ID != "" && response.Code == executor.CodeNone {
		a.operation.service.recordLatency(a.database, a.operation.session.director.Now().Sub(began))
	}
	a.recordLag(statement, response)
	if a.operation.fromPrimary && response.Code == executor.CodeReadOnly {
		a.operation.service.recordReadOnly(a.database)
	}
	switch {
	case statement.ID == "":
	case response.Code.NotRun():
		a.clientStatementSent = false
	default:
		a.operation.markMayHaveRun()
	}
}

// acknowledgesWrite reports whether the response acknowledges a committed write to the client.
func (a *attempt) acknowledgesWrite(statement executor.Request, response executor.Response) bool {
	written := statement.ID != "" && a.operation.writes && response.State == executor.StateIdle
	return written && a.primaryRef != nil && response.Code == executor.CodeNone
}

// startWait records that the attempt waits for the database.
func (a *attempt) startWait() {
	if !a.awaiting {
		a.awaiting = true
		a.operation.service.recordWaitStart(a.database)
	}
}

// endWait records that the attempt does not wait for the database, as while its
// transaction is idle.
func (a *attempt) endWait() {
	if a.awaiting {
		a.awaiting = false
		a.operation.service.recordWaitEnd(a.database)
	}
}

// recordLag records from the response to a statement with a floor whether the
// replica lags.
func (a *attempt) recordLag(statement executor.Request, response executor.Response) {
	switch {
	case statement.Floor.IsZero() || a.floorIsOwnCommit:
	case response.Code == executor.CodeLagging:
		a.operation.service.recordLagging(a.database)
		a.operation.session.director.Logger.Info("replica_lagging", "request", statement.ID, "service", a.operation.service.name,
			"database", a.database.id, "floor", statement.Floor.String(), "at", response.Position.String())
	case response.Code == executor.CodeNone:
		a.operation.service.recordCaughtUp(a.database)
	}
}

// release returns the attempt's permit and its reference to the primary.
func (a *attempt) release() {
	a.releasePermit()
	a.endWait()
	a.operation.service.recordEnd(a.database)
	if a.primaryRef != nil {
		a.operation.service.releasePrimary(a.primaryRef)
	}
}

// maxPooledVariables bounds the session variables in bytes with which a connection stays
// open for other sessions. It keeps them after their session, whose account no longer pays.
const maxPooledVariables = 64 << 10

// returnConn returns the connection to its pool. No transaction may be open on
// it.
func (a *attempt) returnConn() {
	if a.conn.Variables.Size() > maxPooledVariables {
		a.discardConn()
		return
	}
	a.database.pool.Put(a.conn)
	a.release()
}

// discardConn closes the connection, which rolls back any open transaction.
func (a *attempt) discardConn() {
	a.database.pool.Discard(a.conn)
	a.release()
}

// returnOrDiscardConn returns the connection to its pool, after a rollback if
// state is that of an open or failed transaction. It closes the connection if
// the rollback fails or the state is unknown.
func (a *attempt) returnOrDiscardConn(state byte) {
	switch state {
	case executor.StateIdle:
		a.returnConn()
		return
	case executor.StateFailed, executor.StateTransaction:
		if err := a.execInternal(executor.Request{Verb: executor.VerbRollback}); err == nil {
			a.returnConn()
			return
		}
	}
	a.discardConn()
}
