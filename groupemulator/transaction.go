package groupemulator

import (
	"maps"
	"strconv"
)

// A transaction buffers the writes of a session until it commits.
type transaction struct {
	// implicit transactions end with the batch.
	implicit bool
	readOnly bool
	// failed transactions can only be rolled back.
	failed bool
	// wrote is set by a statement that may write, also if it changed nothing.
	wrote bool
	// locking is set by a SELECT that locks rows.
	locking bool
	// writes holds the new booking by id; nil removes it. order lists the ids.
	writes map[string]*Row
	order  []string
	// settings are restored by a rollback; nil if none changed.
	settings map[string]string
}

// write buffers a booking; nil removes it.
func (t *transaction) write(id string, row *Row) {
	if t.writes == nil {
		t.writes = make(map[string]*Row)
	}
	if _, ok := t.writes[id]; !ok {
		t.order = append(t.order, id)
	}
	t.writes[id] = row
}

// booking returns the booking of the id as the transaction sees it. The caller
// holds mu.
func (d *database) booking(t *transaction, id string) *Row {
	if row, ok := t.writes[id]; ok {
		return row
	}
	return d.table.rows[id]
}

// commit ends the transaction and makes its writes an entry of the log.
func (s *session) commit() *sqlError {
	t := s.txn
	if !t.wrote {
		s.dropLocks()
		s.endTransaction()
		return nil
	}
	if !s.db.gate.wait(faultPaused, s.closed) {
		return s.ended()
	}
	offset, err := s.db.commit(s, t)
	if err != nil {
		s.rollback()
		return err
	}
	s.position = strconv.FormatUint(s.term, 10) + "/" + strconv.FormatUint(offset, 10)
	s.db.feedPeers()
	s.endTransaction()
	return nil
}

// commit appends the entry of a transaction and returns its offset. A
// transaction that changed nothing gets the last offset, since its answer
// depends on the state there.
func (d *database) commit(s *session, t *transaction) (uint64, *sqlError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.releaseLocks(s)
	if err := d.admitWrite(s); err != nil {
		return 0, err
	}
	changes := make([]change, 0, len(t.order))
	for _, id := range t.order {
		before, after := d.table.rows[id], t.writes[id]
		if before != nil || after != nil {
			changes = append(changes, change{id, before, after})
		}
	}
	if len(changes) == 0 {
		return uint64(len(d.log)), nil
	}
	e := &entry{
		term: d.term, offset: uint64(len(d.log)) + 1, at: d.group.Now(), customer: s.customer, changes: changes,
	}
	d.append(e)
	d.ledger.commit(e)
	return e.offset, nil
}

// rollback ends the transaction, if there is one, without an effect.
func (s *session) rollback() {
	s.dropLocks()
	if s.txn == nil {
		return
	}
	if s.txn.settings != nil {
		s.settings = s.txn.settings
		s.setCustomer()
	}
	s.endTransaction()
}

func (s *session) endTransaction() {
	s.txn = nil
	clear(s.portals)
}

func (s *session) dropLocks() {
	if s.txn == nil || !s.txn.wrote && !s.txn.locking {
		return
	}
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	s.db.releaseLocks(s)
}

// finishImplicit commits the transaction of a batch that opened none itself.
func (s *session) finishImplicit() {
	if s.txn == nil || !s.txn.implicit {
		return
	}
	if err := s.commit(); err != nil {
		s.fail(err)
	}
}

// begin opens a transaction, or turns the implicit one into it.
func (s *session) begin(readOnly bool) {
	if s.txn == nil {
		s.txn = &transaction{}
	}
	s.txn.implicit = false
	s.txn.readOnly = s.txn.readOnly || readOnly
}

// set changes a setting; the empty name resets all of them.
func (s *session) set(name, text string, reset bool) {
	if s.txn != nil && !s.txn.implicit && s.txn.settings == nil {
		s.txn.settings = maps.Clone(s.settings)
	}
	switch {
	case name == "":
		clear(s.settings)
	case reset:
		delete(s.settings, name)
	default:
		s.settings[name] = text
	}
	s.setCustomer()
}

// checkFailed refuses all but the end of a failed transaction.
func (s *session) checkFailed(st *statement) *sqlError {
	if s.txn != nil && s.txn.failed && st.kind != statementCommit && st.kind != statementRollback {
		return failf(codeInFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}
