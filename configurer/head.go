package configurer

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// HeadKey is the key under which the store names the set in force.
	HeadKey = "endiveturn/head"
	// setPrefix starts the keys of the sets themselves.
	setPrefix = "endiveturn/set/"
	// maxChunkBytes keeps a value clear of the store's limit of 1 MB.
	maxChunkBytes = 900_000
	// keptSets is the number of sets that stay in the store, for hosts that
	// are about to read one while the next is published.
	keptSets = 5
	// keptPublishIDs is the number of earlier publications that a head lists.
	// A publisher whose answer was lost finds itself there unless more than
	// these followed within resolveTimeout.
	keptPublishIDs = 50
	// maxReads bounds how often a set is looked for whose chunks were deleted
	// while it was read.
	maxReads = 3
)

// A Head names the set in force.
type Head struct {
	// Revision is that of the set; 0 says that nothing was published.
	Revision uint64
	// Digest is that of the set.
	Digest string
	// PublishID identifies the publication; it is drawn at random.
	PublishID string
	// Chunks lists the keys whose values, joined, are the encoded set.
	Chunks []string
	// PublishedAt is the publisher's time.
	PublishedAt time.Time
	// Earlier lists the publish ids of the revisions before, the newest first,
	// at most keptPublishIDs.
	Earlier []string
}

type wireHead struct {
	Revision    uint64    `json:"revision"`
	Digest      string    `json:"digest"`
	PublishID   string    `json:"publish_id"`
	Chunks      []string  `json:"chunks"`
	PublishedAt time.Time `json:"published_at"`
	Earlier     []string  `json:"earlier,omitempty"`
}

// encode returns the JSON form of the head.
func (h Head) encode() ([]byte, error) {
	data, err := json.Marshal(wireHead(h))
	return data, errors.Wrap(err, "head")
}

// decodeHead reads the JSON form of a head. Errors wrap ErrMalformed.
func decodeHead(data []byte) (Head, error) {
	var wire wireHead
	if err := json.Unmarshal(data, &wire); err != nil {
		return Head{}, errors.Wrapf(ErrMalformed, "head: %v", err)
	}
	return Head(wire), nil
}

// ReadHead returns the head and the store's revision of its last change, which
// is 0 if nothing was published.
func ReadHead(ctx context.Context, store storer.Store) (Head, int64, error) {
	entry, err := store.Get(ctx, HeadKey)
	if errors.Is(err, storer.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.WithMessage(err, "head")
	}
	head, err := decodeHead(entry.Value)
	return head, entry.ModRevision, err
}

// ReadSet returns the set that a head names. It is the empty set if nothing
// was published. Errors wrap those of the store, among them ErrNotFound for a
// set that was deleted since, ErrMalformed and ErrDigest.
func ReadSet(ctx context.Context, store storer.Store, head Head) (Set, error) {
	if head.Revision == 0 {
		return Set{}, nil
	}
	var data []byte
	for _, key := range head.Chunks {
		entry, err := store.Get(ctx, key)
		if err != nil {
			return Set{}, errors.WithMessagef(err, "set of revision %d", head.Revision)
		}
		data = append(data, entry.Value...)
	}
	set, digest, err := decodeSet(data)
	if err != nil {
		return Set{}, errors.WithMessagef(err, "set of revision %d", head.Revision)
	}
	if set.Revision != head.Revision || digest != head.Digest {
		return Set{}, errors.Wrapf(ErrDigest, "set of revision %d is not the one of the head", head.Revision)
	}
	return set, nil
}

// readCurrent returns the set in force with its head. A set that is deleted
// while it is read has been replaced by several later ones, so the head is read
// again.
func readCurrent(ctx context.Context, store storer.Store) (Set, Head, int64, error) {
	for attempt := 1; ; attempt++ {
		head, modRevision, err := ReadHead(ctx, store)
		if err != nil {
			return Set{}, Head{}, 0, err
		}
		set, err := ReadSet(ctx, store, head)
		if errors.Is(err, storer.ErrNotFound) && attempt < maxReads {
			continue
		}
		return set, head, modRevision, err
	}
}

// setKey returns the key of a set, which starts with its revision.
func setKey(revision uint64, publishID string) string {
	return setPrefix + strconv.FormatUint(revision, 10) + "-" + publishID
}

// revisionOfKey returns the revision that a key of a set starts with.
func revisionOfKey(key string) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, setPrefix), "-")
	if !ok {
		return 0, false
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	return revision, err == nil
}

// split divides an encoded set into values for the store, with their keys.
func split(key string, data []byte) (keys []string, values [][]byte) {
	if len(data) <= maxChunkBytes {
		return []string{key}, [][]byte{data}
	}
	for i := 0; len(data) > 0; i++ {
		n := min(len(data), maxChunkBytes)
		keys = append(keys, key+"/"+strconv.Itoa(i))
		values = append(values, data[:n])
		data = data[n:]
	}
	return keys, values
}
