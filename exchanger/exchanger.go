package exchanger

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const (
	exchangeRPC = "/endiveturn.Fleet/Exchange"
	// Interval is how often a host of a small fleet reports to each other one.
	Interval = 250 * time.Millisecond
	// callTimeout bounds one exchange. Peers answer from memory.
	callTimeout = 600 * time.Millisecond
	// silentTime is after how long a host that should ask is asked itself.
	silentTime = 3 * Interval
	// retryPause is the time between attempts to reach a host that is away.
	retryPause = 500 * time.Millisecond
)

// A Peer is another host and what it reported last.
type Peer struct {
	Report Report
	// Heard is when the request was sent that brought the report, or when it
	// arrived unasked.
	Heard time.Time
	// Arrived is when the last report was read.
	Arrived time.Time
	// answered is when this host last answered a report of the other one, and
	// sequence numbers that answer.
	answered time.Time
	sequence uint64
	// Refused is when the host's machine last refused a connection, which shows
	// that its process has ended.
	Refused time.Time
}

// An Exchanger reports to the other hosts and collects their reports. Its
// exported fields are set before Run.
type Exchanger struct {
	// Host is the name of this host.
	Host string
	// Report returns what to tell a host; the name is empty if it is not known.
	Report func(receiver string) Report
	// Since returns the records later than a revision, and others that a host
	// with that revision may lack.
	Since func(revision int64) []Record
	// Received is called with each report and what came with it. For answers,
	// sent is when the request was sent.
	Received func(message Message, sent time.Time)
	// Peers returns the addresses of the hosts to exchange with by name. It is
	// empty while no host is known, not even this one.
	Peers func() map[string]string
	// Asks reports whether this host has to ask the named one in any case.
	Asks func(name string) bool
	// Pause returns the time between two exchanges with a host.
	Pause func() time.Duration
	// Seeds are addresses to try while no host is known.
	Seeds []string
	// Now returns an instant that counts suspensions of the machine.
	Now    func() time.Time
	Logger *slog.Logger

	mu    sync.Mutex
	peers map[string]Peer
	lines map[string]*line
}

// A line is the connection to one address.
type line struct {
	address string
	name    string
	cancel  context.CancelFunc
	// wake asks for an exchange at once.
	wake chan struct{}
	// echo is the sequence of the last answer.
	echo uint64
}

// Reports returns the newest report of each host heard of.
func (e *Exchanger) Reports() map[string]Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make(map[string]Peer, len(e.peers))
	for name, peer := range e.peers {
		peers[name] = peer
	}
	return peers
}

