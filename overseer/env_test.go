package overseer

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// A testEnv fakes the store, the databases of one service and the platform for an
// overseer.
type testEnv struct {
	t  *testing.T
	mu sync.Mutex

	entries  map[string]storer.Entry
	revision int64
	leases   int64
	// storeUnavailable makes calls to the store fail.
	storeUnavailable bool

	// statuses are by database; a missing one is unreachable.
	statuses map[string]executor.DatabaseStatus
	// hidden holds the databases that run and can't be reached.
	hidden map[string]bool
	// busy holds the databases that run and are too busy to answer.
	busy map[string]bool
	// syncReplicas is that of the service.
	syncReplicas int
	// promoted holds the databases that were promoted, with their fencing tokens.
	promoted []promotion
	// notRunning holds the databases that can't be promoted.
	notRunning map[string]bool
	// promotionDelay is how long a promotion takes, and lostResponse is set if requests for
	// promotions are carried out and have no response.
	promotionDelay time.Duration
	lostResponse   bool
	// inProgress counts the promotions of each database that have not taken effect, and
	// overlapping the requests for another one meanwhile.
	inProgress  map[string]int
	overlapping int
	demoted     []string
	revoked     []storer.LeaseID
	members     []Member
	endpoints   []cataloger.Endpoint
	evacuated   map[string]bool
	hosts       map[string]cataloger.Host
	// silent holds the hosts that do not report any more, and ended the incarnations of those
	// that have left in order.
	silent map[string]bool
	ended  map[string]string

	// era is the era of the store, seenEra that of its last response, and viewCompleteAsOf is when the other hosts last
	// confirmed the view of the overseer's host.
	era, seenEra     int64
	viewCompleteAsOf time.Time

	mirror   *informer.Mirror
	overseer *Overseer
}

type promotion struct {
	id    string
	token int64
	at    time.Time
}

const (
	service            = "s"
	testMajorityExpiry = 10 * time.Second
	testFleetExpiry    = time.Minute
)

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{
		t: t, entries: make(map[string]storer.Entry), revision: 10, notRunning: make(map[string]bool),
		evacuated: make(map[string]bool), hidden: make(map[string]bool), inProgress: make(map[string]int),
		statuses: map[string]executor.DatabaseStatus{
			"p": {Primary: true, Term: 1, Received: executor.Position{Term: 1, Offset: 20}},
			"a": {Term: 1, Received: executor.Position{Term: 1, Offset: 18}},
			"b": {Term: 1, Received: executor.Position{Term: 1, Offset: 20}},
		},
		endpoints: []cataloger.Endpoint{
			{ID: "a", Service: service}, {ID: "b", Service: service}, {ID: "p", Service: service, ClaimsPrimary: true},
		},
	}
	env.mirror = &informer.Mirror{Now: time.Now, WrittenIn: WrittenIn}
	env.listStore()
	env.overseer = env.newOverseer("h1")
	return env
}

