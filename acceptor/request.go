package acceptor

import (
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPooledRequestSize is the maximum total size of the buffers of a request
// that goes back to the pool. A connection that waits for the rest of a request holds
// such buffers without a count.
const maxPooledRequestSize = 32 << 10

// maxPooledEnds is the maximum number of messages in a request that goes back to the pool.
const maxPooledEnds = 64

var requestPool = sync.Pool{New: func() any { return new(request) }}

// A request consists of the messages from a client up to Query, Sync, Flush or
// FunctionCall.
type request struct {
	// raw holds the messages including their headers.
	raw []byte
	// ends holds the end offset of each message in raw.
	ends []int
	// messages is the buffer for the messages to the endpoint.
	messages []byte
}

// receiveRequest reads the messages up to Query, Sync, Flush or FunctionCall.
// The request must be put back with release.
func (c *connection) receiveRequest() (*request, error) {
	r := requestPool.Get().(*request)
	for {
		kind, raw, err := c.reader.frame(r.raw, c.acceptor.MaxBatchBytes)
		r.raw = raw
		if err != nil {
			r.release()
			return nil, err
		}
		switch kind {
		case 'X':
			r.release()
			return nil, io.EOF
		case 'p':
			r.release()
			return nil, refuseMalformed(nil)
		case 'c', 'd', 'f':
			// Like PostgreSQL, ignore COPY messages outside a COPY.
			r.raw = r.raw[:r.end()]
			continue
		case 'H':
			if len(r.ends) == 0 {
				r.raw = r.raw[:0]
				continue
			}
		}
		r.ends = append(r.ends, len(raw))
		if kind == 'Q' || kind == 'S' || kind == 'H' || kind == 'F' {
			c.endMessage()
			return r, nil
		}
	}
}

// end returns the end offset of the last message.
func (r *request) end() int {
	if len(r.ends) == 0 {
		return 0
	}
	return r.ends[len(r.ends)-1]
}

// release puts the request back into the pool. If its buffers are large, they become
// available to other requests instead.
func (r *request) release() {
	if cap(r.raw)+cap(r.messages) > maxPooledRequestSize {
		recycleBuffer(r.raw)
		recycleBuffer(r.messages)
		*r = request{ends: r.ends}
		if cap(r.ends) > maxPooledEnds {
			return
		}
	}
	r.raw, r.ends, r.messages = r.raw[:0], r.ends[:0], r.messages[:0]
	requestPool.Put(r)
}

// frame returns message i including its header.
func (r *request) frame(i int) []byte {
	start := 0
	if i > 0 {
		start = r.ends[i-1]
	}
	return r.raw[start:r.ends[i]]
}

// lastType returns the type of the last message.
func (r *request) lastType() byte { return r.frame(len(r.ends) - 1)[0] }

// decode decodes message i, whose type is one that receiveRequest accepts.
func (r *request) decode(i int) (pgproto3.FrontendMessage, error) {
	frame := r.frame(i)
	var message pgproto3.FrontendMessage
	switch frame[0] {
	case 'B':
		message = new(pgproto3.Bind)
	case 'C':
		message = new(pgproto3.Close)
	case 'D':
		message = new(pgproto3.Describe)
	case 'E':
		message = new(pgproto3.Execute)
	case 'F':
		message = new(pgproto3.FunctionCall)
	case 'H':
		message = new(pgproto3.Flush)
	case 'P':
		message = new(pgproto3.Parse)
	case 'Q':
		message = new(pgproto3.Query)
	default:
		message = new(pgproto3.Sync)
	}
	if err := message.Decode(frame[headerSize:]); err != nil {
		return nil, refuseMalformed(err)
	}
	return message, nil
}
