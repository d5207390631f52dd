package hoster

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/storer"
)

// countCalls counts the calls to the store by operation and outcome.
func countCalls(store storer.KeyValueStore, registry gometrics.Registry) storer.KeyValueStore {
	count := func(operation string, err error) {
		outcome := "answered"
		if err != nil {
			outcome = "failed"
		}
		gometrics.GetOrRegisterCounter("store_calls."+operation+"."+outcome, registry).Inc(1)
	}
	return storer.KeyValueStore{
		Era: store.Era,
		List: func(ctx context.Context, prefix, after string) (storer.Page, error) {
			page, err := store.List(ctx, prefix, after)
			count("list", err)
			return page, err
		},
		Changes: func(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]storer.Change, int64, error) {
			changes, next, err := store.Changes(ctx, prefix, revision, wait)
			count("watch", err)
			return changes, next, err
		},
		Write: func(ctx context.Context, put storer.Put) (int64, error) {
			revision, err := store.Write(ctx, put)
			count("write", err)
			return revision, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
			lease, err := store.Grant(ctx, ttl)
			count("grant", err)
			return lease, err
		},
		Renew: func(ctx context.Context, lease storer.LeaseID) error {
			err := store.Renew(ctx, lease)
			count("renew", err)
			return err
		},
		Revoke: func(ctx context.Context, lease storer.LeaseID) error {
			err := store.Revoke(ctx, lease)
			count("revoke", err)
			return err
		},
	}
}
