// Package groupemulator is a stand-in for a group of databases, one primary
// with asynchronous replicas, that speaks the PostgreSQL protocol with the
// term extension of the endpoint protocol. It runs in the process of a test or
// a measurement and has faults that can be switched on and off.
package groupemulator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultConnectCost is what opening a database connection takes in the
	// deployments.
	defaultConnectCost = 10 * time.Millisecond
	// defaultReceiveDelay is a network hop between data centres with its
	// answer.
	defaultReceiveDelay = time.Millisecond
	// defaultLockTimeout ends waits for the row lock of a transaction that
	// its client left open.
	defaultLockTimeout = 5 * time.Second
	// None as a cost or delay stands for no cost, since zero asks for the
	// default.
	None = time.Duration(-1)
)

// Sentinel errors of a Group.
var (
	// ErrUnknownDatabase says that the group has no database of the name.
	ErrUnknownDatabase = errors.New("unknown database")
	// ErrRunning says that a group or database is started already.
	ErrRunning = errors.New("already running")
)

// A Member describes a database of a group.
type Member struct {
	// Name is unique in the group.
	Name string
	// DataCentre is where the database stands.
	DataCentre string
	// Address is the IP address and port to listen on; port 0 chooses one.
	Address string
	// Slots is the number of statements that may run at once, at least 1.
	Slots int
	// Connections is the number of connections of the endpoint user that may
	// be open at once, at least 1.
	Connections int
	// ConnectCost is the time that opening a connection takes; 0 means 10 ms.
	ConnectCost time.Duration
	// StatementCost is the time for which each statement occupies its slot.
	// Costs below 1 ms come out as about 1 ms while the process is idle, since
	// its timers are no finer.
	StatementCost time.Duration
	// ReceiveDelay is the time until the database, as a replica, holds an
	// entry that the primary has committed; 0 means 1 ms.
	ReceiveDelay time.Duration
	// ApplyLag is the time from receiving an entry until reads see it.
	ApplyLag time.Duration
}

// A Group is a group of databases. Its exported fields are set before Start.
// After Start the first member is the primary of term 1 and the others follow
// it.
type Group struct {
	// Service is the name of the group, for log lines.
	Service string
	// Members are the databases; at least one.
	Members []Member
	// User is the endpoint user; empty admits every name.
	User string
	// Password is the password of the endpoint user; empty asks for none.
	Password string
	// AdminPassword is the password of group_admin; empty means Password.
	AdminPassword string
	// LockTimeout bounds the wait for a row lock; 0 means 5 s.
	LockTimeout time.Duration
	// Now returns the time with a monotonic reading; nil means time.Now. It
	// has to run at the speed of real time, since delays are real.
	Now func() time.Time
	// Logger receives a line per event; nil discards them.
	Logger *slog.Logger
	// OnStatement, if not nil, is called with each statement before it runs,
	// from many goroutines.
	OnStatement func(StatementRun)

	databases []*database
	started   time.Time
	stop      chan struct{}
	stopping  sync.Once
	running   sync.WaitGroup

	mu sync.Mutex
	// promotions are in the order in which they took place.
	promotions []Promotion
}

// Start starts the databases. Errors are ErrRunning and those of listening.
func (g *Group) Start() error {
	if g.stop != nil {
		return errors.Wrapf(ErrRunning, "group %s", g.Service)
	}
	if len(g.Members) == 0 {
		return errors.New("group without members")
	}
	g.fillDefaults()
	g.stop, g.started = make(chan struct{}), g.Now()
	for _, m := range g.Members {
		g.databases = append(g.databases, newDatabase(g, m))
	}
	for _, d := range g.databases {
		d.seed(g.databases[0])
	}
	g.record(Promotion{Term: 1, Database: g.databases[0].member.Name, At: g.Now()})
	for _, d := range g.databases {
		if err := d.listen(); err != nil {
			g.Stop()
			return err
		}
		g.running.Go(d.replicate)
	}
	return nil
}

func (g *Group) fillDefaults() {
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

// Stop kills all databases and waits for their goroutines. The bookkeeping
// remains readable.
func (g *Group) Stop() {
	g.stopping.Do(func() { close(g.stop) })
	for _, d := range g.databases {
		d.kill()
	}
	g.running.Wait()
}

// Run starts the databases and blocks until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	if err := g.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	g.Stop()
	return nil
}

// Address returns the address of a database, empty if it is unknown. It stays
// the same over Kill and Restart.
func (g *Group) Address(name string) string {
	if d := g.find(name); d != nil {
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

// Primary returns the name of the database that was promoted last.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.promotions) == 0 {
		return ""
	}
	return g.promotions[len(g.promotions)-1].Database
}

func (g *Group) find(name string) *database {
	for _, d := range g.databases {
		if d.member.Name == name {
			return d
		}
	}
	return nil
}

func (g *Group) record(p Promotion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotions = append(g.promotions, p)
}

// wakePeers makes all databases look for new entries.
func (g *Group) wakePeers() {
	for _, d := range g.databases {
		d.wakeUp()
	}
}
