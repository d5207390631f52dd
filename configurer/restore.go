package configurer

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// RestoreHead repairs a store that came back from an older copy: a configuration that an
// operator published keeps its place although the store lost it. head and config are what
// this host uses. If the store's head precedes it, RestoreHead publishes config again under
// its revision. If the store's head was published after the restore under a revision that
// hosts know already, RestoreHead publishes that one under the revision after config's, so
// that hosts use it. It does nothing otherwise, or if another host is first.
func (p *Publisher) RestoreHead(ctx context.Context, head Head, config Config) error {
	current, modRevision, err := ReadHead(ctx, p.Store)
	if err != nil {
		return err
	}
	var pub publication
	switch {
	case current.Revision > head.Revision || current.PublishID == head.PublishID:
		return nil
	case current.Revision == 0 || slices.Contains(head.Earlier, current.PublishID):
		pub, err = p.newPublication(config, head)
	default:
		pub, err = p.successor(ctx, current, config.Revision+1)
	}
	if err != nil {
		return err
	}
	pub.headModRevision = modRevision
	if err := p.writeChunks(ctx, pub); err != nil {
		return err
	}
	err = p.swapHead(ctx, pub)
	if errors.Is(err, ErrConflict) {
		p.deleteChunks(ctx, pub.head.Chunks)
		return nil
	}
	if err != nil {
		return err
	}
	p.logger().Warn("head_restored", "revision", pub.head.Revision, "replaced", current.Revision, "publish_id", pub.head.PublishID)
	return nil
}

// newPublication returns the publication of a configuration under a head that was lost.
func (p *Publisher) newPublication(config Config, head Head) (publication, error) {
	data, err := Encode(config)
	if err != nil {
		return publication{}, err
	}
	pub := publication{config: config, head: head}
	// The chunks of the lost publication may still exist.
	id := fmt.Sprintf("%016x%016x", p.random(), p.random())
	pub.head.Chunks, pub.chunkValues = splitChunks(configKey(config.Revision, id), data)
	return pub, nil
}

// successor returns the publication of the store's configuration under a later revision.
func (p *Publisher) successor(ctx context.Context, current Head, revision uint64) (publication, error) {
	config, err := ReadConfig(ctx, p.Store, current)
	if err != nil {
		return publication{}, err
	}
	config = config.WithRevision(revision)
	id := fmt.Sprintf("%016x%016x", p.random(), p.random())
	return p.newPublication(config, Head{
		Revision: revision, Digest: config.Digest(), PublishID: id, PublishedAt: current.PublishedAt, Earlier: earlierPublishIDs(current),
	})
}
