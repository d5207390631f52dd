package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of a Space.
var (
	// ErrConflict says that an expected revision did not hold; nothing changed.
	ErrConflict = errors.New("revision has changed")
	// ErrCompacted says that the asked part of the history is gone.
	ErrCompacted = errors.New("history is gone")
	// ErrRefused says that the store turned the call away; nothing was done.
	ErrRefused = errors.New("store refused the call")
)

// A Change of a watched space: an entry as it was written, or its deletion.
type Change struct {
	Entry
	Deleted bool
}

// A Page is a part of the entries below a prefix.
type Page struct {
	Entries []Entry
	// More is set if entries follow the last one.
	More bool
	// Revision is that of the whole store when the page was read.
	Revision int64
}

// A Put writes one key under a condition.
type Put struct {
	Key   string
	Value []byte
	// Expected is the revision of the key's last change, 0 if it must not
	// exist.
	Expected int64
	Lease    LeaseID
}

// A Space is a key-value service with one revision for all keys, whose history
// can be asked for by revision. Its functions are set before first use; errors
// wrap the sentinels of this package, and any that is neither ErrRefused nor
// an answer leaves open whether the call took effect.
type Space struct {
	// List returns the entries below prefix that follow the key after.
	List func(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits until there are changes below prefix later than revision,
	// at most for wait, and returns the revision to continue from.
	Changes func(ctx context.Context, prefix string, revision int64, wait time.Duration) ([]Change, int64, error)
	// Write puts a value under its condition and returns the new revision.
	Write func(ctx context.Context, put Put) (int64, error)
	// Grant creates a lease.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease, or returns ErrLeaseExpired.
	Renew func(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
}

// A Conflict is an ErrConflict with the entry that is in force.
type Conflict struct {
	// Now has ModRevision 0 if the key does not exist.
	Now Entry
}

// Error names the key.
func (c *Conflict) Error() string { return "key " + c.Now.Key + ": " + ErrConflict.Error() }

// Is makes a Conflict match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }
