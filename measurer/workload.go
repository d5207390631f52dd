package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// OperationKind is the kind of request that a client sends.
type OperationKind uint8

// The kinds of operations. ReadOwn reads a row that the same session has written.
const (
	Write OperationKind = iota
	ReadOwn
)

// OperationOutcome is the outcome of an operation as reported to the client.
type OperationOutcome uint8

// The outcomes of operations. A client that a draining host refuses with "not
// run" retries at another host. This counts as Redirected and not as a failure
// if the operation succeeds in the end.
const (
	Done OperationOutcome = iota
	// NotRun means that the operation was refused and did not run.
	NotRun
	// Unknown means that the operation may have run or not.
	Unknown
	// Failed means an error that a client does not expect.
	Failed
)

// An Operation is one request of a client with its outcome. Start and End are
// relative to the start of the workload.
type Operation struct {
	Kind     OperationKind
	Outcome  OperationOutcome
	Customer string
	Host     string
	// ID is the id of the booking that was written or read.
	ID    string
	Start time.Duration
	End   time.Duration
	// Code is the SQLSTATE of a refusal, or empty.
	Code string
	// Message is the text of a refusal or error.
	Message string
	// Redirected is the number of hosts from which the client was redirected.
	Redirected int
}

// A ClientGroup is a number of clients of one customer with the same behaviour.
type ClientGroup struct {
	Customer string
	Route    string
	// Clients is the number of clients, each with one session.
	Clients int
	// Rate is the number of operations per second that all clients of the group
	// request together. At 0 each sends its next request as soon as the last one
	// has ended.
	Rate float64
	// FixedInterval makes each client send requests at equal instead of random
	// intervals, so that the number of operations does not vary.
	FixedInterval bool
	// WriteShare is the fraction of writes, from 0 to 1.
	WriteShare float64
	// OpsPerHost is the mean number of operations after which a session
	// reconnects, usually to another host. At 0 it stays connected.
	OpsPerHost int
	// Hosts returns the hosts to which the load balancer may send a session, with
	// their weights. If it is nil, those of the workload are used.
	Hosts func() []WeightedHost
}

// A WeightedHost is a host with its weight in the decisions of a load balancer.
type WeightedHost struct {
	Address string
	Name    string
	Weight  float64
}

// A Workload applies the load of client groups to a fleet and records every
// operation. Its exported fields are set before Run.
type Workload struct {
	Groups []ClientGroup
	// Hosts applies to groups without Hosts of their own.
	Hosts func() []WeightedHost
	Seed  uint64
	// Timeout bounds one operation.
	Timeout time.Duration
	// Logger receives a line for each operation that did not succeed. It may be
	// nil.
	Logger *slog.Logger

	start time.Time
	mu    sync.Mutex
	// operations are in the order in which they ended. stale counts the reads
	// that did not see an acknowledged write of their own session, and mismatched
	// the responses that belong to another request. examples describes the first
	// of these violations.
	operations []Operation
	stale      int
	mismatched int
	examples   []string
}

// maxRedirects is the number of redirects after which a client abandons an
// operation.
const maxRedirects = 20

// maxExamples is the number of violations that are kept as text.
const maxExamples = 10

// Run applies the load until ctx ends, and waits for the operations that are in
// flight then.
func (w *Workload) Run(ctx context.Context) {
	// The start may have been set already, for other load that runs concurrently.
	if w.start.IsZero() {
		w.start = time.Now()
	}
	var group sync.WaitGroup
	for i, g := range w.Groups {
		for j := range g.Clients {
			c := &clientSession{
				workload: w, group: g, name: fmt.Sprintf("g%dc%d", i, j),
				rng: rand.New(rand.NewPCG(w.Seed, uint64(i)<<32|uint64(j))),
			}
			group.Go(func() { c.run(ctx) })
		}
	}
	group.Wait()
}

// Elapsed returns the time since Run began.
func (w *Workload) Elapsed() time.Duration { return time.Since(w.start) }

