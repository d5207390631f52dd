package overseer

import (
	"context"
	"io"
	"log/slog"
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

// A world is the store, the databases of one service and the platform as an
// overseer sees them.
type world struct {
	t  *testing.T
	mu sync.Mutex

	entries  map[string]storer.Entry
	revision int64
	leases   int64
	// storeLost makes calls to the store fail.
	storeLost bool

	// statuses are by database; a missing one is unreachable.
	statuses map[string]executor.DatabaseStatus
	// promoted holds the databases that were promoted, with their tokens.
	promoted []promotion
	// notRunning databases can't be promoted.
	notRunning map[string]bool
	demoted    []string
	revoked    []storer.LeaseID
	members    []Member
	endpoints  []cataloger.Endpoint
	evacuated  map[string]bool

	mirror   *informer.Mirror
	overseer *Overseer
}

type promotion struct {
	id    string
	token int64
	at    time.Time
}

const service = "s"

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, entries: make(map[string]storer.Entry), revision: 10, notRunning: make(map[string]bool),
		evacuated: make(map[string]bool),
		statuses: map[string]executor.DatabaseStatus{
			"p": {Primary: true, Term: 1, Received: executor.Position{Term: 1, Offset: 20}},
			"a": {Term: 1, Received: executor.Position{Term: 1, Offset: 18}},
			"b": {Term: 1, Received: executor.Position{Term: 1, Offset: 20}},
		},
		endpoints: []cataloger.Endpoint{
			{ID: "a", Service: service}, {ID: "b", Service: service}, {ID: "p", Service: service, ClaimsPrimary: true},
		},
	}
	w.mirror = &informer.Mirror{Now: time.Now}
	w.mirror.Replace(nil, w.revision, time.Now())
	w.overseer = &Overseer{
		Host: cataloger.Host{Name: "h1", Incarnation: "i1"}, Mirror: w.mirror, Catalog: w.catalog,
		Space:   storer.Space{Write: w.write, Grant: w.grant, Renew: w.renew, Revoke: w.revoke},
		Members: w.others, Own: w.own, Spread: func() {}, Status: w.status, Demote: w.demote, Promote: w.promote,
		MaxViewAge: time.Second, Enough: func(func(string) bool) bool { return true }, Young: func() bool { return false }, Now: time.Now, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	return w
}

func (w *world) start() {
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Run ends with the context.
		_ = w.overseer.Run(ctx)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
	time.Sleep(2 * judgeInterval)
	synctest.Wait()
}

func (w *world) write(_ context.Context, put storer.Put) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost {
		return 0, storer.ErrUnavailable
	}
	if w.entries[put.Key].ModRevision != put.Expected {
		now := w.entries[put.Key]
		now.Key = put.Key
		return 0, &storer.Conflict{Now: now}
	}
	w.revision++
	w.entries[put.Key] = storer.Entry{Key: put.Key, Value: put.Value, ModRevision: w.revision}
	return w.revision, nil
}

func (w *world) grant(context.Context, time.Duration) (storer.LeaseID, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost {
		return 0, storer.ErrUnavailable
	}
	w.leases++
	return storer.LeaseID(w.leases), nil
}

func (w *world) renew(context.Context, storer.LeaseID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost {
		return storer.ErrUnavailable
	}
	return nil
}

func (w *world) revoke(_ context.Context, lease storer.LeaseID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revoked = append(w.revoked, lease)
	return nil
}

func (w *world) catalog() *cataloger.Catalog {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &cataloger.Catalog{
		Configuration: &cataloger.Configuration{Services: map[string]cataloger.Service{service: {Name: service}}},
		Endpoints:     map[string][]cataloger.Endpoint{service: append([]cataloger.Endpoint(nil), w.endpoints...)},
		Leads:         make(map[string]cataloger.Lead), Evacuated: make(map[string]bool),
	}
	for dataCentre := range w.evacuated {
		c.Evacuated[dataCentre] = true
	}
	records, _ := w.mirror.Records()
	for _, r := range records {
		if lead, ok, err := LeadOf(r.Key, r.Value, r.Revision); ok && err == nil {
			c.Leads[lead.Service] = lead
		}
	}
	return c
}

