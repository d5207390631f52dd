package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/storeemulator"
	"github.com/endiveturn/endiveturn/storer"
)

const (
	// inForceTarget is the longest time in ms from the acceptance of a revision
	// until it is in force on the last host.
	inForceTarget = 3000
	// publicationPause is the pause between publications.
	publicationPause = 150 * time.Millisecond
	// staleTime is how long a restarting host reaches only hosts with an older
	// revision. It is well below the target, because those hosts cannot receive
	// the revision before it ends.
	staleTime = 1200 * time.Millisecond
	// storeDownTime is the length of an outage of the store.
	storeDownTime = 4 * time.Second
	// watchResumeTime is the time for hosts to resume watches after an outage.
	watchResumeTime = 500 * time.Millisecond
)

// A publication is a revision that the store has accepted.
type publication struct {
	revision uint64
	// earliest is a lower bound of the time of acceptance.
	earliest time.Time
	// key is the name of the key that the revision added.
	key string
}

// A publicationRun publishes revisions under faults and records the accepted
// ones.
type publicationRun struct {
	fleet   *Fleet
	monitor *revisionMonitor
	rng     *rand.Rand
	stores  []*storer.Client

	mu           sync.Mutex
	publications []publication
	edits        int
	// failed is the number of publications that failed.
	failed int
}

// measureConfigInForce publishes revisions one after another, by two operators
// concurrently, with lost responses of the store, while hosts restart, and around
// an outage of the store. A revision is in force when no host serves with an older
// one. The naive baseline reads its configuration only when it starts, so there is
// no figure to compare with.
func measureConfigInForce(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger = options.Logger
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	r := &publicationRun{
		fleet: f, rng: rand.New(rand.NewPCG(options.Seed, 0)), monitor: newRevisionMonitor(),
	}
	for range 2 {
		client := &storer.Client{Addresses: []string{f.StoreAddress}, Logger: options.Logger}
		defer client.Close()
		r.stores = append(r.stores, client)
	}
	watchCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.monitor.run(watchCtx, f)
	}()
	err := r.run(ctx)
	pauseFor(ctx, time.Second)
	stop()
	<-done
	if err != nil {
		return nil, nil, err
	}
	return r.figures(ctx), nil, nil
}

// run publishes under each kind of fault in turn.
func (r *publicationRun) run(ctx context.Context) error {
	for _, phase := range []func(context.Context) error{
		r.publishSequentially, r.publishConcurrently, r.publishWithLostResponses, r.publishWithRestarts,
		r.publishWithPartitionedHost, r.restartAmongStaleHosts, r.outageWithRestart(storeemulator.Refuse), r.outageWithRestart(storeemulator.Hang),
	} {
		if err := phase(ctx); err != nil {
			return err
		}
		pauseFor(ctx, publicationPause)
	}
	return ctx.Err()
}

// publish publishes one edit of an operator. A publication that fails because the
// store is unavailable is retried. notBefore is a time before which it cannot be
// accepted.
func (r *publicationRun) publish(ctx context.Context, operator int, notBefore time.Time) {
	r.mu.Lock()
	r.edits++
	key := fmt.Sprintf("probe_%d", r.edits)
	r.mu.Unlock()
	start := time.Now()
	revision, err := r.addKey(ctx, operator, key)
	for errors.Is(err, storer.ErrUnavailable) && ctx.Err() == nil {
		pauseFor(ctx, publicationPause)
		if start = time.Now(); start.Before(notBefore) {
			start = notBefore
		}
		revision, err = r.addKey(ctx, operator, key)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed++
		r.fleet.Spec.Logger.Warn("publication_failed", "key", key, "error", err)
		return
	}
	r.publications = append(r.publications, publication{revision: revision, earliest: start, key: key})
}

// addKey publishes an additional key of the first customer.
func (r *publicationRun) addKey(ctx context.Context, operator int, key string) (uint64, error) {
	publisher := &configurer.Publisher{Store: r.stores[operator], Logger: r.fleet.Spec.Logger}
	return publisher.Update(ctx, func(config configurer.Config) (configurer.Config, error) {
		template := config.Keys[KeyName(CustomerName(1))]
		template.Name = key
		return config.WithKey(template), nil
	})
}

