package director

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/admitter"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
)

// BalanceMode determines whether a host uses the modules admitter and balancer.
type BalanceMode uint8

// The modes. The zero value stands for BalanceAuto.
const (
	// BalanceAuto balances in large fleets, except for services with a pool host: that
	// one sees the whole load of the service and orders it by priority.
	BalanceAuto BalanceMode = iota + 1
	BalanceOn
	BalanceOff
)

// applies reports whether the host balances the given service.
func (m BalanceMode) applies(catalog *cataloger.Catalog, service string) bool {
	if m != BalanceAuto && m != 0 {
		return m == BalanceOn
	}
	return catalog.IsLargeFleet() && !hasScarceConnections(catalog, service)
}

// maxHoldShare is the fraction of its latency objective that an operation may wait
// for a database if it can only be late.
const maxHoldShare = 0.25

// An admissionError reports that an operation got no slot. It is a kind of
// connector.ErrQueueTimeout: nothing was sent.
type admissionError struct{ refusal *admitter.Refusal }

// Error returns the reason for the log.
func (e *admissionError) Error() string { return "not admitted: " + e.refusal.Reason.String() }

// Is reports whether the target is connector.ErrQueueTimeout.
func (e *admissionError) Is(target error) bool { return target == connector.ErrQueueTimeout }

// busyTextOf returns the text of the response to a statement that got no slot or no
// connection.
func busyTextOf(err error) string {
	var refused *admissionError
	if errors.As(err, &refused) {
		return refused.refusal.Error()
	}
	return busyText
}

// refusalText returns the text of the refusal of a transaction that no database has
// begun.
func refusalText(err error) string {
	var refused *admissionError
	if errors.As(err, &refused) {
		return refused.refusal.Error()
	}
	return withRetryHint(err.Error())
}

// refusedOnArrival reports whether an operation was refused at once, so that it may
// try another database.
func refusedOnArrival(err error) bool {
	var refused *admissionError
	return errors.As(err, &refused) && onArrival(refused.refusal)
}

func onArrival(refusal *admitter.Refusal) bool {
	return refusal.Reason == admitter.ReasonExpectedWait || refusal.Reason == admitter.ReasonThrottled
}

// isBalanced reports whether admission and balancing are in use.
func (s *service) isBalanced() bool { return s.balanced.Load() }

// admit waits for a slot of the attempt's database. deadline is the deadline of a
// statement of an open transaction.
func (a *attempt) admit(ctx context.Context, r rank, deadline time.Time) error {
	op := a.operation
	timeout := deadline
	if !r.inTransaction {
		timeout = op.statementTimeout()
	}
	ticket, err := a.database.gate.Acquire(ctx, op.slotRequest(r, timeout))
	if err != nil {
		return op.admissionError(err)
	}
	a.ticket, a.served = ticket, false
	return nil
}

// slotRequest returns the request for a slot of a database.
func (op *operation) slotRequest(r rank, timeout time.Time) admitter.Request {
	return admitter.Request{
		Customer: op.customer, Weight: op.service.customerWeight(op.customer),
		Class:     admitter.Class{Route: op.route.Name, Priority: r.priority, Writes: op.writes, InTransaction: r.inTransaction},
		Objective: op.began.Add(op.objective()), Timeout: timeout, MaxHold: time.Duration(maxHoldShare * float64(op.objective())),
	}
}

// throttle refuses an attempt that needs a new connection if too few of this host's
// recent ones to the database succeeded.
func (a *attempt) throttle() error {
	op := a.operation
	err := a.database.gate.Throttle(admitter.Class{Route: op.route.Name, Priority: op.priority, Writes: op.writes}, rand.Float64)
	return op.admissionError(err)
}

// admissionError counts a refusal and returns it as an admissionError.
func (op *operation) admissionError(err error) error {
	var refusal *admitter.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	op.session.director.Metrics.recordRefusal(refusal.Reason)
	return &admissionError{refusal}
}

// objective returns the latency objective of the operation; a route without one has
// its timeout.
func (op *operation) objective() time.Duration {
	if op.route.TargetLatency > 0 {
		return op.route.TargetLatency
	}
	return op.route.StatementTimeout
}

// statementTimeout returns when the statement that is about to take a slot fails. A
// transaction may have been idle since it began.
func (op *operation) statementTimeout() time.Time {
	if tx := op.session.tx; tx != nil && tx.operation == op {
		return op.session.director.Now().Add(op.route.StatementTimeout)
	}
	return op.began.Add(op.route.StatementTimeout)
}

// connectDeadline returns the time until which an operation with a slot may wait for
// a connection.
func (op *operation) connectDeadline() time.Time {
	byObjective := op.began.Add(time.Duration(maxHoldShare * float64(op.objective())))
	enough := op.session.director.Now().Add(minQueueTime)
	if byObjective.After(enough) {
		return byObjective
	}
	return enough
}

// customerWeight returns the customer's weight: its rate, or the mean rate if it has
// none.
func (s *service) customerWeight(customer string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate := s.catalog.Configuration.Customers[customer].Rate; rate > 0 {
		return rate
	}
	return s.meanRate
}

// setMeanRate sets the mean rate of the customers that have one, or 1 if none has. The
// caller holds mu.
func (s *service) setMeanRate(configuration *cataloger.Configuration) {
	if configuration == nil || configuration == s.meanRateOf {
		return
	}
	sum, count := 0.0, 0
	for _, customer := range configuration.Customers {
		if customer.Rate > 0 {
			sum += customer.Rate
			count++
		}
	}
	s.meanRate, s.meanRateOf = 1, configuration
	if count > 0 {
		s.meanRate = sum / float64(count)
	}
}

// primaryWait returns how long the operation may wait for a primary. While balancing,
// it is refused when it could no longer be in time.
func (op *operation) primaryWait() time.Duration {
	limit := op.route.StatementTimeout
	if op.service.isBalanced() {
		limit = min(limit, op.objective())
	}
	return time.Duration(primaryWaitShare * float64(limit))
}
