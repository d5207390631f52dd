package configurer

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

// ErrConflict reports that another configuration was published first. Errors
// that match it are of type *ConflictError.
var ErrConflict = errors.New("conflict")

// A ConflictError reports the current revision after a conflict. It matches
// ErrConflict.
type ConflictError struct {
	// Revision is the current revision.
	Revision uint64
}

// Error returns a text with the current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: revision %d is in force", e.Revision)
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

const (
	// maxUpdateAttempts bounds the attempts of Update after conflicts.
	maxUpdateAttempts = 8
	// initialBackoff and maxBackoff bound the delays between attempts to reach
	// the store, before jitter.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// resolveTimeout bounds the time in which Publish tries to write the head
	// and, after lost responses, reads it again to determine the outcome.
	resolveTimeout = 30 * time.Second
	// cleanupTimeout bounds the deletion of old configurations. The next
	// publication deletes those that are left.
	cleanupTimeout = 5 * time.Second
)

// A Publisher publishes configurations to all hosts through the store. Its
// exported fields must be set before first use.
type Publisher struct {
	Store storer.Store
	// Now returns the time for PublishedAt; nil means time.Now.
	Now func() time.Time
	// Rand returns random bits for publish IDs and jitter; nil means
	// rand.Uint64, which is randomly seeded.
	Rand func() uint64
	// Logger receives the log events; nil means slog.Default.
	Logger *slog.Logger
}

// Current returns the current configuration, which is empty with revision 0 if
// nothing was published.
func (p *Publisher) Current(ctx context.Context) (Config, error) {
	config, _, _, err := readCurrent(ctx, p.Store)
	return config, err
}

// DryRun returns the changes that Publish would make, or the error that it would
// return, without publishing.
func (p *Publisher) DryRun(ctx context.Context, config Config, expectedRevision uint64) ([]Change, error) {
	publication, err := p.prepare(ctx, config, expectedRevision)
	if err != nil {
		return nil, err
	}
	return Diff(publication.current, publication.config), nil
}

// Publish makes the configuration the successor of expectedRevision and returns
// its revision. Errors match ErrInvalid, ErrConflict or storer.ErrUnavailable.
// After storer.ErrUnavailable the outcome is unknown: the configuration may be
// current already, or become current later while the store has not responded.
func (p *Publisher) Publish(ctx context.Context, config Config, expectedRevision uint64) (uint64, error) {
	publication, err := p.prepare(ctx, config, expectedRevision)
	if err != nil {
		return 0, err
	}
	if err := p.writeChunks(ctx, publication); err != nil {
		return 0, err
	}
	if err := p.swapHead(ctx, publication); err != nil {
		if errors.Is(err, ErrConflict) {
			p.deleteChunks(ctx, publication.head.Chunks)
		}
		return 0, err
	}
	p.logger().Info("configuration_published", "revision", publication.head.Revision, "digest", publication.head.Digest,
		"publish_id", publication.head.PublishID, "chunks", len(publication.head.Chunks))
	p.deleteOldConfigs(ctx, publication.head.Revision)
	return publication.head.Revision, nil
}

// Update reads the current configuration, edits it and publishes the result.
// After a conflict it starts again with the configuration that was published
// first. It returns the current revision, which is unchanged if edit changed
// nothing.
func (p *Publisher) Update(ctx context.Context, edit func(Config) (Config, error)) (uint64, error) {
	backoff := p.newBackoff()
	for attempt := 1; ; attempt++ {
		current, err := p.Current(ctx)
		if err != nil {
			return 0, err
		}
		edited, err := edit(current)
		if err != nil {
			return 0, err
		}
		if len(Diff(current, edited)) == 0 {
			return current.Revision, nil
		}
		revision, err := p.Publish(ctx, edited, current.Revision)
		if err == nil || !errors.Is(err, ErrConflict) || attempt == maxUpdateAttempts {
			return revision, err
		}
		if !backoff.wait(ctx) {
			return 0, err
		}
	}
}

// A publication is a checked configuration that is ready to be published.
type publication struct {
	config      Config
	current     Config
	head        Head
	chunkValues [][]byte
	// headModRevision is the ModRevision of the head that the publication
	// replaces.
	headModRevision int64
}

// prepare checks a configuration by itself and against the current one, and
// encodes it.
func (p *Publisher) prepare(ctx context.Context, config Config, expectedRevision uint64) (publication, error) {
	if err := newValidationError(Check(config)); err != nil {
		return publication{}, err
	}
	current, head, modRevision, err := readCurrent(ctx, p.Store)
	if err != nil {
		return publication{}, err
	}
	if head.Revision != expectedRevision {
		return publication{}, &ConflictError{Revision: head.Revision}
	}
	if err := newValidationError(CheckChange(current, config)); err != nil {
		return publication{}, err
	}
	config = config.WithRevision(expectedRevision + 1)
	data, err := Encode(config)
	if err != nil {
		return publication{}, err
	}
	pub := publication{config: config, current: current, headModRevision: modRevision}
	id := fmt.Sprintf("%016x%016x", p.random(), p.random())
	pub.head = Head{
		Revision:    config.Revision,
		Digest:      config.Digest(),
		PublishID:   id,
		PublishedAt: p.now(),
		Earlier:     earlierPublishIDs(head),
	}
	pub.head.Chunks, pub.chunkValues = splitChunks(configKey(config.Revision, id), data)
	return pub, nil
}

// earlierPublishIDs returns the publish IDs that the successor of a head lists.
func earlierPublishIDs(head Head) []string {
	if head.Revision == 0 {
		return nil
	}
	ids := append([]string{head.PublishID}, head.Earlier...)
	return slices.Clip(ids[:min(len(ids), retainedPublishIDs)])
}

func (p *Publisher) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Publisher) random() uint64 {
	if p.Rand != nil {
		return p.Rand()
	}
	return rand.Uint64()
}

func (p *Publisher) logger() *slog.Logger {
	if p.Logger != nil {
		return p.Logger
	}
	return slog.Default()
}
