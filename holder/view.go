package holder

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/promoter"
	"github.com/endiveturn/endiveturn/tracker"
)

// unreachableTimeout is how long a replica may fail to respond to status
// queries before the statements that run on it are aborted. A single lost query
// must not end long statements.
const unreachableTimeout = time.Second

// leaseRecheckInterval bounds the wait for a view in which the lease is
// renewed.
const leaseRecheckInterval = 50 * time.Millisecond

// syncView returns the latest view after it has been applied to pools and
// floors. Each batch calls it, so that no batch acts on a view that they do not
// follow yet.
func (h *Holder) syncView() promoter.View {
	configuration := h.Configuration()
	view := h.Group.View()
	if s := h.snapshot.Load(); s != nil && s.configured && configuration.Revision <= s.revision && view.Changed == s.viewChanged {
		return view
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	view = h.Group.View()
	changed := !h.configured || configuration.Revision > h.revision
	if changed && !h.closed {
		h.applyConfiguration(configuration)
	}
	if changed || view.Changed != h.viewChanged {
		h.viewChanged = view.Changed
		h.applyView(view)
	}
	h.snapshot.Store(&snapshot{
		configured: h.configured, revision: h.revision, viewChanged: h.viewChanged, databases: h.databases, replicas: h.replicas,
	})
	return view
}

// applyConfiguration applies a configuration. The caller holds mu.
func (h *Holder) applyConfiguration(configuration Configuration) {
	h.configured = true
	h.revision = configuration.Revision
	next := make(map[string]*database, len(configuration.Databases))
	for _, config := range configuration.Databases {
		d := h.databases[config.Name]
		if d == nil || d.config.Address != config.Address {
			d = h.newDatabase(config)
			d.pool.SetTerm(h.term)
		}
		d.configure(config, configuration.Shares)
		next[config.Name] = d
	}
	for name, d := range h.databases {
		if next[name] != d {
			d.pool.Close()
		}
	}
	h.databases = next
}

// applyView updates pools, floors and replicas to a view. The caller holds mu.
func (h *Holder) applyView(view promoter.View) {
	if view.Term != h.term && !h.closed {
		h.term = view.Term
		for _, d := range h.databases {
			d.pool.SetTerm(view.Term)
		}
	}
	if view.Term == 0 || view.Primary == "" {
		h.replicas = nil
		return
	}
	if now := (promotion{term: view.Term, primary: view.Primary}); now != h.floorBase {
		h.floorBase = now
		h.tracker.Reset(view.Start)
	}
	h.replicas = make([]tracker.Replica, 0, len(view.Members))
	applied, noReplica := uint64(math.MaxUint64), true
	for _, member := range view.Members {
		if !h.inService(view, member) {
			continue
		}
		noReplica = false
		applied = min(applied, member.Status.Applied)
		h.replicas = append(h.replicas, tracker.Replica{Name: member.Name, InService: true, Applied: member.Status.Applied})
	}
	if primary, ok := view.Member(view.Primary); ok && primary.Status.Term == view.Term {
		h.tracker.RecordStatus(primary.QueriedAt, primary.Status.Received, applied, noReplica)
	}
}

// inService reports whether the member may serve reads. Its log is a prefix of
// the log of the primary only while it follows that primary in this term.
func (h *Holder) inService(view promoter.View, member promoter.MemberState) bool {
	d, ok := h.databases[member.Name]
	return ok && !d.config.TakenOut && !member.Draining && member.Reachable && member.Name != view.Primary &&
		member.Status.Role == promoter.RoleReplica && member.Status.Term == view.Term &&
		member.Status.Primary == view.Primary
}

// findDatabase returns a database by name.
func (h *Holder) findDatabase(name string) *database {
	if s := h.snapshot.Load(); s != nil {
		return s.databases[name]
	}
	return nil
}

// servesReads reports whether the replica may serve reads.
func (h *Holder) servesReads(name string) bool {
	s := h.snapshot.Load()
	return s != nil && slices.ContainsFunc(s.replicas, func(r tracker.Replica) bool { return r.Name == name })
}

// readCandidates returns the replicas in service with their loads. The order
// rotates with each call, so that equal loads do not always favour the same
// replica.
func (h *Holder) readCandidates() []tracker.Replica {
	s := h.snapshot.Load()
	if s == nil || len(s.replicas) == 0 {
		return nil
	}
	first := int(h.rotation.Add(1) % uint64(len(s.replicas)))
	replicas := append(append(make([]tracker.Replica, 0, len(s.replicas)), s.replicas[first:]...), s.replicas[:first]...)
	for i := range replicas {
		if d := s.databases[replicas[i].Name]; d != nil {
			replicas[i].Load = d.queue.Load().PerSlot()
		}
	}
	return replicas
}

// maintainPools maintains the idle connections of the databases that accept the
// term. An unreachable replica ends no statement by itself, and the term does
// not change because of it, so the connections to it are closed here and its
// batches can be sent to another database.
func (h *Holder) maintainPools(ctx context.Context, view promoter.View) {
	for _, member := range view.Members {
		d := h.findDatabase(member.Name)
		switch {
		case d == nil || view.Term == 0:
		case member.Reachable && member.Status.Term == view.Term:
			d.pool.MaintainIdle(ctx)
		case !member.Reachable && member.Name != view.Primary && h.Now().Sub(member.QueriedAt) > unreachableTimeout:
			d.pool.Reset()
		}
	}
}

// awaitLease waits until this host has the lease and returns a view under which
// batches may be started.
func (h *Holder) awaitLease(ctx context.Context) (promoter.View, error) {
	for {
		view := h.syncView()
		if view.HasLease(h.Now()) {
			return view, nil
		}
		if err := waitViewChange(ctx, view, leaseRecheckInterval); err != nil {
			return view, err
		}
	}
}

// waitViewChange waits until the view has changed or the timeout has passed.
func waitViewChange(ctx context.Context, view promoter.View, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-view.Changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(context.Cause(ctx))
	}
}
