package hoster

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/storer"
)

// promotionDelay is how long a promotion takes.
const promotionDelay = 300 * time.Millisecond

// viewDelay is how long a slow host takes to build a view.
const viewDelay = 400 * time.Millisecond

// A switchoverFleet is a fleet in front of three databases of service-0, of which i-0 is the
// primary at first.
type switchoverFleet struct {
	*startFleet
	mu      sync.Mutex
	primary string
	term    uint64
	// requestedAt is when a promotion was requested first, and lastAt when i-0 received the
	// last statement, which user sent.
	requestedAt, lastAt time.Time
	user                *Host
	// userLeads is set if user was the leader when i-0 was drained.
	userLeads bool
	// slow is the host that takes viewDelay to build a view, or nil.
	slow atomic.Pointer[Host]
	// onPromotion is called when a promotion takes effect.
	onPromotion func(leader string)
	// stop stops each host in order.
	stop  map[string]context.CancelFunc
	group sync.WaitGroup
}

// newSwitchoverFleet runs a fleet until the end of the test, and returns it once a leader has
// recorded the voters.
func newSwitchoverFleet(t *testing.T, hosts int) *switchoverFleet {
	f := &switchoverFleet{
		startFleet: newStartFleet(), primary: "i-0", term: 1, onPromotion: func(string) {}, stop: make(map[string]context.CancelFunc),
	}
	ctx, cancel := context.WithCancel(t.Context())
	for i := range hosts {
		f.start(ctx, i, hosts)
	}
	t.Cleanup(func() {
		cancel()
		for _, link := range f.links {
			link.setHeld(false)
		}
		f.group.Wait()
		time.Sleep(time.Minute)
	})
	time.Sleep(6 * time.Second)
	return f
}

// start runs the host with a number until it is stopped.
func (f *switchoverFleet) start(ctx context.Context, i, hosts int) {
	h := f.newHost(i, hosts)
	f.connect(h, f.links[len(f.links)-1])
	ctx, f.stop[h.Settings.Host] = context.WithCancel(ctx)
	f.group.Go(func() {
		// Run returns nil after a requested stop.
		_ = h.Run(ctx)
	})
}

// kill takes a host away without a sign: it reaches nothing any more.
func (f *switchoverFleet) kill(name string) {
	for i, h := range f.hosts {
		if h.Settings.Host == name {
			f.links[i].setHeld(true)
		}
	}
}

// connect makes a host use the databases, and the store over its link.
func (f *switchoverFleet) connect(h *Host, link *startLink) {
	store := h.Platform.Store
	h.Platform.Store.List = func(ctx context.Context, prefix, after string) (page storer.Page, err error) {
		defer link.await()
		return store.List(ctx, prefix, after)
	}
	h.Platform.Store.Changes = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, error) {
		defer link.await()
		return store.Changes(ctx, prefix, after, wait)
	}
	h.Platform.Store.Write = func(ctx context.Context, put storer.Put) (int64, error) {
		link.await()
		if ctx.Err() != nil {
			return 0, storer.ErrUnavailable
		}
		return store.Write(ctx, put)
	}
	h.Platform.Store.Renew = func(ctx context.Context, id storer.LeaseID) error {
		link.await()
		if ctx.Err() != nil {
			return storer.ErrUnavailable
		}
		return store.Renew(ctx, id)
	}
	h.Platform.Decoder.EvacuatedDataCentre = func(key string) (string, bool) {
		if f.slow.Load() == h && key == "op/configuration" {
			time.Sleep(viewDelay)
		}
		return "", false
	}
	decode := h.Platform.Decoder.Endpoint
	h.Platform.Decoder.Endpoint = func(key string, value []byte) (cataloger.Endpoint, bool, error) {
		e, ok, err := decode(key, value)
		e.Draining = string(value) == "draining"
		return e, ok, err
	}
	route := cataloger.Route{Name: "pay", Database: "pay", Service: "service-0", Consistency: cataloger.Primary, StatementTimeout: time.Second, TargetLatency: 200 * time.Millisecond}
	configuration, _, _ := h.Platform.Decoder.Configuration("op/configuration", nil)
	configuration.Routes = map[string]cataloger.Route{"pay": route}
	configuration.Services["service-0"] = cataloger.Service{Name: "service-0", MaxConnections: 20}
	h.Platform.Decoder.Configuration = func(key string, _ []byte) (cataloger.Configuration, bool, error) {
		return configuration, key == "op/configuration", nil
	}
	h.Platform.Databases.Dial = func(_ context.Context, e cataloger.Endpoint, _ string) (connector.Transport, error) {
		return &switchoverTransport{fleet: f, host: h, id: e.ID}, nil
	}
	h.Platform.Databases.Status = func(_ context.Context, e cataloger.Endpoint) (executor.DatabaseStatus, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return executor.DatabaseStatus{Primary: e.ID == f.primary, Term: f.term}, nil
	}
	h.Platform.Promote = f.promote
}

