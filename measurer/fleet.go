package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/groupemulator"
	"github.com/endiveturn/endiveturn/server"
	"github.com/endiveturn/endiveturn/storeemulator"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// StoreName is the name of the store in the network.
	StoreName = "store"
	// databasesPerService is the number of databases of each service.
	databasesPerService = 3
	// verifierIterations is the iteration count of the keys' verifiers.
	verifierIterations = 4096
	endpointUser       = "proxy"
	endpointPassword   = "endpoint-password"
	// startTimeout bounds the start of a fleet.
	startTimeout = 20 * time.Second
)

// A Shape is the size of a fleet.
type Shape struct {
	// DataCentres and Hosts are numbers of them; hosts and the databases of a
	// service are spread over the data centres in turn.
	DataCentres int
	Hosts       int
	Services    int
	Customers   int
	// Slots and Connections are per database.
	Slots       int
	Connections int
	// Rate and Burst are those of every customer.
	Rate  float64
	Burst int
	// ApplyLag is the lag of the replicas; StatementCost is the time for which
	// a statement occupies a slot, groupemulator.None for no time.
	ApplyLag      time.Duration
	ReceiveDelay  time.Duration
	StatementCost time.Duration
	// LogLevel is the lowest level of log lines.
	Logger *slog.Logger
	// OnStatement is called for each statement that a database runs; may be nil.
	OnStatement func(groupemulator.StatementRun)
}

// Today is the size of the first deployment: three data centres, nine hosts,
// three services.
func Today() Shape {
	return Shape{
		DataCentres: 3, Hosts: 9, Services: 3, Customers: 8, Slots: 5, Connections: 30,
		Rate: 1e6, Burst: 1e6, ApplyLag: 5 * time.Millisecond, ReceiveDelay: time.Millisecond,
		StatementCost: time.Millisecond, Logger: slog.New(slog.DiscardHandler),
	}
}

// A FleetHost is one host of a fleet.
type FleetHost struct {
	Name       string
	DataCentre string
	// CallerAddress and PeerAddress stay the same over restarts.
	CallerAddress string
	PeerAddress   string

	mu     sync.Mutex
	server *server.Server
	stop   context.CancelFunc
	done   chan struct{}
}

// A Fleet is a set of hosts with stand-ins for databases and store, all in this
// process, over loopback.
type Fleet struct {
	Shape   Shape
	Network *Network
	Store   *storeemulator.Emulator
	// StoreAddress is where the store listens.
	StoreAddress string
	// Groups holds the database groups by service.
	Groups map[string]*groupemulator.Group
	Hosts  []*FleetHost

	operator *storer.Client
	closers  []func()
}

// Names of the parts of a fleet, counted from 1.
func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i) }
func hostName(i int) string       { return fmt.Sprintf("h%d", i) }

// ServiceName returns the name of a service of a fleet, counted from 1.
func ServiceName(i int) string { return fmt.Sprintf("ledger%d", i) }

// RouteName returns the name of the route to a service, counted from 1.
func RouteName(i int) string { return fmt.Sprintf("route%d", i) }

// CustomerName returns the name of a customer of a fleet, counted from 1.
func CustomerName(i int) string { return fmt.Sprintf("customer%d", i) }

// KeyName returns the name of the key of a customer.
func KeyName(customer string) string { return "key_" + customer }

// KeySecret returns the secret of the key of a customer.
func KeySecret(customer string) string { return "secret-of-" + customer }

