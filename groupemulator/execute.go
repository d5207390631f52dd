package groupemulator

import (
	"strconv"
	"strings"
	"time"
)

// execute runs a statement in the transaction of the session, or in a new
// implicit transaction.
func (s *session) execute(st *statement, parameters []value, sql string) (*result, *sqlError) {
	if !s.db.faults.waitUntilClear(faultPaused, s.closed) {
		return nil, s.endReason()
	}
	if err := s.startStatement(sql, parameters); err != nil {
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
		return s.runCommit()
	case statementRollback:
		s.rollback()
		return &result{tag: st.tag}, nil
	}
	if s.txn == nil {
		s.txn = &transaction{implicit: true}
	}
	switch st.kind {
	case statementSelect:
		return s.runSelect(st, parameters)
	case statementInsert, statementUpdate, statementDelete, statementCreate:
		return s.runWrite(st, parameters)
	case statementAdmin:
		return s.runAdminFunction(st, parameters)
	default:
		return s.runSessionStatement(st)
	}
}

// startStatement checks that a statement may run and records it.
func (s *session) startStatement(sql string, parameters []value) *sqlError {
	d := s.db
	d.mu.Lock()
	err := d.checkSession(s)
	replica := d.role != RolePrimary
	d.mu.Unlock()
	if err != nil || s.admin {
		return err
	}
	now := d.group.Now()
	d.recorder.statements.Add(1)
	s.statementCounter.Add(1)
	storeMax(&d.recorder.lastStatement, int64(now.Sub(d.group.started)))
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

func (s *session) runCommit() (*result, *sqlError) {
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

// runSessionStatement runs a statement that reads or changes the state of the
// session.
func (s *session) runSessionStatement(st *statement) (*result, *sqlError) {
	switch st.kind {
	case statementSet:
		s.changeSetting(st.name, st.text, false)
	case statementSetTransaction:
		s.txn.readOnly = s.txn.readOnly || st.readOnly
	case statementReset:
		s.changeSetting(st.name, "", true)
	case statementDeallocate:
		if st.name == "" {
			clear(s.prepared)
		}
		delete(s.prepared, st.name)
	case statementShow:
		text, err := s.settingValue(st.name)
		if err != nil {
			return nil, err
		}
		return &result{fields: st.fields(), next: singleRow([]value{{text: text}}), tag: st.tag}, nil
	}
	return &result{tag: st.tag}, nil
}

// settingValue returns the value of a setting.
func (s *session) settingValue(name string) (string, *sqlError) {
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
	return "", sqlErrorf(codeUnknownSetting, "unrecognized configuration parameter %q", name)
}

// runWrite runs a statement that writes bookings.
func (s *session) runWrite(st *statement, parameters []value) (*result, *sqlError) {
	if s.txn.readOnly {
		return nil, sqlErrorf(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	d := s.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkWritable(s); err != nil {
		return nil, err
	}
	s.txn.ranWrite = true
	n := 0
	var err *sqlError
	switch st.kind {
	case statementCreate:
		return &result{tag: st.tag}, nil
	case statementInsert:
		n, err = d.insert(s, st, parameters)
	default:
		n, err = d.updateOrDelete(s, st, parameters)
	}
	return &result{tag: st.tag + " " + strconv.Itoa(n)}, err
}

// insert buffers new bookings and returns how many were inserted. The caller
// holds mu.
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
			return n, sqlErrorf(codeNotNull, "null value in column \"id\" violates not-null constraint")
		}
		if err := d.lockRow(s, row.ID); err != nil {
			return n, err
		}
		if d.booking(s.txn, row.ID) != nil {
			if st.skipConflicts {
				continue
			}
			return n, sqlErrorf(codeDuplicateKey, "duplicate key value violates unique constraint \"bookings_pkey\"")
		}
		s.txn.bufferWrite(row.ID, row)
		n++
	}
	return n, nil
}

// updateOrDelete buffers the effect of an UPDATE or DELETE and returns the
// number of affected bookings. The caller holds mu.
func (d *database) updateOrDelete(s *session, st *statement, parameters []value) (int, *sqlError) {
	rows, err := d.lockMatchingRows(s, st, parameters)
	if err != nil {
		return 0, err
	}
	for _, row := range rows {
		if st.kind == statementDelete {
			s.txn.bufferWrite(row.ID, nil)
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
		s.txn.bufferWrite(row.ID, &changed)
	}
	return len(rows), nil
}

// lockMatchingRows locks the bookings that match the conditions. It returns the
// matches as read after all locks were acquired. The caller holds mu.
func (d *database) lockMatchingRows(s *session, st *statement, parameters []value) ([]*Row, *sqlError) {
	rows, err := d.matchingRows(s, st, parameters)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if err := d.lockRow(s, row.ID); err != nil {
			return nil, err
		}
	}
	return d.matchingRows(s, st, parameters)
}