func (w *world) lead() cataloger.Lead { return w.catalog().Leads[service] }

func (w *world) others() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Member(nil), w.members...)
}

// own is a host that follows the lead at once.
func (w *world) own() Member {
	return Member{
		Name: "h1", Released: map[string]int64{service: w.lead().Revision},
		Ended: func(time.Time) bool { return false },
	}
}

func (w *world) status(ctx context.Context, e cataloger.Endpoint) (executor.DatabaseStatus, error) {
	w.mu.Lock()
	status, ok := w.statuses[e.ID]
	w.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return status, ctx.Err()
	}
	return status, nil
}

func (w *world) demote(_ context.Context, e cataloger.Endpoint, _ uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.demoted = append(w.demoted, e.ID)
	return nil
}

func (w *world) promote(_ context.Context, _, id string, token int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.notRunning[id] {
		return ErrNotRunning
	}
	w.promoted = append(w.promoted, promotion{id: id, token: token, at: time.Now()})
	status := w.statuses[id]
	status.Primary, status.Term = true, 2
	w.statuses[id] = status
	return nil
}

func (w *world) promotions() []promotion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]promotion(nil), w.promoted...)
}

func (w *world) change(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// opinion lets a host report on the primary.
func opinion(o Opinion, released func() int64) Member {
	return Member{
		Name: "h2", Released: map[string]int64{service: released()}, Ended: func(time.Time) bool { return false },
		Opinions: map[string]HostOpinion{service: {ID: "p", Opinion: o}},
	}
}

var deadOpinion = Opinion{SinceSuccess: time.Second, SinceFailure: time.Second}

// TestFirstLeadIsRecorded guards against a primary that nobody has recorded, so
// that its restart without its data goes unnoticed.
func TestFirstLeadIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		if got := w.lead(); got.ID != "p" || got.Moving {
			t.Errorf("got lead %+v, want p", got)
		}
		if got := len(w.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestFailover guards against a primary that fails and is not replaced, and
// against a promotion of a database that has received less than another.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		began := time.Now()
		w.change(func() {
			delete(w.statuses, "p")
			w.members = []Member{opinion(deadOpinion, func() int64 { return 1 << 40 })}
		})
		time.Sleep(time.Second)
		synctest.Wait()
		got := w.promotions()
		if len(got) != 1 || got[0].id != "b" {
			t.Fatalf("got promotions %+v, want one of b", got)
		}
		if took := got[0].at.Sub(began); took > 600*time.Millisecond {
			t.Errorf("promoted after %v, want at most 600ms", took)
		}
		if lead := w.lead(); lead.ID != "b" || lead.Moving || lead.Term != 2 {
			t.Errorf("got lead %+v, want b in term 2", lead)
		}
		time.Sleep(5 * time.Second)
		if got := len(w.promotions()); got != 1 {
			t.Errorf("got %d promotions after a while, want 1", got)
		}
	})
}

// TestFenceWaitsForSilentHost guards against a promotion while a host that is
// cut off may still use the former primary.
func TestFenceWaitsForSilentHost(t *testing.T) {
	tests := []struct {
		name  string
		ended bool
		// least and most bound the time to the promotion.
		least, most time.Duration
	}{
		{name: "silent", least: time.Second, most: 2000 * time.Millisecond},
		{name: "process has ended", ended: true, most: 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.start()
				began := time.Now()
				w.change(func() {
					delete(w.statuses, "p")
					silent := opinion(deadOpinion, func() int64 { return 0 })
					silent.Ended = func(time.Time) bool { return test.ended }
					w.members = []Member{silent}
				})
				time.Sleep(4 * time.Second)
				synctest.Wait()
				got := w.promotions()
				if len(got) != 1 {
					t.Fatalf("got %d promotions, want 1", len(got))
				}
				if took := got[0].at.Sub(began); took < test.least || took > test.most {
					t.Errorf("promoted after %v, want between %v and %v", took, test.least, test.most)
				}
			})
		})
	}
}

