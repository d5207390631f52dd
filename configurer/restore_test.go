package configurer_test

import (
	"context"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/storeemulator"
	"github.com/endiveturn/endiveturn/storer"
)

// startHosts starts subscribers as on the hosts of a fleet, which read the store and
// restore what it lost.
func startHosts(t *testing.T, address string, hosts int) []*configurer.Subscriber {
	t.Helper()
	var subscribers []*configurer.Subscriber
	for range hosts {
		client := &storer.Client{Addresses: []string{address}, Logger: discardLogger}
		s := &configurer.Subscriber{Store: client, ShouldWatch: func() bool { return true }, PollInterval: 100 * time.Millisecond, Logger: discardLogger}
		s.OnRejectedHead = func(ctx context.Context, head configurer.Head, config configurer.Config) {
			// A later rejection tries again.
			_ = (&configurer.Publisher{Store: client, Logger: discardLogger}).RestoreHead(ctx, head, config)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			// Run always returns the error of the context.
			_ = s.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			client.Close()
		})
		subscribers = append(subscribers, s)
	}
	return subscribers
}

// weights returns the weight of the test's customer on each host.
func weights(subscribers []*configurer.Subscriber) []int {
	var list []int
	for _, s := range subscribers {
		list = append(list, s.Config().Customers["acme"].Weight)
	}
	return list
}

func awaitWeight(t *testing.T, subscribers []*configurer.Subscriber, want int) {
	t.Helper()
	var got []int
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		got = weights(subscribers)
		matching := 0
		for _, weight := range got {
			if weight == want {
				matching++
			}
		}
		if matching == len(subscribers) {
			return
		}
	}
	t.Errorf("weights on the hosts: got %v, want %d on each", got, want)
}

// TestPublicationsOutlastRestore guards against publications that were acknowledged to an
// operator and are gone, or never take effect, because the store came back from an older
// copy and gave their revisions out again.
func TestPublicationsOutlastRestore(t *testing.T) {
	tests := []struct {
		name string
		// changes is how many times the weight rises after the restore.
		changes int
	}{
		{name: "no publication after the restore"},
		{name: "one publication", changes: 1},
		{name: "several publications", changes: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &storeemulator.Emulator{Logger: discardLogger}
			address, stop, err := e.Start()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stop)
			client := &storer.Client{Addresses: []string{address}, Logger: discardLogger}
			t.Cleanup(func() { client.Close() })
			publisher := &configurer.Publisher{Store: client, Logger: discardLogger}
			if _, err := publisher.Publish(t.Context(), validConfig(), 0); err != nil {
				t.Fatal(err)
			}
			hosts := startHosts(t, address, 3)
			awaitWeight(t, hosts, 1)
			time.Sleep(1100 * time.Millisecond)
			for i := range 2 {
				incrementWeight(t, publisher, "before")
				awaitWeight(t, hosts, 2+i)
			}
			e.Restore(time.Second)
			want := 3
			for range test.changes {
				incrementWeight(t, publisher, "after")
				current, err := publisher.Current(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				want = current.Customers["acme"].Weight
			}
			awaitWeight(t, hosts, want)
			awaitStoredWeight(t, publisher, want)
		})
	}
}

func awaitStoredWeight(t *testing.T, publisher *configurer.Publisher, want int) {
	t.Helper()
	var got int
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		current, err := publisher.Current(t.Context())
		if err != nil {
			continue
		}
		if got = current.Customers["acme"].Weight; got == want {
			return
		}
	}
	t.Errorf("weight in the store: got %d, want %d", got, want)
}
