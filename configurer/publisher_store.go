package configurer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// writeChunks writes the encoded configuration under keys that no other
// publication uses, so a write can be retried after its response was lost.
func (p *Publisher) writeChunks(ctx context.Context, pub publication) error {
	for i, key := range pub.head.Chunks {
		backoff := p.newBackoff()
		for {
			swapped, entry, err := p.Store.CompareAndSwap(ctx, key, 0, pub.chunkValues[i], 0)
			if err == nil && (swapped || slices.Equal(entry.Value, pub.chunkValues[i])) {
				break
			}
			if err == nil {
				return errors.Errorf("key %s contains another configuration", key)
			}
			if !errors.Is(err, storer.ErrUnavailable) || backoff.exhausted() || !backoff.wait(ctx) {
				return errors.WithMessage(err, "write configuration")
			}
		}
	}
	return nil
}

// swapHead replaces the head in the store by that of the publication. If the
// response is lost, it reads the head again and, while the head is unchanged,
// retries the same compare-and-swap. This is safe: of all swaps that expect the
// same ModRevision the store executes at most one, and the publish ID in the head
// identifies it.
func (p *Publisher) swapHead(ctx context.Context, pub publication) error {
	value, err := pub.head.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	backoff := p.newBackoff()
	for {
		swapped, entry, err := p.Store.CompareAndSwap(ctx, HeadKey, pub.headModRevision, value, 0)
		if err == nil {
			if swapped {
				return nil
			}
			return pub.resolveOutcome(entry)
		}
		if !errors.Is(err, storer.ErrUnavailable) {
			return errors.WithMessage(err, "write head")
		}
		p.logger().Warn("publication_response_lost", "revision", pub.head.Revision, "publish_id", pub.head.PublishID, "err", err.Error())
		reread, err := p.rereadHead(ctx, pub, backoff, err)
		if err != nil {
			return err
		}
		if reread.ModRevision != pub.headModRevision {
			return pub.resolveOutcome(reread)
		}
	}
}

// rereadHead reads the entry of the head, retrying until the store responds or
// ctx ends.
func (p *Publisher) rereadHead(ctx context.Context, pub publication, backoff *backoff, cause error) (storer.Entry, error) {
	for {
		if !backoff.wait(ctx) {
			return storer.Entry{}, errors.WithMessagef(cause, "outcome of publishing revision %d unknown", pub.head.Revision)
		}
		entry, err := p.Store.Get(ctx, HeadKey)
		switch {
		case err == nil:
			return entry, nil
		case errors.Is(err, storer.ErrNotFound):
			return storer.Entry{Key: HeadKey}, nil
		case !errors.Is(err, storer.ErrUnavailable):
			return storer.Entry{}, errors.WithMessage(err, "read head again")
		}
	}
}

// resolveOutcome determines from the entry of the head whether the publication
// succeeded, and returns nil if so. Other publications may have followed it, so
// the earlier publish IDs in the head count too.
func (pub publication) resolveOutcome(entry storer.Entry) error {
	if entry.ModRevision == 0 {
		return &ConflictError{}
	}
	head, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	if head.PublishID == pub.head.PublishID || slices.Contains(head.Earlier, pub.head.PublishID) {
		return nil
	}
	if head.Revision > pub.head.Revision+uint64(len(head.Earlier)) {
		return errors.Wrapf(storer.ErrUnavailable, "outcome of publishing revision %d unknown: the head no longer lists its publish ID", pub.head.Revision)
	}
	return &ConflictError{Revision: head.Revision}
}

// deleteOldConfigs deletes all configurations except the last retainedConfigs.
// It also deletes what publishers left behind after a conflict or crash, once its
// revision is old enough.
func (p *Publisher) deleteOldConfigs(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	entries, err := p.Store.Range(ctx, configKeyPrefix)
	if err != nil {
		p.logger().Warn("old_configurations_not_deleted", "err", err.Error())
		return
	}
	for _, entry := range entries {
		old, ok := configKeyRevision(entry.Key)
		if !ok || old+retainedConfigs > revision {
			continue
		}
		if _, err := p.Store.Delete(ctx, entry.Key, entry.ModRevision); err != nil {
			p.logger().Warn("old_configuration_not_deleted", "key", entry.Key, "err", err.Error())
		}
	}
}

// deleteChunks deletes the chunks of a publication that failed with a conflict.
func (p *Publisher) deleteChunks(ctx context.Context, keys []string) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	for _, key := range keys {
		entry, err := p.Store.Get(ctx, key)
		if err == nil {
			_, err = p.Store.Delete(ctx, key, entry.ModRevision)
		}
		if err != nil {
			p.logger().Warn("publication_chunk_not_deleted", "key", key, "err", err.Error())
		}
	}
}

// maxChunkRetries bounds how often the write of a chunk is retried.
const maxChunkRetries = 8

// A backoff waits with exponentially growing delays and full jitter.
type backoff struct {
	random func() uint64
	limit  time.Duration
	count  int
}

func (p *Publisher) newBackoff() *backoff {
	return &backoff{random: p.random, limit: initialBackoff}
}

func (b *backoff) exhausted() bool { return b.count >= maxChunkRetries }

// wait waits for the next delay, and reports false if ctx ended before.
func (b *backoff) wait(ctx context.Context) bool {
	d := time.Duration(b.random() % uint64(b.limit))
	b.limit = min(2*b.limit, maxBackoff)
	b.count++
	return timekeeper.Sleep(ctx, d)
}
