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

// A violation is something that a caller must never see.
type violation uint8

// The violations that are counted.
const (
	// staleRead: a session does not see its own acknowledged write.
	staleRead violation = iota
	// crossedAnswer: an answer belongs to another request or is incomplete.
	crossedAnswer
	// wrongCustomer: a statement ran with the setting of another customer.
	wrongCustomer
	// foreignCancel: a statement was cancelled that its caller did not cancel.
	foreignCancel
	// tornTransaction: a part of a transaction is visible without the rest.
	tornTransaction
	// mixedTransaction: a commit holds writes of two callers or not all of one.
	mixedTransaction
	// lostWrite: an acknowledged write is not in the log.
	lostWrite
	// doubledWrite: a write ran twice.
	doubledWrite
	// falseNotRun: a write that was refused as not run is in a log.
	falseNotRun
	// falseRollback: a write that was rolled back is in a log.
	falseRollback
	// unexpectedError: an error that no fault explains.
	unexpectedError
	violationKinds
)

// String returns the name of the figure.
func (v violation) String() string {
	return [...]string{
		"stale_own_reads", "crossed_answers", "wrong_customer_statements", "foreign_cancels", "torn_transactions",
		"mixed_transactions", "acknowledged_lost", "doubled", "not_run_in_log", "rolled_back_in_log", "unexpected_errors",
	}[v]
}

// customerPattern finds the names of customers in statements and parameters.
var customerPattern = regexp.MustCompile(`customer\d+`)

// settingStatement matches the statement by which the proxy sets the customer
// and nothing else; what runs after it is checked.
var settingStatement = regexp.MustCompile(`^SET endiveturn\.customer = 'customer\d+'$`)

// A claim is what a caller was told of a write.
type claim struct {
	id       string
	service  string
	customer string
	// partner is the other write of the same transaction, or empty.
	partner string
	// outcome is Failed for a write that was rolled back.
	outcome OperationOutcome
	// told is the error by which the caller knows.
	told string
}

// A counterClaim is what the owner of a counter was told of its increments.
type counterClaim struct {
	service               string
	acknowledged, unknown int64
}

// A consistencyCheck collects what callers were told and what databases ran.
type consistencyCheck struct {
	Logger *slog.Logger

	mu         sync.Mutex
	violations [violationKinds]int
	claims     map[string]claim
	counters   map[string]*counterClaim
	// outcomes counts the writes, and codes the refusals and errors.
	outcomes   map[OperationOutcome]int
	reads      int
	cancelled  int
	statements int
}

// run lets sessions of all customers work on all services until ctx ends.
func (c *consistencyCheck) run(ctx context.Context, f *Fleet, seed uint64) {
	c.mu.Lock()
	c.claims, c.counters, c.outcomes = map[string]claim{}, map[string]*counterClaim{}, map[OperationOutcome]int{}
	c.mu.Unlock()
	var sessions sync.WaitGroup
	for i := range f.Shape.Customers {
		for j := range f.Shape.Services {
			for k := range checkedSessions {
				s := &checkedSession{
					check: c, fleet: f, customer: CustomerName(i + 1), route: RouteName(j + 1), service: ServiceName(j + 1),
					name: fmt.Sprintf("%s-s%d-%d", CustomerName(i+1), j+1, k), byToken: k%2 == 1,
					rng: rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)<<16|uint64(k))),
				}
				sessions.Go(func() { s.run(ctx) })
			}
		}
	}
	sessions.Wait()
}

// violate counts a violation and logs what was seen.
func (c *consistencyCheck) violate(kind violation, format string, args ...any) {
	c.mu.Lock()
	c.violations[kind]++
	c.mu.Unlock()
	c.Logger.Error("violation", "kind", kind.String(), "seen", fmt.Sprintf(format, args...))
}

// claim notes what a caller was told of a write.
func (c *consistencyCheck) claim(told claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims[told.id] = told
	c.outcomes[told.outcome]++
}

// counted notes what the owner of a counter was told of an increment.
func (c *consistencyCheck) counted(id, service string, outcome OperationOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.counters[id]
	if counter == nil {
		counter = &counterClaim{service: service}
		c.counters[id] = counter
	}
	switch outcome {
	case Done:
		counter.acknowledged++
	case Unknown:
		counter.unknown++
	}
}

// read counts a checked read of a session's own writes.
func (c *consistencyCheck) read() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
}

// cancel counts a statement that was cancelled by its own caller.
func (c *consistencyCheck) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled++
}

// observe compares the customer setting of a statement with the customers that
// the statement names.
func (c *consistencyCheck) observe(run groupemulator.StatementRun) {
	if settingStatement.MatchString(run.Query) {
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
			c.violate(wrongCustomer, "%s ran %q %q for %s", run.Database, run.Query, run.Parameters, run.Customer)
			return
		}
	}
}
