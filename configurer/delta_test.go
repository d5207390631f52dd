package configurer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/endiveturn/endiveturn/configurer"
)

// drawSet draws a set of few names, so that two sets often share objects. It
// need not pass Check.
func drawSet(t *rapid.T, label string) configurer.Set {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	set := configurer.Set{Revision: rapid.Uint64().Draw(t, label)}
	for range rapid.IntRange(0, 8).Draw(t, "objects") {
		n, other, number, flag := name.Draw(t, "name"), name.Draw(t, "other"), rapid.IntRange(0, 2).Draw(t, "number"), rapid.Bool().Draw(t, "flag")
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			set.Customers = with(set.Customers, n, configurer.Customer{Name: n, Limit: other, Weight: number})
		case 1:
			set.Routes = with(set.Routes, n, configurer.Route{Name: n, Service: other, Customers: rapid.SliceOfN(name, 0, 3).Draw(t, "customers")})
		case 2:
			set.Services = with(set.Services, n, configurer.Service{Name: n, Deadline: time.Duration(number) * time.Millisecond})
		case 3:
			set = set.WithKey(configurer.Key{Name: n, Customer: other, Verifier: verifier(other), Withdrawn: flag})
		case 4:
			set = set.WithLimit(configurer.Limit{Name: n, Rate: rapid.Float64().Draw(t, "rate"), Burst: number})
		case 5:
			set = set.WithDatabase(configurer.Database{Name: n, Service: other, Slots: number, TakenOut: flag})
		case 6:
			set = set.WithDataCentre(configurer.DataCentre{Name: n, Region: other, TakenOut: flag})
		default:
			set = set.WithHost(configurer.Host{Name: n, TakenOut: flag})
		}
	}
	return set
}

func with[V any](m map[string]V, name string, v V) map[string]V {
	if m == nil {
		m = make(map[string]V)
	}
	m[name] = v
	return m
}

// A host that applies deltas must end up with the very set that was published,
// and the set it had must stay as it was for those who still use it.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSet(t, "from"), drawSet(t, "to")
		before := from.Digest()
		delta, err := configurer.NewDelta(from, to)
		if err != nil {
			t.Fatal(err)
		}
		data, err := delta.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := configurer.DecodeDelta(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decoded.Apply(from)
		if err != nil || got.Digest() != to.Digest() || got.Revision != to.Revision {
			t.Errorf("got %+v, %v; want %+v", got, err, to)
		}
		if differences := configurer.Diff(got, to); len(differences) != 0 {
			t.Errorf("the result differs from the set: %v", differences)
		}
		if same := to.WithRevision(from.Revision).Digest() == before; same != (len(configurer.Diff(from, to)) == 0) {
			t.Errorf("Diff gives %v although equal digests are %v", configurer.Diff(from, to), same)
		}
		if from.Digest() != before {
			t.Error("Apply changed the set it started from")
		}
	})
}

// A delta that is applied to the wrong set, or damaged, must not give a set.
func TestDeltaRefuses(t *testing.T) {
	from := validSet().WithRevision(1)
	to := from.WithRevision(2).WithHost(configurer.Host{Name: "h1", TakenOut: true})
	delta, err := configurer.NewDelta(from, to)
	if err != nil {
		t.Fatal(err)
	}
	for _, set := range []configurer.Set{to, from.WithHost(configurer.Host{Name: "h2"}), {}} {
		if _, err := delta.Apply(set); !errors.Is(err, configurer.ErrDigest) {
			t.Errorf("applied to revision %d: got %v, want ErrDigest", set.Revision, err)
		}
	}
	data, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	damages := []struct {
		old, new string
		want     error
	}{
		{`"taken_out":true`, `"taken_out":false`, configurer.ErrDigest},
		{`"kind":"host"`, `"kind":"guest"`, configurer.ErrMalformed},
	}
	for _, damage := range damages {
		damaged, err := configurer.DecodeDelta([]byte(strings.Replace(string(data), damage.old, damage.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := damaged.Apply(from); !errors.Is(err, damage.want) {
			t.Errorf("%s: got %v, want %v", damage.new, err, damage.want)
		}
	}
}

// Verifiers must not reach the terminal or the log of an operator.
func TestDiffHidesVerifiers(t *testing.T) {
	from := validSet()
	to := validSet().
		WithKey(configurer.Key{Name: "k1", Customer: "acme", Verifier: verifier("b"), Withdrawn: true}).
		WithKey(configurer.Key{Name: "k2", Customer: "acme", Verifier: verifier("c")})
	delete(to.DataCentres, "dc2")
	var got []string
	for _, change := range configurer.Diff(from, to) {
		got = append(got, change.String())
	}
	want := []string{
		"removed data_centre dc2",
		"changed key k1: verifier changed, withdrawn false -> true",
		"added key k2",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if text := fmt.Sprint(configurer.Diff(from, to)); strings.Contains(text, "SCRAM") {
		t.Errorf("the diff shows a verifier: %s", text)
	}
}
