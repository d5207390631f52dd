// Package storer is the client for the platform's key-value store. Store is the
// minimal interface that the rest of the system uses; Client implements it with a
// subset of the public etcd v3 API.
package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of a Store.
var (
	// ErrUnavailable reports that the store did not respond. A change may or may
	// not have taken effect; read the key before retrying.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNotFound reports that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrLeaseExpired reports that a lease no longer exists.
	ErrLeaseExpired = errors.New("lease expired")
)

// An Entry is a key with its value and revision.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the store at the last change of the key,
	// at least 1; 0 means that the key does not exist.
	ModRevision int64
}

// A LeaseID identifies a lease of the store.
type LeaseID int64

// A Store is the platform's key-value store. Its errors wrap the sentinel errors
// above.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Range returns the entries whose keys start with prefix, sorted by key.
	Range(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's ModRevision equals
	// expectedRevision, where 0 means that the key does not exist. It reports
	// whether it wrote the value, and the current entry. The key is attached to
	// the lease unless lease is 0.
	CompareAndSwap(ctx context.Context, key string, expectedRevision int64, value []byte, lease LeaseID) (swapped bool, current Entry, err error)
	// Delete removes the key if its ModRevision equals expectedRevision.
	Delete(ctx context.Context, key string, expectedRevision int64) (deleted bool, err error)
	// GrantLease creates a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease, or returns ErrLeaseExpired.
	RenewLease(ctx context.Context, lease LeaseID) error
	// Watch sends every later change of keys with the prefix to changes until
	// ctx ends or the connection to the store fails, and then returns the
	// reason. It calls established once, when the store confirmed the watch.
	Watch(ctx context.Context, prefix string, established func(), changes chan<- Entry) error
}
