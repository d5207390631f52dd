package measurer

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

const (
	// maxPause is the longest pause of this process, in which all hosts run, during a trial that
	// is judged. Hosts that were paused for longer do not judge each other: it is the
	// pauseTolerance of package gossiper.
	maxPause = 150 * time.Millisecond
	// maxTrials is the number of trials of which one has to succeed if the process was paused
	// in all others.
	maxTrials = 5
)

// TestReadLeavesPartitionedHolder guards against reads that wait until their
// deadline for a holder that is partitioned while its connections stay open. A trial
// that fails is repeated only if the machine has paused the process meanwhile.
func TestReadLeavesPartitionedHolder(t *testing.T) {
	for trial := 1; ; trial++ {
		pause, err := readFromPartitionedHolder(t)
		if err == nil {
			return
		}
		if pause <= maxPause || trial == maxTrials {
			t.Fatalf("trial %d, longest pause of the process %v: %v", trial, pause, err)
		}
		t.Logf("trial %d is repeated, the process was paused for %v: %v", trial, pause, err)
	}
}

// readFromPartitionedHolder partitions the holder of a service and reads through another host.
// It returns an error if the read takes too long, and the longest pause of the process during
// the read.
func readFromPartitionedHolder(t *testing.T) (pause time.Duration, err error) {
	t.Helper()
	spec := DefaultSpec()
	spec.Hosts, spec.Services = 3, 1
	f := &Fleet{Spec: spec}
	defer f.Stop()
	if err := f.Start(t.Context()); err != nil {
		t.Fatalf("Start: %v", err)
	}
	holder := f.HolderOf(ServiceName(1))
	var entry *FleetHost
	for _, h := range f.Hosts {
		if h != holder {
			entry = h
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, dsn(entry, "customer1", "route1"))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatalf("statement before the partition: %v", err)
	}
	pause = longestPause(func() {
		f.PartitionFromPeers(holder, true)
		start := time.Now()
		// A read may be retried at the next holder. Its deadline is 5 s.
		if _, err = conn.Exec(ctx, "SELECT count(*) FROM bookings"); err != nil {
			err = errors.Wrap(err, "read during the partition: want a response of the next holder")
			return
		}
		if took := time.Since(start); took > 4*time.Second {
			err = errors.Errorf("latency of a read during the partition: got %v, want less than its deadline", took)
		}
	})
	return pause, err
}

// longestPause calls f and returns the longest pause of this process meanwhile.
func longestPause(f func()) time.Duration {
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, last := time.Duration(0), time.Now()
		for {
			stopped := false
			select {
			case <-stop:
				stopped = true
			case <-time.After(10 * time.Millisecond):
			}
			now := time.Now()
			longest, last = max(longest, now.Sub(last)), now
			if stopped {
				result <- longest
				return
			}
		}
	}()
	f()
	close(stop)
	return <-result
}