// TestProbeSavesPrimary guards against replacing a primary that hosts report
// as failing though it answers.
func TestProbeSavesPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		w.change(func() { w.members = []Member{opinion(deadOpinion, func() int64 { return 1 << 40 })} })
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		if got := len(w.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestBusyPrimaryStays guards against replacing a primary that is too busy to
// answer a probe, as all are after the hosts have restarted at once.
func TestBusyPrimaryStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.overseer.Status = func(ctx context.Context, e cataloger.Endpoint) (executor.DatabaseStatus, error) {
			if e.ID == "p" {
				return executor.DatabaseStatus{}, errors.Wrap(connector.ErrFull, "status")
			}
			return w.status(ctx, e)
		}
		w.start()
		w.change(func() { w.members = []Member{opinion(deadOpinion, func() int64 { return 1 << 40 })} })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := len(w.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestCutMustPersist guards against replacing a primary on the word of hosts
// that were cut off themselves and have just returned.
func TestCutMustPersist(t *testing.T) {
	tests := []struct {
		name string
		// reported is how long the hosts report that they can't reach it.
		reported time.Duration
		want     int
	}{
		{name: "hosts return", reported: 300 * time.Millisecond},
		{name: "primary is cut off", reported: 3 * time.Second, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.start()
				cut := opinion(Opinion{SinceSuccess: 6 * time.Second, SinceFailure: 5 * time.Second}, func() int64 { return 1 << 40 })
				fine := opinion(Opinion{SinceSuccess: 10 * time.Millisecond}, func() int64 { return 1 << 40 })
				w.change(func() { w.members = []Member{cut, fine} })
				time.Sleep(test.reported)
				w.change(func() { w.members = []Member{fine, fine} })
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if got := len(w.promotions()); got != test.want {
					t.Errorf("got %d promotions, want %d", got, test.want)
				}
			})
		})
	}
}

// TestPlannedChange guards against commits that are lost when a working
// primary leaves: the new one has received everything first.
func TestPlannedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		w.change(func() {
			w.endpoints[2].Draining = true
			w.statuses["b"] = executor.DatabaseStatus{Term: 1, Received: executor.Position{Term: 1, Offset: 15}}
		})
		time.Sleep(300 * time.Millisecond)
		if got := len(w.promotions()); got != 0 {
			t.Errorf("promoted before any database had everything")
		}
		w.change(func() {
			w.statuses["a"] = executor.DatabaseStatus{Term: 1, Received: executor.Position{Term: 1, Offset: 20}}
		})
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		got := w.promotions()
		if len(got) != 1 || got[0].id != "a" {
			t.Fatalf("got promotions %+v, want one of a", got)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.demoted) != 1 || w.demoted[0] != "p" {
			t.Errorf("demoted %v, want p", w.demoted)
		}
	})
}

// TestNoPromotionWithoutStore guards against two holders of the duty: a change
// begins with a write to the store.
func TestNoPromotionWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		w.change(func() {
			w.storeLost = true
			delete(w.statuses, "p")
			w.members = []Member{opinion(deadOpinion, func() int64 { return 1 << 40 })}
		})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := len(w.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
		w.change(func() { w.storeLost = false })
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := len(w.promotions()); got != 1 {
			t.Errorf("got %d promotions after the store's return, want 1", got)
		}
	})
}