// Serve answers exchanges on the listener until ctx ends.
func (e *Exchanger) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(e, description{}); err != nil {
		return errors.Wrap(err, "register exchange")
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Run keeps a line to each other host until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	e.lines = make(map[string]*line)
	for {
		e.arrange(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Spread asks for an exchange with every host at once.
func (e *Exchanger) Spread() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.lines {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// arrange opens lines to new addresses and ends those to others.
func (e *Exchanger) arrange(ctx context.Context) {
	wanted := e.Peers()
	known := len(wanted) > 0
	delete(wanted, e.Host)
	if !known {
		wanted = make(map[string]string)
		for _, seed := range e.Seeds {
			wanted["seed "+seed] = seed
		}
	}
	for name := range wanted {
		if !e.asks(name) {
			delete(wanted, name)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, l := range e.lines {
		if wanted[name] != l.address {
			l.cancel()
			delete(e.lines, name)
		}
	}
	for name, address := range wanted {
		if _, ok := e.lines[name]; ok {
			continue
		}
		lineCtx, cancel := context.WithCancel(ctx)
		l := &line{address: address, name: name, cancel: cancel, wake: make(chan struct{}, 1)}
		e.lines[name] = l
		go e.run(lineCtx, l)
	}
}

// asks reports whether this host asks the other one, or is asked by it: one
// exchange tells both. A host that was not heard for long is asked in any case,
// since a path may be open in one direction only.
func (e *Exchanger) asks(name string) bool {
	if e.Host < name || e.Asks(name) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.peers[name].Arrived) > silentTime
}

// run exchanges with one host until ctx ends.
func (e *Exchanger) run(ctx context.Context, l *line) {
	var conn *drpcconn.Conn
	var known int64
	reached := false
	for ctx.Err() == nil {
		pause := e.Pause()
		revision, err := e.exchange(ctx, l, &conn, known)
		if err != nil {
			pause = retryPause
			// The next question brings no records, so that it must not date the copy.
			known, l.echo = 0, 0
			if conn != nil {
				_ = conn.Close()
				conn = nil
			}
		} else {
			known = revision
		}
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			e.logReach(l, err)
		}
		e.sleep(ctx, l, pause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (e *Exchanger) logReach(l *line, err error) {
	if err == nil {
		e.Logger.Info("dependency_regained", "dependency", "host", "host", l.name, "address", l.address)
		return
	}
	e.Logger.Warn("dependency_lost", "dependency", "host", "host", l.name, "address", l.address, "error", err.Error())
}

func (e *Exchanger) sleep(ctx context.Context, l *line, pause time.Duration) {
	timer := time.NewTimer(pause*9/10 + rand.N(pause/5))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// exchange sends a report with the records that the host lacks and takes in
// its answer. It returns the revision that the host has.
func (e *Exchanger) exchange(ctx context.Context, l *line, conn **drpcconn.Conn, known int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *conn == nil {
		opened, err := e.dial(ctx, l)
		if err != nil {
			return 0, err
		}
		*conn = opened
	}
	request := Message{Report: e.Report(l.name), Echo: l.echo}
	if known > 0 {
		request.Records = e.Since(known)
	}
	var answer Message
	sent := e.Now()
	if err := (*conn).Invoke(ctx, exchangeRPC, encoding{}, &request, &answer); err != nil {
		return 0, errors.Wrap(err, "exchange")
	}
	l.echo = answer.Sequence
	e.Note(answer, sent)
	if known == 0 {
		// The question brought no records, so that the next one has to.
		return answer.Report.Revision, nil
	}
	return max(answer.Report.Revision, request.Report.Revision), nil
}

func (e *Exchanger) dial(ctx context.Context, l *line) (*drpcconn.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		if isRefused(err) {
			e.refused(l.name)
		}
		return nil, errors.Wrap(err, "reach host")
	}
	return drpcconn.New(raw), nil
}

func (e *Exchanger) refused(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = make(map[string]Peer)
	}
	peer := e.peers[name]
	peer.Refused = e.Now()
	e.peers[name] = peer
}

// Note takes in a report that was sent at the instant; the zero time stands for
// unknown. What came with it is taken in before the host counts as heard, since
// others conclude from that that they know what the host knew.
func (e *Exchanger) Note(message Message, sent time.Time) {
	if message.Report.Host == e.Host {
		return
	}
	e.Received(message, sent)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = make(map[string]Peer)
	}
	peer := e.peers[message.Report.Host]
	peer.Report = message.Report
	peer.Arrived = e.Now()
	if sent.After(peer.Heard) {
		peer.Heard = sent
	}
	e.peers[message.Report.Host] = peer
}

// answer takes in a report and returns this host's, with what the other lacks.
// When the report was sent is not known; but if it echoes this host's last
// answer, it was sent after that one.
func (e *Exchanger) answer(request *Message) *Message {
	name := request.Report.Host
	e.mu.Lock()
	peer := e.peers[name]
	sent := time.Time{}
	if request.Echo != 0 && request.Echo == peer.sequence && peer.Report.Incarnation == request.Report.Incarnation {
		sent = peer.answered
	}
	e.mu.Unlock()
	e.Note(*request, sent)
	answer := &Message{Report: e.Report(name)}
	answer.Records = e.Since(request.Report.Revision)
	e.mu.Lock()
	defer e.mu.Unlock()
	peer = e.peers[name]
	peer.answered = e.Now()
	peer.sequence = max(peer.sequence+1, uint64(peer.answered.UnixNano()))
	answer.Sequence = peer.sequence
	e.peers[name] = peer
	return answer
}

// description is the drpc service of the exchange, whose messages need no
// generated code.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server interface{}, _ context.Context, in1, _ interface{}) (drpc.Message, error) {
		return server.(*Exchanger).answer(in1.(*Message)), nil
	}
	return exchangeRPC, encoding{}, receive, (*Exchanger).invoke, true
}

// invoke has the signature by which drpcmux tells the types of a method.
func (e *Exchanger) invoke(_ context.Context, request *Message) (*Message, error) {
	return e.answer(request), nil
}
