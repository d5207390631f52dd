package groupemulator

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize bounds the bytes of an answer that are held in memory.
const flushSize = 32 << 10

// A prepared statement of a session.
type prepared struct {
	// statement is nil for an empty query.
	statement *statement
	query     string
	oids      []uint32
}

// A portal is a prepared statement with parameters.
type portal struct {
	prepared   *prepared
	parameters []value
	formats    []int16
	// result is set once the portal has been executed.
	result *result
}

// A result is the answer of a statement.
type result struct {
	fields []field
	// next returns the next row, or nil after the last one. The row is valid
	// until the next call. next is nil for statements without rows.
	next func() []value
	// sent counts the rows sent.
	sent int
	// tag is the command tag; the count of rows is added for SELECT and SHOW.
	tag string
}

// query runs a Query message and reports whether the session goes on.
func (s *session) query(sql string) bool {
	if err := s.runQuery(sql); err != nil {
		s.fail(err)
	}
	if s.ended() == nil {
		s.finishImplicit()
	}
	return s.ready()
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
		// The last statement is complete only after the commit.
		if i == len(statements)-1 && s.txn != nil && s.txn.implicit {
			if err := s.commit(); err != nil {
				return err
			}
		}
		s.complete(r)
	}
	return nil
}

// run executes a statement within a slot.
func (s *session) run(st *statement, parameters []value, sql string) (*result, *sqlError) {
	if err := s.enterSlot(); err != nil {
		return nil, err
	}
	return s.execute(st, parameters, sql)
}

// sendRows sends up to limit rows, or all if limit is 0. It reports whether
// the limit was reached.
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

// flushRows writes a part of a large answer, which can be cancelled.
func (s *session) flushRows() *sqlError {
	select {
	case <-s.canceled:
		return errCanceled()
	default:
	}
	if !s.flush() {
		if err := s.ended(); err != nil {
			return err
		}
		return &sqlError{code: codeProtocol, message: "connection lost", fatal: true}
	}
	return nil
}

func (s *session) complete(r *result) {
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