// Start starts the stand-ins and the hosts, publishes a configuration, and
// waits until every host serves.
func (f *Fleet) Start(ctx context.Context) error {
	f.Network = NewNetwork()
	if err := f.startStore(); err != nil {
		return err
	}
	if err := f.startGroups(); err != nil {
		return err
	}
	set, err := f.BuildSet()
	if err != nil {
		return err
	}
	if _, err := f.Publisher().Publish(ctx, set, 0); err != nil {
		return err
	}
	if err := f.startHosts(ctx); err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

func (f *Fleet) startStore() error {
	f.Store = &storeemulator.Emulator{Logger: f.Shape.Logger}
	address, stop, err := f.Store.Start()
	if err != nil {
		return err
	}
	f.StoreAddress = address
	f.Network.Register(address, StoreName)
	f.closers = append(f.closers, stop)
	f.operator = &storer.Client{Addresses: []string{address}, Logger: f.Shape.Logger}
	f.closers = append(f.closers, func() { f.operator.Close() })
	return nil
}

func (f *Fleet) startGroups() error {
	f.Groups = make(map[string]*groupemulator.Group)
	for i := range f.Shape.Services {
		service := ServiceName(i + 1)
		group := &groupemulator.Group{
			Service: service, User: endpointUser, Password: endpointPassword,
			Logger: f.Shape.Logger, OnStatement: f.Shape.OnStatement,
		}
		for j := range databasesPerService {
			group.Members = append(group.Members, groupemulator.Member{
				Name:       fmt.Sprintf("%s-%d", service, j+1),
				DataCentre: dataCentreName((i+j)%f.Shape.DataCentres + 1),
				Address:    "127.0.0.1:0", Slots: f.Shape.Slots, Connections: f.Shape.Connections,
				StatementCost: f.Shape.StatementCost, ReceiveDelay: f.Shape.ReceiveDelay, ApplyLag: f.Shape.ApplyLag,
			})
		}
		if err := group.Start(); err != nil {
			return err
		}
		f.closers = append(f.closers, group.Stop)
		for name, address := range group.Addresses() {
			f.Network.Register(address, name)
		}
		f.Groups[service] = group
	}
	return nil
}

// BuildSet returns the configuration of the fleet.
func (f *Fleet) BuildSet() (configurer.Set, error) {
	set := configurer.Set{
		Customers: map[string]configurer.Customer{}, Keys: map[string]configurer.Key{}, Limits: map[string]configurer.Limit{},
		Services: map[string]configurer.Service{}, Databases: map[string]configurer.Database{},
		Routes: map[string]configurer.Route{}, DataCentres: map[string]configurer.DataCentre{}, Hosts: map[string]configurer.Host{},
	}
	for i := range f.Shape.DataCentres {
		name := dataCentreName(i + 1)
		set.DataCentres[name] = configurer.DataCentre{Name: name, Region: "r1"}
	}
	var customers []string
	for i := range f.Shape.Customers {
		name := CustomerName(i + 1)
		customers = append(customers, name)
		set.Limits[name] = configurer.Limit{Name: name, Rate: f.Shape.Rate, Burst: f.Shape.Burst, MaxQueued: 1000, MaxConnections: 10000}
		set.Customers[name] = configurer.Customer{Name: name, Limit: name, Weight: 1}
		key := KeyName(name)
		verifier := acceptor.MakeVerifier(KeySecret(name), []byte("salt-of-"+name), verifierIterations)
		set.Keys[key] = configurer.Key{Name: key, Customer: name, Verifier: verifier}
	}
	for i := range f.Shape.Services {
		f.addService(&set, i+1, customers)
	}
	if faults := configurer.Check(set); len(faults) > 0 {
		return set, &configurer.InvalidError{Faults: faults}
	}
	return set, nil
}

func (f *Fleet) addService(set *configurer.Set, i int, customers []string) {
	service := ServiceName(i)
	set.Services[service] = configurer.Service{
		Name: service, EndpointUser: endpointUser, EndpointDatabase: "ledger", Acknowledge: configurer.AcknowledgeMajority,
		ReplicaWait: 10 * time.Millisecond, Deadline: 5 * time.Second, DrainTimeout: 5 * time.Second,
	}
	set.Routes[RouteName(i)] = configurer.Route{Name: RouteName(i), Service: service, Customers: slices.Clone(customers)}
	group := f.Groups[service]
	for _, m := range group.Members {
		set.Databases[m.Name] = configurer.Database{
			Name: m.Name, Service: service, DataCentre: m.DataCentre, Address: group.Address(m.Name),
			Slots: m.Slots, Connections: m.Connections,
		}
	}
}

// Publisher returns an operator's publisher, whose link to the store is never
// cut.
func (f *Fleet) Publisher() *configurer.Publisher {
	return &configurer.Publisher{Store: f.operator, Logger: f.Shape.Logger}
}

func (f *Fleet) startHosts(ctx context.Context) error {
	for i := range f.Shape.Hosts {
		f.Hosts = append(f.Hosts, &FleetHost{Name: hostName(i + 1), DataCentre: dataCentreName(i%f.Shape.DataCentres + 1)})
	}
	for _, h := range f.Hosts {
		if err := f.StartHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// StartHost starts a host, or starts it again at its former addresses.
func (f *Fleet) StartHost(ctx context.Context, h *FleetHost) error {
	f.Network.Revive(h.Name)
	callers, err := f.Network.Listen(ctx, h.Name, h.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := f.Network.Listen(ctx, h.Name, h.PeerAddress)
	if err != nil {
		callers.Close()
		return err
	}
	if h.CallerAddress == "" {
		// Addresses are read without a lock once a host has started.
		h.CallerAddress, h.PeerAddress = callers.Addr().String(), peers.Addr().String()
	}
	dial := f.Network.Dialer(h.Name)
	store := &storer.Client{Addresses: []string{f.StoreAddress}, Dial: dial, Logger: f.Shape.Logger}
	s := &server.Server{
		Settings: f.settings(h), Store: store, CallerListener: callers, PeerListener: peers,
		DialPeer: dial, DialEndpoint: dial, Logger: f.Shape.Logger.With("host", h.Name),
	}
	if err := s.Prepare(ctx); err != nil {
		return err
	}
	hostCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	h.mu.Lock()
	h.server, h.stop, h.done = s, stop, done
	h.mu.Unlock()
	go func() {
		defer close(done)
		defer store.Close()
		if err := s.Run(hostCtx); err != nil {
			f.Shape.Logger.Error("host ended", "host", h.Name, "error", err)
		}
	}()
	return nil
}

func (f *Fleet) settings(h *FleetHost) server.Settings {
	settings := server.Settings{
		Host: h.Name, DataCentre: h.DataCentre, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		StoreAddresses: []string{f.StoreAddress}, EndpointPassword: endpointPassword, AdminPassword: endpointPassword,
		MaxMessageBytes: server.DefaultMaxMessageBytes, RateWait: server.DefaultRateWait,
		StopTimeout: server.DefaultStopTimeout, StoreTimeout: server.DefaultStoreTimeout,
	}
	for _, other := range f.Hosts {
		if other != h && other.PeerAddress != "" {
			settings.Seeds = append(settings.Seeds, other.PeerAddress)
		}
	}
	return settings
}

// Server returns the running server of a host, or nil.
func (h *FleetHost) Server() *server.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server
}

// Running reports whether the host was started and not stopped.
func (h *FleetHost) Running() bool { return h.Server() != nil }

func (h *FleetHost) take() (*server.Server, context.CancelFunc, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, stop, done := h.server, h.stop, h.done
	h.server = nil
	return s, stop, done
}

// KillHost ends a host as the failure of its machine does.
func (f *Fleet) KillHost(h *FleetHost) {
	s, stop, done := h.take()
	if s == nil {
		return
	}
	// The connections end first: a host that sees its listeners fail tells its
	// callers, which a machine that has failed cannot.
	f.Network.Kill(h.Name)
	closeAll(s.CallerListener, s.PeerListener)
	stop()
	<-done
}

func closeAll(listeners ...net.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// StopHost ends a host by a planned stop.
func (f *Fleet) StopHost(ctx context.Context, h *FleetHost) {
	s, stop, done := h.take()
	if s == nil {
		return
	}
	s.Stop(ctx)
	stop()
	<-done
}

// Host returns the host of a name, or nil.
func (f *Fleet) Host(name string) *FleetHost {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// CutFromStore cuts a host off from the store, or heals it.
func (f *Fleet) CutFromStore(h *FleetHost, cut bool) { f.Network.SetCut(h.Name, StoreName, cut) }

// CutFromPeers cuts a host off from all other hosts, or heals it.
func (f *Fleet) CutFromPeers(h *FleetHost, cut bool) {
	for _, other := range f.Hosts {
		if other != h {
			f.Network.SetCut(h.Name, other.Name, cut)
		}
	}
}

// HolderOf returns the host that serves a service now, or nil.
func (f *Fleet) HolderOf(service string) *FleetHost {
	for _, h := range f.Hosts {
		s := h.Server()
		if s == nil {
			continue
		}
		for _, status := range s.Status().Services {
			if status.Name == service && status.Held {
				return h
			}
		}
	}
	return nil
}

// AwaitServing waits until every service is held and every host serves.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		missing := f.notServing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("fleet does not serve: %s", missing)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Fleet) notServing() string {
	for _, h := range f.Hosts {
		s := h.Server()
		if s == nil {
			continue
		}
		if status := s.Status(); status.State == "starting" || len(status.Hosts) < f.running() {
			return "host " + h.Name
		}
	}
	for service := range f.Groups {
		if f.HolderOf(service) == nil {
			return "service " + service
		}
	}
	return ""
}

func (f *Fleet) running() int {
	n := 0
	for _, h := range f.Hosts {
		if h.Running() {
			n++
		}
	}
	return n
}

// Stop ends everything.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		f.KillHost(h)
	}
	for _, closer := range slices.Backward(f.closers) {
		closer()
	}
}
