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
	// readBufferSize is the read buffer of a connection; it bounds the memory per
	// answer together with the buffer that its reader passes on.
	readBufferSize = 32 << 10
	// asyncWriteSize is the size from which a batch is written beside the reading
	// of its answer: the database may stop reading until its answer is read.
	asyncWriteSize = 32 << 10
	// farewell bounds how long a closed connection is counted while the database
	// does not confirm the end.
	farewell = time.Second
	// expireGrace bounds the wait for a database to end a connection of a past
	// term; one that is cut off never does. Afterwards the connection's slot is
	// given out, so a shorter time may exceed the slots of a busy database.
	expireGrace = 300 * time.Millisecond
	headerSize  = 5
)

var noDeadline time.Time

// A Conn is a connection to a database. One batch uses it at a time; only
// Cancel and Abort may be called meanwhile.
type Conn struct {
	network   net.Conn
	reader    *bufio.Reader
	term      uint64
	processID uint32
	secretKey []byte

	pool *Pool
	// customer is the customer set on the connection, empty if none was.
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

// Abort closes the network connection at once; a batch that runs on it fails.
func (c *Conn) Abort() {
	c.abort.Do(func() { _ = c.network.Close() })
}

// expire bounds what runs on a connection of a past term. A database that has
// accepted the new term ends the connection itself; closing it here at once would
// leave unknown when the statement has ended there.
func (c *Conn) expire() {
	if c.expired {
		return
	}
	c.expired = true
	_ = c.network.SetDeadline(time.Now().Add(expireGrace))
	// An open transaction may be idle, so that nobody meets the deadline.
	time.AfterFunc(expireGrace, c.Abort)
}

// Cancel asks the database to cancel what runs on the connection. The connection
// must not be used for another batch afterwards, since the request may take
// effect late.
func (c *Conn) Cancel(ctx context.Context) error {
	network, err := c.pool.Dial(ctx, c.pool.Address)
	if err != nil {
		return errors.Wrap(err, "dial for cancel")
	}
	defer network.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = network.SetDeadline(deadline)
	}
	request := pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}
	data, err := request.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel")
	}
	if _, err := network.Write(data); err != nil {
		return errors.Wrap(err, "send cancel")
	}
	_, _ = network.Read(make([]byte, 1))
	return nil
}

// next reads the header of the next message and returns its type and the size of
// its body.
func (c *Conn) next() (byte, int, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return 0, 0, errors.WithStack(err)
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - 4
	if size < 0 {
		return 0, 0, errors.Wrap(ErrProtocol, "message length")
	}
	return header[0], size, nil
}

// alive reports whether an idle connection is neither closed by the database nor
// has data that nobody asked for, such as a refusal of its term.
func (c *Conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.network.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// finish ends the connection. Unless it is broken, it waits until the database
// has closed its side, so that the database never counts more connections than
// the pool.
func (c *Conn) finish() {
	defer c.Abort()
	_ = c.network.SetDeadline(time.Now().Add(farewell))
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