func (f *switchoverFleet) promote(_ context.Context, host string, p overseer.Promotion) error {
	if p.Service != "service-0" {
		return overseer.ErrNotRunning
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requestedAt.IsZero() {
		f.requestedAt = time.Now()
		time.AfterFunc(promotionDelay, func() {
			f.onPromotion(host)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.primary, f.term = p.ID, f.term+1
		})
	}
	return nil
}

// A switchoverTransport is a connection to a database, which runs all statements.
type switchoverTransport struct {
	fleet  *switchoverFleet
	host   *Host
	id     string
	verb   executor.Verb
	closed atomic.Bool
}

func (c *switchoverTransport) Send(r executor.Request) error { c.verb = r.Verb; return nil }
func (c *switchoverTransport) Flush(time.Time) error         { return nil }
func (c *switchoverTransport) Alive() bool                   { return true }
func (c *switchoverTransport) Close() error                  { c.closed.Store(true); return nil }

func (c *switchoverTransport) Receive(time.Time) (executor.Response, error) {
	if c.closed.Load() {
		return executor.Response{}, errors.New("connection closed")
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if c.id == "i-0" && c.verb != executor.VerbRollback {
		c.fleet.lastAt, c.fleet.user = time.Now(), c.host
	}
	state := byte(executor.StateTransaction)
	if c.verb == executor.VerbCommit || c.verb == executor.VerbRollback {
		state = executor.StateIdle
	}
	return executor.Response{State: state, Position: executor.Position{Term: 1, Offset: 1}}, nil
}

// A switchoverClient sends the statements of its channel.
type switchoverClient struct {
	requests  chan executor.Request
	responses chan executor.Response
}

func (c *switchoverClient) Startup(time.Time) (director.Startup, error) {
	return director.Startup{Database: "pay", Key: "customer-0"}, nil
}

func (c *switchoverClient) Receive(deadline time.Time) (executor.Request, error) {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		expired = time.After(time.Until(deadline))
	}
	select {
	case request, ok := <-c.requests:
		if !ok {
			return request, errors.New("client has left")
		}
		return request, nil
	case <-expired:
		return executor.Request{}, os.ErrDeadlineExceeded
	}
}

func (c *switchoverClient) Pending() bool { return false }
func (c *switchoverClient) Send(response executor.Response) error {
	c.responses <- response
	return nil
}
func (c *switchoverClient) SendReady() error                   { return nil }
func (c *switchoverClient) Refuse(executor.Code, string) error { return errors.New("refused") }
func (c *switchoverClient) Interrupt()                         {}
func (c *switchoverClient) Close() error                       { return nil }

func (c *switchoverClient) run(verb executor.Verb) executor.Response {
	c.requests <- executor.Request{ID: "id", Verb: verb, Arguments: "a x"}
	return <-c.responses
}

// openTransaction opens a transaction that has written on the primary.
func openTransaction(t *testing.T, h *Host) *switchoverClient {
	c := &switchoverClient{requests: make(chan executor.Request), responses: make(chan executor.Response)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.director.Serve(t.Context(), c)
	}()
	t.Cleanup(func() { close(c.requests); <-done })
	for _, verb := range []executor.Verb{executor.VerbBegin, executor.VerbWrite} {
		if got := c.run(verb); got.Code != executor.CodeNone {
			t.Fatalf("verb %d: got %v %q, want success", verb, got.Code, got.Text)
		}
	}
	return c
}

// link returns the link of a host.
func (f *switchoverFleet) link(h *Host) *startLink { return f.links[slices.Index(f.hosts, h)] }

// followers returns the hosts other than the leader.
func (f *switchoverFleet) followers() []*Host {
	leader, _ := f.hosts[0].leader()
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *Host) bool { return h.Settings.Host == leader })
}
