package tracker

import "github.com/endiveturn/endiveturn/executor"

// Reason is a short word that explains a decision in the log.
type Reason string

// The reasons of decisions.
const (
	// ReasonApplied: the replica has applied the floor.
	ReasonApplied Reason = "replica_applied_floor"
	// ReasonWithinAge: the replica is no older than the read accepts.
	ReasonWithinAge Reason = "replica_within_age"
	// ReasonBehind: replicas are in service but none has applied the floor.
	ReasonBehind Reason = "replicas_behind"
	// ReasonNoReplica: no replica is in service.
	ReasonNoReplica Reason = "no_replica"
	// ReasonAhead: the floor is ahead of everything the primary has.
	ReasonAhead Reason = "floor_ahead_of_primary"
	// ReasonWrite: the batch may write.
	ReasonWrite Reason = "may_write"
	// ReasonTransaction: the batch belongs to an open transaction.
	ReasonTransaction Reason = "open_transaction"
)

// A Replica is a candidate for a read.
type Replica struct {
	Name string
	// InService is set when the replica follows the present primary in the
	// present term, is reachable and is not leaving.
	InService bool
	// Applied is the offset up to which reads see the log.
	Applied uint64
	// Load is running and queued batches over slots.
	Load float64
}

// A Demand says what a read must see.
type Demand struct {
	// Floor is the lowest offset that the read may see, unless a replica is
	// within its age; at least Token.
	Floor executor.Position
	// Token is the lowest offset that the read may see in any case.
	Token executor.Position
	// OldestEnd is the offset that a replica must have applied to be within the
	// age that the read accepts; it counts only if Aged is set.
	OldestEnd uint64
	Aged      bool
	// Excluded names a replica that failed before; it may be empty.
	Excluded string
}

// A Decision is where a read goes.
type Decision struct {
	// Replica names the replica, or is empty for the primary.
	Replica string
	// Wait is set when it is worth waiting for a replica to apply the floor
	// before the primary is used.
	Wait   bool
	Reason Reason
}

// Choose returns the least loaded replica that may serve the read. The end of
// the primary's log as far as it is known is primaryEnd.
func Choose(demand Demand, replicas []Replica, primaryEnd uint64) Decision {
	var best *Replica
	decision := Decision{Reason: ReasonNoReplica}
	for i := range replicas {
		replica := &replicas[i]
		if !replica.InService || replica.Name == demand.Excluded {
			continue
		}
		reason := demand.admits(replica.Applied)
		if reason == ReasonBehind {
			if best == nil {
				decision = Decision{Wait: true, Reason: ReasonBehind}
			}
			continue
		}
		if best == nil || replica.Load < best.Load {
			best = replica
			decision = Decision{Replica: replica.Name, Reason: reason}
		}
	}
	if decision.Wait && !demand.Aged && demand.Floor.Offset > primaryEnd {
		// Waiting would be in vain: nothing that replicas can receive reaches it.
		return Decision{Reason: ReasonAhead}
	}
	return decision
}

func (d Demand) admits(applied uint64) Reason {
	switch {
	case applied < d.Token.Offset:
		return ReasonBehind
	case applied >= d.Floor.Offset:
		return ReasonApplied
	case d.Aged && applied >= d.OldestEnd:
		return ReasonWithinAge
	default:
		return ReasonBehind
	}
}