func (r *publicationRun) publishSequentially(ctx context.Context) error {
	for range 4 {
		r.publish(ctx, 0, time.Time{})
		pauseFor(ctx, publicationPause)
	}
	return nil
}

func (r *publicationRun) publishConcurrently(ctx context.Context) error {
	for range 3 {
		r.publishFromBoth(ctx)
		pauseFor(ctx, publicationPause)
	}
	return nil
}

// publishFromBoth makes both operators publish concurrently.
func (r *publicationRun) publishFromBoth(ctx context.Context) {
	var group sync.WaitGroup
	for operator := range r.stores {
		group.Go(func() { r.publish(ctx, operator, time.Time{}) })
	}
	group.Wait()
}

func (r *publicationRun) publishWithLostResponses(ctx context.Context) error {
	for lost := range 4 {
		r.fleet.Store.DropResponses(lost + 1)
		r.publishFromBoth(ctx)
		pauseFor(ctx, publicationPause)
	}
	r.fleet.Store.DropResponses(0)
	return nil
}

// publishWithRestarts publishes while hosts restart. The first is stopped
// gracefully, the others are killed.
func (r *publicationRun) publishWithRestarts(ctx context.Context) error {
	for i := range 3 {
		host := r.randomHost()
		r.publish(ctx, 0, time.Time{})
		if i == 0 {
			r.fleet.StopHost(ctx, host)
		} else {
			r.fleet.KillHost(host)
		}
		r.publish(ctx, 1, time.Time{})
		pauseFor(ctx, publicationPause)
		if err := r.fleet.StartHost(ctx, host); err != nil {
			return err
		}
		r.publish(ctx, 0, time.Time{})
		pauseFor(ctx, 2*publicationPause)
	}
	return r.fleet.AwaitServing(ctx)
}

func (r *publicationRun) randomHost() *FleetHost {
	return r.fleet.Hosts[r.rng.IntN(len(r.fleet.Hosts))]
}

// publishWithPartitionedHost publishes while a host is partitioned from the store.
func (r *publicationRun) publishWithPartitionedHost(ctx context.Context) error {
	host := r.randomHost()
	r.fleet.PartitionFromStore(host, true)
	defer r.fleet.PartitionFromStore(host, false)
	for range 2 {
		r.publish(ctx, 0, time.Time{})
		pauseFor(ctx, 2*publicationPause)
	}
	return nil
}

// restartAmongStaleHosts restarts a host that has the latest revision while it
// reaches only two hosts, which do not have it. It must not serve with their
// revision.
func (r *publicationRun) restartAmongStaleHosts(ctx context.Context) error {
	f := r.fleet
	defer f.healAll()
	chosen := r.rng.Perm(len(f.Hosts))[:3]
	restarted, stale := f.Hosts[chosen[0]], []*FleetHost{f.Hosts[chosen[1]], f.Hosts[chosen[2]]}
	f.isolateGroup(stale)
	r.publish(ctx, 0, time.Time{})
	pauseFor(ctx, publicationPause)
	f.KillHost(restarted)
	f.isolateGroup(append(stale, restarted))
	if err := f.StartHost(ctx, restarted); err != nil {
		return err
	}
	pauseFor(ctx, staleTime)
	f.healAll()
	return f.AwaitServing(ctx)
}

// outageWithRestart begins an outage of the store as soon as the first host serves
// with a new revision, often before the operator has received the response. During
// the outage two other hosts are killed and restarted, and a second operator
// publishes, which the store can accept after the outage at the earliest. An outage
// that begins before any host has read the revision keeps it from all hosts; this
// case is left out.
func (r *publicationRun) outageWithRestart(mode storeemulator.FailureMode) func(context.Context) error {
	return func(ctx context.Context) error {
		var group sync.WaitGroup
		defer group.Wait()
		defer r.fleet.Store.SetFailureMode(storeemulator.Up)
		group.Go(func() { r.publish(ctx, 0, time.Time{}) })
		upToDate, err := r.awaitNewRevision(ctx)
		if err != nil {
			return err
		}
		r.fleet.Store.SetFailureMode(mode)
		if err := r.restartOthers(ctx, upToDate); err != nil {
			return err
		}
		end := time.Now().Add(storeDownTime / 2)
		group.Go(func() { r.publish(ctx, 1, end) })
		pauseFor(ctx, time.Until(end))
		r.fleet.Store.SetFailureMode(storeemulator.Up)
		group.Wait()
		pauseFor(ctx, watchResumeTime)
		r.publish(ctx, 0, time.Time{})
		return r.fleet.AwaitServing(ctx)
	}
}

