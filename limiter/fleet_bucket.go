package limiter

import "time"

const (
	// minBudget is the minimum number of operations that a host may admit in an
	// interval while the customer has any tokens, so that customers with a low
	// rate are served on every host.
	minBudget = 1
	// scarceLevel is the fraction of the burst below which tokens are scarce. At
	// or above it, the customer is well below its rate and any host may admit
	// evenShareFactor times an even share, because a host that has just started
	// has no measured demand.
	scarceLevel     = 0.35
	evenShareFactor = 1.5
	// hubEvenShareFactor replaces evenShareFactor where a hub reports. A host may take its
	// share once between two reports, in which operations don't arrive evenly.
	hubEvenShareFactor = 2.0
	// hubMinBudget replaces minBudget between two reports of a hub, so that a session can
	// send its next operation at once.
	hubMinBudget = 2
	// levelGain is the fraction of the level by which the refill is corrected while
	// tokens are scarce: in each syncInterval, and in debt at each sync.
	levelGain = 0.1
	// scarceBudgetCap limits the budget of a host while tokens are scarce, as a
	// fraction of its share of the burst.
	scarceBudgetCap = 0.5
	// maxDebt limits how long a customer waits after more operations were
	// admitted than the bucket had tokens.
	maxDebt = 2 * time.Second
	// isolatedEvenWeight is the fraction of the rate that is split evenly among the hosts while
	// most hosts do not report: clients move between hosts, and shares stay as they are.
	isolatedEvenWeight = 0.5
	// isolatedAllowance is how many operations beyond its share a host may admit at once
	// while most hosts do not report: operations don't arrive evenly, and the share of a
	// customer with a low rate is below one operation.
	isolatedAllowance = 1
)

// A fleetBucket is one host's copy of the bucket of a customer, and its budget.
type fleetBucket struct {
	limit Limit
	// level is the number of tokens left for all hosts together. It is negative
	// after more operations were admitted than there were tokens.
	level float64
	// budget is how many operations this host may still admit before the next
	// sync.
	budget float64
	// scarce is set if tokens were scarce at the last sync.
	scarce bool
	// used counts the operations of this host that databases may have run. It
	// never decreases.
	used int64
	// usedByOthers counts the operations that other hosts reported, and
	// usedByHost splits them by host.
	usedByOthers int64
	usedByHost   map[string]int64
	// demandOfOthers is the sum of the demand in the last reports of all other hosts.
	demandOfOthers float64
	// staleDemand is the part of demandOfOthers in reports older than their timeout, as
	// of the last sync.
	staleDemand float64
	// demand is this host's demand in operations per second.
	demand float64
	// lastShare is this host's share of the demand when most hosts last reported.
	lastShare float64
	// withheld counts the tokens that others are assumed to have used while most hosts did
	// not report.
	withheld float64
	// taken counts the operations that this host has admitted since the hub last reported
	// what the others have used; it is 0 without a hub. Until the next report the host may
	// take its share of the level once, not in each interval.
	taken float64
	// lastDemand is demand as of the last report of the hub, and demandAtReport as of the one
	// before, which is about as old as what the hub reports of the others.
	lastDemand     float64
	demandAtReport float64
	// listed is set if the last report of the hub had the demand of the others. The hub
	// leaves a customer out until this host has reported demand for it.
	listed bool
	// arrivals counts the operations requested on this host since the last sync.
	arrivals float64
}

// deductUsage deducts the operations that another host has used.
func (b *fleetBucket) deductUsage(host string, used int64) {
	b.level = max(b.level-float64(used), -b.limit.Rate*maxDebt.Seconds())
	b.usedByOthers += used
	if b.usedByHost == nil {
		b.usedByHost = make(map[string]int64)
	}
	b.usedByHost[host] += used
}

// allocateBudget sets this host's budget for the next interval. While tokens are
// not scarce, it is this host's share of the level. Otherwise the operations that
// other hosts admit in the meantime matter, so the budget is this host's share of
// the refill, with a slow correction by the level. A budget below one operation
// accumulates over the intervals unless the bucket is in debt, or a host with a
// small share could never admit any. hasHub is set if a hub reports what all others have used.
func (b *fleetBucket) allocateBudget(share, elapsed float64, hosts int, hasHub bool) {
	unused := b.budget
	if !b.scarce || b.level < 0 {
		unused = 0
	}
	b.scarce = b.level < b.limit.Burst*scarceLevel
	if !b.scarce {
		factor, minimum := evenShareFactor, float64(minBudget)
		if hasHub {
			factor, minimum = hubEvenShareFactor, hubMinBudget
		}
		share = max(share, factor/float64(hosts))
		b.budget = max(0, max(minimum, (b.level+b.taken)*share)-b.taken)
		return
	}
	gain := levelGain
	if b.level > 0 {
		gain *= elapsed / syncInterval.Seconds()
	}
	credit := (b.limit.Rate*elapsed + b.level*gain) * share
	accumulated := min(unused+credit, minBudget)
	maxBudget := max(minBudget, b.limit.Burst*share*scarceBudgetCap)
	b.budget = max(0, min(max(credit, accumulated), maxBudget))
}

// allocateIsolated refills the bucket and sets this host's budget while most hosts
// don't report. The others may admit as much as the limit allows, so this host takes
// its share of the level once, when the isolation begins, and then no more than its
// share of the refill. Its share does not rise meanwhile, since an overload raises the
// demand of all hosts.
func (b *fleetBucket) allocateIsolated(share, elapsed float64, hosts int, begins bool) {
	if b.lastShare == 0 {
		b.lastShare = 1 / float64(hosts)
	}
	share = (1-isolatedEvenWeight)*min(share, b.lastShare) + isolatedEvenWeight/float64(hosts)
	if begins {
		assumed := min(b.limit.Rate, b.demandOfOthers) * HubReportTimeout.Seconds()
		b.level -= assumed
		b.withheld = assumed
		b.budget = max(0, min(b.budget, max(0, b.level+b.taken)*share+isolatedAllowance-b.taken))
	}
	refill := b.limit.Rate * elapsed
	b.level = min(b.level+refill*share, b.limit.Burst)
	b.withheld += refill * (1 - share)
	b.budget = min(b.budget+refill*share, max(minBudget, b.limit.Burst*share)+isolatedAllowance)
}

// restoreWithheld puts back the tokens that were withheld since the last report of the
// hub, which reports what the others have used in fact.
func (b *fleetBucket) restoreWithheld() {
	b.level = min(b.level+b.withheld, b.limit.Burst)
	b.withheld = 0
}
