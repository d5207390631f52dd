package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A FaultKind is a kind of fault or change that a schedule contains.
type FaultKind uint8

// The kinds of faults.
const (
	// PauseHost suspends the process of a host.
	PauseHost FaultKind = iota
	// KillHost kills a host and restarts it.
	KillHost
	// StopHost stops a host in order and restarts it.
	StopHost
	// ClientLink disturbs the link of clients to a host.
	ClientLink
	// StoreLink disturbs the link of a host to the store.
	StoreLink
	// DatabaseLink disturbs the links of all hosts to a database.
	DatabaseLink
	// HostDatabaseLink disturbs the link of one host to a database.
	HostDatabaseLink
	// PeerLink disturbs the connections that one host opens to another.
	PeerLink
	// PartitionHost disturbs the links between one host and all others.
	PartitionHost
	// IsolateHost disturbs also its link to the store.
	IsolateHost
	// KillAllHosts kills all hosts at once and restarts them.
	KillAllHosts
	// PauseStore suspends the store.
	PauseStore
	// PauseGroup suspends all databases.
	PauseGroup
	// WithdrawKey withdraws a key and grants it again.
	WithdrawKey
	// TakeOutDataCentre takes a data centre out of service and brings it back.
	TakeOutDataCentre
	// TakeOutHost and TakeOutDatabase do the same with one host or database.
	TakeOutHost
	TakeOutDatabase
	// RestoreStore makes the store come back from an older copy.
	RestoreStore
	faultKinds
)

// String returns the name of the kind.
func (k FaultKind) String() string {
	return [...]string{
		"pause_host", "kill_host", "stop_host", "client_link", "store_link", "database_link", "host_database_link",
		"peer_link", "partition_host", "isolate_host", "kill_all_hosts", "pause_store", "pause_group", "withdraw_key", "take_out_data_centre",
		"take_out_host", "take_out_database", "restore_store",
	}[k]
}

// weights holds how often each kind occurs relative to the others.
var weights = [faultKinds]int{
	PauseHost: 3, KillHost: 3, StopHost: 3, ClientLink: 3, StoreLink: 3, DatabaseLink: 4, HostDatabaseLink: 4,
	PeerLink: 4, PartitionHost: 3, IsolateHost: 3, KillAllHosts: 1, PauseStore: 1, PauseGroup: 1, WithdrawKey: 4, TakeOutDataCentre: 2, TakeOutHost: 2, TakeOutDatabase: 2,
	RestoreStore: 1,
}

const (
	// faultInterval is the mean time between the starts of two faults that are not
	// of one series.
	faultInterval = 700 * time.Millisecond
	// meanFaultLength is the mean length of a fault.
	meanFaultLength = 900 * time.Millisecond
	// maxFaultLength bounds the length of a fault.
	maxFaultLength = 6 * time.Second
	// maxSeries is the largest number of faults of one kind on one target in a row.
	maxSeries = 4
	// maxLinkDelay bounds the delay of a link.
	maxLinkDelay = 400 * time.Millisecond
)

// A Fault is one fault of a schedule.
type Fault struct {
	Kind FaultKind
	// Start is the time since the beginning of the run.
	Start time.Duration
	// Length is the time until the fault is healed.
	Length time.Duration
	// Host, Peer and Database are indices of the targets, where the kind has them.
	// The index of a host is also that of its data centre.
	Host, Peer, Database int
	// Mode and Delay describe a disturbed link.
	Mode  Mode
	Delay time.Duration
}

// String returns a description for the log.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s host=%d peer=%d database=%d mode=%v delay=%v length=%v", f.Start, f.Kind, f.Host+1, f.Peer+1, f.Database+1, f.Mode, f.Delay, f.Length)
}

// NewSchedule returns the faults of a run in the order of their starts. The same
// arguments return the same schedule.
func NewSchedule(seed uint64, duration time.Duration, hosts, databases int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for at := randomLength(rng, faultInterval); at < duration; at += randomLength(rng, faultInterval) {
		fault := randomFault(rng, hosts, databases)
		count := 1
		if rng.IntN(3) == 0 {
			count += rng.IntN(maxSeries)
		}
		for start := at; count > 0 && start < duration; count-- {
			fault.Start, fault.Length = start, randomLength(rng, meanFaultLength)
			faults = append(faults, fault)
			start += fault.Length + randomLength(rng, faultInterval/2)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}

// randomLength returns an exponentially distributed time, rounded to milliseconds.
func randomLength(rng *rand.Rand, mean time.Duration) time.Duration {
	length := time.Duration(rng.ExpFloat64() * float64(mean))
	return min(length, maxFaultLength).Round(time.Millisecond)
}

func randomFault(rng *rand.Rand, hosts, databases int) Fault {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	n := rng.IntN(total)
	fault := Fault{Host: rng.IntN(hosts), Database: rng.IntN(databases)}
	fault.Peer = (fault.Host + 1 + rng.IntN(max(1, hosts-1))) % hosts
	for kind, weight := range weights {
		if n < weight {
			fault.Kind = FaultKind(kind)
			break
		}
		n -= weight
	}
	switch fault.Kind {
	case ClientLink, StoreLink, DatabaseLink, HostDatabaseLink, PeerLink, PartitionHost, IsolateHost:
		fault.Mode = Delay + Mode(rng.IntN(int(Silence)))
		fault.Delay = time.Duration(rng.Int64N(int64(maxLinkDelay))).Round(time.Millisecond)
	}
	return fault
}
