package hoster

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// TestMembersIgnoreFormerProcess guards against a primary that is replaced while a
// restarted host still uses it, because the acknowledgment or the observations of the
// host's former process counted for the new one.
func TestMembersIgnoreFormerProcess(t *testing.T) {
	tests := []struct {
		name string
		// registered and reported are the incarnations in the store and in the last
		// report.
		registered, reported string
		counts               bool
	}{
		{name: "same process", registered: "1", reported: "1", counts: true},
		{name: "report of the former process", registered: "2", reported: "1"},
		{name: "new process is not registered yet", registered: "1", reported: "2"},
		{name: "no report", registered: "1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHost(2)
			host := h.catalog.Hosts["h1"]
			host.Incarnation = test.registered
			h.catalog.Hosts["h1"] = host
			report := exchanger.Report{
				Host: "h1", Incarnation: test.reported, Age: -1, ReleasedRevisions: map[string]int64{"s": 7},
				Primaries: map[string]exchanger.PrimaryHealth{"s": {ID: "p"}},
			}
			h.exchanger.RecordMessage(exchanger.Message{Report: report}, timekeeper.Now())
			members := h.members()
			if len(members) != 1 {
				t.Fatalf("got %d members, want 1", len(members))
			}
			if got := members[0].ReleasedRevisions["s"] == 7; got != test.counts {
				t.Errorf("got acknowledgment counted %v, want %v", got, test.counts)
			}
			if got := len(members[0].Observations) == 1; got != test.counts {
				t.Errorf("got observation counted %v, want %v", got, test.counts)
			}
		})
	}
}

// TestUnreachableDatabasesAreReported guards against reports that grow with the number of
// services while their primaries work, and against a leader that does not learn of them.
func TestUnreachableDatabasesAreReported(t *testing.T) {
	failing := director.PrimaryHealth{SinceSuccess: time.Second, SinceFailure: time.Second, Unreachable: []string{"b"}}
	healthy := director.PrimaryHealth{SinceSuccess: time.Millisecond, Unreachable: []string{"b"}}
	if got := unreachableDatabases(map[string]director.PrimaryHealth{"s": healthy}); got != nil {
		t.Errorf("got %v for a primary that responds, want nil", got)
	}
	report := exchanger.Report{
		Primaries:   primaryHealths(map[string]director.PrimaryHealth{"s": failing}),
		Unreachable: unreachableDatabases(map[string]director.PrimaryHealth{"s": failing, "t": healthy}),
	}
	observations := make(map[string]overseer.HostObservation)
	addObservations(observations, report, 0)
	if got := observations["s"].Unreachable; len(got) != 1 || got[0] != "b" || len(report.Unreachable) != 1 {
		t.Errorf("got unreachable databases %v, want b of s alone", report.Unreachable)
	}
}

// TestFreshnessWithoutRecords guards against views of a large fleet that grow old behind a
// working hub while only keys that hosts do not mirror change in the store.
func TestFreshnessWithoutRecords(t *testing.T) {
	h := newTestHost(20)
	own := h.mirror.Revision()
	sent := timekeeper.Now()
	h.handleMessage(exchanger.Message{Report: exchanger.Report{Host: "h1", Revision: own + 3}, CompleteAfter: own}, sent)
	if got := h.mirror.CompleteAsOf(); !got.Equal(sent) {
		t.Errorf("view complete as of %v before the message, want its sending", sent.Sub(got))
	}
	if got, want := h.mirror.Revision(), own+3; got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

// TestViewOfNewProcess guards against a restarted host that uses a former primary: it takes over
// the view of another host from before a change that its former process has acknowledged.
func TestViewOfNewProcess(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	at := func(offset time.Duration) time.Time { return startedAt.Add(offset) }
	tests := []struct {
		name                   string
		byStore, byHosts, want time.Time
	}{
		{name: "nothing confirmed"},
		{name: "read from the store by another host before the start", byStore: at(-time.Millisecond)},
		{name: "read from the store since", byStore: at(0), want: at(0)},
		{name: "confirmed by hosts which the former process may have been one of", byHosts: at(newProcessMargin - 1)},
		{name: "confirmed by hosts since", byStore: at(-time.Minute), byHosts: at(newProcessMargin), want: at(newProcessMargin)},
		{name: "store is later", byStore: at(time.Minute), byHosts: at(newProcessMargin), want: at(time.Minute)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := viewOfNewProcess(test.byStore, test.byHosts, startedAt); !got.Equal(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
