package limiter

import (
	"sync"
	"time"
)

const (
	// reportTimeout is the age of a host's last report after which its share
	// of the rate is deducted instead of the usage that it reported.
	reportTimeout = 1500 * time.Millisecond
	// HubReportTimeout replaces reportTimeout for reports that cover all other hosts. They
	// arrive several times in this time.
	HubReportTimeout = 450 * time.Millisecond
	// minReportedDemand is the demand in operations per second above which a
	// host reports a customer.
	minReportedDemand = 0.05
	// newProcessUptime is the uptime below which everything that a process has
	// admitted counts as recent.
	newProcessUptime = 2 * time.Second
	// syncInterval is how often a host's budget is recalculated. It is no longer
	// than the time between two reports of a host.
	syncInterval = 200 * time.Millisecond
	// minSyncInterval bounds how often reports make a host recalculate its budgets:
	// the hub of a large fleet receives a report about every millisecond.
	minSyncInterval = 20 * time.Millisecond
	// minTotalDemand is the demand in operations per second of all hosts below which
	// there is none. It is above the rounding errors of sums and below demandUnit of
	// the reports.
	minTotalDemand = 1e-6
	// initialLevel is the fraction of the burst in a new bucket. After a restart
	// of all hosts these tokens add to what was admitted before. They stay below
	// the tolerated overage, which is a tenth of the sum of the burst and five
	// seconds of the rate.
	initialLevel = 0.4
	// fleetDemandWindow is the time constant of the average of a customer's
	// demand on this host.
	fleetDemandWindow = 2 * time.Second
	// evenShareWeight is the fraction of the rate that is split evenly among the
	// hosts, for hosts whose demand has just begun.
	evenShareWeight = 0.1
)

// A Limit is a customer's rate and burst over all hosts.
type Limit struct {
	// Rate is in operations per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// A Usage is what a host has used of a customer's limit.
type Usage struct {
	// Used counts the operations since the start of the host's process that
	// databases may have run.
	Used int64
	// Demand is in operations per second, including refused ones.
	Demand float64
}

// A FleetLimiter enforces the limits of customers across all hosts without a
// shared counter. Each host keeps its own copy of a customer's bucket, deducts
// its own admissions and those that the other hosts report, and between reports
// uses no more of the level than its share of the demand. A host whose reports
// stop is assumed to use its share of the rate. Exported fields must be set
// before first use.
type FleetLimiter struct {
	// Now returns the current time. Its clock must keep running while the machine
	// is suspended.
	Now func() time.Time

	mu      sync.Mutex
	buckets map[string]*fleetBucket
	reports map[string]HostReport
	// hosts is the number of hosts including this one, at least 1.
	hosts int
	// lastSync is when the budgets were last calculated.
	lastSync time.Time
	// isolated is set while most hosts do not report.
	isolated bool
	// hasHub is set if another host, the hub, reports on behalf of all others.
	hasHub bool
}

// NewFleetLimiter returns a FleetLimiter without customers.
func NewFleetLimiter(now func() time.Time) *FleetLimiter {
	return &FleetLimiter{Now: now, buckets: make(map[string]*fleetBucket), reports: make(map[string]HostReport), hosts: 1, lastSync: now()}
}

// SetLimits replaces the limits of all customers.
func (f *FleetLimiter) SetLimits(limits map[string]Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, limit := range limits {
		b, ok := f.buckets[name]
		if !ok {
			b = &fleetBucket{level: limit.Burst * initialLevel, demandOfOthers: f.reportedDemand(name)}
			b.budget = max(minBudget, b.level/float64(f.hosts))
			f.buckets[name] = b
		}
		b.limit = limit
		b.level = min(b.level, limit.Burst)
		b.budget = min(b.budget, max(minBudget, b.level))
	}
	for name := range f.buckets {
		if _, ok := limits[name]; !ok {
			delete(f.buckets, name)
		}
	}
}

// SetHosts sets the number of hosts.
func (f *FleetLimiter) SetHosts(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = max(1, n)
}

// Admit takes one token for an operation of the customer out of the bucket. If it
// refuses the operation, it also returns how long the customer has to wait before
// a retry.
func (f *FleetLimiter) Admit(customer string) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if now.Sub(f.lastSync) >= syncInterval {
		f.sync(now)
	}
	b, ok := f.buckets[customer]
	if !ok || b.limit.Rate <= 0 {
		return true, 0
	}
	b.arrivals++
	if b.budget >= 1 {
		b.budget--
		b.level--
		b.taken++
		return true, 0
	}
	wait := syncInterval
	if b.level < 0 {
		wait += time.Duration(-b.level / b.limit.Rate * float64(time.Second))
	}
	return false, wait
}

