package measurer

import (
	"github.com/pkg/errors"
)

// ErrUnknownMeasure is returned when no measure has the given name.
var ErrUnknownMeasure = errors.New("unknown measure")

// All returns all measures in the order in which they run.
func All() []Measure {
	return []Measure{
		{Name: "replica_reads", Description: "share of reads on replicas against an oracle that knows every lag", Run: measureReplicaReads},
		{Name: "failover_gap", Description: "time without an acknowledged write when primaries are killed or isolated", Run: measureFailoverGap},
		{Name: "worst_served", Description: "small customers while one customer offers many times its share", Run: measureWorstServed},
		{Name: "refused_within_rate", Description: "refusals within the rate with a skewed balancer and a lost host", Run: measureRefusedWithinRate},
		{Name: "store_outage", Description: "service without the store, and calls to it after its return", Run: measureStoreOutage},
		{Name: "consistency", Description: "reads, responses, customers and writes under all faults together", Run: measureConsistency},
		{Name: "data_centre_leave", Description: "failed requests and throughput while a data centre, a host and a database leave and return", Run: measureDataCentreLeave},
		{Name: "key_withdrawal", Description: "last request served on a revoked key, also by isolated hosts", Run: measureKeyRevocation},
		{Name: "config_in_force", Description: "time until a revision is in force on the last host, under restarts and outages of the store", Run: measureConfigInForce},
		{Name: "limit_schemes", Description: "ways to keep a fleet-wide limit, compared in virtual time", Run: measureLimitSchemes},
		{Name: "replica_choice", Description: "ways to choose a replica, compared in virtual time", Run: measureReplicaChoice},
		{Name: "acknowledgement", Description: "the wait of a write for a majority against the delay of replication", Run: measureAcknowledgement},
		{Name: "overhead", Description: "lookups through one host against lookups directly at the database", Run: measureOverhead},
	}
}

// Find returns the measure with the given name.
func Find(name string) (Measure, error) {
	for _, m := range All() {
		if m.Name == name {
			return m, nil
		}
	}
	return Measure{}, errors.Wrapf(ErrUnknownMeasure, "%q", name)
}
