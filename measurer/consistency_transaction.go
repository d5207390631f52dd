package measurer

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
)

// runTransaction inserts two bookings in one transaction and reads both.
func (s *checkedSession) runTransaction(ctx context.Context, writer, reader int) {
	conn := s.connect(ctx, writer)
	if conn == nil || s.connect(ctx, reader) == nil {
		return
	}
	first, number := s.nextID("t")
	second := first + "-second"
	outcome, errText := s.commitPair(ctx, writer, conn, first, second, number)
	s.check.recordWrite(reportedWrite{id: first, service: s.service, customer: s.customer, partner: second, outcome: outcome, errText: errText})
	s.check.recordWrite(reportedWrite{id: second, service: s.service, customer: s.customer, partner: first, outcome: outcome, errText: errText})
	if outcome == Done || outcome == Unknown {
		s.readPair(ctx, reader, first, number, outcome)
	}
}

// commitPair runs the transaction and returns its outcome and the text of the
// error. Any error before COMMIT is sent means that nothing was committed, for
// which it returns Failed.
func (s *checkedSession) commitPair(ctx context.Context, i int, conn *pgx.Conn, first, second string, number int) (OperationOutcome, string) {
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		s.classifyError(ctx, i, err)
		return Failed, "BEGIN: " + err.Error()
	}
	for _, id := range []string{first, second} {
		_, err := conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, s.customer, int64(number))
		if err != nil {
			s.classifyError(ctx, i, err)
			return Failed, "INSERT: " + err.Error()
		}
		if s.rng.IntN(4) == 0 {
			pauseFor(ctx, time.Duration(s.rng.IntN(10))*time.Millisecond)
		}
	}
	tag, err := conn.Exec(ctx, "COMMIT")
	if err != nil {
		return s.classifyError(ctx, i, err), "COMMIT: " + err.Error()
	}
	s.saveToken(i)
	if tag.String() != "COMMIT" {
		return Failed, tag.String()
	}
	return Done, ""
}

// readPair checks in one statement that both bookings of a transaction are visible
// or neither is.
func (s *checkedSession) readPair(ctx context.Context, i int, first string, number int, outcome OperationOutcome) {
	conn := s.connectForRead(ctx, i)
	if conn == nil {
		return
	}
	// The amount is unique only within a session. The ids distinguish the sessions of a
	// customer.
	rows, err := conn.Query(ctx, "SELECT id FROM bookings WHERE amount = $1 AND customer = $2", int64(number), s.customer)
	if err != nil {
		s.classifyError(ctx, i, err)
		return
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		s.classifyError(ctx, i, err)
		return
	}
	seen := 0
	for _, id := range ids {
		if id == first || id == first+"-second" {
			seen++
		}
	}
	switch {
	case seen == 1:
		s.check.recordViolation(tornTransaction, "%s sees one of the two bookings of %s", s.name, first)
	case seen == 0 && outcome == Done:
		s.check.recordViolation(staleRead, "%s does not see its transaction %s through %s", s.name, first, s.hosts[i])
	}
	s.check.recordRead()
}

// rollBack inserts a booking in a transaction and rolls it back.
func (s *checkedSession) rollBack(ctx context.Context, i int) {
	conn := s.connect(ctx, i)
	if conn == nil {
		return
	}
	id, number := s.nextID("r")
	var err error
	for _, sql := range []string{"BEGIN", "", "ROLLBACK"} {
		if sql == "" {
			_, err = conn.Exec(ctx, "INSERT INTO bookings (id, customer, amount) VALUES ($1, $2, $3)", id, s.customer, int64(number))
		} else {
			_, err = conn.Exec(ctx, sql)
		}
		if err != nil {
			s.classifyError(ctx, i, err)
			break
		}
	}
	// Without COMMIT nothing is committed, whichever statement failed.
	s.check.recordWrite(reportedWrite{id: id, service: s.service, customer: s.customer, outcome: Failed, errText: "ROLLBACK"})
}

// cancelSleep cancels a statement while it runs, and reuses the connection at once.
// The cancel request must not affect the next statement.
func (s *checkedSession) cancelSleep(ctx context.Context, i int) {
	conn := s.connect(ctx, i)
	if conn == nil {
		return
	}
	shortCtx, cancel := context.WithTimeout(ctx, time.Duration(s.rng.IntN(30))*time.Millisecond)
	_, err := conn.Exec(shortCtx, "SELECT pg_sleep(0.02) /* "+s.customer+" */")
	cancel()
	if err != nil {
		s.check.recordCancel()
	}
	if conn.IsClosed() {
		s.disconnect(i)
		return
	}
	if s.lastAcknowledged > 0 {
		s.readBooking(ctx, i, s.lastAcknowledged)
	}
}

// cancelWrite cancels a write at a random time.
func (s *checkedSession) cancelWrite(ctx context.Context, i int) {
	if s.connect(ctx, i) == nil {
		return
	}
	shortCtx, cancel := context.WithTimeout(ctx, time.Duration(s.rng.IntN(6000))*time.Microsecond)
	defer cancel()
	id, number := s.nextID("c")
	if outcome := s.insert(shortCtx, i, id, number); outcome != Done {
		s.check.recordCancel()
		return
	}
	s.acknowledged[number], s.lastAcknowledged = id, number
}

// readSeries requests a random range of numbers, which hardly any other request
// shares. It checks the length of the response and its first and last number, so
// that an incomplete response or that to another request is detected.
func (s *checkedSession) readSeries(ctx context.Context, i int) {
	conn := s.connect(ctx, i)
	if conn == nil {
		return
	}
	from := 1 + s.rng.Int32N(1<<30)
	count := 1 + s.rng.Int32N(4000)
	rows, err := conn.Query(ctx, "SELECT generate_series($1::int4, $2::int4) /* "+s.customer+" */", from, from+count-1)
	if err != nil {
		s.classifyError(ctx, i, err)
		return
	}
	numbers, err := pgx.CollectRows(rows, pgx.RowTo[int32])
	if err != nil {
		s.classifyError(ctx, i, err)
		return
	}
	if len(numbers) != int(count) || numbers[0] != from || numbers[count-1] != from+count-1 {
		s.check.recordViolation(mismatchedResponse, "%s requested %d numbers from %d and got %d", s.name, count, from, len(numbers))
	}
}

// impersonations are statements that try to change or reset the customer of the
// session. The customer that they name does not exist in the fleet, so they are no
// violations themselves; only a statement that runs for it afterwards is.
var impersonations = []string{
	"SET endiveturn.customer = 'intruder'",
	"SET SESSION \"endiveturn\".\"customer\" TO 'intruder'",
	"SET endiveturn.customer TO DEFAULT",
	"SELECT 1; SET endiveturn.customer = 'intruder'",
	"RESET endiveturn.customer",
	"RESET ALL",
	discardAll,
}

const discardAll = "DISCARD ALL"

// impersonate tries to change the customer of the session, with or without a
// transaction, and reads through the same connection. The proxy may refuse the
// attempt or not. What is checked is the customer for which the databases run the
// statements that follow.
func (s *checkedSession) impersonate(ctx context.Context, i int) {
	conn := s.connect(ctx, i)
	if conn == nil || s.lastAcknowledged == 0 {
		return
	}
	inTransaction := s.rng.IntN(2) == 0
	if inTransaction {
		if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
			s.classifyError(ctx, i, err)
			return
		}
	}
	sql := impersonations[s.rng.IntN(len(impersonations))]
	_, _ = conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	// The lookup is refused if the transaction has failed.
	_, _ = conn.Exec(ctx, "SELECT id FROM bookings WHERE id = $1", pgx.QueryExecModeExec, s.acknowledged[s.lastAcknowledged])
	if inTransaction {
		_, _ = conn.Exec(ctx, "ROLLBACK")
	}
	if sql == discardAll && conn.DeallocateAll(ctx) != nil || conn.IsClosed() {
		// Otherwise the driver would rely on prepared statements that are gone.
		s.disconnect(i)
		return
	}
	s.readBooking(ctx, i, s.lastAcknowledged)
}
