package soaker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// Statements of clients.
const (
	insertSQL    = "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)"
	lookupSQL    = "SELECT id, customer, amount FROM bookings WHERE id = $1"
	pairSQL      = "SELECT id FROM bookings WHERE amount = $1 AND customer = $2"
	incrementSQL = "UPDATE bookings SET amount = amount + 1 WHERE id = $1"
	constantSQL  = "SELECT 1"
	slowSQL      = "SELECT pg_sleep($1)"
	seriesSQL    = "SELECT generate_series($1::int4, $2::int4)"
)

// maxSlowSeconds bounds the time in seconds that a slow statement takes.
const maxSlowSeconds = 0.5

// A board holds the last acknowledged row of each customer, for reads by other
// sessions.
type board struct {
	mu   sync.Mutex
	last map[string]Row
}

func (b *board) post(row Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last[row.Customer] = row
}

func (b *board) lastOf(customer string) (Row, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, ok := b.last[customer]
	return row, ok
}

// operate runs one random operation.
func (c *client) operate(ctx context.Context) {
	writer, reader := c.anyHost(), c.anyHost()
	switch n := c.rng.IntN(100); {
	case n < 35:
		c.writeAndRead(ctx, writer, reader)
	case n < 50:
		c.readOwn(ctx, reader)
	case n < 62:
		c.increment(ctx, writer, reader)
	case n < 77:
		c.runTransaction(ctx, writer, reader)
	case n < 80:
		c.rollBack(ctx, writer)
	case n < 83:
		c.runSlowly(ctx, reader)
	case n < 89:
		c.readSeries(ctx, reader)
	case n < 97:
		c.readAsOther(ctx, reader)
	default:
		c.tryForeignRoute(ctx, reader)
	}
}

func (c *client) nextRow(kind string) Row {
	c.number++
	return Row{ID: fmt.Sprintf("%s-%s%d", c.name, kind, c.number), Customer: c.customer, Amount: c.number}
}

