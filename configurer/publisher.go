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

// ErrConflict says that another set was published first. Errors that match it
// are *ConflictError.
var ErrConflict = errors.New("conflict")

// A ConflictError names the revision that is in force instead. It matches
// ErrConflict.
type ConflictError struct {
	// Revision is the revision in force.
	Revision uint64
}

// Error names the revision in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: revision %d is in force", e.Revision)
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

const (
	// maxEdits bounds how often Update starts again after a conflict.
	maxEdits = 8
	// firstPause and maxPause bound the pauses between attempts to reach the
	// store, before jitter.
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	// resolveTimeout bounds how long Publish tries to write the head and reads
	// it back after lost answers.
	resolveTimeout = 30 * time.Second
	// cleanTimeout bounds the deletion of old sets, which the next publication
	// catches up with.
	cleanTimeout = 5 * time.Second
)

// A Publisher writes sets to the store for all hosts. Its exported fields are
// set before first use.
type Publisher struct {
	Store storer.Store
	// Now returns the time that a publication carries; nil means time.Now.
	Now func() time.Time
	// Rand returns random bits for publish ids and jitter; nil means a
	// generator seeded by the system.
	Rand func() uint64
	// Logger gets a line per publication; nil means slog.Default.
	Logger *slog.Logger
}

// Current returns the set in force, which is empty with revision 0 if nothing
// was published.
func (p *Publisher) Current(ctx context.Context) (Set, error) {
	set, _, _, err := readCurrent(ctx, p.Store)
	return set, err
}

// DryRun returns what Publish would change, or its error, and changes nothing.
func (p *Publisher) DryRun(ctx context.Context, set Set, expectedRevision uint64) ([]Change, error) {
	draft, err := p.prepare(ctx, set, expectedRevision)
	if err != nil {
		return nil, err
	}
	return Diff(draft.inForce, draft.set), nil
}

// Publish puts the set into force as the successor of expectedRevision and
// returns its revision. Errors match ErrInvalid, ErrConflict or
// storer.ErrUnavailable; after the last the set may be in force or, until the
// store has answered, come into force.
func (p *Publisher) Publish(ctx context.Context, set Set, expectedRevision uint64) (uint64, error) {
	draft, err := p.prepare(ctx, set, expectedRevision)
	if err != nil {
		return 0, err
	}
	if err := p.writeChunks(ctx, draft); err != nil {
		return 0, err
	}
	if err := p.swap(ctx, draft); err != nil {
		if errors.Is(err, ErrConflict) {
			p.discard(ctx, draft.head.Chunks)
		}
		return 0, err
	}
	p.logger().Info("set published", "revision", draft.head.Revision, "digest", draft.head.Digest,
		"publish_id", draft.head.PublishID, "chunks", len(draft.head.Chunks))
	p.clean(ctx, draft.head.Revision)
	return draft.head.Revision, nil
}

// Update reads the set in force, edits it and publishes the result. After a
// conflict it starts again with the set that won. It returns the revision in
// force, which is the old one if edit changed nothing.
func (p *Publisher) Update(ctx context.Context, edit func(Set) (Set, error)) (uint64, error) {
	pause := p.newPause()
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
		if err == nil || !errors.Is(err, ErrConflict) || attempt == maxEdits {
			return revision, err
		}
		if !pause.wait(ctx) {
			return 0, err
		}
	}
}

// A draft is a set that is checked and ready to be published.
type draft struct {
	set     Set
	inForce Set
	head    Head
	values  [][]byte
	// replaces is the store's revision of the head that the draft follows.
	replaces int64
}

// prepare checks a set by itself and against the one in force.
func (p *Publisher) prepare(ctx context.Context, set Set, expectedRevision uint64) (draft, error) {
	if err := invalid(Check(set)); err != nil {
		return draft{}, err
	}
	inForce, head, modRevision, err := readCurrent(ctx, p.Store)
	if err != nil {
		return draft{}, err
	}
	if head.Revision != expectedRevision {
		return draft{}, &ConflictError{Revision: head.Revision}
	}
	if err := invalid(CheckChange(inForce, set)); err != nil {
		return draft{}, err
	}
	set = set.WithRevision(expectedRevision + 1)
	data, err := Encode(set)
	if err != nil {
		return draft{}, err
	}
	d := draft{set: set, inForce: inForce, replaces: modRevision}
	id := fmt.Sprintf("%016x%016x", p.random(), p.random())
	d.head = Head{
		Revision:    set.Revision,
		Digest:      set.Digest(),
		PublishID:   id,
		PublishedAt: p.now(),
		Earlier:     earlier(head),
	}
	d.head.Chunks, d.values = split(setKey(set.Revision, id), data)
	return d, nil
}

// earlier returns the publish ids that the successor of a head lists.
func earlier(head Head) []string {
	if head.Revision == 0 {
		return nil
	}
	ids := append([]string{head.PublishID}, head.Earlier...)
	return slices.Clip(ids[:min(len(ids), keptPublishIDs)])
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