// Operations returns the recorded operations. It is called after Run.
func (w *Workload) Operations() []Operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.operations
}

// Violations returns the number of reads that did not see an acknowledged write of
// their own session and the number of responses that belong to another request,
// with examples.
func (w *Workload) Violations() (stale, mismatched int, examples []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stale, w.mismatched, w.examples
}

func (w *Workload) record(o Operation) {
	if w.Logger != nil && o.Outcome != Done {
		w.Logger.Warn("operation_not_done", "id", o.ID, "kind", o.Kind, "outcome", o.Outcome, "host", o.Host,
			"code", o.Code, "message", o.Message, "start", o.Start, "end", o.End)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operations = append(w.operations, o)
}

func (w *Workload) recordViolation(counter *int, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
	if len(w.examples) < maxExamples {
		w.examples = append(w.examples, fmt.Sprintf(format, args...))
	}
}

// A clientSession is one session of a client, which may move between hosts.
type clientSession struct {
	workload *Workload
	group    ClientGroup
	name     string
	rng      *rand.Rand
	conn     *pgx.Conn
	host     WeightedHost
	// writes is the number of writes so far, and acknowledged holds the bookings
	// whose writes were acknowledged.
	writes       int
	acknowledged []booking
}

type booking struct {
	id     string
	amount int64
}

func (c *clientSession) run(ctx context.Context) {
	defer c.disconnect()
	interval := time.Duration(0)
	if c.group.Rate > 0 {
		interval = time.Duration(float64(c.group.Clients) / c.group.Rate * float64(time.Second))
		pauseFor(ctx, time.Duration(c.rng.Float64()*float64(interval)))
	}
	next := time.Now()
	for ctx.Err() == nil {
		c.runOperation(ctx)
		if c.group.OpsPerHost > 0 && c.rng.IntN(c.group.OpsPerHost) == 0 {
			c.disconnect()
		}
		if interval > 0 {
			// A client that falls behind its schedule does not catch up with a
			// burst.
			step := interval
			if !c.group.FixedInterval {
				step = time.Duration(c.rng.ExpFloat64() * float64(interval))
			}
			next = next.Add(step)
			if now := time.Now(); next.Before(now) {
				next = now
			}
			pauseFor(ctx, time.Until(next))
		}
	}
}

// pauseFor waits for d or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runOperation runs one operation to its end and records it.
func (c *clientSession) runOperation(ctx context.Context) {
	o := Operation{Kind: ReadOwn, Customer: c.group.Customer, Start: c.workload.Elapsed()}
	if len(c.acknowledged) == 0 || c.rng.Float64() < c.group.WriteShare {
		o.Kind = Write
		c.writes++
		o.ID = fmt.Sprintf("%s-%s-%d", c.group.Customer, c.name, c.writes)
	}
	// An operation that has begun is completed after ctx has ended, so that the
	// end of the load does not count as a failure.
	opCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.workload.Timeout)
	defer cancel()
	var err error
	for {
		err = c.attempt(opCtx, &o)
		if err == nil || !c.shouldRedirect(err) || o.Redirected >= maxRedirects || opCtx.Err() != nil {
			break
		}
		o.Redirected++
		c.disconnect()
		pauseFor(opCtx, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
	}
	o.End, o.Host = c.workload.Elapsed(), c.host.Name
	o.Outcome, o.Code, o.Message = classifyError(err)
	if err != nil {
		c.disconnect()
	}
	c.workload.record(o)
}

func (c *clientSession) attempt(ctx context.Context, o *Operation) error {
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			return err
		}
	}
	if o.Kind == Write {
		return c.write(ctx, o.ID)
	}
	return c.read(ctx, o)
}

func (c *clientSession) write(ctx context.Context, id string) error {
	amount := int64(c.writes)
	_, err := c.conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, c.group.Customer, amount)
	if err != nil {
		return &sentError{err: err}
	}
	c.acknowledged = append(c.acknowledged, booking{id: id, amount: amount})
	return nil
}

