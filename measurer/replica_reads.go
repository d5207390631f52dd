package measurer

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endiveturn/endiveturn/groupemulator"
)

const (
	replicaLag         = 50 * time.Millisecond
	replicaWriteShare  = 0.2
	replicaReadsTarget = 0.95
)

// A readCounter counts the reads that databases run, by the role of the database.
type readCounter struct {
	replica, primary atomic.Int64
}

func (c *readCounter) count(run groupemulator.StatementRun) {
	if !strings.HasPrefix(run.Query, "SELECT") {
		return
	}
	if run.Replica {
		c.replica.Add(1)
	} else {
		c.primary.Add(1)
	}
}

// share returns the fraction of reads that ran on replicas.
func (c *readCounter) share() float64 {
	replica := float64(c.replica.Load())
	return ratio(replica, replica+float64(c.primary.Load()))
}

// replicaLoad returns load of one customer per service, whose sessions read what
// they have written.
func replicaLoad(services int) []ClientGroup {
	var groups []ClientGroup
	for i := range services {
		groups = append(groups, ClientGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i + 1), Clients: 50, Rate: 500, WriteShare: replicaWriteShare, OpsPerHost: 100,
		})
	}
	return groups
}

// measureReplicaReads compares the share of reads on replicas with that of an
// oracle that always has the current applied position of each replica.
func measureReplicaReads(ctx context.Context, options Options) ([]Figure, []Series, error) {
	spec := DefaultSpec()
	spec.Logger, spec.ApplyLag = options.Logger, replicaLag
	counter := &readCounter{}
	spec.OnStatement = counter.count
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	workload := &Workload{Groups: replicaLoad(spec.Services), Hosts: f.RunningHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	runFor(ctx, workload, options.duration(10*time.Second))
	oracle := oracleShare(workload, f, spec.ReceiveDelay+spec.ApplyLag)
	baseline, err := baselineReplicaShare(ctx, options, spec)
	if err != nil {
		return nil, nil, err
	}
	stale, mismatched, _ := workload.Violations()
	return []Figure{
		NewFigure("share_of_oracle", ratio(counter.share(), oracle), AtLeast, replicaReadsTarget).WithBaseline(ratio(baseline, oracle)),
		Info("replica_share", counter.share()).WithBaseline(baseline),
		Info("oracle_share", oracle),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(mismatched), AtMost, 0),
		NewFigure("failed", float64(len(filterOperations(workload.Operations(), notDone))), AtMost, 0),
	}, nil, nil
}

func notDone(o Operation) bool { return o.Outcome != Done }

// runFor applies the load for d.
func runFor(ctx context.Context, w *Workload, d time.Duration) {
	loadCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	w.Run(loadCtx)
}

// oracleShare returns the fraction of reads at whose start a replica had applied
// the session's last acknowledged write. All replicas have the same lag, so one
// comparison suffices.
func oracleShare(w *Workload, f *Fleet, lag time.Duration) float64 {
	committed := make(map[string]time.Time)
	for _, group := range f.Groups {
		for _, write := range group.Writes() {
			committed[write.ID] = write.At
		}
	}
	lastWrite := make(map[string]Operation)
	reads, possible := 0, 0
	for _, o := range w.Operations() {
		session := sessionOf(o.ID)
		if o.Kind == Write {
			if o.Outcome == Done {
				lastWrite[session] = o
			}
			continue
		}
		reads++
		applied := committed[lastWrite[session].ID].Add(lag)
		if !w.start.Add(o.Start).Before(applied) {
			possible++
		}
	}
	return ratio(float64(possible), float64(reads))
}

// sessionOf returns the name of the session in the id of a booking.
func sessionOf(id string) string {
	return id[:strings.LastIndexByte(id, '-')]
}

func baselineReplicaShare(ctx context.Context, options Options, spec FleetSpec) (float64, error) {
	counter := &readCounter{}
	spec.OnStatement = counter.count
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, spec); err != nil {
		return 0, err
	}
	workload := &Workload{Groups: replicaLoad(spec.Services), Hosts: b.Hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	runFor(ctx, workload, options.duration(10*time.Second)/4)
	return counter.share(), nil
}
