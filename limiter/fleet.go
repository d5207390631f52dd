package limiter

import (
	"sync"
	"time"
)

const (
	// silence is the age of a host's last report after which its share of the
	// rate is taken as used up instead of what it reported.
	silence = 1500 * time.Millisecond
	// leastDemand is the demand in operations per second from which on a host
	// reports a customer.
	leastDemand = 0.05
	// youngProcess is up to which uptime all that a process admitted is recent.
	youngProcess = 2 * time.Second
	// syncInterval is how often a host's budget is dealt anew. It is no longer
	// than the time between two reports of a host.
	syncInterval = 200 * time.Millisecond
	// leastBudget is how many operations a host may admit in an interval while
	// the customer has tokens at all, so that small customers are served on
	// every host.
	leastBudget = 1
	// firstLevel is the part of the burst that a new bucket holds. After a
	// restart of all hosts it comes on top of what was admitted before, and stays
	// below the tolerated overage of a tenth of five seconds of the rate and of
	// the burst.
	firstLevel = 0.4
	// ampleLevel is the part of its burst above which a customer is well below
	// its rate; any host may then admit ampleShare times an even part, as a host
	// that has just started has no demand to show.
	ampleLevel = 0.35
	ampleShare = 1.5
	// levelGain is the part of the level by which the refill is corrected in an
	// interval while there is little left.
	levelGain = 0.1
	// scarceShare bounds what a host saves up while there is little left, as a
	// part of its part of the burst.
	scarceShare = 0.5
	// demandSpan is the time over which demand is averaged.
	demandSpan = 2 * time.Second
	// maxDebt bounds how long a customer waits after more was admitted than
	// there was.
	maxDebt = 2 * time.Second
	// newcomerWeight is the part of the rate that is dealt evenly, for hosts
	// whose demand has just begun.
	newcomerWeight = 0.1
)

// A Bound is a customer's rate and burst over all hosts.
type Bound struct {
	// Rate is in operations per second; 0 stands for no limit.
	Rate  float64
	Burst float64
}

// A Spent is what one host has admitted for a customer.
type Spent struct {
	// Used counts operations since the host's start that databases may have run.
	Used int64
	// Demand is in operations per second, refused ones included.
	Demand float64
}

// A HostReport is what another host last said of its admissions.
type HostReport struct {
	// Incarnation differs between two processes of the same host.
	Incarnation string
	// Heard is when the report came.
	Heard time.Time
	// Uptime is how long the host's process had run.
	Uptime time.Duration
	// Hosts is the number of hosts for which Spent speaks, 0 for one.
	Hosts int
	Spent map[string]Spent
}

// A Fleet keeps customers within their bounds over all hosts without a common
// counter. Each host counts down the same bucket by its own admissions and
// those that the others report, and between reports uses no more of its level
// than its part of the demand. A host that falls silent is taken to use its
// part of the rate. Exported fields are set before first use.
type Fleet struct {
	// Now returns an instant that counts suspensions of the machine.
	Now func() time.Time

	mu      sync.Mutex
	buckets map[string]*fleetBucket
	reports map[string]HostReport
	// hosts is the number of hosts, this one included, at least 1.
	hosts int
	// synced is when budgets were dealt last.
	synced time.Time
}

type fleetBucket struct {
	bound Bound
	// level is the number of tokens left over all hosts; negative after more
	// was admitted than there was.
	level float64
	// budget is what this host may still admit before the next report.
	budget float64
	// used counts the operations that databases may have run; it never falls.
	used int64
	// heard counts what other hosts reported to have used; heardFrom splits it.
	heard     int64
	heardFrom map[string]int64
	// demand is this host's demand in operations per second.
	demand  float64
	arrived float64
}

// NewFleet returns a fleet without customers.
func NewFleet(now func() time.Time) *Fleet {
	return &Fleet{Now: now, buckets: make(map[string]*fleetBucket), reports: make(map[string]HostReport), hosts: 1, synced: now()}
}

// SetBounds replaces the bounds of all customers.
func (f *Fleet) SetBounds(bounds map[string]Bound) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, bound := range bounds {
		b, ok := f.buckets[name]
		if !ok {
			b = &fleetBucket{level: bound.Burst * firstLevel}
			b.budget = max(leastBudget, b.level/float64(f.hosts))
			f.buckets[name] = b
		}
		b.bound = bound
		b.level = min(b.level, bound.Burst)
		b.budget = min(b.budget, max(leastBudget, b.level))
	}
	for name := range f.buckets {
		if _, ok := bounds[name]; !ok {
			delete(f.buckets, name)
		}
	}
}

// SetHosts sets the number of hosts.
func (f *Fleet) SetHosts(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = max(1, n)
}

// Hear takes in a report of another host and deducts what it admitted since
// its last one. What an old process had admitted when it was first heard belongs
// to the past, for which a nearly empty bucket at the start accounts.
func (f *Fleet) Hear(host string, report HostReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sync(f.Now())
	before, known := f.reports[host]
	sameProcess := known && before.Incarnation == report.Incarnation
	for name, spent := range report.Spent {
		b, ok := f.buckets[name]
		if !ok {
			continue
		}
		counted := int64(0)
		if sameProcess {
			counted = before.Spent[name].Used
		}
		// A host that speaks for all names a customer only while this one has
		// demand; what was used before it did so is past.
		resumed := report.Hosts > 0 && before.Spent[name].Demand == 0
		if (known || report.Uptime < youngProcess) && !resumed {
			b.hear(host, max(0, spent.Used-counted))
		}
		// A report that was overtaken must not lower the count, or the next one
		// would be deducted twice.
		spent.Used = max(spent.Used, counted)
		report.Spent[name] = spent
	}
	if sameProcess {
		report.Spent = withKept(report.Spent, before.Spent)
	}
	f.reports[host] = report
}

