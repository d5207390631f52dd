package configurer_test

import (
	"bytes"
	"reflect"
	"slices"
	"testing"
	"testing/fstest"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
)

// Hosts compare sets by digest, so one set must have one form whatever the
// order in which it was put together.
func TestEncodeIsCanonical(t *testing.T) {
	set := validSet().WithRevision(7)
	data, err := configurer.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := configurer.Decode(data)
	if err != nil || !reflect.DeepEqual(decoded, set) {
		t.Fatalf("got %+v, %v; want %+v", decoded, err, set)
	}
	route := set.Routes["shop"]
	route.Customers = []string{"b", "a"}
	set.Routes["shop"] = route
	one := set.Digest()
	route.Customers = []string{"a", "b"}
	set.Routes["shop"] = route
	if two := set.Digest(); one != two || one == "" {
		t.Errorf("order of customers changes the digest: %s, %s", one, two)
	}
	if set.WithRevision(8).Digest() == one {
		t.Error("the digest does not cover the revision")
	}
	if set.WithLimit(configurer.Limit{Name: "x"}).Digest() == one {
		t.Error("the digest does not cover the objects")
	}
}

// A set that was damaged on its way must not come into force.
func TestDecodeRefuses(t *testing.T) {
	data, err := configurer.Encode(validSet())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name     string
		old, new string
		want     error
	}{
		{"another value", `"weight":1`, `"weight":2`, configurer.ErrDigest},
		{"another revision", `"revision":0`, `"revision":1`, configurer.ErrDigest},
		{"an unknown field", `"weight":1`, `"height":1`, configurer.ErrMalformed},
		{"an unknown kind", `"kind":"host"`, `"kind":"guest"`, configurer.ErrMalformed},
		{"an object twice", `"name":"db2"`, `"name":"db1"`, configurer.ErrMalformed},
		{"an unknown member", `"revision":0`, `"edition":0`, configurer.ErrMalformed},
		{"a cut end", "]}\n", "", configurer.ErrMalformed},
		{"text after the end", "]}\n", "]}x", configurer.ErrMalformed},
	}
	for _, test := range tests {
		damaged := bytes.Replace(data, []byte(test.old), []byte(test.new), 1)
		if _, err := configurer.Decode(damaged); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

// Operators correct a folder by its list of faults, so it must be complete and
// name file, object and field.
func TestReadFolderFaults(t *testing.T) {
	folder := fstest.MapFS{
		"a.json":        {Data: []byte(`{"kind": "customer", "name": "acme", "limit": "small", "Weight": 2}`)},
		"b/keys.json":   {Data: []byte(`[{"kind": "key", "name": "k", "customer": "acme", "verifier": 5}, {"kind": "limit", "name": "small", "rate": "x", "burst": 1.5}]`)},
		"c.json":        {Data: []byte("[\n{]")},
		"d.json":        {Data: []byte(`[{"kind": "guest", "name": "g"}, {"name": "n"}, {"kind": "host", "name": "h", "name": "i"}, 5]`)},
		"e.json":        {Data: []byte(`{"kind": "service", "name": "s", "deadline": 5, "endpoint_user": "p", "endpoint_database": "p"}`)},
		"f.json":        {Data: []byte(`{"kind": "customer", "name": "acme", "limit": null}`)},
		".hidden.json":  {Data: []byte(`{`)},
		"notes.txt":     {Data: []byte(`not JSON`)},
		".git/x/y.json": {Data: []byte(`{`)},
	}
	_, faults := configurer.ReadFolder(folder)
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	want := []string{
		`a.json: customer acme: Weight: unknown field`,
		`b/keys.json: key k: verifier: got a number, want a string`,
		`b/keys.json: limit small: rate: got a string, want a number`,
		`b/keys.json: limit small: burst: got a number 1.5, want a whole number`,
		`c.json: line 2: invalid character ']' looking for beginning of object key string`,
		`d.json: kind: unknown kind "guest"`,
		`d.json: kind: missing`,
		`d.json: field "name" given twice`,
		`d.json: not an object`,
		`e.json: service s: deadline: want a duration such as "500ms"`,
		`f.json: customer acme: limit: null is not a value`,
		`f.json: customer acme: already given in a.json`,
		`e.json: service s: has 0 databases, want an odd number`,
		`b/keys.json: limit small: rate: 0 is not a number above 0`,
		`b/keys.json: limit small: burst: 0 is less than 1`,
		`f.json: customer acme: limit: missing`,
		`b/keys.json: key k: verifier: want SCRAM-SHA-256$iterations:salt$stored_key:server_key`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got faults\n%q\nwant\n%q", got, want)
	}
}

// A field that a file leaves out must have the documented default.
func TestReadFolderDefaults(t *testing.T) {
	set, _ := configurer.ReadFolder(fstest.MapFS{"all.json": {Data: []byte(`[
		{"kind": "customer", "name": "acme", "limit": "small"},
		{"kind": "limit", "name": "small", "rate": 2.5, "burst": 5},
		{"kind": "service", "name": "orders", "endpoint_user": "proxy", "endpoint_database": "orders"}]`)}})
	want := validSet()
	if got := set.Customers["acme"]; got != want.Customers["acme"] {
		t.Errorf("got customer %+v, want %+v", got, want.Customers["acme"])
	}
	if got := set.Limits["small"]; got != want.Limits["small"] {
		t.Errorf("got limit %+v, want %+v", got, want.Limits["small"])
	}
	if got := set.Services["orders"]; got != want.Services["orders"] {
		t.Errorf("got service %+v, want %+v", got, want.Services["orders"])
	}
}

// Data from the store or a peer must neither crash a host nor be read as a set
// with another digest than the one they carry.
func FuzzDecode(f *testing.F) {
	for _, set := range []configurer.Set{{}, validSet(), validSet().WithRevision(3)} {
		data, err := configurer.Encode(set)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`[{"kind": "service", "name": "s", "deadline": "5s"}, {"kind": "route", "customers": ["a"]}]`))
	delta, err := configurer.NewDelta(configurer.Set{}, validSet())
	if err != nil {
		f.Fatal(err)
	}
	data, err := delta.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		configurer.ReadFolder(fstest.MapFS{"a.json": {Data: data}})
		if delta, err := configurer.DecodeDelta(data); err == nil {
			if set, err := delta.Apply(configurer.Set{}); err == nil && set.Digest() != delta.ToDigest {
				t.Errorf("delta to %s gives %s", delta.ToDigest, set.Digest())
			}
		}
		set, err := configurer.Decode(data)
		if err != nil {
			return
		}
		encoded, err := configurer.Encode(set)
		if err != nil {
			t.Fatalf("decoded set has no encoding: %v", err)
		}
		again, err := configurer.Decode(encoded)
		if err != nil || again.Digest() != set.Digest() || !bytes.Contains(data, []byte(set.Digest())) {
			t.Errorf("got %+v, %v; want %+v", again, err, set)
		}
	})
}
