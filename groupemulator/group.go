// Package groupemulator emulates a group of databases: one primary with
// asynchronous replicas that implement the PostgreSQL protocol with the term
// extension of the endpoint protocol. It runs inside a test or benchmark process
// and can inject faults at run time.
package groupemulator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultConnectCost is the time to open a database connection in the
	// deployments.
	defaultConnectCost = 10 * time.Millisecond
	// defaultReceiveDelay is a network round trip between data centres.
	defaultReceiveDelay = time.Millisecond
	// defaultLockTimeout bounds the wait for a row lock, in case a client left
	// the transaction that holds the lock open.
	defaultLockTimeout = 5 * time.Second
	// NoDelay is the value of a cost or delay that stands for none at all,
	// because zero selects the default.
	NoDelay = time.Duration(-1)
)

// Sentinel errors of a Group.
var (
	// ErrUnknownDatabase reports that the group has no database with the name.
	ErrUnknownDatabase = errors.New("unknown database")
	// ErrRunning reports that a group or database has already been started.
	ErrRunning = errors.New("already running")
)

// A Member describes a database of a group.
type Member struct {
	// Name is unique in the group.
	Name string
	// DataCentre is the data centre of the database.
	DataCentre string
	// Address is the IP address and port to listen on; port 0 selects a free
	// port.
	Address string
	// Slots is the number of statements that may run concurrently, at least 1.
	Slots int
	// Connections is the maximum number of open connections of the endpoint
	// user, at least 1.
	Connections int
	// ConnectCost is the time that opening a connection takes; 0 means 10 ms.
	ConnectCost time.Duration
	// StatementCost is the time for which each statement occupies its slot.
	// Costs below 1 ms take about 1 ms while the process is idle, because its
	// timers have no finer resolution.
	StatementCost time.Duration
	// ReceiveDelay is the time from the commit of an entry on the primary until
	// the database, as a replica, receives it; 0 means 1 ms.
	ReceiveDelay time.Duration
	// ApplyLag is the time from receiving an entry until it is visible to reads.
	ApplyLag time.Duration
}

// A Group is a group of databases. Its exported fields must be set before Start.
// After Start the first member is the primary of term 1 and the other members
// follow it.
type Group struct {
	// Service is the name of the group, used in log lines.
	Service string
	// Members are the databases; there must be at least one.
	Members []Member
	// User is the name of the endpoint user; empty accepts any name.
	User string
	// Password is the password of the endpoint user; empty disables
	// authentication.
	Password string
	// AdminPassword is the password of group_admin; empty means Password.
	AdminPassword string
	// LockTimeout bounds the wait for a row lock; 0 means 5 s.
	LockTimeout time.Duration
	// Now returns the current time with a monotonic reading; nil means time.Now.
	// It must advance at the rate of real time, because delays are real.
	Now func() time.Time
	// Logger receives log events; nil discards them.
	Logger *slog.Logger
	// OnStatement, if not nil, is called with each statement before it runs. It
	// may be called concurrently.
	OnStatement func(StatementRun)

	databases []*database
	started   time.Time
	stop      chan struct{}
	stopOnce  sync.Once
	running   sync.WaitGroup

	mu sync.Mutex
	// promotions are in chronological order.
	promotions []Promotion
}

// Start starts the databases. It returns ErrRunning if the group has already
// been started, or the error of a listener.
func (g *Group) Start() error {
	if g.stop != nil {
		return errors.Wrapf(ErrRunning, "group %s", g.Service)
	}
	if len(g.Members) == 0 {
		return errors.New("group has no members")
	}
	g.setDefaults()
	g.stop, g.started = make(chan struct{}), g.Now()
	for _, m := range g.Members {
		g.databases = append(g.databases, newDatabase(g, m))
	}
	for _, d := range g.databases {
		d.seed(g.databases[0])
	}
	g.recordPromotion(Promotion{Term: 1, Database: g.databases[0].member.Name, At: g.Now()})
	for _, d := range g.databases {
		if err := d.listen(); err != nil {
			g.Stop()
			return err
		}
		g.running.Go(d.replicate)
	}
	return nil
}

func (g *Group) setDefaults() {
	if g.Now == nil {
		g.Now = time.Now
	}
	if g.Logger == nil {
		g.Logger = slog.New(slog.DiscardHandler)
	}
	if g.LockTimeout == 0 {
		g.LockTimeout = defaultLockTimeout
	}
	if g.AdminPassword == "" {
		g.AdminPassword = g.Password
	}
}

// Stop kills all databases and waits for their goroutines. The recorded writes,
// promotions and counters remain readable.
func (g *Group) Stop() {
	g.stopOnce.Do(func() { close(g.stop) })
	for _, d := range g.databases {
		d.kill()
	}
	g.running.Wait()
}

// Run starts the databases and blocks until ctx is done.
func (g *Group) Run(ctx context.Context) error {
	if err := g.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	g.Stop()
	return nil
}

// Address returns the address of a database, or an empty string if the name is
// unknown. It stays the same across Kill and Restart.
func (g *Group) Address(name string) string {
	if d := g.findDatabase(name); d != nil {
		return d.currentAddress()
	}
	return ""
}

// Addresses returns the addresses of all databases by name.
func (g *Group) Addresses() map[string]string {
	addresses := make(map[string]string, len(g.databases))
	for _, d := range g.databases {
		addresses[d.member.Name] = d.currentAddress()
	}
	return addresses
}

// Primary returns the name of the most recently promoted database.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.promotions) == 0 {
		return ""
	}
	return g.promotions[len(g.promotions)-1].Database
}

func (g *Group) findDatabase(name string) *database {
	for _, d := range g.databases {
		if d.member.Name == name {
			return d
		}
	}
	return nil
}

func (g *Group) recordPromotion(p Promotion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotions = append(g.promotions, p)
}

// wakeDatabases makes the replication loops of all databases check for new
// entries.
func (g *Group) wakeDatabases() {
	for _, d := range g.databases {
		d.wakeReplication()
	}
}
