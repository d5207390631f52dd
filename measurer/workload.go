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

// OperationKind is what a caller asks for.
type OperationKind uint8

// The kinds of operations.
const (
	Write OperationKind = iota
	ReadOwn
)

// OperationOutcome is what a caller was told.
type OperationOutcome uint8

// The outcomes of operations. A caller that is told "not run" by a leaving
// host goes to another one; that is counted as Redirected, not as a failure,
// as long as the operation succeeds in the end.
const (
	Done OperationOutcome = iota
	// NotRun: refused, and nothing ran.
	NotRun
	// Unknown: the outcome is not known.
	Unknown
	// Failed: an error that a caller does not expect.
	Failed
)

// An Operation is one request of a caller and its end.
type Operation struct {
	Kind     OperationKind
	Outcome  OperationOutcome
	Customer string
	Host     string
	// ID is the booking that was written or read.
	ID    string
	Start time.Duration
	End   time.Duration
	// Code is the SQLSTATE of a refusal, or empty.
	Code string
	// Message is the text of a refusal or error.
	Message string
	// Redirected counts the hosts that sent the caller on.
	Redirected int
}

// A CallerGroup is a number of callers of one customer that behave alike.
type CallerGroup struct {
	Customer string
	Route    string
	// Callers is the number of sessions.
	Callers int
	// Rate is the number of operations per second that all of them together
	// ask for; 0 lets each ask as soon as its last one has ended.
	Rate float64
	// Even lets each caller ask at equal intervals instead of random ones, so
	// that the number of operations itself does not vary.
	Even bool
	// WriteShare is the part of writes, from 0 to 1.
	WriteShare float64
	// Roam is the mean number of operations after which a session goes to
	// another host; 0 stays.
	Roam int
	// Hosts returns the hosts that the balancer may send a session to, with
	// their weights; nil means all running hosts alike.
	Hosts func() []WeightedHost
}

// A WeightedHost is a host with its share of a balancer's decisions.
type WeightedHost struct {
	Address string
	Name    string
	Weight  float64
}

// A Workload puts the load of caller groups on a fleet and records every
// operation. Its exported fields are set before Run.
type Workload struct {
	Groups []CallerGroup
	// Hosts is used by groups without Hosts of their own.
	Hosts func() []WeightedHost
	Seed  uint64
	// Timeout bounds one operation.
	Timeout time.Duration
	// Logger gets a line for each operation that was not done; may be nil.
	Logger *slog.Logger

	start time.Time
	mu    sync.Mutex
	// operations are in the order of their ends.
	operations []Operation
	stale      int
	crossed    int
	examples   []string
}

// maxRedirects bounds how often a caller is sent to another host before it
// gives an operation up.
const maxRedirects = 20

// maxExamples bounds the violations that are kept as text.
const maxExamples = 10

// Run puts the load on until ctx ends, and waits for the operations that run
// then.
func (w *Workload) Run(ctx context.Context) {
	// Load of another kind that runs beside it may have begun the time.
	if w.start.IsZero() {
		w.start = time.Now()
	}
	var group sync.WaitGroup
	for i, g := range w.Groups {
		for j := range g.Callers {
			c := &caller{
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

// Operations returns what was recorded; it is called after Run.
func (w *Workload) Operations() []Operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.operations
}

// Violations returns the number of reads that missed an own write and of
// answers to another request, with examples.
func (w *Workload) Violations() (stale, crossed int, examples []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stale, w.crossed, w.examples
}

func (w *Workload) record(o Operation) {
	if w.Logger != nil && o.Outcome != Done {
		w.Logger.Warn("operation not done", "id", o.ID, "kind", o.Kind, "outcome", o.Outcome, "host", o.Host,
			"code", o.Code, "message", o.Message, "start", o.Start, "end", o.End)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operations = append(w.operations, o)
}

func (w *Workload) violate(counter *int, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
	if len(w.examples) < maxExamples {
		w.examples = append(w.examples, fmt.Sprintf(format, args...))
	}
}

// A caller is one session, which may go from host to host.
type caller struct {
	workload *Workload
	group    CallerGroup
	name     string
	rng      *rand.Rand
	conn     *pgx.Conn
	host     WeightedHost
	// booked is the number of writes so far; acknowledged holds the ids of
	// those that were acknowledged, with their amounts.
	booked       int
	acknowledged []booking
}

type booking struct {
	id     string
	amount int64
}

func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	interval := time.Duration(0)
	if c.group.Rate > 0 {
		interval = time.Duration(float64(c.group.Callers) / c.group.Rate * float64(time.Second))
		pauseFor(ctx, time.Duration(c.rng.Float64()*float64(interval)))
	}
	next := time.Now()
	for ctx.Err() == nil {
		c.operate(ctx)
		if c.group.Roam > 0 && c.rng.IntN(c.group.Roam) == 0 {
			c.disconnect()
		}
		if interval > 0 {
			// A caller that falls behind does not catch up in a rush.
			step := interval
			if !c.group.Even {
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

// operate runs one operation to its end and records it.
func (c *caller) operate(ctx context.Context) {
	o := Operation{Kind: ReadOwn, Customer: c.group.Customer, Start: c.workload.Elapsed()}
	if len(c.acknowledged) == 0 || c.rng.Float64() < c.group.WriteShare {
		o.Kind = Write
		c.booked++
		o.ID = fmt.Sprintf("%s-%s-%d", c.group.Customer, c.name, c.booked)
	}
	// An operation that has begun is finished, so that the end of the load
	// does not look like a failure.
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.workload.Timeout)
	defer cancel()
	var err error
	for {
		err = c.attempt(call, &o)
		if err == nil || !c.sentOn(err) || o.Redirected >= maxRedirects || call.Err() != nil {
			break
		}
		o.Redirected++
		c.disconnect()
		pauseFor(call, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
	}
	o.End, o.Host = c.workload.Elapsed(), c.host.Name
	o.Outcome, o.Code, o.Message = classify(err)
	if err != nil {
		c.disconnect()
	}
	c.workload.record(o)
}

func (c *caller) attempt(ctx context.Context, o *Operation) error {
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

func (c *caller) write(ctx context.Context, id string) error {
	amount := int64(c.booked)
	_, err := c.conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, c.group.Customer, amount)
	if err != nil {
		return &sentError{err: err}
	}
	c.acknowledged = append(c.acknowledged, booking{id: id, amount: amount})
	return nil
}

// read looks one of the session's own bookings up, usually the last one.
func (c *caller) read(ctx context.Context, o *Operation) error {
	want := c.acknowledged[len(c.acknowledged)-1]
	if c.rng.IntN(4) == 0 {
		want = c.acknowledged[c.rng.IntN(len(c.acknowledged))]
	}
	o.ID = want.id
	var id, customer string
	var amount int64
	err := c.conn.QueryRow(ctx, "SELECT id, customer, amount FROM bookings WHERE id = $1", want.id).Scan(&id, &customer, &amount)
	if errors.Is(err, pgx.ErrNoRows) {
		c.workload.violate(&c.workload.stale, "%s does not see its booking %s at %v through %s", c.name, want.id, c.workload.Elapsed(), c.host.Name)
		return nil
	}
	if err != nil {
		return &sentError{err: err}
	}
	if id != want.id || customer != c.group.Customer || amount != want.amount {
		c.workload.violate(&c.workload.crossed, "%s asked for %s of %s and got %s of %s", c.name, want.id, c.group.Customer, id, customer)
	}
	return nil
}

// A sentError is the error of an operation that was sent to a host.
type sentError struct{ err error }

func (e *sentError) Error() string { return e.err.Error() }
func (e *sentError) Unwrap() error { return e.err }

func (c *caller) connect(ctx context.Context) error {
	c.host = c.choose()
	if c.host.Address == "" {
		pauseFor(ctx, 10*time.Millisecond)
		return errors.WithStack(&net.OpError{Op: "dial", Err: errors.New("no host")})
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

func (c *caller) choose() WeightedHost {
	list := c.group.Hosts
	if list == nil {
		list = c.workload.Hosts
	}
	hosts := list()
	total := 0.0
	for _, h := range hosts {
		total += h.Weight
	}
	pick := c.rng.Float64() * total
	for _, h := range hosts {
		if pick -= h.Weight; pick < 0 {
			return h
		}
	}
	return WeightedHost{}
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// sentOn reports whether the operation is known not to have run because the
// caller has to go to another host: the host is leaving, or could not be
// connected to.
func (c *caller) sentOn(err error) bool {
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

func classify(err error) (OperationOutcome, string, string) {
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

// AllHosts returns the running hosts of a fleet with the same weight.
func (f *Fleet) AllHosts() []WeightedHost {
	var hosts []WeightedHost
	for _, h := range f.Hosts {
		if h.Running() {
			hosts = append(hosts, WeightedHost{Address: h.CallerAddress, Name: h.Name, Weight: 1})
		}
	}
	return hosts
}
