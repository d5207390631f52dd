package exchanger

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const (
	exchangeRPC = "/endiveturn.Fleet/Exchange"
	// Interval is how often a host of a small fleet exchanges reports with each
	// other host.
	Interval = 250 * time.Millisecond
	// reconcileInterval is how often the connections are adapted to the wanted peers. A
	// view expires a second after its hub is lost, and is confirmed over new
	// connections by then.
	reconcileInterval = 100 * time.Millisecond
	// secondExchangeDelay is the time between the first two exchanges with a host. Only
	// the second request echoes a reply, and so shows when it was sent.
	secondExchangeDelay = 30 * time.Millisecond
	// callTimeout bounds one exchange. Peers reply from memory.
	callTimeout = 600 * time.Millisecond
	// silenceTimeout is how long a host that should initiate the exchanges may send
	// no report before this host initiates them.
	silenceTimeout = 3 * Interval
	// retryInterval is the time between attempts to reach a host that is
	// unreachable.
	retryInterval = 500 * time.Millisecond
)

// A Peer is another host and its last report.
type Peer struct {
	Report Report
	// HeardAt is the latest instant after which a report is known to have been sent:
	// when this host sent the request that the report replies to, or the reply that
	// the request with the report echoes.
	HeardAt time.Time
	// HeardListed is Listed of the report that HeardAt belongs to. Report may be an older
	// one that was held up on the way.
	HeardListed bool
	// HeardIncarnation and HeardUptime are Incarnation and Uptime of that report: at HeardAt
	// that process had run for HeardUptime at most.
	HeardIncarnation string
	HeardUptime      time.Duration
	// ReceivedAt is when the last report was received.
	ReceivedAt time.Time
	// repliedAt is when this host last replied to a request of the peer, and
	// sequence is the sequence number of that reply.
	repliedAt time.Time
	sequence  uint64
	// formerIncarnation is the incarnation before that of Report, if the latter's process
	// is known to have sent its report later.
	formerIncarnation string
	// delivery tracks the records in replies to the process with incarnation
	// deliveredTo.
	delivery    delivery
	deliveredTo string
}

// An Exchanger exchanges reports with the other hosts and keeps the last one of
// each. Its exported fields are set before Run.
type Exchanger struct {
	// Host is the name of this host.
	Host string
	// Report returns the report for a host. The receiver is empty if its name is
	// unknown.
	Report func(receiver string) Report
	// RecordsSince returns the records later than a revision, and others that a host
	// with that revision may lack.
	RecordsSince func(revision int64) []Record
	// OnMessage is called with each message received. sent is not later than the
	// sending of the message: for replies it is when the request was sent. It is
	// zero if unknown.
	OnMessage func(message Message, sent time.Time)
	// Peers returns the addresses of the hosts to exchange with by name. It is empty
	// while no host is known, not even this one.
	Peers func() map[string]string
	// MustInitiate reports whether this host initiates the exchanges with the named
	// one in any case.
	MustInitiate func(name string) bool
	// Pause returns the time between two exchanges with a host.
	Pause func() time.Duration
	// Seeds are addresses to contact while no host is known.
	Seeds []string
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now    func() time.Time
	Logger *slog.Logger
	// Dial connects to the address of a host. If it is nil, it connects over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Register registers further services that are served at the same address. It may be
	// nil.
	Register func(mux drpc.Mux) error

	mu          sync.Mutex
	peers       map[string]Peer
	connections map[string]*peerConnection
	compressor  compressor
	seeds       seedChoice
}

// Reports returns the state of each host that has reported, with its last report.
func (e *Exchanger) Reports() map[string]Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make(map[string]Peer, len(e.peers))
	for name, peer := range e.peers {
		peers[name] = peer
	}
	return peers
}

// EachPeer calls visit with each host that has reported and its state, until visit returns
// false. Unlike Reports it copies nothing. visit must not call the Exchanger.
func (e *Exchanger) EachPeer(visit func(name string, peer *Peer) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var current Peer
	for name, peer := range e.peers {
		current = peer
		if !visit(name, &current) {
			return
		}
	}
}

// Peer returns the state of a host, which is the zero value if it has not reported.
func (e *Exchanger) Peer(name string) Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[name]
}

// ReceivedAt returns when the last report of a host was received, or the zero time.
func (e *Exchanger) ReceivedAt(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[name].ReceivedAt
}

