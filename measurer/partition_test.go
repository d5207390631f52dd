package measurer

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"
	"time"
)

// A claimRecorder keeps the log lines of hosts that start to claim a service or release one.
type claimRecorder struct {
	mu     sync.Mutex
	claims []string
}

func (r *claimRecorder) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("msg=service_claim_started")) || bytes.Contains(line, []byte("msg=service_released")) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claims = append(r.claims, string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

func (r *claimRecorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claims
}

// TestPartitionedHostTakesNoServices guards against a host that takes a service
// from its holder while it is partitioned from the other hosts, but not from the
// databases and the store. Each host but the holder has to claim the service before
// it promotes a database. Promotions are not counted: on a busy machine the holder
// itself promotes a database that did not respond for promoter.FailureTimeout.
func TestPartitionedHostTakesNoServices(t *testing.T) {
	var recorder claimRecorder
	spec := DefaultSpec()
	spec.Hosts, spec.Services = 3, 1
	spec.Logger = slog.New(slog.NewTextHandler(&recorder, nil))
	f := &Fleet{Spec: spec}
	t.Cleanup(f.Stop)
	if err := f.Start(t.Context()); err != nil {
		t.Fatalf("Start: %v", err)
	}
	holder := f.HolderOf(ServiceName(1))
	if got := len(recorder.recorded()); got == 0 {
		t.Fatal("the claim of the first holder is not recorded")
	}
	for _, h := range f.Hosts {
		if h == holder {
			continue
		}
		before := len(recorder.recorded())
		f.PartitionFromPeers(h, true)
		time.Sleep(2 * time.Second)
		f.PartitionFromPeers(h, false)
		time.Sleep(time.Second)
		if got := recorder.recorded()[before:]; len(got) > 0 {
			t.Errorf("claims and releases while %s was partitioned: got %q, want none", h.Name, got)
		}
	}
}
