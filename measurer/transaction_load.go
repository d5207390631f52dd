package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// A transactionLoad is callers with one explicit transaction after another,
// which they keep open for a while. They record their transactions with those of
// the workload, each as one write. Only a caller without an open transaction may
// be sent to another host.
type transactionLoad struct {
	workload *Workload
	groups   []CallerGroup
	// hold is the longest time between two statements of a transaction.
	hold time.Duration
}

// run puts the load on until ctx ends, beside that of the workload, which has
// started.
func (l *transactionLoad) run(ctx context.Context) {
	var group sync.WaitGroup
	for i, g := range l.groups {
		for j := range g.Callers {
			c := &caller{
				workload: l.workload, group: g, name: fmt.Sprintf("t%dc%d", i, j),
				rng: rand.New(rand.NewPCG(^l.workload.Seed, uint64(i)<<32|uint64(j))),
			}
			group.Go(func() { l.runCaller(ctx, c) })
		}
	}
	group.Wait()
}

func (l *transactionLoad) runCaller(ctx context.Context, c *caller) {
	defer c.disconnect()
	for ctx.Err() == nil {
		l.operate(ctx, c)
		if c.group.Roam > 0 && c.rng.IntN(c.group.Roam) == 0 {
			c.disconnect()
		}
		pauseFor(ctx, time.Duration(c.rng.Int64N(int64(l.hold))))
	}
}

// operate runs one transaction to its end and records it.
func (l *transactionLoad) operate(ctx context.Context, c *caller) {
	w := l.workload
	c.booked++
	o := Operation{
		Kind: Write, Customer: c.group.Customer, Start: w.Elapsed(),
		ID: fmt.Sprintf("%s-%s-%d", c.group.Customer, c.name, c.booked),
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.Timeout)
	defer cancel()
	err := c.begin(call)
	for err != nil && c.sentOn(err) && o.Redirected < maxRedirects && call.Err() == nil {
		o.Redirected++
		c.disconnect()
		pauseFor(call, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
		err = c.begin(call)
	}
	if err == nil {
		err = c.book(call, o.ID, l.hold)
	}
	o.End, o.Host = w.Elapsed(), c.host.Name
	o.Outcome, o.Code, o.Message = classify(err)
	if err != nil {
		c.disconnect()
	}
	w.record(o)
}

func (c *caller) begin(ctx context.Context) error {
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

// book writes, reads the write and commits, with pauses.
func (c *caller) book(ctx context.Context, id string, hold time.Duration) error {
	_, err := c.conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, c.group.Customer, int64(c.booked))
	if err != nil {
		return errors.WithMessage(err, "insert")
	}
	pauseFor(ctx, time.Duration(c.rng.Int64N(int64(hold))))
	var amount int64
	if err := c.conn.QueryRow(ctx, "SELECT amount FROM bookings WHERE id = $1", id).Scan(&amount); err != nil {
		return errors.WithMessage(err, "select")
	}
	if amount != int64(c.booked) {
		c.workload.violate(&c.workload.crossed, "%s booked %d as %s and got %d", c.name, c.booked, id, amount)
	}
	pauseFor(ctx, time.Duration(c.rng.Int64N(int64(hold))))
	tag, err := c.conn.Exec(ctx, "COMMIT")
	if err == nil && tag.String() != "COMMIT" {
		return errors.Errorf("commit answered %s", tag)
	}
	return errors.WithMessage(err, "commit")
}
