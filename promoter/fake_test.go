package promoter

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/timekeeper"
)

var errFakeDown = errors.New("fake database down")

// A fakeEntry is a log entry. Its id is 0 if a promotion wrote it.
type fakeEntry struct {
	term uint64
	id   int
}

// A fakeDatabase is a member of a fakeGroup.
type fakeDatabase struct {
	name     string
	term     uint64
	promoted uint64
	primary  string
	log      []fakeEntry
	down     bool
	// replicationStopped disables replication from and to the database.
	replicationStopped bool
	// dropResponses is the number of administration calls whose response will be
	// lost after they took effect.
	dropResponses int
}

func (d *fakeDatabase) status() Status {
	s := Status{Name: d.name, Term: d.term, Role: RoleReplica, Primary: d.primary, Received: uint64(len(d.log)), Applied: uint64(len(d.log))}
	if d.promoted == d.term && d.term > 0 {
		s.Role = RolePrimary
		s.Primary = d.name
	}
	if len(d.log) > 0 {
		s.LogTerm = d.log[len(d.log)-1].term
	}
	return s
}

// A fakeGroup is a group of in-memory databases that runs in virtual time.
type fakeGroup struct {
	mu        sync.Mutex
	databases map[string]*fakeDatabase
	writes    int
	// blockedHosts contains the hosts that cannot reach any database.
	blockedHosts map[string]bool
}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{databases: map[string]*fakeDatabase{}, blockedHosts: map[string]bool{}}
	for _, name := range []string{"db1", "db2", "db3"} {
		g.databases[name] = &fakeDatabase{name: name}
	}
	return g
}

func fakeMembers() []Member {
	return []Member{{Name: "db1", DataCentre: "a"}, {Name: "db2", DataCentre: "b"}, {Name: "db3", DataCentre: "c"}}
}

// replicate copies the missing log entries of each primary to its followers.
func (g *fakeGroup) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		p := g.databases[d.primary]
		if p == nil || p == d || d.replicationStopped || p.replicationStopped || d.down || p.down || p.term != d.term || p.promoted != p.term {
			continue
		}
		d.log = append(d.log[:min(len(d.log), len(p.log))], p.log[min(len(d.log), len(p.log)):]...)
	}
}

// run replicates every millisecond until ctx ends.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.replicate()
		timekeeper.Sleep(ctx, time.Millisecond)
	}
}

// write appends an entry to the log of a database as a client would, and returns its
// offset, or 0 if the database is not the primary of the term.
func (g *fakeGroup) write(name string, term uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.databases[name]
	if d.down || d.term != term || d.promoted != term {
		return 0
	}
	g.writes++
	d.log = append(d.log, fakeEntry{term: term, id: g.writes})
	return uint64(len(d.log))
}

func (g *fakeGroup) update(name string, change func(*fakeDatabase)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.databases[name])
}

// dial returns the Dial function for a host.
func (g *fakeGroup) dial(host string) func(context.Context, Member) (Admin, error) {
	return func(ctx context.Context, m Member) (Admin, error) {
		a := &fakeAdmin{group: g, host: host, name: m.Name}
		if _, err := a.call(ctx, func(d *fakeDatabase) error { return nil }); err != nil {
			return nil, err
		}
		return a, nil
	}
}

type fakeAdmin struct {
	group *fakeGroup
	host  string
	name  string
}

func (a *fakeAdmin) Close() error { return nil }

// call runs one administration call. If the database is unreachable, it blocks until
// ctx ends.
func (a *fakeAdmin) call(ctx context.Context, f func(d *fakeDatabase) error) (Status, error) {
	a.group.mu.Lock()
	d := a.group.databases[a.name]
	if d.down || a.group.blockedHosts[a.host] {
		a.group.mu.Unlock()
		<-ctx.Done()
		return Status{}, errors.WithStack(ctx.Err())
	}
	err := f(d)
	status := d.status()
	lost := d.dropResponses > 0 && err == nil
	if lost {
		d.dropResponses--
	}
	a.group.mu.Unlock()
	if lost {
		return Status{}, errors.WithStack(errFakeDown)
	}
	return status, err
}

func (a *fakeAdmin) Status(ctx context.Context, received, applied uint64, wait time.Duration) (Status, error) {
	deadline := time.Now().Add(wait)
	first, err := a.readStatus(ctx)
	for err == nil && first.Received <= received && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		var next Status
		next, err = a.readStatus(ctx)
		if next.Term != first.Term || next.Role != first.Role {
			return next, err
		}
		first = next
	}
	return first, err
}

// readStatus returns the status without decrementing dropResponses.
func (a *fakeAdmin) readStatus(ctx context.Context) (Status, error) {
	a.group.mu.Lock()
	d := a.group.databases[a.name]
	if !d.down && !a.group.blockedHosts[a.host] {
		defer a.group.mu.Unlock()
		return d.status(), nil
	}
	a.group.mu.Unlock()
	<-ctx.Done()
	return Status{}, errors.WithStack(ctx.Err())
}

func (a *fakeAdmin) RaiseTerm(ctx context.Context, term uint64) (Status, error) {
	return a.call(ctx, func(d *fakeDatabase) error {
		if term <= d.term {
			return errors.WithStack(ErrStaleTerm)
		}
		d.term, d.primary = term, ""
		return nil
	})
}

func (a *fakeAdmin) Promote(ctx context.Context, term uint64) (Status, error) {
	return a.call(ctx, func(d *fakeDatabase) error {
		if term != d.term {
			return errors.WithStack(ErrStaleTerm)
		}
		d.promoted, d.primary = term, d.name
		d.log = append(d.log, fakeEntry{term: term})
		return nil
	})
}

func (a *fakeAdmin) Follow(ctx context.Context, term uint64, primary, _ string) (Status, error) {
	return a.call(ctx, func(d *fakeDatabase) error {
		if term != d.term {
			return errors.WithStack(ErrStaleTerm)
		}
		if d.promoted == d.term {
			d.promoted = 0
		}
		p := a.group.databases[primary]
		if p.down || p.replicationStopped || d.replicationStopped {
			return errors.WithStack(errFakeDown)
		}
		d.primary = primary
		d.log = commonPrefix(d.log, p.log)
		return nil
	})
}

func commonPrefix(a, b []fakeEntry) []fakeEntry {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n:n]
}

// awaitNewPrimary waits until the watcher holds the service with a primary other than
// the former one.
func awaitNewPrimary(t *testing.T, w *Watcher, former string, timeout time.Duration) View {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if v := w.View(); v.HasLease(time.Now()) && v.Primary != former {
			return v
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("got no primary other than %s within %v, want one", former, timeout)
	return View{}
}

// awaitLease waits until the watcher holds the service with a primary.
func awaitLease(t *testing.T, w *Watcher, timeout time.Duration) View {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if v := w.View(); v.HasLease(time.Now()) {
			return v
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("service not held with a primary within %v", timeout)
	return View{}
}
