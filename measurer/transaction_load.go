package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// A transactionLoad consists of clients that run one explicit transaction after
// another, with pauses between the statements. Each transaction is recorded as one
// write of the workload. Only a client without an open transaction may be
// redirected to another host.
type transactionLoad struct {
	workload *Workload
	groups   []ClientGroup
	// maxPause is the longest pause between two statements of a transaction.
	maxPause time.Duration
}

// run applies the load until ctx ends, concurrently with that of the workload,
// whose start has to be set.
func (l *transactionLoad) run(ctx context.Context) {
	var group sync.WaitGroup
	for i, g := range l.groups {
		for j := range g.Clients {
			c := &clientSession{
				workload: l.workload, group: g, name: fmt.Sprintf("t%dc%d", i, j),
				rng: rand.New(rand.NewPCG(^l.workload.Seed, uint64(i)<<32|uint64(j))),
			}
			group.Go(func() { l.runClient(ctx, c) })
		}
	}
	group.Wait()
}

func (l *transactionLoad) runClient(ctx context.Context, c *clientSession) {
	defer c.disconnect()
	for ctx.Err() == nil {
		l.runTransaction(ctx, c)
		if c.group.OpsPerHost > 0 && c.rng.IntN(c.group.OpsPerHost) == 0 {
			c.disconnect()
		}
		pauseFor(ctx, time.Duration(c.rng.Int64N(int64(l.maxPause))))
	}
}

// runTransaction runs one transaction to its end and records it.
func (l *transactionLoad) runTransaction(ctx context.Context, c *clientSession) {
	w := l.workload
	c.writes++
	o := Operation{
		Kind: Write, Customer: c.group.Customer, Start: w.Elapsed(),
		ID: fmt.Sprintf("%s-%s-%d", c.group.Customer, c.name, c.writes),
	}
	opCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.Timeout)
	defer cancel()
	err := c.begin(opCtx)
	for err != nil && c.shouldRedirect(err) && o.Redirected < maxRedirects && opCtx.Err() == nil {
		o.Redirected++
		c.disconnect()
		pauseFor(opCtx, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
		err = c.begin(opCtx)
	}
	if err == nil {
		err = c.insertAndCommit(opCtx, o.ID, l.maxPause)
	}
	o.End, o.Host = w.Elapsed(), c.host.Name
	o.Outcome, o.Code, o.Message = classifyError(err)
	if err != nil {
		c.disconnect()
	}
	w.record(o)
}

// begin connects if necessary and begins a transaction.
func (c *clientSession) begin(ctx context.Context) error {
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			return err
		}
	}
	if _, err := c.conn.Exec(ctx, "BEGIN"); err != nil {
		return &sentError{err: err}
	}
	return nil
}

// insertAndCommit inserts a booking, reads it and commits, with pauses between the
// statements.
func (c *clientSession) insertAndCommit(ctx context.Context, id string, maxPause time.Duration) error {
	_, err := c.conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, c.group.Customer, int64(c.writes))
	if err != nil {
		return errors.WithMessage(err, "insert")
	}
	pauseFor(ctx, time.Duration(c.rng.Int64N(int64(maxPause))))
	var amount int64
	if err := c.conn.QueryRow(ctx, "SELECT amount FROM bookings WHERE id = $1", id).Scan(&amount); err != nil {
		return errors.WithMessage(err, "select")
	}
	if amount != int64(c.writes) {
		c.workload.recordViolation(&c.workload.mismatched, "%s inserted amount %d as %s and got %d", c.name, c.writes, id, amount)
	}
	pauseFor(ctx, time.Duration(c.rng.Int64N(int64(maxPause))))
	tag, err := c.conn.Exec(ctx, "COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return errors.Errorf("command tag of COMMIT is %s", tag)
	}
	return errors.WithMessage(err, "commit")
}
