// Package storer speaks to the platform's key-value store. Store is the narrow
// interface that the rest of the system uses; Client implements it over a
// subset of the published etcd v3 API.
package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of a Store.
var (
	// ErrUnavailable says that the store gave no answer. A change may or may
	// not have taken effect; read back before trying again.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNotFound says that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrLeaseExpired says that a lease no longer exists.
	ErrLeaseExpired = errors.New("lease expired")
)

// An Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision of the last change of the key, at
	// least 1; 0 stands for a key that does not exist.
	ModRevision int64
}

// A LeaseID identifies a lease of the store.
type LeaseID int64

// A Store is the platform's key-value service. Errors wrap the sentinels above.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Range returns the entries whose keys start with prefix, sorted by key.
	Range(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's ModRevision is still expected
	// (0: the key does not exist). It reports whether it wrote, and the entry
	// now in force. lease 0 means none.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (swapped bool, now Entry, err error)
	// Delete removes the key if its ModRevision is still expected.
	Delete(ctx context.Context, key string, expected int64) (deleted bool, err error)
	// GrantLease creates a lease that ends ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease, or returns ErrLeaseExpired.
	RenewLease(ctx context.Context, lease LeaseID) error
	// Watch sends every later change of keys with the prefix to changes until
	// ctx ends or the store is lost, and then returns the reason. It calls
	// established once, when the store confirmed the watch.
	Watch(ctx context.Context, prefix string, established func(), changes chan<- Entry) error
}