// withKept adds the counts of customers that a report no longer names because
// the host has no demand for them.
func withKept(spent, before map[string]Spent) map[string]Spent {
	if spent == nil {
		spent = make(map[string]Spent)
	}
	for name, old := range before {
		if _, ok := spent[name]; !ok {
			spent[name] = Spent{Used: old.Used}
		}
	}
	return spent
}

// hear deducts what another host has used.
func (b *fleetBucket) hear(host string, used int64) {
	b.level = max(b.level-float64(used), -b.bound.Rate*maxDebt.Seconds())
	b.heard += used
	if b.heardFrom == nil {
		b.heardFrom = make(map[string]int64)
	}
	b.heardFrom[host] += used
}

// SpentByOthers returns what all hosts but one have used, as far as this host
// has heard, of the customers for which that one has demand: what it is told by
// the host that speaks for all.
func (f *Fleet) SpentByOthers(except string) map[string]Spent {
	f.mu.Lock()
	defer f.mu.Unlock()
	spent := make(map[string]Spent)
	for name, asked := range f.reports[except].Spent {
		b, ok := f.buckets[name]
		if !ok || asked.Demand <= leastDemand {
			continue
		}
		demand := b.demand
		for host, report := range f.reports {
			if host != except {
				demand += report.Spent[name].Demand
			}
		}
		spent[name] = Spent{Used: b.used + b.heard - b.heardFrom[except], Demand: demand}
	}
	return spent
}

// Forget drops the reports of hosts that no longer speak to this one.
func (f *Fleet) Forget(keep map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host := range f.reports {
		if !keep[host] {
			delete(f.reports, host)
		}
	}
}

// Admit takes one operation of the customer out of the bucket. If it refuses,
// it returns when the customer may try again.
func (f *Fleet) Admit(customer string) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if now.Sub(f.synced) >= syncInterval {
		f.sync(now)
	}
	b, ok := f.buckets[customer]
	if !ok || b.bound.Rate <= 0 {
		return true, 0
	}
	b.arrived++
	if b.budget >= 1 {
		b.budget--
		b.level--
		return true, 0
	}
	wait := syncInterval
	if b.level < 0 {
		wait += time.Duration(-b.level / b.bound.Rate * float64(time.Second))
	}
	return false, wait
}

// Use counts an admitted operation that a database has run or may have run. Only
// those are reported to other hosts, so that their number never falls.
func (f *Fleet) Use(customer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.buckets[customer]; ok {
		b.used++
	}
}

// Return gives back an admitted operation that no database ran.
func (f *Fleet) Return(customer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.buckets[customer]; ok && b.bound.Rate > 0 {
		b.budget++
		b.level++
	}
}

// Spent returns what this host has used of the customers for which it has
// demand.
func (f *Fleet) Spent() map[string]Spent {
	f.mu.Lock()
	defer f.mu.Unlock()
	spent := make(map[string]Spent, len(f.buckets))
	for name, b := range f.buckets {
		if b.demand > leastDemand {
			spent[name] = Spent{Used: b.used, Demand: b.demand}
		}
	}
	return spent
}

// sync refills the buckets and deals this host its budgets.
func (f *Fleet) sync(now time.Time) {
	elapsed := now.Sub(f.synced).Seconds()
	if elapsed <= 0 {
		return
	}
	f.synced = now
	for name, b := range f.buckets {
		b.demand += (b.arrived/elapsed - b.demand) * min(1, elapsed/demandSpan.Seconds())
		b.arrived = 0
		share, silent := f.shares(name, b, now)
		b.level += b.bound.Rate * elapsed * (1 - silent)
		b.level = min(b.level, b.bound.Burst)
		b.budget = 0
		b.deal(share, elapsed, f.hosts)
	}
}

// deal gives this host its budget for the next interval. While there is ample,
// that is its part of the level. Otherwise what the others admit meanwhile
// counts, so it is its part of the refill, corrected slowly by the level.
func (b *fleetBucket) deal(share, elapsed float64, hosts int) {
	if b.level >= b.bound.Burst*ampleLevel {
		share = max(share, ampleShare/float64(hosts))
		b.budget = max(leastBudget, b.level*share)
		return
	}
	credit := (b.bound.Rate*elapsed + b.level*levelGain) * share
	most := max(leastBudget, b.bound.Burst*share*scarceShare)
	b.budget = max(0, min(b.budget+credit, most))
}

// shares returns this host's part of the demand, and the part of the hosts
// that are silent.
func (f *Fleet) shares(name string, b *fleetBucket, now time.Time) (own, silent float64) {
	total := b.demand
	quiet := 0.0
	heard := 1
	for _, report := range f.reports {
		demand := report.Spent[name].Demand
		total += demand
		if now.Sub(report.Heard) > silence {
			quiet += demand
			continue
		}
		heard += max(1, report.Hosts)
	}
	even := 1 / float64(f.hosts)
	missing := max(0, float64(f.hosts-heard)) * even
	if total <= 0 {
		return even, missing
	}
	own = newcomerWeight*even + (1-newcomerWeight)*b.demand/total
	silent = newcomerWeight*missing + (1-newcomerWeight)*quiet/total
	return own, min(1, silent)
}
