package overseer

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
)

// Evidence is what shows that a database is the current primary after a promotion.
type Evidence string

const (
	// EvidenceNone shows nothing: the promotion may take effect later.
	EvidenceNone Evidence = ""
	// EvidenceHigherTerm is a primary whose term is above every term that was seen in the
	// service before the request.
	EvidenceHigherTerm Evidence = "higher_term"
	// EvidenceOnlyPrimary is a primary that was one before the request, for which a promotion
	// changes nothing: all databases of the service have responded, it is the only primary,
	// and no term is above its own.
	EvidenceOnlyPrimary Evidence = "only_primary"
	// EvidenceUnchangedTerm is the same if a database does not respond. It counts once a
	// promotion of the primary has been accepted and would have taken effect.
	EvidenceUnchangedTerm Evidence = "unchanged_term"
	// EvidenceFormerRestored is the former primary, which was put back into use because no
	// database could be promoted and no promotion was requested.
	EvidenceFormerRestored Evidence = "former_restored"
)

// EvidenceOf returns what the responses of databases show about a promotion of the database
// with the given ID. formerTerm is the highest term seen before the request. effective is set
// once an accepted request would have taken effect.
func EvidenceOf(id string, formerTerm uint64, responses []Candidate, effective bool) Evidence {
	var promoted Candidate
	silent, contested := false, false
	for _, r := range responses {
		if r.Endpoint.ID == id {
			promoted = r
		}
	}
	if !promoted.IsPrimary || promoted.DatabaseTerm < formerTerm {
		return EvidenceNone
	}
	for _, r := range responses {
		other := r.Endpoint.ID != id
		silent = silent || !r.Reachable
		contested = contested || other && (r.IsPrimary || r.DatabaseTerm > promoted.DatabaseTerm)
	}
	switch {
	case promoted.DatabaseTerm > formerTerm:
		return EvidenceHigherTerm
	case contested:
		return EvidenceNone
	case !silent:
		return EvidenceOnlyPrimary
	case effective:
		return EvidenceUnchangedTerm
	default:
		return EvidenceNone
	}
}

// An observedAssignment is what this host has seen of a service's primary assignment.
type observedAssignment struct {
	assignment cataloger.PrimaryAssignment
	// assignedAt is when this host first saw that the primary is assigned.
	assignedAt time.Time
	// leavingSince is since when this host has known that the primary is to be replaced while
	// it works, zero if it is not.
	leavingSince time.Time
	// pendingSince is when this host first saw the pending promotion or that the change which
	// requested it is complete, or when it last requested it.
	pendingSince time.Time
}

// observeAssignments records when the assignments of a catalog were first seen. Every host
// does so, since any may become the leader.
func (o *Overseer) observeAssignments(catalog *cataloger.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, assignment := range catalog.Assignments {
		o.observeAssignment(assignment)
		o.observeLeaving(catalog, assignment)
	}
}

// observeLeaving records since when the primary of an assignment leaves or is evacuated; the
// caller holds the mutex.
func (o *Overseer) observeLeaving(catalog *cataloger.Catalog, assignment cataloger.PrimaryAssignment) {
	seen := o.observed[assignment.Service]
	primary, ok := catalog.Endpoint(assignment.Service, seen.assignment.ID)
	switch leaving := ok && primary.StartedAtMillis == seen.assignment.StartedAtMillis && (primary.Draining || catalog.Evacuated[primary.DataCentre]); {
	case !leaving:
		seen.leavingSince = time.Time{}
	case seen.leavingSince.IsZero():
		seen.leavingSince = o.Now()
	}
	o.observed[assignment.Service] = seen
}

// plannedChangeDue reports whether the primary of a service leaves so soon that its replacement
// is begun although it may take longer than usual: no host may use it once it has left.
func (o *Overseer) plannedChangeDue(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.observed[service].leavingSince
	return !since.IsZero() && o.Now().Sub(since) >= maxPlannedDelay
}

// observeAssignment records an assignment; the caller holds the mutex. Older ones are ignored.
func (o *Overseer) observeAssignment(assignment cataloger.PrimaryAssignment) {
	seen, ok := o.observed[assignment.Service]
	if ok && assignment.Revision < seen.assignment.Revision {
		return
	}
	now := o.Now()
	same := assignment.ID == seen.assignment.ID && assignment.StartedAtMillis == seen.assignment.StartedAtMillis
	completed := seen.assignment.Changing && !assignment.Changing
	if !ok || !same || completed {
		seen.assignedAt, seen.leavingSince = now, time.Time{}
	}
	if !ok || assignment.Pending != seen.assignment.Pending || completed {
		seen.pendingSince = now
	}
	seen.assignment = assignment
	o.observed[assignment.Service] = seen
}

// sinceAssigned returns for how long this host has known that the primary is assigned.
func (o *Overseer) sinceAssigned(service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Now().Sub(o.observed[service].assignedAt)
}

// recordRequest records that this host requests the pending promotion of a service.
func (o *Overseer) recordRequest(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.observed[service]
	seen.pendingSince = o.Now()
	o.observed[service] = seen
}

// pendingExpired reports whether the pending promotion of a service would have taken effect. A
// former leader may have requested it until this host became the leader, unless the change that
// requested it was complete before this leader recorded the next one.
func (o *Overseer) pendingExpired(service string, complete bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.observed[service].pendingSince
	if !complete && o.ledSince.After(since) {
		since = o.ledSince
	}
	return o.Now().Sub(since) >= promotionEffectTimeout
}

// An observedPartition is since when the primary of one assignment has been unreachable from
// many hosts.
type observedPartition struct {
	revision int64
	since    time.Time
}

// partitionPersists reports whether a primary has been unreachable from many hosts
// without interruption for long enough. Hosts that were partitioned themselves
// report failures that are already over when they return.
func (o *Overseer) partitionPersists(assignment cataloger.PrimaryAssignment, reason Reason) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reason != ReasonPartitioned {
		delete(o.partitionedSince, assignment.Service)
		return false
	}
	partition, ok := o.partitionedSince[assignment.Service]
	if !ok || partition.revision != assignment.Revision {
		partition = observedPartition{revision: assignment.Revision, since: o.Now()}
		o.partitionedSince[assignment.Service] = partition
	}
	return o.Now().Sub(partition.since) >= partitionPersistence
}