// read looks up an acknowledged booking of the session, usually the last one.
func (c *clientSession) read(ctx context.Context, o *Operation) error {
	want := c.acknowledged[len(c.acknowledged)-1]
	if c.rng.IntN(4) == 0 {
		want = c.acknowledged[c.rng.IntN(len(c.acknowledged))]
	}
	o.ID = want.id
	var id, customer string
	var amount int64
	err := c.conn.QueryRow(ctx, "SELECT id, customer, amount FROM bookings WHERE id = $1", want.id).Scan(&id, &customer, &amount)
	if errors.Is(err, pgx.ErrNoRows) {
		c.workload.recordViolation(&c.workload.stale, "%s does not see its booking %s at %v through %s", c.name, want.id, c.workload.Elapsed(), c.host.Name)
		return nil
	}
	if err != nil {
		return &sentError{err: err}
	}
	if id != want.id || customer != c.group.Customer || amount != want.amount {
		c.workload.recordViolation(&c.workload.mismatched, "%s requested %s of %s and got %s of %s", c.name, want.id, c.group.Customer, id, customer)
	}
	return nil
}

// A sentError is the error of a request that was sent to a host.
type sentError struct{ err error }

func (e *sentError) Error() string { return e.err.Error() }
func (e *sentError) Unwrap() error { return e.err }

func (c *clientSession) connect(ctx context.Context) error {
	c.host = c.pickHost()
	if c.host.Address == "" {
		pauseFor(ctx, 10*time.Millisecond)
		return errors.WithStack(&net.OpError{Op: "dial", Err: errors.New("no running host")})
	}
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=2",
		KeyName(c.group.Customer), KeySecret(c.group.Customer), c.host.Address, c.group.Route))
	if err != nil {
		return errors.WithStack(err)
	}
	config.RuntimeParams["endiveturn.session"] = c.name
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return errors.WithStack(err)
	}
	c.conn = conn
	return nil
}

// pickHost returns a random host by weight, as a load balancer chooses it.
func (c *clientSession) pickHost() WeightedHost {
	listHosts := c.group.Hosts
	if listHosts == nil {
		listHosts = c.workload.Hosts
	}
	hosts := listHosts()
	total := 0.0
	for _, h := range hosts {
		total += h.Weight
	}
	remaining := c.rng.Float64() * total
	for _, h := range hosts {
		if remaining -= h.Weight; remaining < 0 {
			return h
		}
	}
	return WeightedHost{}
}

func (c *clientSession) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// shouldRedirect reports whether the operation is known not to have run and
// should be retried at another host: the host is draining, or the connection to
// it could not be opened.
func (c *clientSession) shouldRedirect(err error) bool {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		return refusal.Code == executor.CodeStopping || (refusal.Code == executor.CodeCannotServe && c.conn == nil)
	}
	var sent *sentError
	if !errors.As(err, &sent) {
		return true
	}
	return pgconn.SafeToRetry(err)
}

// classifyError returns the outcome that an error stands for, and the SQLSTATE and
// message of a refusal.
func classifyError(err error) (OperationOutcome, string, string) {
	if err == nil {
		return Done, "", ""
	}
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		return Unknown, "", err.Error()
	}
	switch refusal.Code {
	case executor.CodeOutcomeUnknown, executor.CodeStatementUnknown:
		return Unknown, refusal.Code, refusal.Message
	case executor.CodeTooManyQueued, executor.CodeRateExceeded, executor.CodeCannotServe, executor.CodeStopping:
		return NotRun, refusal.Code, refusal.Message
	default:
		return Failed, refusal.Code, refusal.Message
	}
}

// RunningHosts returns the running hosts of a fleet, all with the same weight.
func (f *Fleet) RunningHosts() []WeightedHost {
	var hosts []WeightedHost
	for _, h := range f.Hosts {
		if h.Running() {
			hosts = append(hosts, WeightedHost{Address: h.ClientAddress, Name: h.Name, Weight: 1})
		}
	}
	return hosts
}
