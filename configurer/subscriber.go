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
	// host that does not watch the store; such hosts receive changes from
	// their peers.
	DefaultPollInterval = 30 * time.Second
	// DefaultWatchRestartSpread is the time over which hosts spread the restart
	// of their watches after an outage, so that they do not all connect to the
	// store at once.
	DefaultWatchRestartSpread = 5 * time.Second
)

// A Subscriber keeps this host's configuration up to date with the store. It never
// goes back to a lower revision. Its exported fields must be set before Run.
type Subscriber struct {
	Store storer.Store
	// ShouldWatch reports whether this host should watch the store; nil means it
	// should not. It is called about once a second.
	ShouldWatch func() bool
	// PollInterval is the mean time between two reads of the head while this
	// host does not watch the store; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// WatchRestartSpread is the longest random delay before a failed watch is
	// restarted; 0 means DefaultWatchRestartSpread.
	WatchRestartSpread time.Duration
	// Now returns the current time with a monotonic clock reading; nil means
	// time.Now.
	Now func() time.Time
	// Rand returns a random number in [0, 1); nil means rand.Float64,
	// which is randomly seeded.
	Rand func() float64
	// Logger receives the log events; nil means slog.Default.
	Logger *slog.Logger
	// OnStoreContact is called after each read of a head that this host does not
	// reject, once it uses the configuration that the head names or a later one. The
	// argument is the time at which the read was sent: the configuration was
	// current then or is newer. OnStoreContact may be nil.
	OnStoreContact func(time.Time)
	// OnConfig is called with each configuration that this host applies, one call
	// at a time and in the order of revisions. It must not call ApplyFromPeer. It
	// may be nil.
	OnConfig func(Config)

	// OnRejectedHead is called when this host has rejected the head of the store twice in
	// a row, with the configuration that it uses and its head: the store came back from
	// an older copy. It may be nil.
	OnRejectedHead func(ctx context.Context, head Head, config Config)

	// applyMu is held while a configuration is applied and OnConfig runs. It is
	// locked before mu.
	applyMu sync.Mutex
	mu      sync.Mutex
	config  Config
	digest  string
	// head is the head of the highest revision that named a newer configuration
	// than this host had; its revision is 0 before the first.
	head Head
	// loggedID identifies the last rejected head that was logged, by publish ID
	// and digest.
	loggedID string
	// rejectedID identifies the last rejected head in the same way.
	rejectedID string
	synced     bool
	readyCh    chan struct{}
}

// Config returns the configuration that this host uses. Its revision is 0 until the
// first one is applied.
func (s *Subscriber) Config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Digest returns the revision and the digest of the configuration that this host
// uses.
func (s *Subscriber) Digest() (revision uint64, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Revision, s.digest
}

// Ready returns a channel that is closed once the head was read from the store
// and this host uses the configuration that it names or a later one. A
// configuration from a peer does not close it, since the peer may not have the
// latest one.
func (s *Subscriber) Ready() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyChannelLocked()
}

// readyChannelLocked creates the channel on the first call. The caller must hold
// mu.
func (s *Subscriber) readyChannelLocked() chan struct{} {
	if s.readyCh == nil {
		s.readyCh = make(chan struct{})
	}
	return s.readyCh
}

func (s *Subscriber) markSynced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.synced {
		s.synced = true
		close(s.readyChannelLocked())
	}
}

// ApplyFromPeer applies a configuration that a peer sent. It must come from Decode or
// Delta.Apply, which verify its digest. ApplyFromPeer ignores a configuration whose
// revision is not higher than the current one. The error wraps ErrDigestMismatch
// if the store or this host has a different configuration of the same
// revision.
func (s *Subscriber) ApplyFromPeer(config Config) error {
	digest := config.Digest()
	s.mu.Lock()
	head, currentRevision, currentDigest := s.head, s.config.Revision, s.digest
	s.mu.Unlock()
	switch {
	case config.Revision == head.Revision && head.Revision > currentRevision && digest != head.Digest,
		config.Revision == currentRevision && currentRevision > 0 && digest != currentDigest:
		s.logger().Error("peer_configuration_rejected", "revision", config.Revision, "digest", digest, "reason", "digest differs")
		return errors.Wrapf(ErrDigestMismatch, "configuration of revision %d from a peer", config.Revision)
	}
	s.apply(config, digest, "peer")
	return nil
}

// apply replaces the host's configuration if the revision of the new one is
// higher.
func (s *Subscriber) apply(config Config, digest, source string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	previous := s.config.Revision
	if config.Revision <= previous {
		s.mu.Unlock()
		return
	}
	s.config, s.digest = config, digest
	s.mu.Unlock()
	s.logger().Info("configuration_applied", "revision", config.Revision, "previous", previous, "source", source)
	if s.OnConfig != nil {
		s.OnConfig(config)
	}
}

// applyHead reads and applies the configuration that a head names. It rejects a
// head with an older revision or with a different configuration of the current
// revision.
func (s *Subscriber) applyHead(ctx context.Context, head Head) error {
	revision, digest := s.Digest()
	switch {
	case head.Revision < revision:
		s.rejectHead(ctx, head, revision, "older revision: the store may have been restored from a backup")
		return nil
	case head.Revision == revision:
		if revision > 0 && head.Digest != digest {
			s.rejectHead(ctx, head, revision, "another set of the same revision")
		}
		return nil
	}
	s.mu.Lock()
	if head.Revision >= s.head.Revision {
		s.head = head
	}
	s.mu.Unlock()
	config, err := ReadConfig(ctx, s.Store, head)
	if err != nil {
		return err
	}
	s.apply(config, head.Digest, "store")
	return nil
}

// follows reports whether this host uses the configuration that the head names or a
// later one, and has the newest one that any head named.
func (s *Subscriber) follows(head Head) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.head.Revision > s.config.Revision {
		return false
	}
	return s.config.Revision > head.Revision || s.config.Revision == head.Revision && s.digest == head.Digest
}

// rejectHead records that a head of the store is not applied. When the same head is
// rejected twice in a row, it calls OnRejectedHead, and logs this once per head.
func (s *Subscriber) rejectHead(ctx context.Context, head Head, revision uint64, reason string) {
	id := head.PublishID + "/" + head.Digest
	s.mu.Lock()
	repeated, logged := s.rejectedID == id, s.loggedID == id
	s.rejectedID = id
	if repeated {
		s.loggedID = id
	}
	own, config, digest := s.head, s.config, s.digest
	s.mu.Unlock()
	if repeated && s.OnRejectedHead != nil && own.Revision == config.Revision && own.Digest == digest {
		s.OnRejectedHead(ctx, own, config)
	}
	// A single rejection is expected: a delayed response or watch event can
	// contain an older head.
	if repeated && !logged {
		s.logger().Error("store_configuration_rejected", "revision", head.Revision, "present", revision,
			"publish_id", head.PublishID, "reason", reason)
	}
}

func (s *Subscriber) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// jitter returns a random duration in [0, d).
func (s *Subscriber) jitter(d time.Duration) time.Duration {
	random := rand.Float64
	if s.Rand != nil {
		random = s.Rand
	}
	return time.Duration(random() * float64(d))
}

func (s *Subscriber) logger() *slog.Logger {
	if s.Logger != nil {
		return s.Logger
	}
	return slog.Default()
}
