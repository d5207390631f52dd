package hoster

import (
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// TestAggregatorWithoutHub guards against a large fleet that no longer knows what its
// customers have used after the loss of the hub: it then either exceeds their limits or
// refuses operations below them. It also guards against usage that counts twice because
// two hosts report it.
func TestAggregatorWithoutHub(t *testing.T) {
	tests := []struct {
		name string
		// hubSilence is the time since the hub's last report.
		hubSilence time.Duration
		// fallbackHub is the fallback hub that host h5 contacts first.
		fallbackHub string
		want        string
		aggregates  bool
	}{
		{name: "hub reports", fallbackHub: "h3", want: "h0"},
		{name: "hub lost", hubSilence: time.Second, fallbackHub: "h3", want: "h3"},
		{name: "hub lost, no other contacted yet", hubSilence: time.Second, want: "h0"},
		{name: "hub lost, this host is contacted by all", hubSilence: time.Second, fallbackHub: "h5", want: "h5", aggregates: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHost(40)
			h.Settings.Host = "h5"
			h.exchanger.Host = "h5"
			h.limits.SetHosts(40)
			h.limits.SetLimits(map[string]limiter.Limit{"c": {Rate: 10, Burst: 100}})
			h.exchanger.Now = func() time.Time { return timekeeper.Now().Add(-test.hubSilence) }
			h.exchanger.RecordMessage(exchanger.Message{Report: exchanger.Report{Host: "h0", Age: -1}}, time.Time{})
			if test.fallbackHub != "" {
				h.fallbackHub.Store(&test.fallbackHub)
			}
			if got, ok := h.aggregator(); !ok || got != test.want {
				t.Errorf("got aggregator %q, want %q", got, test.want)
			}
			for _, name := range []string{"h0", "h3", "h9"} {
				want := name == test.want || test.aggregates
				if got := h.acceptsUsage(exchanger.Report{Host: name}); got != want {
					t.Errorf("got usage of %s accepted %v, want %v", name, got, want)
				}
			}
			h.handleMessage(exchanger.Message{Report: exchanger.Report{
				Host: "h9", Incarnation: "1", Age: -1, Usages: map[string]exchanger.Usage{"c": {Used: 3, Demand: 2}},
			}}, time.Time{})
			if got := h.report("h7").Hosts > 0; got != test.aggregates {
				t.Errorf("got report on behalf of others %v, want %v", got, test.aggregates)
			}
		})
	}
}