// record records the outcome of the insertion of a row.
func (c *client) record(i int, row Row, partner string, outcome Outcome, detail string) {
	c.history.RecordWrite(Write{Row: row, Outcome: outcome, Partner: partner, Detail: fmt.Sprintf("%s at %s: %s", c.detail(i), time.Now().Format(time.StampMicro), detail)})
	if outcome == Acknowledged {
		c.saveToken(i)
	}
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// insert inserts a row outside a transaction.
func (c *client) insert(ctx context.Context, i int, row Row) Outcome {
	outcome, err := c.exec(ctx, i, insertSQL, row.ID, row.Customer, row.Amount)
	c.record(i, row, "", outcome, textOf(err))
	return outcome
}

func (c *client) writeAndRead(ctx context.Context, writer, reader int) {
	if c.connect(ctx, reader) == nil || c.connect(ctx, writer) == nil {
		return
	}
	row := c.nextRow("b")
	if c.insert(ctx, writer, row) != Acknowledged {
		return
	}
	c.acknowledged = append(c.acknowledged, row)
	c.board.post(row)
	c.lookUp(ctx, reader, row)
}

// lookUp reads an acknowledged row of this client.
func (c *client) lookUp(ctx context.Context, i int, row Row) {
	if c.connect(ctx, i) == nil || !c.presentToken(ctx, i) {
		return
	}
	rows, ok := query(ctx, c, i, pgx.RowToStructByPos[Row], lookupSQL, row.ID)
	if ok {
		c.history.CheckRead(Read{Want: row, Rows: rows, Detail: c.detail(i)})
	}
}

func (c *client) readOwn(ctx context.Context, i int) {
	if len(c.acknowledged) > 0 {
		c.lookUp(ctx, i, c.acknowledged[c.rng.IntN(len(c.acknowledged))])
	}
}

// increment increments the counter of the client and reads it. The first call creates
// the counter.
func (c *client) increment(ctx context.Context, writer, reader int) {
	if c.connect(ctx, reader) == nil || c.connect(ctx, writer) == nil {
		return
	}
	if c.counterID == "" {
		row := c.nextRow("c")
		row.Amount = 0
		if c.insert(ctx, writer, row) == Acknowledged {
			c.counterID = row.ID
		}
		return
	}
	outcome, _ := c.exec(ctx, writer, incrementSQL, c.counterID)
	c.history.RecordIncrement(c.counterID, outcome)
	if outcome != Acknowledged {
		return
	}
	c.increments++
	c.saveToken(writer)
	if c.connect(ctx, reader) == nil || !c.presentToken(ctx, reader) {
		return
	}
	rows, ok := query(ctx, c, reader, pgx.RowToStructByPos[Row], lookupSQL, c.counterID)
	if ok && (len(rows) != 1 || rows[0].Amount < c.increments) {
		c.history.Report(staleRead, "%s sees %+v after %d increments of %s", c.detail(reader), rows, c.increments, c.counterID)
	}
}

// runTransaction inserts two rows in one transaction and reads them.
func (c *client) runTransaction(ctx context.Context, writer, reader int) {
	if c.connect(ctx, reader) == nil || c.connect(ctx, writer) == nil {
		return
	}
	first := c.nextRow("t")
	second := first
	second.ID += "-second"
	outcome, detail := c.commitPair(ctx, writer, first, second, "COMMIT")
	c.record(writer, first, second.ID, outcome, detail)
	c.record(writer, second, first.ID, outcome, detail)
	if outcome != Acknowledged && outcome != Unknown || c.connect(ctx, reader) == nil || !c.presentToken(ctx, reader) {
		return
	}
	ids, ok := query(ctx, c, reader, pgx.RowTo[string], pairSQL, first.Amount, c.customer)
	if !ok {
		return
	}
	seen := 0
	for _, id := range ids {
		if id == first.ID || id == second.ID {
			seen++
		}
	}
	c.history.CheckPair(first.ID, seen, outcome, c.detail(reader))
}

// commitPair inserts two rows in a transaction and ends it. Whatever fails before
// COMMIT is sent, nothing is committed.
func (c *client) commitPair(ctx context.Context, i int, first, second Row, end string) (Outcome, string) {
	conn := c.conns[i]
	steps := []struct {
		sql  string
		args []any
	}{
		{"BEGIN", nil},
		{insertSQL, []any{first.ID, first.Customer, first.Amount}},
		{insertSQL, []any{second.ID, second.Customer, second.Amount}},
	}
	for _, step := range steps {
		_, err := conn.Exec(ctx, step.sql, step.args...)
		if c.classify(ctx, i, err) != Acknowledged {
			return RolledBack, step.sql + ": " + err.Error()
		}
		if c.rng.IntN(4) == 0 {
			timekeeper.Sleep(ctx, time.Duration(c.rng.IntN(30))*time.Millisecond)
		}
	}
	tag, err := conn.Exec(ctx, end)
	outcome := c.classify(ctx, i, err)
	if err == nil && tag.String() != "COMMIT" || end != "COMMIT" {
		return RolledBack, end + ": " + tag.String()
	}
	return outcome, end + ": " + textOf(err)
}

func (c *client) rollBack(ctx context.Context, i int) {
	if c.connect(ctx, i) == nil {
		return
	}
	first := c.nextRow("r")
	second := first
	second.ID += "-second"
	outcome, detail := c.commitPair(ctx, i, first, second, "ROLLBACK")
	c.record(i, first, second.ID, outcome, detail)
	c.record(i, second, first.ID, outcome, detail)
}

// readSeries requests a random range of numbers, which hardly any other request
// shares.
func (c *client) readSeries(ctx context.Context, i int) {
	if c.connect(ctx, i) == nil {
		return
	}
	from, count := 1+c.rng.Int32N(1<<30), 1+c.rng.Int32N(3000)
	numbers, ok := query(ctx, c, i, pgx.RowTo[int32], seriesSQL, from, from+count-1)
	if ok && (len(numbers) != int(count) || numbers[0] != from || numbers[count-1] != from+count-1) {
		c.history.Report(wrongRow, "%s requested %d numbers from %d and got %d", c.detail(i), count, from, len(numbers))
	}
}

// runSlowly runs a statement that is likely to be open when a fault begins.
func (c *client) runSlowly(ctx context.Context, i int) {
	if c.connect(ctx, i) != nil {
		_, _ = c.exec(ctx, i, slowSQL, 0.05+c.rng.Float64()*maxSlowSeconds)
	}
}

// readAsOther opens a connection without a session and reads the last acknowledged
// row of the customer, which another client may have written.
func (c *client) readAsOther(ctx context.Context, i int) {
	row, ok := c.board.lastOf(c.customer)
	if !ok {
		return
	}
	other := *c
	other.name, other.session, other.conns = c.name+"-other", "", make([]*pgx.Conn, len(c.hosts))
	other.token = ""
	other.intact = make([]time.Time, len(c.hosts))
	defer other.disconnect(i)
	other.lookUp(ctx, i, row)
}

// tryForeignRoute sends a request on a route that is not open to the first customer.
func (c *client) tryForeignRoute(ctx context.Context, i int) {
	if c.customer != firstCustomer {
		return
	}
	conn, err := c.dial(ctx, i, foreignRoute, "")
	if err != nil {
		return
	}
	defer conn.Close(ctx)
	if _, err = conn.Exec(ctx, constantSQL); err == nil {
		c.history.Report(foreignServed, "%s on route %s", c.detail(i), foreignRoute)
	}
}

// probe runs a read with the key that is withdrawn during the run, through an open
// connection or a new one.
func (c *client) probe(ctx context.Context) {
	i := c.anyHost()
	if c.rng.IntN(10) == 0 {
		c.disconnect(i)
	}
	if c.connect(ctx, i) != nil {
		query(ctx, c, i, pgx.RowTo[int32], constantSQL)
	}
}