// Serve replies to exchanges on the listener until ctx ends.
func (e *Exchanger) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(e, serviceDescription{}); err != nil {
		return errors.Wrap(err, "register exchange")
	}
	if e.Register != nil {
		if err := e.Register(mux); err != nil {
			return err
		}
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Run maintains a connection to each other host until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	e.connections = make(map[string]*peerConnection)
	for {
		e.reconcileConnections(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TriggerExchanges triggers an exchange with every connected host at once.
func (e *Exchanger) TriggerExchanges() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.connections {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// reconcileConnections opens connections to new addresses and closes those to
// addresses that are no longer wanted.
func (e *Exchanger) reconcileConnections(ctx context.Context) {
	wanted := e.Peers()
	fleetKnown := len(wanted) > 0
	delete(wanted, e.Host)
	if !fleetKnown {
		wanted = make(map[string]string)
		for _, seed := range e.seeds.at(e.Now(), e.Seeds) {
			wanted["seed "+seed] = seed
		}
	}
	for name := range wanted {
		if !e.initiates(name) {
			delete(wanted, name)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, c := range e.connections {
		if wanted[name] != c.address {
			c.cancel()
			delete(e.connections, name)
		}
	}
	for name, address := range wanted {
		if _, ok := e.connections[name]; ok {
			continue
		}
		connCtx, cancel := context.WithCancel(ctx)
		c := &peerConnection{address: address, name: name, cancel: cancel, wake: make(chan struct{}, 1)}
		e.connections[name] = c
		go e.runConnection(connCtx, c)
	}
}

// initiates reports whether this host, rather than the other one, initiates the
// exchanges between them: one exchange informs both. If the other host has sent
// no report for long, this one initiates in any case, since the network path
// may be open in one direction only.
func (e *Exchanger) initiates(name string) bool {
	if e.Host < name || e.MustInitiate(name) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Now().Sub(e.peers[name].ReceivedAt) > silenceTimeout
}

// RecordMessage processes a message that was not sent before the instant sent; the
// zero time stands for unknown. OnMessage is called before HeardAt is advanced,
// because callers of Reports conclude from HeardAt that they have the records that
// the other host had. A message of a former process of a host, which a partition held
// up, is ignored.
func (e *Exchanger) RecordMessage(message Message, sent time.Time) {
	if message.Report.Host == e.Host || e.isFormer(message.Report) {
		return
	}
	e.OnMessage(message, sent)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = make(map[string]Peer)
	}
	peer := e.peers[message.Report.Host]
	if sent.After(peer.HeardAt) {
		peer.HeardAt, peer.HeardListed = sent, message.Report.Listed
		peer.HeardIncarnation, peer.HeardUptime = message.Report.Incarnation, message.Report.Uptime
		if peer.Report.Incarnation != message.Report.Incarnation {
			peer.formerIncarnation = peer.Report.Incarnation
		}
	}
	peer.Report = message.Report
	peer.ReceivedAt = e.Now()
	e.peers[message.Report.Host] = peer
}

// isFormer reports whether a report is of a process that another one of the same name has
// replaced.
func (e *Exchanger) isFormer(report Report) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	former := e.peers[report.Host].formerIncarnation
	return former != "" && former == report.Incarnation
}

// replyTo processes the report of another host and returns this host's report, with
// the records that the other one lacks. It is not known when the request was sent,
// but if it echoes this host's last reply, it was sent after that one.
func (e *Exchanger) replyTo(request *Message) *Message {
	name := request.Report.Host
	e.mu.Lock()
	peer := e.peers[name]
	sent := time.Time{}
	if request.Echo != 0 && request.Echo == peer.sequence && peer.Report.Incarnation == request.Report.Incarnation {
		sent = peer.repliedAt
		peer.delivery.confirm()
	}
	if peer.deliveredTo != request.Report.Incarnation {
		peer.delivery, peer.deliveredTo = delivery{}, request.Report.Incarnation
	}
	records := peer.delivery
	e.mu.Unlock()
	e.RecordMessage(*request, sent)
	reply := &Message{Report: e.Report(name), AcceptsCompression: true, CompleteAfter: request.Report.Revision}
	if request.AcceptsCompression {
		reply.compress = e.compressor.compress
	}
	reply.Records = records.next(e.RecordsSince(request.Report.Revision), request.Report.Revision, reply.Report.Revision)
	if reply.Report.Age < 0 {
		// The receiver ignores the records of a host that has never been complete.
		records.forgetSent()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	peer = e.peers[name]
	peer.delivery, peer.deliveredTo = records, request.Report.Incarnation
	peer.repliedAt = e.Now()
	peer.sequence = max(peer.sequence+1, uint64(peer.repliedAt.UnixNano()))
	reply.Sequence = peer.sequence
	e.peers[name] = peer
	return reply
}

// serviceDescription describes the drpc service of the exchange, whose messages need
// no generated code.
type serviceDescription struct{}

// NumMethods implements drpc.Description.
func (serviceDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server interface{}, _ context.Context, in1, _ interface{}) (drpc.Message, error) {
		return server.(*Exchanger).replyTo(in1.(*Message)), nil
	}
	return exchangeRPC, encoding{}, receive, (*Exchanger).invoke, true
}

// invoke has the signature from which drpcmux derives the types of a method.
func (e *Exchanger) invoke(_ context.Context, request *Message) (*Message, error) {
	return e.replyTo(request), nil
}
