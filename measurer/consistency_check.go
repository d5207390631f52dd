package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"regexp"
	"sync"

	"github.com/endiveturn/endiveturn/groupemulator"
)

// A violation is a kind of anomaly that a client must never observe.
type violation uint8

// The kinds of violations.
const (
	// staleRead: a session does not read its own acknowledged write.
	staleRead violation = iota
	// mismatchedResponse: a response belongs to another request or is incomplete.
	mismatchedResponse
	// wrongCustomer: a statement ran with the customer setting of another
	// customer, or with none.
	wrongCustomer
	// foreignCancel: a statement was canceled, but not by its own client.
	foreignCancel
	// tornTransaction: some writes of a transaction are visible without the
	// others.
	tornTransaction
	// mixedTransaction: a commit holds writes of two transactions, or not all
	// writes of one.
	mixedTransaction
	// lostWrite: an acknowledged write is not in the log.
	lostWrite
	// duplicatedWrite: a write ran twice.
	duplicatedWrite
	// falseNotRun: a write that was refused as not run is in a log.
	falseNotRun
	// falseRollback: a write that was rolled back is in a log.
	falseRollback
	// unexpectedError: a client got an error that no fault explains.
	unexpectedError
	violationKinds
)

// String returns the name of the figure that counts the violation.
func (v violation) String() string {
	return [...]string{
		"stale_own_reads", "crossed_answers", "wrong_customer_statements", "foreign_cancels", "torn_transactions",
		"mixed_transactions", "acknowledged_lost", "doubled", "not_run_in_log", "rolled_back_in_log", "unexpected_errors",
	}[v]
}

// customerPattern matches the names of customers in statements and parameters.
var customerPattern = regexp.MustCompile(`customer\d+`)

// setCustomerStatement matches the statement by which the proxy sets the customer,
// without any further statement. It is exempt from the check, the statements after
// it are not.
var setCustomerStatement = regexp.MustCompile(`^SET endiveturn\.customer = 'customer\d+'$`)

// A reportedWrite is a write with the outcome that was reported to its client.
type reportedWrite struct {
	id       string
	service  string
	customer string
	// partner is the id of the other write of the same transaction, or empty.
	partner string
	// outcome is Failed for a write that was rolled back.
	outcome OperationOutcome
	// errText is the error that the client received, if any.
	errText string
}

// A reportedCounter counts the increments of a counter by the outcome that
// was reported to the client.
type reportedCounter struct {
	service               string
	acknowledged, unknown int64
}

// A consistencyCheck collects the outcomes reported to clients, checks the
// statements that databases run, and counts violations.
type consistencyCheck struct {
	Logger *slog.Logger

	mu         sync.Mutex
	violations [violationKinds]int
	reported   map[string]reportedWrite
	counters   map[string]*reportedCounter
	// outcomes counts the writes by outcome.
	outcomes   map[OperationOutcome]int
	reads      int
	canceled   int
	statements int
}

// run runs sessions of all customers on all services until ctx ends.
func (c *consistencyCheck) run(ctx context.Context, f *Fleet, seed uint64) {
	c.mu.Lock()
	c.reported, c.counters, c.outcomes = map[string]reportedWrite{}, map[string]*reportedCounter{}, map[OperationOutcome]int{}
	c.mu.Unlock()
	var sessions sync.WaitGroup
	for i := range f.Spec.Customers {
		for j := range f.Spec.Services {
			for k := range checkedSessionCount {
				s := &checkedSession{
					check: c, fleet: f, customer: CustomerName(i + 1), route: RouteName(j + 1), service: ServiceName(j + 1),
					name: fmt.Sprintf("%s-s%d-%d", CustomerName(i+1), j+1, k), usesToken: k%2 == 1,
					rng: rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)<<16|uint64(k))),
				}
				sessions.Go(func() { s.run(ctx) })
			}
		}
	}
	sessions.Wait()
}

// recordViolation counts a violation and logs its description.
func (c *consistencyCheck) recordViolation(kind violation, format string, args ...any) {
	c.mu.Lock()
	c.violations[kind]++
	c.mu.Unlock()
	c.Logger.Error("consistency_violated", "kind", kind.String(), "seen", fmt.Sprintf(format, args...))
}

// recordWrite records the outcome of a write that was reported to a client.
func (c *consistencyCheck) recordWrite(report reportedWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported[report.id] = report
	c.outcomes[report.outcome]++
}

// recordIncrement records the outcome of an increment that was reported to a
// client.
func (c *consistencyCheck) recordIncrement(id, service string, outcome OperationOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.counters[id]
	if counter == nil {
		counter = &reportedCounter{service: service}
		c.counters[id] = counter
	}
	switch outcome {
	case Done:
		counter.acknowledged++
	case Unknown:
		counter.unknown++
	}
}

// recordRead counts a checked read of a session's own writes.
func (c *consistencyCheck) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
}

// recordCancel counts a statement that was canceled by its own client.
func (c *consistencyCheck) recordCancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled++
}

// checkStatement compares the customer setting under which a statement ran with
// the customers that the statement and its parameters name.
func (c *consistencyCheck) checkStatement(run groupemulator.StatementRun) {
	if setCustomerStatement.MatchString(run.Query) {
		return
	}
	named := customerPattern.FindAllString(run.Query, -1)
	for _, p := range run.Parameters {
		named = append(named, customerPattern.FindAllString(p, -1)...)
	}
	if len(named) == 0 {
		return
	}
	c.mu.Lock()
	c.statements++
	c.mu.Unlock()
	for _, customer := range named {
		if customer != run.Customer {
			c.recordViolation(wrongCustomer, "%s ran %q %q for %s", run.Database, run.Query, run.Parameters, run.Customer)
			return
		}
	}
}