// TestInterruptedChangeIsResumed guards against a service without a primary
// after the host that replaced it has died.
func TestInterruptedChangeIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		lead := cataloger.Lead{Service: service, ID: "p", Moving: true}
		revision, err := w.write(t.Context(), storer.Put{Key: leadsPrefix + service, Value: encodeLead(lead)})
		if err != nil {
			t.Fatal(err)
		}
		w.mirror.Wrote(informer.Record{Key: leadsPrefix + service, Value: encodeLead(lead), Revision: revision})
		w.start()
		time.Sleep(time.Second)
		synctest.Wait()
		if got := w.lead(); got.Moving || got.ID == "p" {
			t.Errorf("got lead %+v, want another database in force", got)
		}
	})
}

// TestChangeThatIsOverIsNotResumed guards against a second promotion by a host
// whose copy of the store still says that the primary is being replaced: the
// primary that it would not know of goes on being used by others.
func TestChangeThatIsOverIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		moving := cataloger.Lead{Service: service, ID: "p", Moving: true}
		done := cataloger.Lead{Service: service, ID: "a", Term: 2}
		key := leadsPrefix + service
		first, err := w.write(t.Context(), storer.Put{Key: key, Value: encodeLead(moving)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.write(t.Context(), storer.Put{Key: key, Value: encodeLead(done), Expected: first}); err != nil {
			t.Fatal(err)
		}
		w.mirror.Wrote(informer.Record{Key: key, Value: encodeLead(moving), Revision: first})
		w.start()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := w.promotions(); len(got) != 0 {
			t.Errorf("got promotions %v, want none", got)
		}
		if got := w.lead(); got.ID != "a" || got.Moving {
			t.Errorf("got lead %+v, want the one that the store holds", got)
		}
	})
}

// TestFormerPrimaryIsRestored guards against a service without a primary when the
// databases that could take over are gone by the time no host uses the former one,
// which answers again.
func TestFormerPrimaryIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		primary := w.statuses["p"]
		w.change(func() {
			delete(w.statuses, "p")
			w.members = []Member{opinion(deadOpinion, func() int64 { return 0 })}
		})
		time.Sleep(800 * time.Millisecond)
		synctest.Wait()
		if !w.lead().Moving {
			t.Fatal("the change has not begun")
		}
		w.change(func() {
			w.statuses = map[string]executor.DatabaseStatus{"p": primary}
			w.members = nil
		})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if got := w.lead(); got.Moving || got.ID != "p" {
			t.Errorf("got lead %+v, want p in force again", got)
		}
		if got := len(w.promotions()); got != 0 {
			t.Errorf("got %d promotions, want 0", got)
		}
	})
}

// TestContenderThatEnded guards against a change that insists on a database
// which has ended meanwhile.
func TestContenderThatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		w.change(func() {
			delete(w.statuses, "p")
			w.notRunning["b"] = true
			w.members = []Member{opinion(deadOpinion, func() int64 { return 1 << 40 })}
		})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := w.lead(); got.ID != "a" || got.Moving {
			t.Errorf("got lead %+v, want a", got)
		}
	})
}

// TestRecords guards against records of other versions that stop a host.
func TestRecords(t *testing.T) {
	lead := cataloger.Lead{Service: service, ID: "p", Born: 7, Term: 3, Moving: true, Grace: time.Second, Revision: 4}
	got, ok, err := LeadOf(leadsPrefix+service, encodeLead(lead), 4)
	if !ok || err != nil || got != lead {
		t.Errorf("got %+v, %v, %v, want %+v", got, ok, err, lead)
	}
	for _, key := range []string{leadsPrefix + "x", hostsPrefix + "x"} {
		_, isLead, leadErr := LeadOf(key, []byte("{"), 1)
		_, isHost, hostErr := HostOf(key, []byte("{"))
		if (isLead && leadErr == nil) || (isHost && hostErr == nil) || isLead == isHost {
			t.Errorf("%s: got %v, %v, want an error of one kind of record", key, leadErr, hostErr)
		}
	}
	if errors.Is(ErrNotRunning, errNoContender) {
		t.Error("sentinels are the same")
	}
}
