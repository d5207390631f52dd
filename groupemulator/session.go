package groupemulator

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// closeGrace bounds the writing of the last message to a client that does not
// read, so that a raised term closes its connection.
const closeGrace = 200 * time.Millisecond

// A session serves one connection. Fields without a note belong to the
// goroutine of the session.
type session struct {
	db      *database
	conn    net.Conn
	backend *pgproto3.Backend
	pid     uint32
	secret  [4]byte
	admin   bool
	// count is the count that the connection was added to, nil before.
	count *connectionCount

	settings map[string]string
	customer string
	counter  *atomic.Uint64

	txn      *transaction
	prepared map[string]*prepared
	portals  map[string]*portal
	// skipping is set from an error in the extended protocol until Sync.
	skipping bool
	// buffered estimates the bytes that wait for a flush.
	buffered int
	// position is the group_position to report before ReadyForQuery.
	position string
	// reported is the last status that a poll returned.
	reported Status
	// holdsSlot is set while the session occupies a slot.
	holdsSlot bool

	// lingering is set when the client was told the reason of the end.
	lingering bool

	// canceled holds an element once the client has cancelled. A new batch
	// discards it.
	canceled chan struct{}
	// closed is closed when the connection has to end for the reason.
	closed chan struct{}
	reason atomic.Pointer[sqlError]

	// The fields below are guarded by db.mu.

	// started is set when the startup is complete; term is valid from then on.
	started    bool
	term       uint64
	locked     []string
	waitingFor *rowLock
}

func newSession(d *database, conn net.Conn) *session {
	s := &session{
		db: d, conn: conn, backend: pgproto3.NewBackend(conn, conn),
		settings: make(map[string]string), prepared: make(map[string]*prepared),
		portals: make(map[string]*portal), canceled: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	return s
}

// end makes the session close its connection after it told the client the
// reason. It reports false if another reason came first.
func (s *session) end(reason *sqlError) bool {
	if !s.reason.CompareAndSwap(nil, reason) {
		return false
	}
	if reason.code == codeStaleTerm {
		s.db.ledger.stale.Add(1)
	}
	close(s.closed)
	now := time.Now()
	s.conn.SetReadDeadline(now)
	s.conn.SetWriteDeadline(now.Add(closeGrace))
	return true
}

// ended returns the reason for which the connection has to end, or nil.
func (s *session) ended() *sqlError { return s.reason.Load() }

// reset closes the connection without delivering what is buffered.
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
		if s.ended() == nil && err != nil {
			return
		}
		if s.ended() != nil || !s.db.gate.wait(faultsDelivery, s.closed) {
			s.sayGoodbye()
			return
		}
		if !s.handle(msg) {
			s.sayGoodbye()
			return
		}
	}
}

// handle processes one message and reports whether the session goes on.
func (s *session) handle(msg pgproto3.FrontendMessage) bool {
	if _, ok := msg.(*pgproto3.Terminate); ok {
		return false
	}
	if s.skipping {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			return true
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return s.query(msg.String)
	case *pgproto3.Sync:
		s.skipping = false
		s.finishImplicit()
		return s.ready()
	case *pgproto3.Flush:
		s.leaveSlot()
		return s.flush()
	default:
		if err := s.extended(msg); err != nil {
			s.fail(err)
			s.skipping = true
		}
		return s.ended() == nil
	}
}

// fail tells the client of an error and ends or fails the transaction.
func (s *session) fail(err *sqlError) {
	if err.fatal {
		s.db.mu.Lock()
		s.db.endSession(s, err)
		s.db.mu.Unlock()
		return
	}
	switch err.code {
	case codeDuplicateKey:
		s.db.ledger.duplicates.Add(1)
	case codeStaleTerm:
		s.db.ledger.stale.Add(1)
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
	s.dropLocks()
}

func (s *session) send(msg pgproto3.BackendMessage) { s.backend.Send(msg) }

// flush writes what is buffered and reports whether the session goes on.
func (s *session) flush() bool {
	s.buffered = 0
	if !s.db.gate.wait(faultsDelivery, s.closed) {
		return false
	}
	return s.backend.Flush() == nil
}

// ready ends a batch.
func (s *session) ready() bool {
	s.leaveSlot()
	if s.ended() != nil {
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

// enterSlot occupies a slot until the end of the batch.
func (s *session) enterSlot() *sqlError {
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

func (s *session) leaveSlot() {
	if s.holdsSlot {
		s.holdsSlot = false
		s.db.slots.release()
	}
}

// sleep waits while the statement can be cancelled.
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
		return s.ended()
	}
}

// sayGoodbye tells the client why its connection ends.
func (s *session) sayGoodbye() {
	reason := s.ended()
	if reason == nil || s.db.gate.has(faultsDelivery|faultDown) {
		return
	}
	s.send(reason.response())
	s.lingering = s.backend.Flush() == nil
}

// linger reads what the client still sends before it learns of the end. A
// close with unread data would reset the connection, and the client could lose
// the reason.
func (s *session) linger() {
	tcp, ok := s.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	s.conn.SetReadDeadline(time.Now().Add(closeGrace))
	_, _ = io.Copy(io.Discard, tcp)
}

func (s *session) cleanUp() {
	s.rollback()
	s.leaveSlot()
	s.db.mu.Lock()
	delete(s.db.sessions, s.pid)
	s.db.mu.Unlock()
	if s.count != nil {
		s.count.open.Add(-1)
	}
	if s.lingering {
		s.linger()
	}
	s.conn.Close()
}
