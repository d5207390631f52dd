package overseer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
)

// TestLeasesAtFleetStart guards against a fleet whose hosts replace their leases seconds
// after all of them started at once, which takes two calls to the store each and ends the
// watches of all, and against a host whose key is lost while others still confirm its views.
func TestLeasesAtFleetStart(t *testing.T) {
	tests := []struct {
		name string
		// hosts is the size of the fleet, of which this host learns one second after its
		// start.
		hosts int
		want  []time.Duration
	}{
		{name: "large fleet", hosts: 195, want: []time.Duration{hostLeaseTTL}},
		{name: "small fleet", hosts: 9, want: []time.Duration{hostLeaseTTL}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				var granted []time.Duration
				env.overseer.Store.Grant = func(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
					id, err := env.grant(ctx, ttl)
					env.update(func() { granted = append(granted, ttl) })
					return id, err
				}
				startedAt := time.Now()
				env.overseer.Catalog = func() *cataloger.Catalog {
					c := env.catalog()
					if time.Since(startedAt) >= time.Second {
						c.RecentHosts = make([]cataloger.Host, test.hosts)
					}
					return c
				}
				// Another host leads, so that every lease is the host's own.
				env.overseer.StopCampaigning()
				env.start()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				env.update(func() {
					if !slices.Equal(granted, test.want) {
						t.Errorf("got leases of %v, want %v", granted, test.want)
					}
				})
			})
		})
	}
}
