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

// cutOffTimeout is how long a replica may leave status queries unanswered before
// what it runs is given up. A single lost query must not end long statements.
const cutOffTimeout = time.Second

// leaseRecheck bounds the wait for a view that says that the lease goes on.
const leaseRecheck = 50 * time.Millisecond

// observe returns the latest view after pools and floors follow it. Every batch
// calls it, so that none acts on a view that they have not followed.
func (h *Holder) observe() promoter.View {
	configuration := h.Configuration()
	view := h.Group.View()
	if a := h.applied.Load(); a != nil && a.configured && configuration.Revision <= a.revision && view.Changed == a.seen {
		return view
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	view = h.Group.View()
	changed := !h.configured || configuration.Revision > h.revision
	if changed && !h.closed {
		h.configure(configuration)
	}
	if changed || view.Changed != h.seen {
		h.seen = view.Changed
		h.follow(view)
	}
	h.applied.Store(&applied{
		configured: h.configured, revision: h.revision, seen: h.seen, databases: h.databases, replicas: h.replicas,
	})
	return view
}

// configure follows a configuration. The caller holds mu.
func (h *Holder) configure(configuration Configuration) {
	h.configured = true
	h.revision = configuration.Revision
	next := make(map[string]*database, len(configuration.Databases))
	for _, declared := range configuration.Databases {
		d := h.databases[declared.Name]
		if d == nil || d.declared.Address != declared.Address {
			d = h.newDatabase(declared)
			d.pool.SetTerm(h.term)
		}
		d.configure(declared, configuration.Shares)
		next[declared.Name] = d
	}
	for name, d := range h.databases {
		if next[name] != d {
			d.pool.Close()
		}
	}
	h.databases = next
}

// follow brings pools, floors and replicas up to a view. The caller holds mu.
func (h *Holder) follow(view promoter.View) {
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
	if now := (promotion{term: view.Term, primary: view.Primary}); now != h.based {
		h.based = now
		h.tracker.Reset(view.Start)
	}
	h.replicas = make([]tracker.Replica, 0, len(view.Members))
	applied, none := uint64(math.MaxUint64), true
	for _, member := range view.Members {
		if !h.inService(view, member) {
			continue
		}
		none = false
		applied = min(applied, member.Status.Applied)
		h.replicas = append(h.replicas, tracker.Replica{Name: member.Name, InService: true, Applied: member.Status.Applied})
	}
	if primary, ok := view.Member(view.Primary); ok && primary.Status.Term == view.Term {
		h.tracker.Observe(primary.SeenAt, primary.Status.Received, applied, none)
	}
}

// inService reports whether reads may go to the member: its log is a prefix of
// the primary's only while it follows that primary in this term.
func (h *Holder) inService(view promoter.View, member promoter.MemberView) bool {
	d, ok := h.databases[member.Name]
	return ok && !d.declared.TakenOut && !member.Leaving && member.Reachable && member.Name != view.Primary &&
		member.Status.Role == promoter.RoleReplica && member.Status.Term == view.Term &&
		member.Status.Primary == view.Primary
}

// find returns a database by name.
func (h *Holder) find(name string) *database {
	if a := h.applied.Load(); a != nil {
		return a.databases[name]
	}
	return nil
}

// serves reports whether reads may go to the replica.
func (h *Holder) serves(name string) bool {
	a := h.applied.Load()
	return a != nil && slices.ContainsFunc(a.replicas, func(r tracker.Replica) bool { return r.Name == name })
}

// candidates returns the replicas in service with their loads, each time in
// another order, so that equal loads do not always favour the same one.
func (h *Holder) candidates() []tracker.Replica {
	a := h.applied.Load()
	if a == nil || len(a.replicas) == 0 {
		return nil
	}
	first := int(h.turn.Add(1) % uint64(len(a.replicas)))
	replicas := append(append(make([]tracker.Replica, 0, len(a.replicas)), a.replicas[first:]...), a.replicas[:first]...)
	for i := range replicas {
		if d := a.databases[replicas[i].Name]; d != nil {
			replicas[i].Load = d.queue.Load().Relative()
		}
	}
	return replicas
}

// warm lets the pools of the databases that accept the term keep connections. A
// replica that is cut off ends nothing by itself, and no change of the term does,
// so that what waits for it is broken off here and can be sent elsewhere.
func (h *Holder) warm(ctx context.Context, view promoter.View) {
	for _, member := range view.Members {
		d := h.find(member.Name)
		switch {
		case d == nil || view.Term == 0:
		case member.Reachable && member.Status.Term == view.Term:
			d.pool.Warm(ctx)
		case !member.Reachable && member.Name != view.Primary && h.Now().Sub(member.SeenAt) > cutOffTimeout:
			d.pool.Break()
		}
	}
}

// awaitHeld returns a view under which batches may be started.
func (h *Holder) awaitHeld(ctx context.Context) (promoter.View, error) {
	for {
		view := h.observe()
		if view.Held(h.Now()) {
			return view, nil
		}
		if err := waitView(ctx, view, leaseRecheck); err != nil {
			return view, err
		}
	}
}

// waitView waits until the view has changed or the time is over.
func waitView(ctx context.Context, view promoter.View, atMost time.Duration) error {
	timer := time.NewTimer(atMost)
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
