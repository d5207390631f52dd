package limiter

import (
	"time"
)

// A HostReport is the last report of usage from another host.
type HostReport struct {
	// Incarnation identifies the process; it changes when the host restarts.
	Incarnation string
	// ReceivedAt is when the report was received.
	ReceivedAt time.Time
	// Uptime is how long the host's process had been running.
	Uptime time.Duration
	// Hosts is the number of hosts that Usage covers if the report is that of
	// the hub, the host that reports on behalf of all others. It is 0 if Usage
	// is that of the reporting host alone.
	Hosts int
	Usage map[string]Usage
}

// timeout returns the age above which the report is not used.
func (r HostReport) timeout() time.Duration {
	if r.Hosts > 0 {
		return HubReportTimeout
	}
	return reportTimeout
}

// reportedDemand returns the sum of the demand for a customer in the last reports of
// all other hosts.
func (f *FleetLimiter) reportedDemand(customer string) float64 {
	demand := 0.0
	for _, report := range f.reports {
		demand += report.Usage[customer].Demand
	}
	return demand
}

// RecordReport records a report of another host and deducts the usage since its
// previous one. The usage in the first report of a host is deducted only if its
// process is new, that is, if its uptime is below newProcessUptime; the low
// initial level of a new bucket accounts for older usage.
func (f *FleetLimiter) RecordReport(host string, report HostReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.Now(); now.Sub(f.lastSync) >= minSyncInterval {
		f.sync(now)
	}
	previous, known := f.reports[host]
	sameProcess := known && previous.Incarnation == report.Incarnation
	if report.Hosts > 0 {
		f.hasHub = true
		for name, b := range f.buckets {
			b.taken = 0
			b.demandAtReport, b.lastDemand = b.lastDemand, b.demand
			_, b.listed = report.Usage[name]
			if sameProcess {
				b.restoreWithheld()
			}
		}
	}
	for name, usage := range report.Usage {
		b, ok := f.buckets[name]
		if !ok {
			continue
		}
		alreadyCounted := int64(0)
		if sameProcess {
			alreadyCounted = previous.Usage[name].Used
		}
		// The hub lists a customer only while this host has demand for it. Usage
		// from before it was listed is not recent and is not deducted.
		newlyListed := report.Hosts > 0 && previous.Usage[name].Demand == 0
		if (known || report.Uptime < newProcessUptime) && !newlyListed {
			b.deductUsage(host, max(0, usage.Used-alreadyCounted))
		}
		// A report that arrives after a later one must not lower the count, or
		// the usage in between would be deducted twice.
		usage.Used = max(usage.Used, alreadyCounted)
		report.Usage[name] = usage
	}
	if sameProcess {
		report.Usage = withOmittedCustomers(report.Usage, previous.Usage)
	}
	f.addDemand(previous, -1)
	f.addDemand(report, 1)
	f.reports[host] = report
	if f.isolated {
		f.endIsolation(f.Now())
	}
}

// addDemand adds the demand in a report, times the sign, to that of the other hosts.
func (f *FleetLimiter) addDemand(report HostReport, sign float64) {
	for name, usage := range report.Usage {
		if b, ok := f.buckets[name]; ok {
			b.demandOfOthers += sign * usage.Demand
		}
	}
}

// withOmittedCustomers adds the previous counts of customers that a report omits
// because the host has no demand for them.
func withOmittedCustomers(usage, previous map[string]Usage) map[string]Usage {
	if usage == nil {
		usage = make(map[string]Usage)
	}
	for name, old := range previous {
		if _, ok := usage[name]; !ok {
			usage[name] = Usage{Used: old.Used}
		}
	}
	return usage
}

// UsageOfOthers returns the usage of all hosts other than except, as far as it
// was reported to this host, for the customers for which except has demand. The
// hub reports this usage to except.
func (f *FleetLimiter) UsageOfOthers(except string) map[string]Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	usage := make(map[string]Usage)
	for name, recipient := range f.reports[except].Usage {
		b, ok := f.buckets[name]
		if !ok || recipient.Demand <= minReportedDemand {
			continue
		}
		demand := b.demand + max(0, b.demandOfOthers-recipient.Demand)
		usage[name] = Usage{Used: b.used + b.usedByOthers - b.usedByHost[except], Demand: demand}
	}
	return usage
}

// ReportingHosts returns the number of other hosts from which there is a recent report of
// their own usage.
func (f *FleetLimiter) ReportingHosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	count := 0
	for _, report := range f.reports {
		if report.Hosts == 0 && now.Sub(report.ReceivedAt) <= report.timeout() {
			count++
		}
	}
	return count
}

// RetainReports removes the reports of hosts that no longer exchange reports with
// this one, which are those that are not in keep.
func (f *FleetLimiter) RetainReports(keep map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasHub = false
	for host, report := range f.reports {
		if !keep[host] {
			f.addDemand(report, -1)
			delete(f.reports, host)
			continue
		}
		f.hasHub = f.hasHub || report.Hosts > 0
	}
}
