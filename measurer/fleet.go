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
	// StoreName is the name of the store as a node of the network.
	StoreName = "store"
	// databasesPerService is the number of databases of each service.
	databasesPerService = 3
	// verifierIterations is the SCRAM iteration count of the keys' verifiers.
	verifierIterations = 4096
	endpointUser       = "proxy"
	endpointPassword   = "endpoint-password"
	// startTimeout bounds the start of a fleet.
	startTimeout = 20 * time.Second
)

// A FleetSpec sets the size and the behaviour of a fleet.
type FleetSpec struct {
	// DataCentres, Hosts, Services and Customers are counts. Hosts, and the
	// databases of a service, are assigned to the data centres round robin.
	DataCentres int
	Hosts       int
	Services    int
	Customers   int
	// Slots and Connections are the limits of each database.
	Slots       int
	Connections int
	// Rate and Burst are the limits of each customer.
	Rate  float64
	Burst int
	// ApplyLag is the time after which replicas apply a received entry, and
	// ReceiveDelay that until they receive it. StatementCost is the time for
	// which a statement occupies a slot, or groupemulator.NoDelay for no time.
	ApplyLag      time.Duration
	ReceiveDelay  time.Duration
	StatementCost time.Duration
	// Logger receives the log lines of hosts and emulators.
	Logger *slog.Logger
	// OnStatement is called for each statement that a database runs. It may be
	// nil.
	OnStatement func(groupemulator.StatementRun)
}

// DefaultSpec returns a fleet of the size of the first deployment: three data
// centres, nine hosts and three services.
func DefaultSpec() FleetSpec {
	return FleetSpec{
		DataCentres: 3, Hosts: 9, Services: 3, Customers: 8, Slots: 5, Connections: 30,
		Rate: 1e6, Burst: 1e6, ApplyLag: 5 * time.Millisecond, ReceiveDelay: time.Millisecond,
		StatementCost: time.Millisecond, Logger: slog.New(slog.DiscardHandler),
	}
}

// A FleetHost is one host of a fleet.
type FleetHost struct {
	Name       string
	DataCentre string
	// ClientAddress and PeerAddress stay the same when the host restarts.
	ClientAddress string
	PeerAddress   string

	mu     sync.Mutex
	server *server.Server
	stop   context.CancelFunc
	done   chan struct{}
}

// A Fleet is a set of hosts with emulated databases and an emulated store. All of
// them run in this process and communicate over loopback.
type Fleet struct {
	Spec    FleetSpec
	Network *Network
	Store   *storeemulator.Emulator
	// StoreAddress is the address at which the store listens.
	StoreAddress string
	// Groups maps services to their groups of databases.
	Groups map[string]*groupemulator.Group
	Hosts  []*FleetHost

	operatorStore *storer.Client
	closers       []func()
}

// dataCentreName returns the name of a data centre of a fleet, counted from 1.
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

