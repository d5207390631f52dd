package forwarder

import (
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcwire"
)

// ErrFull means that the other host takes no more connections. It has not failed, and
// nothing was sent: ErrFull wraps ErrNotSent.
var ErrFull = errors.WithMessage(ErrNotSent, "pool host takes no more connections")

const (
	// codeFull is the code of drpc with which a host refuses a connection.
	codeFull = 4_290
	// fullBackoff is how long no new connection to a host is tried after it refused one.
	fullBackoff = 500 * time.Millisecond
)

// RefusalFrame returns what a host sends on a connection that it refuses because it takes
// no more: the error of the first stream, so that the other host knows that this one has
// not failed.
func RefusalFrame() []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: drpcwire.MarshalError(drpcerr.WithCode(errors.New("too many connections"), codeFull)),
		ID:   drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindError, Done: true,
	})
}

// refused reports whether the other host has refused the connection with RefusalFrame. It
// is called once the connection is discarded, which ends the stream.
func (c *conn) refused() bool {
	var reply Reply
	return drpcerr.Code(c.stream.MsgRecv(&reply, encoding{})) == codeFull
}

// recordFull records that a host takes no more connections.
func (c *Client) recordFull(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fullUntil == nil {
		c.fullUntil = make(map[string]time.Time)
	}
	c.fullUntil[address] = c.Now().Add(fullBackoff)
}

// isFull reports whether a host has refused a connection recently. It forgets the host
// once the time is over.
func (c *Client) isFull(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.fullUntil[address]
	if ok && !c.Now().Before(until) {
		delete(c.fullUntil, address)
		return false
	}
	return ok
}
