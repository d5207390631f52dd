package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of a KeyValueStore.
var (
	// ErrConflict reports that a key did not have the expected revision;
	// nothing was changed.
	ErrConflict = errors.New("revision has changed")
	// ErrCompacted reports that the requested part of the history was
	// compacted, or belongs to an earlier era.
	ErrCompacted = errors.New("history compacted")
	// ErrRejected reports that the store rejected the call without executing it.
	ErrRejected = errors.New("store rejected the call")
)

// A Change is a change of an entry in a KeyValueStore: the entry that was written,
// or its deletion.
type Change struct {
	Entry
	Deleted bool
}

// A Page is one page of the entries with a prefix.
type Page struct {
	Entries []Entry
	// More is set if there are entries after the last one of the page.
	More bool
	// Revision is the revision of the store at which the page was read.
	Revision int64
}

// A Put is a conditional write of one key.
type Put struct {
	Key   string
	Value []byte
	// ExpectedRevision is the ModRevision that the key must have; 0 means that the
	// key must not exist.
	ExpectedRevision int64
	Lease            LeaseID
}

// A KeyValueStore is a key-value service that numbers the changes of all its keys
// with a single revision and serves its history by revision. Its revisions are those of
// JoinRevision: they rise also when the service comes back from an older copy. Its functions must be
// set before first use. Their errors wrap the sentinels of this package; after an
// error that is neither ErrRejected nor a response of the store, the outcome of the
// call is unknown.
type KeyValueStore struct {
	// List returns a page of the entries with the prefix whose keys are greater
	// than afterKey.
	List func(ctx context.Context, prefix, afterKey string) (Page, error)
	// Changes waits at most for wait until keys with the prefix have changed
	// after revision, and returns the changes and the revision from which to
	// continue.
	Changes func(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Change, int64, error)
	// Write writes a value if its condition holds, and returns the new
	// revision.
	Write func(ctx context.Context, put Put) (int64, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease, or returns ErrLeaseExpired.
	Renew func(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
	// Era returns the latest era that a response has carried. It rises each time the
	// store comes back from an older copy, without what it acknowledged since that
	// copy.
	Era func() int64
}

// A ConflictError is an ErrConflict with the current entry of the key.
type ConflictError struct {
	// Current is the current entry; its ModRevision is 0 if the key does not
	// exist.
	Current Entry
}

// Error returns a text with the key.
func (c *ConflictError) Error() string { return "key " + c.Current.Key + ": " + ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }
