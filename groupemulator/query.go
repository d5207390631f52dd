package groupemulator

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize is the number of buffered response bytes above which they are
// flushed.
const flushSize = 32 << 10

// A preparedStatement is a prepared statement of a session.
type preparedStatement struct {
	// statement is nil for an empty query.
	statement     *statement
	query         string
	parameterOIDs []uint32
}

// A portal is a prepared statement with bound parameters.
type portal struct {
	prepared      *preparedStatement
	parameters    []value
	resultFormats []int16
	// result is set once the portal has been executed.
	result *result
}

// A result is the result of a statement.
type result struct {
	fields []field
	// next returns the next row, or nil after the last one. A row is only valid
	// until the following call. next is nil for statements that return no rows.
	next func() []value
	// sent counts the rows sent.
	sent int
	// tag is the command tag without the row count, which is appended for
	// SELECT.
	tag string
}

// handleQuery runs a Query message and reports whether the session continues.
func (s *session) handleQuery(sql string) bool {
	if err := s.runQuery(sql); err != nil {
		s.handleError(err)
	}
	if s.endReason() == nil {
		s.commitImplicit()
	}
	return s.finishBatch()
}

func (s *session) runQuery(sql string) *sqlError {
	statements, err := parse(sql)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, st := range statements {
		r, err := s.run(st, nil, sql)
		if err != nil {
			return err
		}
		if r.next != nil {
			s.send(rowDescription(r.fields, nil))
		}
		if _, err := s.sendRows(r, nil, 0); err != nil {
			return err
		}
		// CommandComplete of the last statement is sent only after the implicit
		// transaction has committed.
		if i == len(statements)-1 && s.txn != nil && s.txn.implicit {
			if err := s.commit(); err != nil {
				return err
			}
		}
		s.sendCommandComplete(r)
	}
	return nil
}

// run executes a statement in a slot.
func (s *session) run(st *statement, parameters []value, sql string) (*result, *sqlError) {
	if err := s.acquireSlot(); err != nil {
		return nil, err
	}
	return s.execute(st, parameters, sql)
}

// sendRows sends up to limit rows, or all rows if limit is 0. It returns true if
// it stopped at the limit.
func (s *session) sendRows(r *result, formats []int16, limit int) (bool, *sqlError) {
	if r.next == nil {
		return false, nil
	}
	data := pgproto3.DataRow{Values: make([][]byte, len(r.fields))}
	for n := 0; limit == 0 || n < limit; n++ {
		row := r.next()
		if row == nil {
			return false, nil
		}
		for i, v := range row {
			encoded, err := v.encode(r.fields[i].oid, formatOf(formats, i))
			if err != nil {
				return false, err
			}
			data.Values[i] = encoded
			s.buffered += len(encoded) + 4
		}
		s.send(&data)
		r.sent++
		if s.buffered += 7; s.buffered > flushSize {
			if err := s.flushRows(); err != nil {
				return false, err
			}
		}
	}
	return true, nil
}

// flushRows writes the buffered part of a large result, unless the statement was
// canceled.
func (s *session) flushRows() *sqlError {
	select {
	case <-s.canceled:
		return errCanceled()
	default:
	}
	if !s.flush() {
		if err := s.endReason(); err != nil {
			return err
		}
		return &sqlError{code: codeProtocol, message: "connection lost", fatal: true}
	}
	return nil
}

func (s *session) sendCommandComplete(r *result) {
	tag := r.tag
	if r.next != nil && tag == "SELECT" {
		tag += " " + strconv.Itoa(r.sent)
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func rowDescription(fields []field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(fields))}
	for i, f := range fields {
		d.Fields[i] = pgproto3.FieldDescription{
			Name: []byte(f.name), DataTypeOID: f.oid, DataTypeSize: typeSize(f.oid), TypeModifier: -1,
			Format: formatOf(formats, i),
		}
	}
	return d
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidBool:
		return 1
	case oidInt4, oidVoid:
		return 4
	case oidInt8, oidFloat8:
		return 8
	default:
		return -1
	}
}
