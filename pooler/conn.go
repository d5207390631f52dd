package pooler

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

const (
	// readBufferSize is the size of the read buffer of a connection. Together with
	// the buffer of the code that forwards the response, it bounds the memory of a
	// response.
	readBufferSize = 32 << 10
	// asyncWriteSize is the size from which a batch is written concurrently with
	// reading its response, since the database may stop reading until its response
	// is read.
	asyncWriteSize = 32 << 10
	// closeTimeout bounds how long a closed connection is counted while the
	// database does not close its side.
	closeTimeout = time.Second
	// expireGracePeriod bounds the wait for a database to end a connection of a
	// past term; a database that is unreachable never does. Afterwards the
	// scheduler slot of the connection is given to another batch, so with a
	// shorter time a busy database may run more statements than it has slots.
	expireGracePeriod = 300 * time.Millisecond
	headerSize        = 5
)

var noDeadline time.Time

// A Conn is a connection to a database. It serves one batch at a time; only
// Cancel and Abort may be called concurrently.
type Conn struct {
	network   net.Conn
	reader    *bufio.Reader
	term      uint64
	processID uint32
	secretKey []byte

	pool *Pool
	// customer is the customer that is set on the connection, or empty.
	customer   string
	statements *statements
	idleSince  time.Time
	// unusable is set when the connection must not serve another batch.
	unusable bool
	// expired is set once expire was called; the pool's mutex guards it.
	expired bool
	abort   sync.Once
}

func newConn(network net.Conn, term uint64) *Conn {
	return &Conn{
		network: network, term: term, statements: newStatements(),
		reader: bufio.NewReaderSize(network, readBufferSize),
	}
}

// Term returns the term under which the connection was opened.
func (c *Conn) Term() uint64 { return c.term }

// Abort closes the network connection immediately; a running batch fails.
func (c *Conn) Abort() {
	c.abort.Do(func() { _ = c.network.Close() })
}

// expire ends a connection of a past term after expireGracePeriod. A database
// that has accepted the new term ends the connection itself; closing it here
// immediately would leave unknown when the statement has ended there.
func (c *Conn) expire() {
	if c.expired {
		return
	}
	c.expired = true
	_ = c.network.SetDeadline(time.Now().Add(expireGracePeriod))
	// In an idle transaction no goroutine reads or writes, so nothing would detect
	// the deadline.
	time.AfterFunc(expireGracePeriod, c.Abort)
}

// Cancel requests the database to cancel the running statement. The connection must
// not be used for another batch afterwards, since the request may take effect
// late.
func (c *Conn) Cancel(ctx context.Context) error {
	network, err := c.pool.Dial(ctx, c.pool.Address)
	if err != nil {
		return errors.Wrap(err, "dial for cancel request")
	}
	defer network.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = network.SetDeadline(deadline)
	}
	request := pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}
	data, err := request.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel request")
	}
	if _, err := network.Write(data); err != nil {
		return errors.Wrap(err, "send cancel request")
	}
	_, _ = network.Read(make([]byte, 1))
	return nil
}

// readHeader reads the header of the next message and returns its type and the
// size of its body.
func (c *Conn) readHeader() (byte, int, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return 0, 0, errors.WithStack(err)
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - 4
	if size < 0 {
		return 0, 0, errors.Wrap(ErrProtocol, "invalid message length")
	}
	return header[0], size, nil
}

// isUsable reports whether an idle connection can be used: the database has not
// closed it, and it has no unexpected data such as a refusal of its term.
func (c *Conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.network.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}

// closeGracefully closes the connection. Unless the connection is broken, it
// waits until the database has closed its side, so that the database never
// counts more connections than the pool.
func (c *Conn) closeGracefully() {
	defer c.Abort()
	_ = c.network.SetDeadline(time.Now().Add(closeTimeout))
	data, err := (&pgproto3.Terminate{}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := c.network.Write(data); err != nil {
		return
	}
	if half, ok := c.network.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c.network)
}
