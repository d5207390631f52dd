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

// A readCounter counts the reads that databases ran, by their role.
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

func (c *readCounter) share() float64 {
	replica := float64(c.replica.Load())
	return ratio(replica, replica+float64(c.primary.Load()))
}

// replicaLoad is sessions of all customers that read what they wrote.
func replicaLoad(services int) []CallerGroup {
	var groups []CallerGroup
	for i := range services {
		groups = append(groups, CallerGroup{
			Customer: CustomerName(i + 1), Route: RouteName(i + 1), Callers: 50, Rate: 500, WriteShare: replicaWriteShare, Roam: 100,
		})
	}
	return groups
}

// measureReplicaReads compares the share of reads on replicas with that of an
// oracle that knows at each moment what each replica has applied.
func measureReplicaReads(ctx context.Context, options Options) ([]Figure, []Series, error) {
	shape := Today()
	shape.Logger, shape.ApplyLag = options.Logger, replicaLag
	counter := &readCounter{}
	shape.OnStatement = counter.count
	f := &Fleet{Shape: shape}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}
	workload := &Workload{Groups: replicaLoad(shape.Services), Hosts: f.AllHosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	runFor(ctx, workload, options.duration(10*time.Second))
	oracle := oracleShare(workload, f, shape.ReceiveDelay+shape.ApplyLag)
	baseline, err := baselineReplicaShare(ctx, options, shape)
	if err != nil {
		return nil, nil, err
	}
	stale, crossed, _ := workload.Violations()
	return []Figure{
		NewFigure("share_of_oracle", ratio(counter.share(), oracle), AtLeast, replicaReadsTarget).WithBaseline(ratio(baseline, oracle)),
		Info("replica_share", counter.share()).WithBaseline(baseline),
		Info("oracle_share", oracle),
		NewFigure("stale_own_reads", float64(stale), AtMost, 0),
		NewFigure("crossed_answers", float64(crossed), AtMost, 0),
		NewFigure("failed", float64(len(selectOperations(workload.Operations(), notDone))), AtMost, 0),
	}, nil, nil
}

func notDone(o Operation) bool { return o.Outcome != Done }

// runFor puts the load on for a time.
func runFor(ctx context.Context, w *Workload, d time.Duration) {
	load, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	w.Run(load)
}

// oracleShare returns the share of reads at whose start some replica had
// applied the session's last acknowledged write. All replicas have the same
// lag, so one comparison stands for all.
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

// sessionOf returns the session part of a booking's id.
func sessionOf(id string) string {
	return id[:strings.LastIndexByte(id, '-')]
}

func baselineReplicaShare(ctx context.Context, options Options, shape Shape) (float64, error) {
	counter := &readCounter{}
	shape.OnStatement = counter.count
	b := &Baseline{}
	defer b.Stop()
	if err := b.Start(ctx, shape); err != nil {
		return 0, err
	}
	workload := &Workload{Groups: replicaLoad(shape.Services), Hosts: b.Hosts, Seed: options.Seed, Timeout: 6 * time.Second, Logger: options.Logger}
	runFor(ctx, workload, options.duration(10*time.Second)/4)
	return counter.share(), nil
}
