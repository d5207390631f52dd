package groupemulator

import (
	"strconv"
	"strings"
	"time"
)

// execute runs a statement in the transaction of the session, or in a new
// implicit one.
func (s *session) execute(st *statement, parameters []value, sql string) (*result, *sqlError) {
	if !s.db.gate.wait(faultPaused, s.closed) {
		return nil, s.ended()
	}
	if err := s.beginStatement(sql, parameters); err != nil {
		return nil, err
	}
	if err := s.checkFailed(st); err != nil {
		return nil, err
	}
	if !s.admin {
		if err := s.sleep(time.Duration(s.db.statementCost.Load())); err != nil {
			return nil, err
		}
	}
	switch st.kind {
	case statementBegin:
		s.begin(st.readOnly)
		return &result{tag: st.tag}, nil
	case statementCommit:
		return s.commitStatement()
	case statementRollback:
		s.rollback()
		return &result{tag: st.tag}, nil
	}
	if s.txn == nil {
		s.txn = &transaction{implicit: true}
	}
	switch st.kind {
	case statementSelect:
		return s.selection(st, parameters)
	case statementInsert, statementUpdate, statementDelete, statementCreate:
		return s.write(st, parameters)
	case statementAdmin:
		return s.administer(st, parameters)
	default:
		return s.sessionStatement(st)
	}
}

// beginStatement counts a statement and checks that it may run.
func (s *session) beginStatement(sql string, parameters []value) *sqlError {
	d := s.db
	d.mu.Lock()
	err := d.admit(s)
	replica := d.role != RolePrimary
	d.mu.Unlock()
	if err != nil || s.admin {
		return err
	}
	now := d.group.Now()
	d.ledger.statements.Add(1)
	s.counter.Add(1)
	raise(&d.ledger.lastStatement, int64(now.Sub(d.group.started)))
	if d.group.OnStatement != nil {
		run := StatementRun{
			Database: d.member.Name, Customer: s.customer, Query: sql, Term: s.term, Replica: replica, At: now,
		}
		for _, p := range parameters {
			run.Parameters = append(run.Parameters, p.text)
		}
		d.group.OnStatement(run)
	}
	return nil
}

func (s *session) commitStatement() (*result, *sqlError) {
	if s.txn == nil {
		return &result{tag: "COMMIT"}, nil
	}
	if s.txn.failed {
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	if err := s.commit(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

// sessionStatement runs a statement about the state of the session.
func (s *session) sessionStatement(st *statement) (*result, *sqlError) {
	switch st.kind {
	case statementSet:
		s.set(st.name, st.text, false)
	case statementSetTransaction:
		s.txn.readOnly = s.txn.readOnly || st.readOnly
	case statementReset:
		s.set(st.name, "", true)
	case statementDeallocate:
		if st.name == "" {
			clear(s.prepared)
		}
		delete(s.prepared, st.name)
	case statementShow:
		text, err := s.show(st.name)
		if err != nil {
			return nil, err
		}
		return &result{fields: st.fields(), next: once([]value{{text: text}}), tag: st.tag}, nil
	}
	return &result{tag: st.tag}, nil
}

// show returns the value of a setting.
func (s *session) show(name string) (string, *sqlError) {
	if text, ok := s.settings[name]; ok {
		return text, nil
	}
	for _, p := range reportedSettings {
		if strings.EqualFold(p[0], name) {
			return p[1], nil
		}
	}
	switch name {
	case customerSetting:
		return "", nil
	case "transaction_read_only", "in_hot_standby":
		s.db.mu.Lock()
		defer s.db.mu.Unlock()
		if s.db.role == RolePrimary {
			return "off", nil
		}
		return "on", nil
	case "group_term":
		return strconv.FormatUint(s.term, 10), nil
	}
	return "", failf(codeUnknownSetting, "unrecognized configuration parameter %q", name)
}

// write runs a statement that changes bookings.
func (s *session) write(st *statement, parameters []value) (*result, *sqlError) {
	if s.txn.readOnly {
		return nil, failf(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	d := s.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.admitWrite(s); err != nil {
		return nil, err
	}
	s.txn.wrote = true
	n := 0
	var err *sqlError
	switch st.kind {
	case statementCreate:
		return &result{tag: st.tag}, nil
	case statementInsert:
		n, err = d.insert(s, st, parameters)
	default:
		n, err = d.change(s, st, parameters)
	}
	return &result{tag: st.tag + " " + strconv.Itoa(n)}, err
}

// insert buffers new bookings and returns their number. The caller holds mu.
func (d *database) insert(s *session, st *statement, parameters []value) (int, *sqlError) {
	n := 0
	for _, values := range st.values {
		row := &Row{}
		for i, column := range st.columns {
			v, err := s.evaluate(values[i], nil, parameters)
			if err != nil {
				return n, err
			}
			if err := row.set(column, v); err != nil {
				return n, err
			}
		}
		if row.ID == "" {
			return n, failf(codeNotNull, "null value in column \"id\" violates not-null constraint")
		}
		if err := d.lockRow(s, row.ID); err != nil {
			return n, err
		}
		if d.booking(s.txn, row.ID) != nil {
			if st.skipConflicts {
				continue
			}
			return n, failf(codeDuplicateKey, "duplicate key value violates unique constraint \"bookings_pkey\"")
		}
		s.txn.write(row.ID, row)
		n++
	}
	return n, nil
}

// change buffers the effect of an UPDATE or DELETE and returns the number of
// bookings. The caller holds mu.
func (d *database) change(s *session, st *statement, parameters []value) (int, *sqlError) {
	rows, err := d.lockMatches(s, st, parameters)
	if err != nil {
		return 0, err
	}
	for _, row := range rows {
		if st.kind == statementDelete {
			s.txn.write(row.ID, nil)
			continue
		}
		changed := *row
		for _, a := range st.assignments {
			v, err := s.evaluate(a.equals, row, parameters)
			if err != nil {
				return 0, err
			}
			if err := changed.set(a.column, v); err != nil {
				return 0, err
			}
		}
		s.txn.write(row.ID, &changed)
	}
	return len(rows), nil
}

// lockMatches locks the bookings that meet the conditions and returns them as
// they are under the locks. The caller holds mu.
func (d *database) lockMatches(s *session, st *statement, parameters []value) ([]*Row, *sqlError) {
	rows, err := d.matches(s, st, parameters)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if err := d.lockRow(s, row.ID); err != nil {
			return nil, err
		}
	}
	return d.matches(s, st, parameters)
}
