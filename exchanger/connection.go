package exchanger

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
)

// A peerConnection is the connection to one address.
type peerConnection struct {
	address string
	name    string
	cancel  context.CancelFunc
	// wake triggers an exchange at once.
	wake chan struct{}
	// echo is the sequence number of the last reply.
	echo uint64
	// compress is set if the host accepts compressed values.
	compress bool
	// delivery tracks the records in requests.
	delivery delivery
}

// runConnection exchanges with one host until ctx ends.
func (e *Exchanger) runConnection(ctx context.Context, c *peerConnection) {
	var conn *drpcconn.Conn
	var peerRevision int64
	reachable := false
	for ctx.Err() == nil {
		pause := e.Pause()
		first := conn == nil
		revision, err := e.exchange(ctx, c, &conn, peerRevision)
		if first && err == nil {
			pause = min(pause, secondExchangeDelay)
		}
		if err != nil {
			pause = retryInterval
			// The next request carries no records, so the receiver must not treat
			// its own mirror as complete as of the time it was sent.
			peerRevision, c.echo, c.delivery = 0, 0, delivery{}
			if conn != nil {
				_ = conn.Close()
				conn = nil
			}
		} else {
			peerRevision = revision
		}
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			e.logReachability(c, err)
		}
		e.sleep(ctx, c, pause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (e *Exchanger) logReachability(c *peerConnection, err error) {
	if err == nil {
		e.Logger.Info("dependency_regained", "dependency", "host", "host", c.name, "address", c.address)
		return
	}
	e.Logger.Warn("dependency_lost", "dependency", "host", "host", c.name, "address", c.address, "error", err.Error())
}

func (e *Exchanger) sleep(ctx context.Context, c *peerConnection, pause time.Duration) {
	timer := time.NewTimer(pause*9/10 + rand.N(pause/5))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-ctx.Done():
	}
}

// exchange sends a report with the records that the other host lacks and processes
// the reply. It returns the revision up to which the other host then has all
// records.
func (e *Exchanger) exchange(ctx context.Context, c *peerConnection, conn **drpcconn.Conn, peerRevision int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *conn == nil {
		dialed, err := e.dial(ctx, c)
		if err != nil {
			return 0, err
		}
		*conn = dialed
	}
	request := Message{Report: e.Report(c.name), Echo: c.echo, AcceptsCompression: true}
	if c.compress {
		request.compress = e.compressor.compress
	}
	if peerRevision > 0 {
		request.CompleteAfter = peerRevision
		request.Records = c.delivery.next(e.RecordsSince(peerRevision), peerRevision, request.Report.Revision)
	}
	var reply Message
	sent := e.Now()
	if err := (*conn).Invoke(ctx, exchangeRPC, encoding{}, &request, &reply); err != nil {
		return 0, errors.Wrap(err, "exchange")
	}
	c.echo, c.compress = reply.Sequence, reply.AcceptsCompression
	if request.Report.Age >= 0 {
		c.delivery.confirm()
	}
	e.RecordMessage(reply, sent)
	if peerRevision == 0 {
		// The request carried no records, so the next one has to.
		return reply.Report.Revision, nil
	}
	return max(reply.Report.Revision, request.Report.Revision), nil
}

func (e *Exchanger) dial(ctx context.Context, c *peerConnection) (*drpcconn.Conn, error) {
	dial := e.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, c.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to host")
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A partition must not deliver a report after this host has given it up.
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "configure connection")
		}
	}
	return drpcconn.New(conn), nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
