package configurer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// DefaultPollInterval is the mean time between two reads of the head by a
	// host that does not watch; such hosts learn of changes from their peers.
	DefaultPollInterval = 30 * time.Second
	// DefaultResumeSpread is the time over which watches are established again
	// after an outage, so that the store is not met by all of them at once.
	DefaultResumeSpread = 5 * time.Second
)

// A Follower keeps this host's set up to date. It never goes back to a lower
// revision. Its exported fields are set before Run.
type Follower struct {
	Store storer.Store
	// Watching reports whether this host should hold a watch; nil means it
	// should not. It is asked about once a second.
	Watching func() bool
	// PollInterval is the mean time between two reads of the head where this
	// host does not watch; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// ResumeSpread is the time over which a watch that broke is established
	// again; 0 means DefaultResumeSpread.
	ResumeSpread time.Duration
	// Now returns the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Rand returns a number from 0 up to, but without, 1; nil means a
	// generator seeded by the system.
	Rand func() float64
	// Logger gets a line per event; nil means slog.Default.
	Logger *slog.Logger
	// OnContact is called with the time at which a read of the head was sent
	// that the store answered, once the set that the head names is in force on
	// this host. The set is at least as new as that time. It may be nil.
	OnContact func(time.Time)
	// OnSet is called with each set that comes into force, one call at a time
	// and in the order of revisions. It must not call Offer. It may be nil.
	OnSet func(Set)

	// adopting is held while a set comes into force; it is taken before mu.
	adopting sync.Mutex
	mu       sync.Mutex
	set      Set
	digest   string
	// head is the last head that was read; its revision is 0 before.
	head Head
	// reported is the publish id of the last refused head that was logged.
	reported string
	// refused is the same for the head that was refused last.
	refused string
	isReady bool
	ready   chan struct{}
}

// Set returns the set in force on this host, which has revision 0 before the
// first.
func (f *Follower) Set() Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// Digest returns the revision and the digest of the set in force on this host.
func (f *Follower) Digest() (revision uint64, digest string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Revision, f.digest
}

// Ready returns a channel that is closed once the store named the set in force
// and this host has it, or a later one. An offer by a peer does not close it,
// since the peer may not know of the latest set.
func (f *Follower) Ready() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readyChannel()
}

// readyChannel makes the channel at the first call. The caller holds mu.
func (f *Follower) readyChannel() chan struct{} {
	if f.ready == nil {
		f.ready = make(chan struct{})
	}
	return f.ready
}

func (f *Follower) setReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isReady {
		f.isReady = true
		close(f.readyChannel())
	}
}

// Offer adopts a set that a peer sent, as decoded by Decode or Delta.Apply,
// which check its digest. A set whose revision is not higher than the present
// one is left alone. The error wraps ErrDigest if the set is another one than
// the store or this host knows under its revision.
func (f *Follower) Offer(set Set) error {
	digest := set.Digest()
	f.mu.Lock()
	known, present, presentDigest := f.head, f.set.Revision, f.digest
	f.mu.Unlock()
	switch {
	case set.Revision == known.Revision && known.Revision > present && digest != known.Digest,
		set.Revision == present && present > 0 && digest != presentDigest:
		f.logger().Error("offered set refused", "revision", set.Revision, "digest", digest, "reason", "digest differs")
		return errors.Wrapf(ErrDigest, "offered set of revision %d", set.Revision)
	}
	f.adopt(set, digest, "peer")
	return nil
}

// adopt puts a set into force if its revision is higher.
func (f *Follower) adopt(set Set, digest, source string) {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	f.mu.Lock()
	previous := f.set.Revision
	if set.Revision <= previous {
		f.mu.Unlock()
		return
	}
	f.set, f.digest = set, digest
	f.mu.Unlock()
	f.logger().Info("set adopted", "revision", set.Revision, "previous", previous, "source", source)
	if f.OnSet != nil {
		f.OnSet(set)
	}
}

// follow brings the set of a head into force and refuses an older one.
func (f *Follower) follow(ctx context.Context, head Head) error {
	revision, digest := f.Digest()
	switch {
	case head.Revision < revision:
		f.refuse(head, revision, "older revision: the store may have been restored from a backup")
		return nil
	case head.Revision == revision:
		if revision > 0 && head.Digest != digest {
			f.refuse(head, revision, "another set of the same revision")
		}
		return nil
	}
	f.mu.Lock()
	f.head = head
	f.mu.Unlock()
	set, err := ReadSet(ctx, f.Store, head)
	if err != nil {
		return err
	}
	f.adopt(set, head.Digest, "store")
	return nil
}

// refuse logs once per head that the store's set is not adopted.
func (f *Follower) refuse(head Head, revision uint64, reason string) {
	id := head.PublishID + "/" + head.Digest
	f.mu.Lock()
	again, logged := f.refused == id, f.reported == id
	f.refused = id
	if again {
		f.reported = id
	}
	f.mu.Unlock()
	// A single older head is an answer or an event that was late.
	if again && !logged {
		f.logger().Error("set of the store refused", "revision", head.Revision, "present", revision,
			"publish_id", head.PublishID, "reason", reason)
	}
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

// spread returns a random part of a duration.
func (f *Follower) spread(d time.Duration) time.Duration {
	random := rand.Float64
	if f.Rand != nil {
		random = f.Rand
	}
	return time.Duration(random() * float64(d))
}

func (f *Follower) logger() *slog.Logger {
	if f.Logger != nil {
		return f.Logger
	}
	return slog.Default()
}
