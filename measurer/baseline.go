package measurer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/groupemulator"
	"github.com/endiveturn/endiveturn/pooler"
)

// baselineTerm is the term of a group without any promotion.
const baselineTerm = 1

// A Baseline is the naive implementation that measures are compared with. Each
// host sends all statements to the first database of a service, enforces an equal
// share of every limit, and queues requests in order of arrival. Hosts do not
// communicate, and no replica is ever promoted.
type Baseline struct {
	Fleet *Fleet

	hosts []*baselineHost
}

// A baselineHost is one host of the baseline.
type baselineHost struct {
	name       string
	dataCentre string
	acceptor   *acceptor.Acceptor
	stop       context.CancelFunc
	done       chan struct{}
	address    string
	services   map[string]*baselineService

	mu      sync.Mutex
	buckets map[string]*baselineBucket
}

// A baselineService is a host's share of the connections and slots of a service.
type baselineService struct {
	pool  *pooler.Pool
	slots chan struct{}
}

// A baselineBucket is the token bucket of a host for its equal share of a customer's
// rate.
type baselineBucket struct {
	rate, burst, level float64
	updated            time.Time
}

func (b *baselineBucket) take(now time.Time) bool {
	b.level = min(b.burst, b.level+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Start starts the emulators and the baseline hosts.
func (b *Baseline) Start(ctx context.Context, spec FleetSpec) error {
	b.Fleet = &Fleet{Spec: spec, Network: NewNetwork()}
	if err := b.Fleet.startGroups(); err != nil {
		return err
	}
	config, err := b.Fleet.BuildConfig()
	if err != nil {
		return err
	}
	for i := range spec.Hosts {
		if err := b.startHost(ctx, i, config); err != nil {
			return err
		}
	}
	return nil
}

func (b *Baseline) startHost(ctx context.Context, i int, config configurer.Config) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	hostCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	h := &baselineHost{
		name: hostName(i + 1), dataCentre: dataCentreName(i%b.Fleet.Spec.DataCentres + 1), stop: stop, done: make(chan struct{}),
		address: listener.Addr().String(), services: map[string]*baselineService{}, buckets: map[string]*baselineBucket{},
	}
	for service, group := range b.Fleet.Groups {
		h.services[service] = b.newService(group)
	}
	h.acceptor = &acceptor.Acceptor{
		Listener: listener, Opener: &baselineOpener{host: h, spec: b.Fleet.Spec},
		Config: func() configurer.Config { return config }, HostName: h.name, Logger: b.Fleet.Spec.Logger,
	}
	b.hosts = append(b.hosts, h)
	go func() {
		defer close(h.done)
		if err := h.acceptor.Run(hostCtx); err != nil {
			b.Fleet.Spec.Logger.Error("baseline_host_run_failed", "host", h.name, "error", err)
		}
	}()
	return nil
}

func (b *Baseline) newService(group *groupemulator.Group) *baselineService {
	spec := b.Fleet.Spec
	pool := &pooler.Pool{
		Name: group.Members[0].Name, Address: group.Address(group.Members[0].Name),
		Login: pooler.Login{User: endpointUser, Password: endpointPassword, Database: "ledger"},
		Dial:  b.Fleet.Network.Dialer("baseline"), Now: time.Now, Logger: spec.Logger,
	}
	connections := max(1, spec.Connections/spec.Hosts)
	pool.SetTerm(baselineTerm)
	pool.Configure(connections, connections)
	return &baselineService{pool: pool, slots: make(chan struct{}, max(1, spec.Slots/spec.Hosts))}
}

// Hosts returns the running hosts, all with the same weight.
func (b *Baseline) Hosts() []WeightedHost {
	var hosts []WeightedHost
	for _, h := range b.hosts {
		hosts = append(hosts, WeightedHost{Address: h.address, Name: h.name, Weight: 1})
	}
	return hosts
}

// Stop stops the hosts and the emulators.
func (b *Baseline) Stop() {
	for _, h := range b.hosts {
		h.stop()
		<-h.done
		for _, s := range h.services {
			s.pool.Close()
		}
	}
	if b.Fleet != nil {
		b.Fleet.Stop()
	}
}

// KillHost stops the host with the given index and removes it.
func (b *Baseline) KillHost(i int) {
	h := b.hosts[i]
	b.hosts = append(b.hosts[:i:i], b.hosts[i+1:]...)
	h.stop()
	<-h.done
}

// A baselineOpener runs batches on the first database of a service.
type baselineOpener struct {
	host *baselineHost
	spec FleetSpec
}

// Open implements executor.Opener.
func (o *baselineOpener) Open(_ context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	service := o.host.services[attributes.Service]
	if service == nil {
		return nil, executor.RefuseNotRun(executor.CodeUnknownRoute, "unknown service")
	}
	return &baselineExchange{opener: o, service: service, customer: attributes.Customer}, nil
}

// admit reports whether the host's share of the customer's rate allows a batch.
func (o *baselineOpener) admit(customer string) bool {
	o.host.mu.Lock()
	defer o.host.mu.Unlock()
	now := time.Now()
	bucket := o.host.buckets[customer]
	if bucket == nil {
		hosts := float64(o.spec.Hosts)
		bucket = &baselineBucket{rate: o.spec.Rate / hosts, burst: max(1, float64(o.spec.Burst)/hosts), updated: now}
		bucket.level = bucket.burst
		o.host.buckets[customer] = bucket
	}
	return bucket.take(now)
}

// A baselineExchange implements executor.Exchange. It holds a connection to the
// database while a transaction is open.
type baselineExchange struct {
	opener   *baselineOpener
	service  *baselineService
	customer string
	conn     *pooler.Conn
}

// Run implements executor.Exchange.
func (e *baselineExchange) Run(ctx context.Context, batch executor.Batch, w io.Writer) (executor.Result, error) {
	if e.conn == nil && !e.opener.admit(e.customer) {
		return executor.Result{}, executor.RefuseNotRun(executor.CodeRateExceeded, "rate exceeded")
	}
	ctx, cancel := context.WithTimeout(ctx, batch.Timeout)
	defer cancel()
	select {
	case e.service.slots <- struct{}{}:
	case <-ctx.Done():
		return executor.Result{}, executor.RefuseNotRun(executor.CodeTooManyQueued, "deadline passed")
	}
	defer func() { <-e.service.slots }()
	if e.conn == nil {
		conn, err := e.service.pool.Get(ctx, baselineTerm, e.customer)
		if err != nil {
			return executor.Result{}, executor.RefuseNotRun(executor.CodeCannotServe, err.Error())
		}
		e.conn = conn
	}
	stop := context.AfterFunc(ctx, e.conn.Abort)
	status, err := e.forward(&batch, w)
	stop()
	if err != nil {
		e.service.pool.Discard(e.conn, nil)
		e.conn = nil
		return executor.Result{}, executor.RefuseUnknown(executor.CodeOutcomeUnknown, err.Error())
	}
	if status == 'I' {
		e.service.pool.Put(e.conn)
		e.conn = nil
	}
	return executor.Result{TxStatus: status}, nil
}

// forward writes the whole response of the database to w and returns the
// transaction status.
func (e *baselineExchange) forward(batch *executor.Batch, w io.Writer) (byte, error) {
	response, _, err := e.conn.Start(batch, e.customer)
	if err != nil {
		return 0, err
	}
	for {
		message, err := response.Next()
		if err != nil {
			return 0, err
		}
		if message.Type == pooler.TypeReady {
			return response.Finish(e.customer)
		}
		body, err := response.Body()
		if err != nil {
			return 0, err
		}
		frame := binary.BigEndian.AppendUint32([]byte{message.Type}, uint32(len(body))+4)
		if _, err := w.Write(append(frame, body...)); err != nil {
			return 0, errors.WithStack(err)
		}
	}
}

// Close implements executor.Exchange.
func (e *baselineExchange) Close() error {
	if e.conn != nil {
		e.service.pool.Discard(e.conn, nil)
		e.conn = nil
	}
	return nil
}