// WouldAdmit returns what Admit would return now. It changes nothing.
func (f *FleetLimiter) WouldAdmit(customer string) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	trial := &FleetLimiter{
		Now: f.Now, buckets: make(map[string]*fleetBucket), reports: f.reports, hosts: f.hosts,
		lastSync: f.lastSync, isolated: f.isolated, hasHub: f.hasHub,
	}
	if b, ok := f.buckets[customer]; ok {
		copied := *b
		trial.buckets[customer] = &copied
	}
	return trial.Admit(customer)
}

// RecordUse counts an admitted operation that a database has run or may have run.
// Only these operations are reported to other hosts, so that the reported number
// never decreases.
func (f *FleetLimiter) RecordUse(customer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.buckets[customer]; ok {
		b.used++
	}
}

// Refund puts back the token of an admitted operation that no database ran.
func (f *FleetLimiter) Refund(customer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.buckets[customer]; ok && b.limit.Rate > 0 {
		b.budget++
		b.level++
		b.taken--
	}
}

// Usage returns this host's usage by customer, for the customers for which it has
// demand.
func (f *FleetLimiter) Usage() map[string]Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	usage := make(map[string]Usage, len(f.buckets))
	for name, b := range f.buckets {
		if b.demand > minReportedDemand {
			usage[name] = Usage{Used: b.used, Demand: b.demand}
		}
	}
	return usage
}

// sync refills the buckets and recalculates this host's budgets.
func (f *FleetLimiter) sync(now time.Time) {
	elapsed := now.Sub(f.lastSync).Seconds()
	if elapsed <= 0 {
		return
	}
	f.lastSync = now
	missing := f.missingHosts(now)
	isolated := 2*missing > f.hosts
	for _, b := range f.buckets {
		b.demand += (b.arrivals/elapsed - b.demand) * min(1, elapsed/fleetDemandWindow.Seconds())
		b.arrivals = 0
		share, unreported := f.shares(b, missing)
		if isolated {
			b.allocateIsolated(share, elapsed, f.hosts, !f.isolated)
			continue
		}
		b.lastShare, b.withheld = f.shareToKeep(b, share), 0
		if !f.hasHub {
			b.taken = 0
		}
		b.level += b.limit.Rate * elapsed * (1 - unreported)
		b.level = min(b.level, b.limit.Burst)
		b.allocateBudget(share, elapsed, f.hosts, f.hasHub)
	}
	f.isolated = isolated
}

// shareToKeep returns the share that this host keeps if it becomes isolated. Where a hub
// reports, the present demand of this host is not compared with the older demand of the
// others: while an overload begins, that would give all hosts together up to twice the rate.
func (f *FleetLimiter) shareToKeep(b *fleetBucket, share float64) float64 {
	evenShare := 1 / float64(f.hosts)
	total := b.demandAtReport + b.demandOfOthers
	switch {
	case !f.hasHub:
		return share
	case !b.listed || total < minTotalDemand:
		return evenShare
	}
	return min(1, evenShareWeight*evenShare+(1-evenShareWeight)*b.demandAtReport/total)
}

// endIsolation recalculates the budgets once most hosts report again.
func (f *FleetLimiter) endIsolation(now time.Time) {
	missing := f.missingHosts(now)
	if 2*missing > f.hosts {
		return
	}
	f.isolated = false
	for _, b := range f.buckets {
		share, _ := f.shares(b, missing)
		b.lastShare, b.withheld = f.shareToKeep(b, share), 0
		b.allocateBudget(share, 0, f.hosts, f.hasHub)
	}
}

// missingHosts returns the number of hosts from which there is no recent report, and
// updates the buckets' stale demand.
func (f *FleetLimiter) missingHosts(now time.Time) int {
	for _, b := range f.buckets {
		b.staleDemand = 0
	}
	reporting := 1
	for _, report := range f.reports {
		if now.Sub(report.ReceivedAt) <= report.timeout() {
			reporting += max(1, report.Hosts)
			continue
		}
		for name, usage := range report.Usage {
			if b, ok := f.buckets[name]; ok {
				b.staleDemand += usage.Demand
			}
		}
	}
	return max(0, f.hosts-reporting)
}

// shares returns this host's share of the demand for a customer and the share of the
// hosts from which there is no recent report.
func (f *FleetLimiter) shares(b *fleetBucket, missingHosts int) (own, unreported float64) {
	evenShare := 1 / float64(f.hosts)
	missingShare := float64(missingHosts) * evenShare
	total := b.demand + b.demandOfOthers
	if total < minTotalDemand {
		return evenShare, missingShare
	}
	own = evenShareWeight*evenShare + (1-evenShareWeight)*b.demand/total
	unreported = evenShareWeight*missingShare + (1-evenShareWeight)*b.staleDemand/total
	return min(1, own), min(1, unreported)
}
