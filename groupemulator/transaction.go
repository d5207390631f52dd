package groupemulator

import (
	"maps"
	"strconv"
)

// A transaction buffers the writes of a session until it commits.
type transaction struct {
	// implicit is set for a transaction that was not opened by BEGIN. It ends
	// with the batch.
	implicit bool
	readOnly bool
	// failed is set after an error; the transaction can then only be ended, and
	// nothing is committed.
	failed bool
	// ranWrite is set by a statement that may write, even if it changed nothing.
	ranWrite bool
	// locksRows is set by a SELECT that locks rows.
	locksRows bool
	// writes holds the new bookings by id; nil marks a deletion. writeOrder
	// lists the ids in the order of their first write.
	writes     map[string]*Row
	writeOrder []string
	// settings is a copy of the settings to restore on rollback; nil if none
	// changed.
	settings map[string]string
}

// bufferWrite buffers a booking; nil deletes it.
func (t *transaction) bufferWrite(id string, row *Row) {
	if t.writes == nil {
		t.writes = make(map[string]*Row)
	}
	if _, ok := t.writes[id]; !ok {
		t.writeOrder = append(t.writeOrder, id)
	}
	t.writes[id] = row
}

// booking returns the booking with the id as the transaction sees it. The caller
// holds mu.
func (d *database) booking(t *transaction, id string) *Row {
	if row, ok := t.writes[id]; ok {
		return row
	}
	return d.table.rows[id]
}

// commit ends the transaction and appends its writes to the log as one entry.
func (s *session) commit() *sqlError {
	t := s.txn
	if !t.ranWrite {
		s.releaseLocks()
		s.endTransaction()
		return nil
	}
	if !s.db.faults.waitUntilClear(faultPaused, s.closed) {
		return s.endReason()
	}
	offset, err := s.db.commit(s, t)
	if err != nil {
		s.rollback()
		return err
	}
	s.position = strconv.FormatUint(s.term, 10) + "/" + strconv.FormatUint(offset, 10)
	s.db.wakeWaitingReplicas()
	s.endTransaction()
	return nil
}

// commit appends the entry of a transaction and returns its offset. A
// transaction that changed nothing gets the offset of the last entry, because
// its response depends on the state at that offset.
func (d *database) commit(s *session, t *transaction) (uint64, *sqlError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.releaseLocks(s)
	if err := d.checkWritable(s); err != nil {
		return 0, err
	}
	changes := make([]change, 0, len(t.writeOrder))
	for _, id := range t.writeOrder {
		before, after := d.table.rows[id], t.writes[id]
		if before != nil || after != nil {
			changes = append(changes, change{id, before, after})
		}
	}
	if len(changes) == 0 {
		return uint64(len(d.log)), nil
	}
	e := &entry{
		term: d.term, offset: uint64(len(d.log)) + 1, committedAt: d.group.Now(), customer: s.customer, changes: changes,
	}
	d.appendEntry(e)
	d.recorder.recordCommit(e)
	return e.offset, nil
}

// rollback ends the transaction, if there is one, and discards its effects.
func (s *session) rollback() {
	s.releaseLocks()
	if s.txn == nil {
		return
	}
	if s.txn.settings != nil {
		s.settings = s.txn.settings
		s.applyCustomerSetting()
	}
	s.endTransaction()
}

func (s *session) endTransaction() {
	s.txn = nil
	clear(s.portals)
}

func (s *session) releaseLocks() {
	if s.txn == nil || !s.txn.ranWrite && !s.txn.locksRows {
		return
	}
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	s.db.releaseLocks(s)
}

// commitImplicit commits the implicit transaction of a batch, if there is one.
func (s *session) commitImplicit() {
	if s.txn == nil || !s.txn.implicit {
		return
	}
	if err := s.commit(); err != nil {
		s.handleError(err)
	}
}

// begin opens a transaction, or turns the implicit one into an explicit one.
func (s *session) begin(readOnly bool) {
	if s.txn == nil {
		s.txn = &transaction{}
	}
	s.txn.implicit = false
	s.txn.readOnly = s.txn.readOnly || readOnly
}

// changeSetting sets a setting, or resets it if reset is set; an empty name
// resets all settings.
func (s *session) changeSetting(name, text string, reset bool) {
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
	s.applyCustomerSetting()
}

// checkFailed rejects all statements in a failed transaction except those that
// end it.
func (s *session) checkFailed(st *statement) *sqlError {
	if s.txn != nil && s.txn.failed && st.kind != statementCommit && st.kind != statementRollback {
		return sqlErrorf(codeInFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}