// awaitNewRevision returns the first host that serves with a higher revision than
// all hosts did before.
func (r *publicationRun) awaitNewRevision(ctx context.Context) (*FleetHost, error) {
	before := uint64(0)
	for _, h := range r.fleet.Hosts {
		before = max(before, h.Server().Config().Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTarget*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		for _, h := range r.fleet.Hosts {
			if h.Server().Config().Revision > before {
				return h, nil
			}
		}
		pauseFor(ctx, 100*time.Microsecond)
	}
	return nil, errors.Errorf("no host serves with a revision above %d", before)
}

// restartOthers kills and restarts two random hosts, one after the other, but not
// upToDate, which serves with the new revision. The first stays down for a pause,
// the second is started at once.
func (r *publicationRun) restartOthers(ctx context.Context, upToDate *FleetHost) error {
	for i, pause := range []time.Duration{publicationPause, storeDownTime / 2} {
		host := r.randomHost()
		for host == upToDate {
			host = r.randomHost()
		}
		r.fleet.KillHost(host)
		if i == 0 {
			pauseFor(ctx, publicationPause)
		}
		if err := r.fleet.StartHost(ctx, host); err != nil {
			return err
		}
		pauseFor(ctx, pause)
	}
	return nil
}

func (r *publicationRun) figures(ctx context.Context) []Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var times []float64
	highest := uint64(0)
	revisions := map[uint64]int{}
	for _, p := range r.publications {
		host, at := r.monitor.lastBelow(p.revision)
		elapsed := max(0, milliseconds(at.Sub(p.earliest)))
		r.fleet.Spec.Logger.Info("revision_in_force", "revision", p.revision, "key", p.key, "last_host", host, "after_ms", elapsed)
		times = append(times, elapsed)
		highest = max(highest, p.revision)
		revisions[p.revision]++
	}
	duplicates := 0
	for _, n := range revisions {
		duplicates += n - 1
	}
	return []Figure{
		NewFigure("in_force_worst_ms", percentile(times, 1), AtMost, inForceTarget),
		Info("in_force_p50_ms", percentile(times, 0.5)),
		NewFigure("reversions", float64(r.monitor.reversions), AtMost, 0),
		NewFigure("hosts_without_last_revision", float64(len(r.fleet.Hosts)-r.monitor.countReached(highest)), AtMost, 0),
		NewFigure("edits_lost", float64(r.countLostEdits(ctx)), AtMost, 0),
		NewFigure("revisions_accepted_twice", float64(duplicates), AtMost, 0),
		Info("revisions", float64(len(times))),
		NewFigure("publications_failed", float64(r.failed), AtMost, 0),
		Info("samples", float64(r.monitor.samples)),
		Info("longest_sample_gap_ms", milliseconds(r.monitor.longestSampleGap)),
	}
}

// countLostEdits counts, over all hosts, the accepted edits that a host has lost in
// the end. Each edit adds a key: every host has to have all keys, and a login with
// the last one has to succeed at every host.
func (r *publicationRun) countLostEdits(ctx context.Context) int {
	lost := 0
	for _, p := range r.publications {
		for _, h := range r.fleet.Hosts {
			if _, ok := h.Server().Config().Keys[p.key]; !ok {
				lost++
			}
		}
	}
	last := r.publications[len(r.publications)-1].key
	for _, h := range r.fleet.Hosts {
		if err := logIn(ctx, h, last); err != nil {
			lost++
			r.fleet.Spec.Logger.Warn("login_failed", "host", h.Name, "key", last, "error", err)
		}
	}
	return lost
}

// logIn logs in to a host with a key that has the same secret as the first
// customer's key.
func logIn(ctx context.Context, h *FleetHost, key string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		key, KeySecret(CustomerName(1)), h.ClientAddress, RouteName(1)))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(conn.Close(ctx))
}
