package hoster

import (
	"fmt"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// newRestoredHost returns a host of a fleet whose store came back from an older copy after
// it had been away for a while, or twice in a row. The first reporting others have all
// changes of primaries from before.
func newRestoredHost(hosts, reporting int, storeAge time.Duration, startedBefore, confirmed, again bool) *Host {
	h := newTestHost(hosts)
	now := timekeeper.Now()
	if startedBefore {
		h.mirror.Merge(nil, storer.JoinRevision(1, 30), now.Add(-storeAge))
	} else {
		h.prepare()
		h.catalog.Hosts["h0"] = cataloger.Host{Name: "h0", Incarnation: h.incarnation, Address: "127.0.0.1:1"}
	}
	restored := []storer.Entry{{Key: "endiveturn/leads/s", Value: []byte(`{"id":"p","grace":"0s","era":1}`), ModRevision: storer.JoinRevision(2, 12)}}
	h.mirror.Replace(restored, storer.JoinRevision(2, 20), now)
	if again {
		h.mirror.Replace(nil, storer.JoinRevision(3, 15), now)
	}
	written := storer.JoinRevision(1, 12)
	if confirmed {
		written = storer.JoinRevision(2, 21)
	}
	h.catalog.Revision = h.mirror.Revision()
	h.catalog.Configuration = &cataloger.Configuration{Services: map[string]cataloger.Service{"s": {}}}
	h.catalog.Endpoints = map[string][]cataloger.Endpoint{"s": {{ID: "p"}}}
	h.catalog.Assignments = map[string]cataloger.PrimaryAssignment{"s": {Service: "s", ID: "p", Revision: written}}
	h.catalog.AssignmentsEra = assignmentsEra(h.catalog)
	h.recentHosts.update(h.catalog, now)
	for i := 1; i < hosts; i++ {
		report := exchanger.Report{Host: fmt.Sprint("h", i), Age: time.Minute, MajorityHeardAge: -1, Listed: i <= reporting}
		if !startedBefore && i <= reporting && 2*reporting > hosts {
			report.MajorityHeardAge = 0
		}
		h.exchanger.RecordMessage(exchanger.Message{Report: report}, now)
	}
	return h
}

// TestFreshnessAfterRestore guards against a host that goes on with a former primary
// because the store, which lost the record of its replacement, confirms the view.
func TestFreshnessAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		// reporting is how many of the other hosts ran before the restore.
		hosts, reporting         int
		storeAge                 time.Duration
		startedAfter, confirmed  bool
		again                    bool
		fresh, reportsAllChanges bool
	}{
		{name: "all hosts ran before", hosts: 3, reporting: 2, storeAge: time.Minute, fresh: true, reportsAllChanges: true},
		{name: "another host started after the restore", hosts: 3, reporting: 1, storeAge: time.Minute, reportsAllChanges: true},
		{name: "this host started after the restore", hosts: 3, reporting: 2, startedAfter: true, fresh: true},
		{name: "all hosts started after the restore", hosts: 3, startedAfter: true},
		{name: "only host, started after the restore", hosts: 1, startedAfter: true},
		{name: "only host, ran before", hosts: 1, fresh: true, reportsAllChanges: true},
		{name: "all hosts started between two restores", hosts: 3, startedAfter: true, again: true},
		{name: "two restores, all hosts ran before", hosts: 3, reporting: 2, storeAge: time.Minute, again: true, fresh: true, reportsAllChanges: true},
		{name: "confirmed by a leader", hosts: 3, startedAfter: true, confirmed: true, fresh: true, reportsAllChanges: true},
		{name: "large, majority ran before", hosts: 18, reporting: 9, storeAge: 2 * time.Second, fresh: true, reportsAllChanges: true},
		{name: "large, half ran before", hosts: 18, reporting: 8, storeAge: 2 * time.Second, reportsAllChanges: true},
		{name: "large, majority, store was away for too long", hosts: 18, reporting: 16, storeAge: maxMajorityViewAge + time.Second, reportsAllChanges: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newRestoredHost(test.hosts, test.reporting, test.storeAge, !test.startedAfter, test.confirmed, test.again)
			if got := timekeeper.Now().Sub(h.viewCompleteAsOf()) < director.MaxViewAge; got != test.fresh {
				t.Errorf("fresh view: got %v, want %v", got, test.fresh)
			}
			if got := h.report("h1").Listed; got != test.reportsAllChanges {
				t.Errorf("reports that it has all changes: got %v, want %v", got, test.reportsAllChanges)
			}
		})
	}
}

// TestLostHostsStayMembers guards against a change of primary that does not wait for a host
// whose key the store lost, and which has not registered again yet.
func TestLostHostsStayMembers(t *testing.T) {
	h := newRestoredHost(3, 2, time.Second, true, false, false)
	delete(h.catalog.Hosts, "h2")
	names := make(map[string]bool)
	for _, member := range h.members() {
		names[member.Name] = true
	}
	if !names["h2"] {
		t.Errorf("members: got %v, want h2 among them", names)
	}
}
