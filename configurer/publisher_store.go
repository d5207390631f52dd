package configurer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

// writeChunks writes the set under keys that no other publication uses, so a
// write whose answer was lost can be repeated.
func (p *Publisher) writeChunks(ctx context.Context, d draft) error {
	for i, key := range d.head.Chunks {
		pause := p.newPause()
		for {
			swapped, now, err := p.Store.CompareAndSwap(ctx, key, 0, d.values[i], 0)
			if err == nil && (swapped || slices.Equal(now.Value, d.values[i])) {
				break
			}
			if err == nil {
				return errors.Errorf("key %s holds another set", key)
			}
			if !errors.Is(err, storer.ErrUnavailable) || pause.spent() || !pause.wait(ctx) {
				return errors.WithMessage(err, "write set")
			}
		}
	}
	return nil
}

// swap makes the draft's head the one in force. After a lost answer it reads
// the head back. While that is unchanged the same swap is sent again, which is
// safe: of all swaps that expect one revision of the head the store takes at
// most one, and it carries this publish id or another publisher's.
func (p *Publisher) swap(ctx context.Context, d draft) error {
	value, err := d.head.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	pause := p.newPause()
	for {
		swapped, now, err := p.Store.CompareAndSwap(ctx, HeadKey, d.replaces, value, 0)
		if err == nil {
			if swapped {
				return nil
			}
			return d.settle(now)
		}
		if !errors.Is(err, storer.ErrUnavailable) {
			return errors.WithMessage(err, "write head")
		}
		p.logger().Warn("answer to publication lost", "revision", d.head.Revision, "publish_id", d.head.PublishID, "err", err.Error())
		inForce, err := p.readBack(ctx, d, pause, err)
		if err != nil {
			return err
		}
		if inForce.ModRevision != d.replaces {
			return d.settle(inForce)
		}
	}
}

// readBack returns the entry of the head as soon as the store gives it.
func (p *Publisher) readBack(ctx context.Context, d draft, pause *pause, cause error) (storer.Entry, error) {
	for {
		if !pause.wait(ctx) {
			return storer.Entry{}, errors.WithMessagef(cause, "publication of revision %d unresolved", d.head.Revision)
		}
		entry, err := p.Store.Get(ctx, HeadKey)
		switch {
		case err == nil:
			return entry, nil
		case errors.Is(err, storer.ErrNotFound):
			return storer.Entry{Key: HeadKey}, nil
		case !errors.Is(err, storer.ErrUnavailable):
			return storer.Entry{}, errors.WithMessage(err, "read head back")
		}
	}
}

// settle says whether the draft was published, judged by the head in force.
// Others may have published after it, so the earlier publications count too.
func (d draft) settle(now storer.Entry) error {
	if now.ModRevision == 0 {
		return &ConflictError{}
	}
	head, err := decodeHead(now.Value)
	if err != nil {
		return err
	}
	if head.PublishID == d.head.PublishID || slices.Contains(head.Earlier, d.head.PublishID) {
		return nil
	}
	if head.Revision > d.head.Revision+uint64(len(head.Earlier)) {
		return errors.Wrapf(storer.ErrUnavailable, "publication of revision %d unresolved: the head no longer lists it", d.head.Revision)
	}
	return &ConflictError{Revision: head.Revision}
}

// clean deletes the sets before the last keptSets. Sets of publishers that
// lost or crashed go the same way, once their revision is old enough.
func (p *Publisher) clean(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, cleanTimeout)
	defer cancel()
	entries, err := p.Store.Range(ctx, setPrefix)
	if err != nil {
		p.logger().Warn("old sets not deleted", "err", err.Error())
		return
	}
	for _, entry := range entries {
		old, ok := revisionOfKey(entry.Key)
		if !ok || old+keptSets > revision {
			continue
		}
		if _, err := p.Store.Delete(ctx, entry.Key, entry.ModRevision); err != nil {
			p.logger().Warn("old set not deleted", "key", entry.Key, "err", err.Error())
		}
	}
}

// discard deletes the chunks of a publication that lost.
func (p *Publisher) discard(ctx context.Context, keys []string) {
	ctx, cancel := context.WithTimeout(ctx, cleanTimeout)
	defer cancel()
	for _, key := range keys {
		entry, err := p.Store.Get(ctx, key)
		if err == nil {
			_, err = p.Store.Delete(ctx, key, entry.ModRevision)
		}
		if err != nil {
			p.logger().Warn("chunk of a lost publication not deleted", "key", key, "err", err.Error())
		}
	}
}

// maxPauses bounds the attempts to write a chunk.
const maxPauses = 8

// A pause waits longer each time, with full jitter.
type pause struct {
	random func() uint64
	limit  time.Duration
	count  int
}

func (p *Publisher) newPause() *pause {
	return &pause{random: p.random, limit: firstPause}
}

func (p *pause) spent() bool { return p.count >= maxPauses }

// wait reports whether ctx outlasted the pause.
func (p *pause) wait(ctx context.Context) bool {
	d := time.Duration(p.random() % uint64(p.limit))
	p.limit = min(2*p.limit, maxPause)
	p.count++
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
