package hoster

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
)

// testDecoder decodes records of a simple form: "config" has a version equal to its
// length, "db/ID" has a state, "out/DC" evacuates a data centre.
var testDecoder = Decoder{
	Configuration: func(key string, value []byte) (cataloger.Configuration, bool, error) {
		if key != "config" {
			return cataloger.Configuration{}, false, nil
		}
		if len(value) == 0 {
			return cataloger.Configuration{}, true, errors.New("empty")
		}
		return cataloger.Configuration{Version: uint64(len(value))}, true, nil
	},
	Endpoint: func(key string, value []byte) (cataloger.Endpoint, bool, error) {
		id, ok := strings.CutPrefix(key, "db/")
		if !ok {
			return cataloger.Endpoint{}, false, nil
		}
		if len(value) == 0 {
			return cataloger.Endpoint{}, true, errors.New("empty")
		}
		return cataloger.Endpoint{ID: id, Service: "s", Draining: string(value) == "draining"}, true, nil
	},
	EvacuatedDataCentre: func(key string) (string, bool) { return strings.CutPrefix(key, "out/") },
}

func record(key, value string, revision int64) informer.Record {
	return informer.Record{Key: key, Value: []byte(value), Revision: revision}
}

// TestMissingEndpointsAreRetained guards against databases that are no longer used
// when their registrations expire during an outage of the store, and against
// databases that are still used after they have left.
func TestMissingEndpointsAreRetained(t *testing.T) {
	now := time.Unix(100, 0)
	b := &catalogBuilder{decoder: testDecoder, now: func() time.Time { return now }, onReject: func(string, int64, error) {}}
	b.build([]informer.Record{record("db/lives", "ready", 1), record("db/leaves", "draining", 2), record("out/dc1", "", 3)}, 3)
	tests := []struct {
		after time.Duration
		want  int
	}{
		{after: 0, want: 1},
		{after: missingEndpointRetention - time.Millisecond, want: 1},
		{after: missingEndpointRetention, want: 0},
	}
	start := now
	for _, test := range tests {
		now = start.Add(test.after)
		catalog, next := b.build(nil, 4)
		if got := len(catalog.Endpoints["s"]); got != test.want {
			t.Errorf("got %d databases after %v, want %d", got, test.after, test.want)
		}
		if (test.want > 0) == next.IsZero() {
			t.Errorf("got next build at %v after %v, want one only while a missing database is retained", next, test.after)
		}
	}
}

// TestMalformedRecords guards against malformed records of other writers that hide
// valid ones, or that are reported repeatedly.
func TestMalformedRecords(t *testing.T) {
	rejected := make(map[string]int)
	b := &catalogBuilder{decoder: testDecoder, now: time.Now, onReject: func(key string, _ int64, _ error) { rejected[key]++ }}
	records := []informer.Record{
		record("config", "12", 1), record("db/bad", "", 2), record("db/good", "ready", 3),
		record("endiveturn/hosts/h", "{", 4), record("endiveturn/leads/s", "{", 5), record("unknown", "x", 6),
	}
	var catalog *cataloger.Catalog
	for range 3 {
		catalog, _ = b.build(records, 6)
	}
	if got := len(catalog.Endpoints["s"]); got != 1 {
		t.Errorf("got %d databases, want 1", got)
	}
	for _, key := range []string{"db/bad", "endiveturn/hosts/h", "endiveturn/leads/s"} {
		if got := rejected[key]; got != 1 {
			t.Errorf("%s was rejected %d times, want once", key, got)
		}
	}
	// A malformed configuration leaves the previous one in use.
	records[0] = record("config", "", 7)
	catalog, _ = b.build(records, 7)
	if catalog.Configuration == nil || catalog.Configuration.Version != 2 {
		t.Errorf("got configuration %+v, want version 2", catalog.Configuration)
	}
	// An older version that another host still holds is ignored.
	records[0] = record("config", "1", 8)
	catalog, _ = b.build(records, 8)
	if got := catalog.Configuration.Version; got != 2 {
		t.Errorf("got version %d, want 2", got)
	}
}

// TestLongErrorsAreShortened guards against log lines of a megabyte about an odd record.
func TestLongErrorsAreShortened(t *testing.T) {
	if got := len(shorten(strings.Repeat("9", 1<<20))); got > maxLoggedError+len("...") {
		t.Errorf("got %d bytes, want at most %d", got, maxLoggedError)
	}
	if got := shorten("short"); got != "short" {
		t.Errorf("got %q, want it unchanged", got)
	}
}

// TestQuotasOfAbsentHostsAreRetained guards against giving the connections of a host
// that is partitioned from the store to other hosts while it still uses them.
func TestQuotasOfAbsentHostsAreRetained(t *testing.T) {
	s := make(recentHosts)
	now := time.Unix(100, 0)
	both := &cataloger.Catalog{Hosts: map[string]cataloger.Host{"b": {Name: "b"}, "a": {Name: "a"}}}
	one := &cataloger.Catalog{Hosts: map[string]cataloger.Host{"a": {Name: "a"}}}
	s.update(both, now)
	if got := s.update(one, now.Add(quotaRetention)); len(got) != 2 || got[0].Name != "a" {
		t.Errorf("got %v, want a and b", got)
	}
	if got := s.update(one, now.Add(quotaRetention+time.Second)); len(got) != 1 {
		t.Errorf("got %v, want a alone", got)
	}
	// A host that has left in order uses none, but a later process of it does.
	present := &cataloger.Catalog{Hosts: map[string]cataloger.Host{"c": {Name: "c", Incarnation: "2"}}}
	for incarnation, want := range map[string]int{"1": 1, "2": 0} {
		s := make(recentHosts)
		s.update(present, now)
		if got := s.update(&cataloger.Catalog{Ended: map[string]string{"c": incarnation}}, now); len(got) != want {
			t.Errorf("got %v after process %s of c has left, want %d hosts", got, incarnation, want)
		}
	}
}

// TestQuotasOfRemovedHostsAreReassigned guards against shares of connections that hosts which
// died keep for half a minute: their successors got too few, and a small fleet became a large one.
func TestQuotasOfRemovedHostsAreReassigned(t *testing.T) {
	now := time.Unix(100, 0)
	hosts := map[string]cataloger.Host{"a": {Name: "a"}, "b": {Name: "b"}}
	former := []cataloger.FormerVoter{{Host: "b", Since: 1, Until: 2}}
	tests := []struct {
		name   string
		voters cataloger.Voters
		want   int
	}{
		{name: "voter", voters: cataloger.Voters{Version: 1, Since: map[string]int64{"a": 1, "b": 1}}, want: 2},
		{name: "not a voter yet", voters: cataloger.Voters{Version: 1, Since: map[string]int64{"a": 1}}, want: 2},
		{name: "removed", voters: cataloger.Voters{Version: 2, Since: map[string]int64{"a": 1}, Former: former}, want: 1},
		{name: "heard again", voters: cataloger.Voters{Version: 3, Since: map[string]int64{"a": 1, "b": 3}, Former: former}, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := make(recentHosts)
			got := s.update(&cataloger.Catalog{Hosts: hosts, Voters: test.voters}, now)
			if len(got) != test.want {
				t.Errorf("got shares for %v, want %d hosts", got, test.want)
			}
			// A primary is replaced only once it is known not to use the former one.
			if len(s) != len(hosts) {
				t.Errorf("got members %v, want %d hosts", s, len(hosts))
			}
		})
	}
}
