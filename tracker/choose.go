package tracker

import "github.com/endiveturn/endiveturn/executor"

// Reason is the reason of a routing decision, as it appears in the log and in
// metrics.
type Reason string

// The reasons of routing decisions.
const (
	// ReasonApplied means that the replica has applied the floor.
	ReasonApplied Reason = "replica_applied_floor"
	// ReasonWithinAge means that the replica is no older than the read accepts.
	ReasonWithinAge Reason = "replica_within_age"
	// ReasonBehind means that replicas are in service but none has applied the
	// floor.
	ReasonBehind Reason = "replicas_behind"
	// ReasonNoReplica means that no replica is in service.
	ReasonNoReplica Reason = "no_replica"
	// ReasonAhead means that the floor is ahead of the end of the primary's log.
	ReasonAhead Reason = "floor_ahead_of_primary"
	// ReasonWrite means that the batch may write.
	ReasonWrite Reason = "may_write"
	// ReasonTransaction means that the batch belongs to an open transaction.
	ReasonTransaction Reason = "open_transaction"
)

// A Replica is a replica to which a read may be routed.
type Replica struct {
	Name string
	// InService is set when the replica follows the current primary in the current
	// term, is reachable and is neither draining nor taken out of service.
	InService bool
	// Applied is the offset up to which the replica has applied the log.
	Applied uint64
	// Load is the number of running and queued batches per slot.
	Load float64
}

// A ReadRequirement describes which positions of the log a read must see.
type ReadRequirement struct {
	// Floor is the position that a replica must have applied, unless it is recent
	// enough for AcceptsStale. It is at least Token.
	Floor executor.Position
	// Token is the position that a replica must have applied in any case.
	Token executor.Position
	// StaleFloor is the offset that a replica must have applied to be within the
	// accepted age. It is used only if AcceptsStale is set.
	StaleFloor   uint64
	AcceptsStale bool
	// Excluded is the name of a replica that failed before; it may be empty.
	Excluded string
}

// A Decision is the database to which a read is routed.
type Decision struct {
	// Replica is the name of the replica, or empty for the primary.
	Replica string
	// Wait is set when a replica may apply the floor soon, so that the caller
	// should wait for it before it uses the primary.
	Wait   bool
	Reason Reason
}

// Choose returns the least loaded replica that may serve the read. primaryEnd
// is the highest known end of the primary's log.
func Choose(requirement ReadRequirement, replicas []Replica, primaryEnd uint64) Decision {
	var best *Replica
	decision := Decision{Reason: ReasonNoReplica}
	for i := range replicas {
		replica := &replicas[i]
		if !replica.InService || replica.Name == requirement.Excluded {
			continue
		}
		reason := requirement.evaluate(replica.Applied)
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
	if decision.Wait && !requirement.AcceptsStale && requirement.Floor.Offset > primaryEnd {
		// Waiting is useless: the floor is beyond everything that replicas can
		// receive.
		return Decision{Reason: ReasonAhead}
	}
	return decision
}

func (r ReadRequirement) evaluate(applied uint64) Reason {
	switch {
	case applied < r.Token.Offset:
		return ReasonBehind
	case applied >= r.Floor.Offset:
		return ReasonApplied
	case r.AcceptsStale && applied >= r.StaleFloor:
		return ReasonWithinAge
	default:
		return ReasonBehind
	}
}
