package groupemulator

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// closeGrace limits the time to write the last message to a client that does not
// read, so that raising the term closes its connection too.
const closeGrace = 200 * time.Millisecond

// A session serves one connection. Fields without a comment are only used by the
// session's goroutine.
type session struct {
	db      *database
	conn    net.Conn
	backend *pgproto3.Backend
	pid     uint32
	secret  [4]byte
	admin   bool
	// openCount is the count that includes this connection; nil before the
	// connection is counted.
	openCount *connectionCount

	settings         map[string]string
	customer         string
	statementCounter *atomic.Uint64

	txn      *transaction
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// skippingToSync is set from an error in the extended protocol until the
	// next Sync.
	skippingToSync bool
	// buffered is an estimate of the bytes waiting to be flushed.
	buffered int
	// position is the group_position to report before ReadyForQuery; empty if
	// unchanged.
	position string
	// lastStatus is the last status that an administrative query returned.
	lastStatus Status
	// holdsSlot is set while the session holds a slot.
	holdsSlot bool

	// drainOnClose is set once the client has been sent the reason for the end.
	drainOnClose bool

	// canceled holds one element after a cancel request. The next batch discards
	// it.
	canceled chan struct{}
	// closed is closed when the connection must end because of reason.
	closed chan struct{}
	reason atomic.Pointer[sqlError]

	// The fields below are guarded by db.mu.

	// started is set once the startup is complete; term is valid from then on.
	started    bool
	term       uint64
	lockedIDs  []string
	waitingFor *rowLock
}

func newSession(d *database, conn net.Conn) *session {
	s := &session{
		db: d, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		settings: make(map[string]string), prepared: make(map[string]*preparedStatement),
		portals: make(map[string]*portal), canceled: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	return s
}

// end makes the session send reason to the client and close the connection. It
// returns false if the session already has another reason to end.
func (s *session) end(reason *sqlError) bool {
	if !s.reason.CompareAndSwap(nil, reason) {
		return false
	}
	if reason.code == codeStaleTerm {
		s.db.recorder.staleTerms.Add(1)
	}
	close(s.closed)
	now := time.Now()
	s.conn.SetReadDeadline(now)
	s.conn.SetWriteDeadline(now.Add(closeGrace))
	return true
}

// endReason returns the error with which the connection must end, or nil.
func (s *session) endReason() *sqlError { return s.reason.Load() }

// reset closes the connection with a TCP reset, discarding buffered data.
func (s *session) reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	s.conn.Close()
}

// serve runs the session until its connection ends.
func (s *session) serve() {
	defer s.cleanUp()
	if !s.startUp() {
		return
	}
	for {
		msg, err := s.backend.Receive()
		if s.endReason() == nil && err != nil {
			return
		}
		if s.endReason() != nil || !s.db.faults.waitUntilClear(faultsBlockingClients, s.closed) {
			s.sendEndReason()
			return
		}
		if !s.handleMessage(msg) {
			s.sendEndReason()
			return
		}
	}
}

// handleMessage processes one message and reports whether the session continues.
func (s *session) handleMessage(msg pgproto3.FrontendMessage) bool {
	if _, ok := msg.(*pgproto3.Terminate); ok {
		return false
	}
	if s.skippingToSync {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			return true
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return s.handleQuery(msg.String)
	case *pgproto3.Sync:
		s.skippingToSync = false
		s.commitImplicit()
		return s.finishBatch()
	case *pgproto3.Flush:
		s.releaseSlot()
		return s.flush()
	default:
		if err := s.handleExtended(msg); err != nil {
			s.handleError(err)
			s.skippingToSync = true
		}
		return s.endReason() == nil
	}
}

// handleError sends an error to the client. A fatal error ends the session; any
// other error rolls back an implicit transaction and marks an explicit one as
// failed.
func (s *session) handleError(err *sqlError) {
	if err.fatal {
		s.db.mu.Lock()
		s.db.endSession(s, err)
		s.db.mu.Unlock()
		return
	}
	switch err.code {
	case codeDuplicateKey:
		s.db.recorder.duplicateKeys.Add(1)
	case codeStaleTerm:
		s.db.recorder.staleTerms.Add(1)
	}
	s.send(err.response())
	if s.txn == nil {
		return
	}
	if s.txn.implicit {
		s.rollback()
		return
	}
	s.txn.failed = true
	s.releaseLocks()
}

func (s *session) send(msg pgproto3.BackendMessage) { s.backend.Send(msg) }

// flush writes the buffered messages and reports whether the session continues.
func (s *session) flush() bool {
	s.buffered = 0
	if !s.db.faults.waitUntilClear(faultsBlockingClients, s.closed) {
		return false
	}
	return s.backend.Flush() == nil
}

// finishBatch releases the slot and sends the position, if it changed, and
// ReadyForQuery. It reports whether the session continues.
func (s *session) finishBatch() bool {
	s.releaseSlot()
	if s.endReason() != nil {
		return false
	}
	if s.position != "" {
		s.send(&pgproto3.ParameterStatus{Name: "group_position", Value: s.position})
		s.position = ""
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.flush()
}

func (s *session) txStatus() byte {
	switch {
	case s.txn == nil:
		return 'I'
	case s.txn.failed:
		return 'E'
	default:
		return 'T'
	}
}

// acquireSlot acquires a slot until the end of the batch.
func (s *session) acquireSlot() *sqlError {
	if s.holdsSlot {
		return nil
	}
	select {
	case <-s.canceled:
	default:
	}
	if s.admin {
		return nil
	}
	if err := s.db.slots.acquire(s); err != nil {
		return err
	}
	s.holdsSlot = true
	return nil
}

func (s *session) releaseSlot() {
	if s.holdsSlot {
		s.holdsSlot = false
		s.db.slots.release()
	}
}

// sleep blocks for d or until the statement is canceled or the session ends.
func (s *session) sleep(d time.Duration) *sqlError {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.canceled:
		return errCanceled()
	case <-s.closed:
		return s.endReason()
	}
}

// sendEndReason sends the client the error with which its connection ends.
func (s *session) sendEndReason() {
	reason := s.endReason()
	if reason == nil || s.db.faults.has(faultsBlockingClients|faultKilled) {
		return
	}
	s.send(reason.response())
	s.drainOnClose = s.backend.Flush() == nil
}

// drainUnread discards what the client sends until the client detects the end of
// the connection. Closing with unread data would reset the connection, and the
// client could lose the error message.
func (s *session) drainUnread() {
	tcp, ok := s.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	s.conn.SetReadDeadline(time.Now().Add(closeGrace))
	_, _ = io.Copy(io.Discard, tcp)
}

func (s *session) cleanUp() {
	s.rollback()
	s.releaseSlot()
	s.db.mu.Lock()
	delete(s.db.sessions, s.pid)
	s.db.mu.Unlock()
	if s.openCount != nil {
		s.openCount.open.Add(-1)
	}
	if s.drainOnClose {
		s.drainUnread()
	}
	s.conn.Close()
}