// Start starts the emulators, publishes a configuration, starts the hosts, and
// waits until every host serves.
func (f *Fleet) Start(ctx context.Context) error {
	f.Network = NewNetwork()
	if err := f.startStore(); err != nil {
		return err
	}
	if err := f.startGroups(); err != nil {
		return err
	}
	config, err := f.BuildConfig()
	if err != nil {
		return err
	}
	if _, err := f.Publisher().Publish(ctx, config, 0); err != nil {
		return err
	}
	if err := f.startHosts(ctx); err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

func (f *Fleet) startStore() error {
	f.Store = &storeemulator.Emulator{Logger: f.Spec.Logger}
	address, stop, err := f.Store.Start()
	if err != nil {
		return err
	}
	f.StoreAddress = address
	f.Network.Register(address, StoreName)
	f.closers = append(f.closers, stop)
	f.operatorStore = &storer.Client{Addresses: []string{address}, Logger: f.Spec.Logger}
	f.closers = append(f.closers, func() { f.operatorStore.Close() })
	return nil
}

func (f *Fleet) startGroups() error {
	f.Groups = make(map[string]*groupemulator.Group)
	for i := range f.Spec.Services {
		service := ServiceName(i + 1)
		group := &groupemulator.Group{
			Service: service, User: endpointUser, Password: endpointPassword,
			Logger: f.Spec.Logger, OnStatement: f.Spec.OnStatement,
		}
		for j := range databasesPerService {
			group.Members = append(group.Members, groupemulator.Member{
				Name:       fmt.Sprintf("%s-%d", service, j+1),
				DataCentre: dataCentreName((i+j)%f.Spec.DataCentres + 1),
				Address:    "127.0.0.1:0", Slots: f.Spec.Slots, Connections: f.Spec.Connections,
				StatementCost: f.Spec.StatementCost, ReceiveDelay: f.Spec.ReceiveDelay, ApplyLag: f.Spec.ApplyLag,
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

// BuildConfig returns the configuration of the fleet.
func (f *Fleet) BuildConfig() (configurer.Config, error) {
	config := configurer.Config{
		Customers: map[string]configurer.Customer{}, Keys: map[string]configurer.Key{}, Limits: map[string]configurer.Limit{},
		Services: map[string]configurer.Service{}, Databases: map[string]configurer.Database{},
		Routes: map[string]configurer.Route{}, DataCentres: map[string]configurer.DataCentre{}, Hosts: map[string]configurer.Host{},
	}
	for i := range f.Spec.DataCentres {
		name := dataCentreName(i + 1)
		config.DataCentres[name] = configurer.DataCentre{Name: name, Region: "r1"}
	}
	var customers []string
	for i := range f.Spec.Customers {
		name := CustomerName(i + 1)
		customers = append(customers, name)
		config.Limits[name] = configurer.Limit{Name: name, Rate: f.Spec.Rate, Burst: f.Spec.Burst, MaxQueued: 1000, MaxConnections: 10000}
		config.Customers[name] = configurer.Customer{Name: name, Limit: name, Weight: 1}
		key := KeyName(name)
		verifier := acceptor.MakeVerifier(KeySecret(name), []byte("salt-of-"+name), verifierIterations)
		config.Keys[key] = configurer.Key{Name: key, Customer: name, Verifier: verifier}
	}
	for i := range f.Spec.Services {
		f.addService(&config, i+1, customers)
	}
	if violations := configurer.Check(config); len(violations) > 0 {
		return config, &configurer.ValidationError{Violations: violations}
	}
	return config, nil
}

func (f *Fleet) addService(config *configurer.Config, i int, customers []string) {
	service := ServiceName(i)
	config.Services[service] = configurer.Service{
		Name: service, EndpointUser: endpointUser, EndpointDatabase: "ledger", Acknowledge: configurer.AcknowledgeMajority,
		ReplicaWait: 10 * time.Millisecond, Deadline: 5 * time.Second, DrainTimeout: 5 * time.Second,
	}
	config.Routes[RouteName(i)] = configurer.Route{Name: RouteName(i), Service: service, Customers: slices.Clone(customers)}
	group := f.Groups[service]
	for _, m := range group.Members {
		config.Databases[m.Name] = configurer.Database{
			Name: m.Name, Service: service, DataCentre: m.DataCentre, Address: group.Address(m.Name),
			Slots: m.Slots, Connections: m.Connections,
		}
	}
}

// Publisher returns the publisher of an operator. Its link to the store is never
// partitioned.
func (f *Fleet) Publisher() *configurer.Publisher {
	return &configurer.Publisher{Store: f.operatorStore, Logger: f.Spec.Logger}
}

func (f *Fleet) startHosts(ctx context.Context) error {
	for i := range f.Spec.Hosts {
		f.Hosts = append(f.Hosts, &FleetHost{Name: hostName(i + 1), DataCentre: dataCentreName(i%f.Spec.DataCentres + 1)})
	}
	for _, h := range f.Hosts {
		if err := f.StartHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// StartHost starts a host. A host that was started before gets the same
// addresses again.
func (f *Fleet) StartHost(ctx context.Context, h *FleetHost) error {
	f.Network.Restore(h.Name)
	clients, err := f.Network.Listen(ctx, h.Name, h.ClientAddress)
	if err != nil {
		return err
	}
	peers, err := f.Network.Listen(ctx, h.Name, h.PeerAddress)
	if err != nil {
		clients.Close()
		return err
	}
	if h.ClientAddress == "" {
		// The addresses are written on the first start only, because they are
		// read without a lock afterwards.
		h.ClientAddress, h.PeerAddress = clients.Addr().String(), peers.Addr().String()
	}
	dial := f.Network.Dialer(h.Name)
	store := &storer.Client{Addresses: []string{f.StoreAddress}, Dial: dial, Logger: f.Spec.Logger}
	s := &server.Server{
		Settings: f.settings(h), Store: store, ClientListener: clients, PeerListener: peers,
		DialPeer: dial, DialEndpoint: dial, Logger: f.Spec.Logger.With("host", h.Name),
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
			f.Spec.Logger.Error("host_run_failed", "host", h.Name, "error", err)
		}
	}()
	return nil
}

func (f *Fleet) settings(h *FleetHost) server.Settings {
	settings := server.Settings{
		Host: h.Name, DataCentre: h.DataCentre, ClientAddress: h.ClientAddress, PeerAddress: h.PeerAddress,
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

// Server returns the server of a running host, or nil.
func (h *FleetHost) Server() *server.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server
}

// Running reports whether the host was started and has not been stopped since.
func (h *FleetHost) Running() bool { return h.Server() != nil }

// detach marks the host as not running and returns what is needed to end it. The
// server is nil if the host was not running.
func (h *FleetHost) detach() (*server.Server, context.CancelFunc, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, stop, done := h.server, h.stop, h.done
	h.server = nil
	return s, stop, done
}

// KillHost ends a host without notifying clients and peers, as the failure of its
// machine does.
func (f *Fleet) KillHost(h *FleetHost) {
	s, stop, done := h.detach()
	if s == nil {
		return
	}
	// The connections are closed first. A host whose listeners fail notifies its
	// clients, which a failed machine cannot do.
	f.Network.Kill(h.Name)
	closeListeners(s.ClientListener, s.PeerListener)
	stop()
	<-done
}

func closeListeners(listeners ...net.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

// StopHost stops a host gracefully.
func (f *Fleet) StopHost(ctx context.Context, h *FleetHost) {
	s, stop, done := h.detach()
	if s == nil {
		return
	}
	s.Stop(ctx)
	stop()
	<-done
}

// Host returns the host with the given name, or nil.
func (f *Fleet) Host(name string) *FleetHost {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// PartitionFromStore partitions a host from the store, or heals the partition.
func (f *Fleet) PartitionFromStore(h *FleetHost, partitioned bool) {
	f.Network.SetPartitioned(h.Name, StoreName, partitioned)
}

// PartitionFromPeers partitions a host from all other hosts, or heals the
// partitions.
func (f *Fleet) PartitionFromPeers(h *FleetHost, partitioned bool) {
	for _, other := range f.Hosts {
		if other != h {
			f.Network.SetPartitioned(h.Name, other.Name, partitioned)
		}
	}
}

// HolderOf returns the current holder of a service, or nil.
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

// AwaitServing waits until every running host serves and has all running hosts
// in its view, and every service has a holder.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		missing := f.firstNotServing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("fleet is not serving: %s is not ready", missing)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// firstNotServing returns a running host that does not serve or a service without
// a holder, or an empty string.
func (f *Fleet) firstNotServing() string {
	for _, h := range f.Hosts {
		s := h.Server()
		if s == nil {
			continue
		}
		if status := s.Status(); status.State == "starting" || len(status.Hosts) < f.countRunning() {
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

func (f *Fleet) countRunning() int {
	n := 0
	for _, h := range f.Hosts {
		if h.Running() {
			n++
		}
	}
	return n
}

// Stop kills all hosts and stops the emulators.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		f.KillHost(h)
	}
	for _, closer := range slices.Backward(f.closers) {
		closer()
	}
}
