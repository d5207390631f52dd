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
	// inForceTarget is the time from acceptance to in force on the last host,
	// in ms.
	inForceTarget = 3000
	// revisionPause is the pause between publications.
	revisionPause = 150 * time.Millisecond
	// outdatedTime is how long a host that restarts hears outdated hosts only.
	// It is well below the target, as these cannot learn of the revision before.
	outdatedTime = 1200 * time.Millisecond
	// withoutStore is how long the store is away.
	withoutStore = 4 * time.Second
	// withStoreAgain lets watches come back after an outage.
	withStoreAgain = 500 * time.Millisecond
)

// A publication is a revision that was accepted.
type publication struct {
	revision uint64
	// earliest is a lower bound of the time of its acceptance.
	earliest time.Time
	// key is the key that it added.
	key string
}

// A revisionRun publishes revisions under faults and keeps what was accepted.
type revisionRun struct {
	fleet  *Fleet
	watch  *revisionWatch
	rng    *rand.Rand
	stores []*storer.Client

	mu           sync.Mutex
	publications []publication
	edits        int
	// unaccepted counts the publications that failed.
	unaccepted int
}

// measureConfigInForce publishes revisions one after another, by racing
// operators, with lost answers of the store, while hosts restart, and around an
// outage of the store. A revision is in force when no host serves by an older
// one. The naive version reads its configuration at its start only, so there is
// no figure to compare with.
func measureConfigInForce(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger = options.Logger
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	r := &revisionRun{
		fleet: f, rng: rand.New(rand.NewPCG(options.Seed, 0)), watch: newRevisionWatch(),
	}
	for range 2 {
		client := &storer.Client{Addresses: []string{f.StoreAddress}, Logger: options.Logger}
		defer client.Close()
		r.stores = append(r.stores, client)
	}
	watching, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watch.watch(watching, f)
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

// run goes through the faults.
func (r *revisionRun) run(ctx context.Context) error {
	for _, phase := range []func(context.Context) error{
		r.publishInTurn, r.publishRacing, r.publishWithLostAnswers, r.publishWithRestarts,
		r.publishWithHostCutOff, r.restartAmongOutdated, r.outageWithRestart(storeemulator.Refuse), r.outageWithRestart(storeemulator.Hang),
	} {
		if err := phase(ctx); err != nil {
			return err
		}
		pauseFor(ctx, revisionPause)
	}
	return ctx.Err()
}

// publish lets an operator publish one edit. A publication that fails because
// the store is away is repeated. notBefore is a time before which it cannot be
// accepted.
func (r *revisionRun) publish(ctx context.Context, operator int, notBefore time.Time) {
	r.mu.Lock()
	r.edits++
	key := fmt.Sprintf("probe_%d", r.edits)
	r.mu.Unlock()
	start := time.Now()
	revision, err := r.addKey(ctx, operator, key)
	for errors.Is(err, storer.ErrUnavailable) && ctx.Err() == nil {
		pauseFor(ctx, revisionPause)
		if start = time.Now(); start.Before(notBefore) {
			start = notBefore
		}
		revision, err = r.addKey(ctx, operator, key)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.unaccepted++
		r.fleet.Shape.Logger.Warn("publication failed", "key", key, "error", err)
		return
	}
	r.publications = append(r.publications, publication{revision: revision, earliest: start, key: key})
}

// addKey publishes a further key of the first customer.
func (r *revisionRun) addKey(ctx context.Context, operator int, key string) (uint64, error) {
	publisher := &configurer.Publisher{Store: r.stores[operator], Logger: r.fleet.Shape.Logger}
	return publisher.Update(ctx, func(set configurer.Set) (configurer.Set, error) {
		model := set.Keys[KeyName(CustomerName(1))]
		model.Name = key
		return set.WithKey(model), nil
	})
}

func (r *revisionRun) publishInTurn(ctx context.Context) error {
	for range 4 {
		r.publish(ctx, 0, time.Time{})
		pauseFor(ctx, revisionPause)
	}
	return nil
}

func (r *revisionRun) publishRacing(ctx context.Context) error {
	for range 3 {
		r.publishBoth(ctx)
		pauseFor(ctx, revisionPause)
	}
	return nil
}

// publishBoth lets both operators publish at the same time.
func (r *revisionRun) publishBoth(ctx context.Context) {
	var group sync.WaitGroup
	for operator := range r.stores {
		group.Go(func() { r.publish(ctx, operator, time.Time{}) })
	}
	group.Wait()
}

func (r *revisionRun) publishWithLostAnswers(ctx context.Context) error {
	for lost := range 4 {
		r.fleet.Store.LoseAnswers(lost + 1)
		r.publishBoth(ctx)
		pauseFor(ctx, revisionPause)
	}
	r.fleet.Store.LoseAnswers(0)
	return nil
}

// publishWithRestarts publishes while hosts are killed and started again, one of
// them by a planned stop.
func (r *revisionRun) publishWithRestarts(ctx context.Context) error {
	for i := range 3 {
		victim := r.victim()
		r.publish(ctx, 0, time.Time{})
		if i == 0 {
			r.fleet.StopHost(ctx, victim)
		} else {
			r.fleet.KillHost(victim)
		}
		r.publish(ctx, 1, time.Time{})
		pauseFor(ctx, revisionPause)
		if err := r.fleet.StartHost(ctx, victim); err != nil {
			return err
		}
		r.publish(ctx, 0, time.Time{})
		pauseFor(ctx, 2*revisionPause)
	}
	return r.fleet.AwaitServing(ctx)
}

func (r *revisionRun) victim() *FleetHost {
	return r.fleet.Hosts[r.rng.IntN(len(r.fleet.Hosts))]
}

// publishWithHostCutOff publishes while a host is cut off from the store.
func (r *revisionRun) publishWithHostCutOff(ctx context.Context) error {
	victim := r.victim()
	r.fleet.CutFromStore(victim, true)
	defer r.fleet.CutFromStore(victim, false)
	for range 2 {
		r.publish(ctx, 0, time.Time{})
		pauseFor(ctx, 2*revisionPause)
	}
	return nil
}

// restartAmongOutdated restarts a host that has the latest revision while it
// reaches two hosts only, which do not have it. It must not serve by theirs.
func (r *revisionRun) restartAmongOutdated(ctx context.Context) error {
	f := r.fleet
	defer f.heal()
	chosen := r.rng.Perm(len(f.Hosts))[:3]
	victim, outdated := f.Hosts[chosen[0]], []*FleetHost{f.Hosts[chosen[1]], f.Hosts[chosen[2]]}
	f.cutOffGroup(outdated)
	r.publish(ctx, 0, time.Time{})
	pauseFor(ctx, revisionPause)
	f.KillHost(victim)
	f.cutOffGroup(append(outdated, victim))
	if err := f.StartHost(ctx, victim); err != nil {
		return err
	}
	pauseFor(ctx, outdatedTime)
	f.heal()
	return f.AwaitServing(ctx)
}

// outageWithRestart takes the store away as soon as the first host serves by a
// new revision, often before the operator has the answer. Two other hosts are
// killed and start again during the outage, and a second operator publishes
// during it, which is accepted after its end at the earliest. A store that goes
// away before any host has read a revision keeps it from all of them; that case
// is left out.
func (r *revisionRun) outageWithRestart(down storeemulator.Down) func(context.Context) error {
	return func(ctx context.Context) error {
		var group sync.WaitGroup
		defer group.Wait()
		defer r.fleet.Store.SetDown(storeemulator.Up)
		group.Go(func() { r.publish(ctx, 0, time.Time{}) })
		informed, err := r.awaitFirst(ctx)
		if err != nil {
			return err
		}
		r.fleet.Store.SetDown(down)
		if err := r.restartDuring(ctx, informed); err != nil {
			return err
		}
		end := time.Now().Add(withoutStore / 2)
		group.Go(func() { r.publish(ctx, 1, end) })
		pauseFor(ctx, time.Until(end))
		r.fleet.Store.SetDown(storeemulator.Up)
		group.Wait()
		pauseFor(ctx, withStoreAgain)
		r.publish(ctx, 0, time.Time{})
		return r.fleet.AwaitServing(ctx)
	}
}

// awaitFirst returns the first host that serves by a revision higher than all
// revisions before.
func (r *revisionRun) awaitFirst(ctx context.Context) (*FleetHost, error) {
	before := uint64(0)
	for _, h := range r.fleet.Hosts {
		before = max(before, h.Server().Set().Revision)
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTarget*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		for _, h := range r.fleet.Hosts {
			if h.Server().Set().Revision > before {
				return h, nil
			}
		}
		pauseFor(ctx, 100*time.Microsecond)
	}
	return nil, errors.Errorf("no host serves by a revision after %d", before)
}

// restartDuring kills two hosts, one at once, and starts them again.
func (r *revisionRun) restartDuring(ctx context.Context, informed *FleetHost) error {
	for i, pause := range []time.Duration{revisionPause, withoutStore / 2} {
		victim := r.victim()
		for victim == informed {
			victim = r.victim()
		}
		r.fleet.KillHost(victim)
		if i == 0 {
			pauseFor(ctx, revisionPause)
		}
		if err := r.fleet.StartHost(ctx, victim); err != nil {
			return err
		}
		pauseFor(ctx, pause)
	}
	return nil
}

func (r *revisionRun) figures(ctx context.Context) []Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var times []float64
	highest := uint64(0)
	revisions := map[uint64]int{}
	for _, p := range r.publications {
		host, at := r.watch.lastBelow(p.revision)
		late := max(0, milliseconds(at.Sub(p.earliest)))
		r.fleet.Shape.Logger.Info("revision in force", "revision", p.revision, "key", p.key, "last_host", host, "after_ms", late)
		times = append(times, late)
		highest = max(highest, p.revision)
		revisions[p.revision]++
	}
	shared := 0
	for _, n := range revisions {
		shared += n - 1
	}
	return []Figure{
		NewFigure("in_force_worst_ms", percentile(times, 1), AtMost, inForceTarget),
		Info("in_force_p50_ms", percentile(times, 0.5)),
		NewFigure("reversions", float64(r.watch.reversions), AtMost, 0),
		NewFigure("hosts_without_last_revision", float64(len(r.fleet.Hosts)-r.watch.reached(highest)), AtMost, 0),
		NewFigure("edits_lost", float64(r.editsLost(ctx)), AtMost, 0),
		NewFigure("revisions_accepted_twice", float64(shared), AtMost, 0),
		Info("revisions", float64(len(times))),
		NewFigure("publications_failed", float64(r.unaccepted), AtMost, 0),
		Info("samples", float64(r.watch.samples)),
		Info("longest_sample_gap_ms", milliseconds(r.watch.longest)),
	}
}

// editsLost counts the accepted edits that some host does not honour in the end:
// each edit adds a key, and a login with it has to succeed at every host.
func (r *revisionRun) editsLost(ctx context.Context) int {
	lost := 0
	for _, p := range r.publications {
		for _, h := range r.fleet.Hosts {
			if _, ok := h.Server().Set().Keys[p.key]; !ok {
				lost++
			}
		}
	}
	last := r.publications[len(r.publications)-1].key
	for _, h := range r.fleet.Hosts {
		if err := loginWith(ctx, h, last); err != nil {
			lost++
			r.fleet.Shape.Logger.Warn("login with a new key failed", "host", h.Name, "key", last, "error", err)
		}
	}
	return lost
}

// loginWith logs in at a host with a key whose secret is that of the first
// customer's key.
func loginWith(ctx context.Context, h *FleetHost, key string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		key, KeySecret(CustomerName(1)), h.CallerAddress, RouteName(1)))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(conn.Close(ctx))
}