func (env *testEnv) newOverseer(name string) *Overseer {
	return &Overseer{
		Host: cataloger.Host{Name: name, Incarnation: "i1", Address: "127.0.0.1:1"}, Mirror: env.mirror, Catalog: env.catalog, RebuildCatalog: func() {},
		Store:   storer.KeyValueStore{Write: env.write, Grant: env.grant, Renew: env.renew, Revoke: env.revoke, Era: env.currentEra},
		Members: env.otherMembers, Self: env.self, HeardAt: env.heardAt, TriggerExchanges: func() {}, Status: env.status, Demote: env.demote, Promote: env.promote,
		ViewCompleteAsOf: func() time.Time { return env.viewCompleteAsOf },
		Uptime:           func() time.Duration { return time.Minute }, MaxViewAge: time.Second, MajorityExpiry: testMajorityExpiry, FleetExpiry: testFleetExpiry, RecentlyStarted: func() bool { return false }, Now: time.Now, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// startOther makes another host the leader, whose process knows only the store.
func (env *testEnv) startOther() {
	env.update(func() { delete(env.entries, leaderKey) })
	env.listStore()
	env.overseer = env.newOverseer("h2")
	env.start()
}

// start runs the overseer until the end of the test, or until cancel is called.
func (env *testEnv) start() (cancel func()) {
	cancel = env.run(env.overseer)
	time.Sleep(2 * evaluateInterval)
	synctest.Wait()
	return cancel
}

// run runs an overseer until the end of the test, or until cancel is called.
func (env *testEnv) run(o *Overseer) (cancel func()) {
	ctx, cancel := context.WithCancel(env.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Run always returns the error of the context.
		_ = o.Run(ctx)
	}()
	env.t.Cleanup(func() {
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
	return cancel
}

// listStore makes the mirror list all keys of the store.
func (env *testEnv) listStore() {
	env.mu.Lock()
	entries := slices.Collect(maps.Values(env.entries))
	revision := storer.JoinRevision(env.era, env.revision)
	env.seenEra = env.era
	env.mu.Unlock()
	env.mirror.Replace(entries, revision, time.Now())
}

// restore brings the store back in the next era from a copy of entries, and lists it.
func (env *testEnv) restore(entries map[string]storer.Entry, revision int64) {
	env.restoreUnseen(entries, revision)
	env.listStore()
}

// restoreUnseen brings the store back in the next era from a copy of entries, which have
// the revisions of the copy, before any response of the store to this host.
func (env *testEnv) restoreUnseen(entries map[string]storer.Entry, revision int64) {
	env.update(func() {
		env.era++
		env.revision = revision
		env.entries = make(map[string]storer.Entry)
		for key, entry := range entries {
			_, written := storer.SplitRevision(entry.ModRevision)
			entry.ModRevision = storer.JoinRevision(env.era, written)
			env.entries[key] = entry
		}
	})
}

func (env *testEnv) currentEra() int64 {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.seenEra
}

func (env *testEnv) write(_ context.Context, put storer.Put) (int64, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.storeUnavailable {
		return 0, storer.ErrUnavailable
	}
	if env.entries[put.Key].ModRevision != put.ExpectedRevision {
		current := env.entries[put.Key]
		current.Key = put.Key
		return 0, &storer.ConflictError{Current: current}
	}
	env.seenEra = env.era
	env.revision++
	revision := storer.JoinRevision(env.era, env.revision)
	env.entries[put.Key] = storer.Entry{Key: put.Key, Value: put.Value, ModRevision: revision}
	return revision, nil
}

func (env *testEnv) grant(context.Context, time.Duration) (storer.LeaseID, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.storeUnavailable {
		return 0, storer.ErrUnavailable
	}
	env.seenEra = env.era
	env.leases++
	return storer.LeaseID(env.leases), nil
}

func (env *testEnv) renew(context.Context, storer.LeaseID) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.storeUnavailable {
		return storer.ErrUnavailable
	}
	env.seenEra = env.era
	return nil
}

func (env *testEnv) revoke(_ context.Context, lease storer.LeaseID) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.revoked = append(env.revoked, lease)
	return nil
}

func (env *testEnv) catalog() *cataloger.Catalog {
	env.mu.Lock()
	defer env.mu.Unlock()
	c := &cataloger.Catalog{
		Revision:      storer.JoinRevision(env.era, env.revision),
		Configuration: &cataloger.Configuration{Services: map[string]cataloger.Service{service: {Name: service, SyncReplicas: env.syncReplicas}}},
		Endpoints:     map[string][]cataloger.Endpoint{service: append([]cataloger.Endpoint(nil), env.endpoints...)},
		Assignments:   make(map[string]cataloger.PrimaryAssignment), Evacuated: make(map[string]bool), Hosts: maps.Clone(env.hosts),
		Ended: maps.Clone(env.ended),
	}
	for dataCentre := range env.evacuated {
		c.Evacuated[dataCentre] = true
	}
	records, _ := env.mirror.Records()
	for _, r := range records {
		if assignment, ok, err := DecodeAssignment(r.Key, r.Value, r.Revision); ok && err == nil {
			c.Assignments[assignment.Service] = assignment
		}
		if voters, ok, err := DecodeVoters(r.Key, r.Value, r.Revision); ok && err == nil {
			c.Voters = voters
		}
	}
	return c
}

func (env *testEnv) assignment() cataloger.PrimaryAssignment {
	return env.catalog().Assignments[service]
}

// heardAt returns the present time for hosts that report, and the zero time for others.
func (env *testEnv) heardAt(host string) time.Time {
	for _, member := range env.otherMembers() {
		if member.Name == host && !env.silent[host] {
			return time.Now()
		}
	}
	return time.Time{}
}

func (env *testEnv) otherMembers() []Member {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]Member(nil), env.members...)
}

