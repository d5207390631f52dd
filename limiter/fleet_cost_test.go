package limiter

import (
	"fmt"
	"testing"
	"time"
)

// TestCostOfReports guards against a hub that spends its processor time on the rates of
// customers: when each report recalculated the demand of all customers over all hosts,
// 195 hosts with 140 customers needed more than a core, reports came late, and the
// leader took primaries that it could not query for dead.
func TestCostOfReports(t *testing.T) {
	const customers = 140
	small, large := costOfReport(20, customers), costOfReport(400, customers)
	if large > 5*small {
		t.Errorf("a report costs %v with 400 hosts and %v with 20, want at most five times as much", large, small)
	}
}

// costOfReport returns the least time that a report took on average in one of several
// batches, which the load of the machine affects little.
func costOfReport(hosts, customers int) time.Duration {
	const batches, reportsPerBatch = 8, 400
	now := time.Unix(1000, 0)
	f := NewFleetLimiter(func() time.Time { return now })
	limits := make(map[string]Limit)
	for i := range customers {
		limits[fmt.Sprint("customer-", i)] = Limit{Rate: 20, Burst: 20}
	}
	f.SetLimits(limits)
	f.SetHosts(hosts)
	least := time.Hour
	for range batches {
		began := time.Now()
		for i := range reportsPerBatch {
			now = now.Add(time.Millisecond)
			host := fmt.Sprint("host-", i%hosts)
			usage := map[string]Usage{fmt.Sprint("customer-", i%customers): {Used: 1, Demand: 1}}
			f.RecordReport(host, HostReport{Incarnation: "1", ReceivedAt: now, Usage: usage})
			f.UsageOfOthers(host)
		}
		least = min(least, time.Since(began)/reportsPerBatch)
	}
	return least
}

// TestDemandOfOthers guards against shares that are wrong because the sum of the demand
// misses a report that was replaced, removed, or received before its customer was
// configured.
func TestDemandOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleetLimiter(func() time.Time { return now })
	f.SetHosts(3)
	report := func(host string, demand float64) {
		usage := map[string]Usage{"customer": {Demand: demand}}
		f.RecordReport(host, HostReport{Incarnation: "1", ReceivedAt: now, Usage: usage})
	}
	report("a", 3)
	f.SetLimits(map[string]Limit{"customer": {Rate: 10, Burst: 10}})
	report("b", 5)
	report("a", 1)
	if got, want := f.UsageOfOthers("b")["customer"].Demand, 1.0; got != want {
		t.Errorf("got demand %v of hosts other than b, want %v", got, want)
	}
	f.RetainReports(map[string]bool{"b": true})
	if got, want := f.UsageOfOthers("b")["customer"].Demand, 0.0; got != want {
		t.Errorf("got demand %v after a host was removed, want %v", got, want)
	}
	now = now.Add(reportTimeout + time.Second)
	f.Admit("customer")
	if got, want := f.buckets["customer"].staleDemand, 5.0; got != want {
		t.Errorf("got stale demand %v, want %v", got, want)
	}
}
