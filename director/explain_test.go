package director

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/balancer"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/executor"
)

// dump writes everything that can be reached from a value, unexported fields included.
// Functions, channels and what loggers and clocks refer to are left out.
func dump(b *strings.Builder, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] || v.Type().String() == "*slog.Logger" {
			return
		}
		seen[v.Pointer()] = true
		dump(b, v.Elem(), seen)
	case reflect.Interface:
		if !v.IsNil() {
			dump(b, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(b, "\n%s:", v.Type().Field(i).Name)
			dump(b, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(b, v.Index(i), seen)
		}
	case reflect.Map:
		lines := make(map[string]reflect.Value, v.Len())
		for _, key := range v.MapKeys() {
			lines[fmt.Sprint(key)] = v.MapIndex(key)
		}
		for _, key := range sortedKeys(lines) {
			fmt.Fprintf(b, "\n%s=", key)
			dump(b, lines[key], seen)
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		fmt.Fprintf(b, "%v ", v)
	}
}

func dumpOf(values ...any) string {
	var b strings.Builder
	for _, value := range values {
		dump(&b, reflect.ValueOf(value), make(map[uintptr]bool))
	}
	return b.String()
}

// randomize brings a fixture into a random state in which a request is served or refused at
// once.
func (f *fixture) randomize(r *rand.Rand) (description string) {
	chance := func(name string, probability float64, apply func()) {
		if r.Float64() < probability {
			description += name + ", "
			apply()
		}
	}
	s, now := f.director.service("s"), f.director.Now()
	for _, id := range []string{"p", "r"} {
		db := f.database(id)
		chance(id+" avoided", 0.2, func() { db.avoidUntil = now.Add(time.Minute) })
		chance(id+" busy", 0.2, func() { db.busyUntil = now.Add(time.Minute) })
		chance(id+" lagging", 0.2, func() { db.laggingUntil = now.Add(time.Minute) })
		chance(id+" slow", 0.3, func() { db.meanLatency, db.meanLatencyAt = 80*time.Millisecond, now })
		chance(id+" loaded", 0.3, func() { db.inFlight += 1 + r.IntN(8) })
		chance(id+" half-open", 0.2, func() { f.halfOpen(id) })
	}
	chance("draining", 0.1, func() {
		f.updateCatalog(func(c *cataloger.Catalog) {
			endpoints := append([]cataloger.Endpoint(nil), c.Endpoints["s"]...)
			endpoints[1].Draining = true
			c.Endpoints = map[string][]cataloger.Endpoint{"s": endpoints}
		})
	})
	chance("r evacuated", 0.1, func() {
		f.updateCatalog(func(c *cataloger.Catalog) {
			endpoints := append([]cataloger.Endpoint(nil), c.Endpoints["s"]...)
			endpoints[1].DataCentre = "dc2"
			c.Endpoints, c.Evacuated = map[string][]cataloger.Endpoint{"s": endpoints}, map[string]bool{"dc2": true}
		})
	})
	chance("position known", 0.7, func() {
		s.history.Record(f.now, executor.Position{Term: 1, Offset: 5})
	})
	chance("view outdated", 0.15, func() { f.viewConfirmedAt = f.now.Add(-MaxViewAge) })
	chance("rate used up", 0.1, func() {
		for ok := true; ok; {
			ok, _ = f.director.Limits.Admit("c")
		}
	})
	return description
}

// halfOpen makes the detector eject a database for reads, and lets its pause pass.
func (f *fixture) halfOpen(id string) {
	s, target := f.director.service("s"), balancer.Target{Database: f.database(id).detectorID()}
	other := balancer.Target{Database: "other"}
	then := f.director.Now().Add(-time.Minute)
	for ejected := false; !ejected; {
		s.detector.Record(other, balancer.Outcome{}, 4, then)
		_, ejected = s.detector.Record(target, balancer.Outcome{Failed: true}, 4, then)
	}
}

// mayInstead reports whether the explanation names a database that requests may get instead of
// the chosen one, at random.
func (e Explanation) mayInstead(id string) bool {
	return slices.ContainsFunc(e.Databases, func(db DatabaseExplanation) bool {
		return db.ID == id && slices.Contains(db.Reasons, reasonEqual)
	})
}

// TestExplanationAgrees guards against an explanation that names another decision than a real
// request gets in the same state, and against one that changes anything.
func TestExplanationAgrees(t *testing.T) {
	decisions := make(map[string]int)
	for seed := range uint64(2000) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			consistency := cataloger.Consistency(r.IntN(3))
			f := newFixture(consistency)
			if r.IntN(2) > 0 {
				f.director.Balance = BalanceOn
				f.updateCatalog(func(*cataloger.Catalog) {})
			}
			description := f.randomize(r)
			query := Query{Service: "s", Consistency: consistency, Customer: "c", Writes: r.IntN(3) == 0}
			if r.IntN(10) == 0 {
				query.Token = executor.Position{Term: 1, Offset: 9}
			}
			before := dumpOf(f.director.service("s"), f.director.Limits)
			explained, err := f.director.Explain(query)
			if err != nil {
				t.Fatal(err)
			}
			if after := dumpOf(f.director.service("s"), f.director.Limits); after != before {
				t.Errorf("seed %d: the explanation changed the state of the host", seed)
			}
			session := f.newSession()
			session.floors["s"] = query.Token
			verb := executor.VerbRead
			if query.Writes {
				verb = executor.VerbWrite
			}
			response := runVerb(session, verb, "x")
			got := fmt.Sprintf("%v by %s", response.Code, response.Signature)
			want := fmt.Sprintf("%v by %s", explained.Code, explained.Database)
			if got != want && !explained.mayInstead(response.Signature) {
				t.Errorf("seed %d: %s, %v, writes %v (%s): request got %s %q, explained as %s %s %q", seed, consistency, query.Token, query.Writes, description,
					got, response.Text, explained.Decision, want, explained.Reason)
			}
			decisions[want]++
			// Connections that were returned are closed after their timeout.
			time.Sleep(time.Minute)
		})
	}
	for _, want := range []string{"none by p", "none by r", "busy by ", "too_many by "} {
		if decisions[want] < 20 {
			t.Errorf("got %d explanations %q of %v, want at least 20", decisions[want], want, decisions)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// TestExplanations guards against an explanation that leaves out why a request is refused, waits
// or runs elsewhere.
func TestExplanations(t *testing.T) {
	withoutKey := func(c *cataloger.Catalog) {
		configuration := *c.Configuration
		configuration.Version++
		configuration.Customers = map[string]cataloger.Customer{"c": {Name: "c"}}
		configuration = configuration.WithKeyIndex()
		c.Configuration = &configuration
	}
	changing := func(c *cataloger.Catalog) {
		c.Assignments["s"] = cataloger.PrimaryAssignment{Service: "s", ID: "p", Revision: 4, Changing: true}
	}
	tests := []struct {
		name       string
		prepare    func(t *testing.T, f *fixture)
		want       Decision
		wantCode   executor.Code
		wantReason string
	}{
		{"calm", func(*testing.T, *fixture) {}, DecisionRun, executor.CodeNone, ""},
		{"withdrawn key", func(_ *testing.T, f *fixture) { f.updateCatalog(withoutKey) }, DecisionRefuse, executor.CodeUnauthenticated, "no key in the configuration"},
		{"view not fresh", func(_ *testing.T, f *fixture) { f.viewConfirmedAt = f.now.Add(-MaxViewAge) }, DecisionRefuse, executor.CodeBusy, "view of the primaries is not fresh"},
		{"primary is changing", func(_ *testing.T, f *fixture) { f.updateCatalog(changing) }, DecisionWait, executor.CodeNone, "no primary in force: waits for one up to 320ms"},
		{"no slot", func(t *testing.T, f *fixture) { t.Cleanup(f.holdSlots(t)) }, DecisionWait, executor.CodeNone, "all slots of this host"},
		{"long queue", func(t *testing.T, f *fixture) {
			t.Cleanup(f.holdSlots(t))
			for range 300 {
				go runVerb(f.newSession(), executor.VerbWrite, "x")
			}
			synctest.Wait()
		}, DecisionRefuse, executor.CodeBusy, "not admitted: "},
		{"no permit", func(t *testing.T, f *fixture) {
			f.director.Balance = BalanceOff
			f.updateCatalog(func(*cataloger.Catalog) {})
			db := f.database("p")
			for range db.permits {
				if err := db.semaphore.acquire(t.Context(), rank{}, f.director.Now()); err != nil {
					t.Fatal(err)
				}
			}
		}, DecisionWait, executor.CodeNone, "all permits"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBalancedFixture(cataloger.Primary)
				test.prepare(t, f)
				before := dumpOf(f.director.service("s"), f.director.Limits)
				got, err := f.director.Explain(Query{Service: "s", Consistency: cataloger.Primary, Customer: "c", Writes: true})
				if err != nil {
					t.Fatal(err)
				}
				if got.Decision != test.want || got.Code != test.wantCode || !strings.Contains(got.Reason, test.wantReason) {
					t.Errorf("got %s, %v, %q, want %s, %v, %q", got.Decision, got.Code, got.Reason, test.want, test.wantCode, test.wantReason)
				}
				if after := dumpOf(f.director.service("s"), f.director.Limits); after != before {
					t.Error("the explanation changed the state of the host")
				}
				if test.want == DecisionRefuse {
					if response := runVerb(f.newSession(), executor.VerbWrite, "x"); response.Code != test.wantCode {
						t.Errorf("a request got %v, want %v", response.Code, test.wantCode)
					}
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestExplainPoolHosts guards against an explanation that names a database although a pool host
// chooses it, and against one that tries a suspected pool host.
func TestExplainPoolHosts(t *testing.T) {
	f := newPoolFixture(t, cataloger.Primary)
	query := Query{Database: "db", Customer: "c"}
	explain := func(d *Director) Explanation {
		t.Helper()
		before := dumpOf(d.service("s"), d.Limits, d.Forwarder.Detector)
		e, err := d.Explain(query)
		if err != nil {
			t.Fatal(err)
		}
		if after := dumpOf(d.service("s"), d.Limits, d.Forwarder.Detector); after != before {
			t.Error("the explanation changed the state of the host")
		}
		return e
	}
	if got := explain(f.entry.director); got.Decision != DecisionForward || got.PoolHosts[0] != "pool" || got.Database != "" {
		t.Errorf("entry host: got %s to %v, database %q, want it to forward to the pool host", got.Decision, got.PoolHosts, got.Database)
	}
	if got := explain(f.pool.director); got.Decision != DecisionRun || got.LocalReason != localAsPoolHost || got.Database != "p" {
		t.Errorf("pool host: got %s, %s, database %q, want it to run the request on p", got.Decision, got.LocalReason, got.Database)
	}
	for _, target := range f.entry.director.service("s").poolHosts {
		f.entry.director.Forwarder.Detector.Suspect(target.Name, target.Incarnation)
	}
	time.Sleep(time.Second) // longer than the pause before a suspected host is tried again
	if got := explain(f.entry.director); got.Decision != DecisionRun || got.LocalReason != localNoPoolHost {
		t.Errorf("pool hosts suspected: got %s, %s, want the entry host to run the request", got.Decision, got.LocalReason)
	}
}

// TestExplainRoute guards against an explanation of another route than the one that was meant.
func TestExplainRoute(t *testing.T) {
	f := newFixture(cataloger.Primary)
	tests := []struct {
		name  string
		query Query
		want  error
	}{
		{"database", Query{Database: "db", Customer: "c"}, nil},
		{"service", Query{Service: "s", Customer: "c"}, nil},
		{"unknown database", Query{Database: "other", Customer: "c"}, ErrNoSuchRoute},
		{"other consistency", Query{Service: "s", Consistency: cataloger.ReadYourWrites, Customer: "c"}, ErrNoSuchRoute},
	}
	for _, test := range tests {
		if _, err := f.director.Explain(test.query); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}