// self returns a host that releases the former primary as soon as the assignment
// changes.
func (env *testEnv) self() Member {
	return Member{
		Name: "h1", RecentlyHeard: true, ReleasedRevisions: map[string]int64{service: env.assignment().Revision},
	}
}

func (env *testEnv) status(ctx context.Context, e cataloger.Endpoint) (executor.DatabaseStatus, error) {
	env.mu.Lock()
	status, ok := env.statuses[e.ID]
	ok = ok && !env.hidden[e.ID]
	busy := env.busy[e.ID]
	env.mu.Unlock()
	if busy {
		return executor.DatabaseStatus{}, errors.Wrap(connector.ErrTooManyConnections, "BUSY")
	}
	if !ok {
		<-ctx.Done()
		return status, ctx.Err()
	}
	return status, nil
}

// demote makes a primary of a lower term a replica.
func (env *testEnv) demote(_ context.Context, e cataloger.Endpoint, term uint64) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.demoted = append(env.demoted, e.ID)
	if status, ok := env.statuses[e.ID]; ok && status.Term < term {
		status.Primary, status.Term = false, term
		env.statuses[e.ID] = status
	}
	return nil
}

func (env *testEnv) promote(_ context.Context, p Promotion) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	id, token := p.ID, p.Token
	if env.notRunning[id] {
		return ErrNotRunning
	}
	env.promoted = append(env.promoted, promotion{id: id, token: token, at: time.Now()})
	for other, count := range env.inProgress {
		if other != id && count > 0 {
			env.overlapping++
		}
	}
	env.inProgress[id]++
	if env.promotionDelay == 0 {
		env.takeEffect(id)
	} else {
		time.AfterFunc(env.promotionDelay, func() { env.update(func() { env.takeEffect(id) }) })
	}
	if env.lostResponse {
		return storer.ErrUnavailable
	}
	return nil
}

// takeEffect makes a database the primary of the next term, unless it is the current primary:
// that of the highest term.
func (env *testEnv) takeEffect(id string) {
	env.inProgress[id]--
	highest := uint64(0)
	for _, status := range env.statuses {
		highest = max(highest, status.Term)
	}
	status := env.statuses[id]
	if status.Primary && status.Term == highest {
		return
	}
	status.Primary, status.Term = true, highest+1
	env.statuses[id] = status
}

func (env *testEnv) promotions() []promotion {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]promotion(nil), env.promoted...)
}

func (env *testEnv) update(update func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	update()
}

// memberReporting returns a member that reports the observation of the primary.
func memberReporting(observation Observation, released func() int64) Member {
	return Member{
		Name: "h2", RecentlyHeard: true, ReleasedRevisions: map[string]int64{service: released()},
		Observations: map[string]HostObservation{service: {ID: "p", Observation: observation}},
	}
}

var failedObservation = Observation{SinceSuccess: time.Second, SinceFailure: time.Second}
