package hoster

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/overseer"
)

// TestPacerBoundsRegistrations guards against a start of 300 hosts in which each host builds
// a catalog for the registration of each other one, and against small fleets that build
// theirs later than before.
func TestPacerBoundsRegistrations(t *testing.T) {
	const registrations, spacing = 300, 6 * time.Millisecond
	tests := []struct {
		name       string
		largeFleet bool
		max        int
	}{
		{name: "large fleet", largeFleet: true, max: 1 + int(registrations*spacing/registrationInterval)},
		{name: "small fleet", max: registrations},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p catalogPacer
			now := time.Unix(100, 0)
			builds := 0
			for range registrations {
				if p.dueAt.IsZero() || now.Before(p.dueAt) {
					if p.postpone(now, test.largeFleet) {
						builds++
						p.built(now, time.Time{})
					}
				} else {
					builds++
					p.built(now, time.Time{})
				}
				now = now.Add(spacing)
			}
			if builds > test.max {
				t.Errorf("got %d catalogs, want at most %d", builds, test.max)
			}
			if !test.largeFleet && builds != registrations {
				t.Errorf("got %d catalogs, want %d", builds, registrations)
			}
			if p.wait(now) > registrationInterval && !p.dueAt.IsZero() {
				t.Errorf("last registration waits %v, want at most %v", p.wait(now), registrationInterval)
			}
		})
	}
}

// TestUrgentChanges guards against a change of primary, a withdrawn key or a database that
// leaves, and against a host that does not notice its own registration, because they wait
// for registrations of other hosts.
func TestUrgentChanges(t *testing.T) {
	h := newTestHost(3)
	for key, want := range map[string]bool{
		overseer.Prefix + "leads/service": false, overseer.VotersKey: false, "op/config": false, "servers/1": false,
		overseer.Prefix + "hosts/h0": false, overseer.Prefix + "hosts/h1": true,
	} {
		if got := h.deferrable(key); got != want {
			t.Errorf("%s: got deferrable %v, want %v", key, got, want)
		}
	}
}

// TestPendingExpiryKept guards against a database whose registration expired and that stays in
// use because later registrations of hosts put off the catalog without it.
func TestPendingExpiryKept(t *testing.T) {
	var p catalogPacer
	now := time.Unix(100, 0)
	p.built(now, now.Add(100*time.Millisecond))
	p.postpone(now.Add(10*time.Millisecond), true)
	if got, want := p.wait(now), 100*time.Millisecond; got != want {
		t.Errorf("got a wait of %v, want %v", got, want)
	}
}

// TestBuilderDecodesRecordsOnce guards against catalogs of a large fleet that decode the
// records of all hosts after each change.
func TestBuilderDecodesRecordsOnce(t *testing.T) {
	b := &catalogBuilder{decoder: testDecoder, now: time.Now, onReject: func(key string, _ int64, err error) { t.Errorf("%s: %v", key, err) }}
	records := hostRecords(300)
	first, _ := b.build(records, 300)
	for i := range records {
		// The value of a known revision must not be read again.
		records[i].Value = nil
	}
	second, _ := b.build(records, 301)
	if got, want := len(second.Hosts), len(first.Hosts); got != want {
		t.Errorf("got %d hosts, want %d", got, want)
	}
	b.build(records[:1], 302)
	if got := len(b.hosts); got != 1 {
		t.Errorf("got %d decoded records after the other hosts left, want 1", got)
	}
}

// hostRecords returns the records of hosts that have registered.
func hostRecords(hosts int) []informer.Record {
	var records []informer.Record
	for i := range hosts {
		value := fmt.Sprintf(`{"incarnation":"xb69rfqfe-%d","address":"10.1.0.24:8345","data_centre":"dk-east-a","capacity":%d}`, i, 1920)
		records = append(records, informer.Record{Key: fmt.Sprintf("%shosts/frontend-%03d", overseer.Prefix, i), Value: []byte(value), Revision: int64(i + 1)})
	}
	return records
}

// BenchmarkCatalog measures the processor time of one catalog after the change of one host's
// record.
func BenchmarkCatalog(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			now := time.Now()
			m := &informer.Mirror{Now: func() time.Time { return now }}
			records := hostRecords(hosts)
			m.Merge(records, int64(hosts), now)
			builder := &catalogBuilder{decoder: testDecoder, now: time.Now, onReject: func(string, int64, error) {}}
			recent := make(recentHosts)
			revision := int64(hosts)
			began := processorTime()
			for b.Loop() {
				revision++
				changed := records[int(revision)%hosts]
				changed.Revision = revision
				m.Merge([]informer.Record{changed}, revision, now)
				list, _ := m.Records()
				catalog, _ := builder.build(list, revision)
				recent.update(catalog, now)
			}
			b.ReportMetric(float64((processorTime()-began).Nanoseconds())/float64(b.N), "processor-ns/op")
		})
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // RUSAGE_SELF is valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestConfigurationIsDecodedOnce guards against hosts that parse a large configuration with
// each catalog because it is malformed or another one has a higher version.
func TestConfigurationIsDecodedOnce(t *testing.T) {
	decoded := 0
	decoder := testDecoder
	decoder.Configuration = func(key string, value []byte) (cataloger.Configuration, bool, error) {
		if key == "config" {
			decoded++
		}
		return testDecoder.Configuration(key, value)
	}
	b := &catalogBuilder{decoder: decoder, now: time.Now, onReject: func(string, int64, error) {}}
	for revision, value := range []string{"12", "1", ""} {
		for range 3 {
			b.build([]informer.Record{record("config", value, int64(revision+1))}, int64(revision+1))
		}
	}
	if decoded != 3 {
		t.Errorf("decoded the configuration %d times, want once for each of 3 revisions", decoded)
	}
}
