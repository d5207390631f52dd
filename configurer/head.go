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
	// HeadKey is the key of the head, which names the current configuration.
	HeadKey = "endiveturn/head"
	// configKeyPrefix is the prefix of the keys of the configurations.
	configKeyPrefix = "endiveturn/set/"
	// maxChunkBytes keeps each value well below the store's limit of 1 MB.
	maxChunkBytes = 900_000
	// retainedConfigs is the number of configurations kept in the store, so
	// that hosts can finish reading one while later ones are published.
	retainedConfigs = 5
	// retainedPublishIDs is the number of earlier publications that a head
	// lists. A publisher that lost the response to its write finds its own
	// publish ID there, unless more than this many publications followed
	// within resolveTimeout.
	retainedPublishIDs = 50
	// maxReadAttempts bounds the attempts to read a configuration whose chunks
	// were deleted during the read.
	maxReadAttempts = 3
)

// A Head names the current configuration.
type Head struct {
	// Revision is the revision of the configuration; 0 means that none was
	// published.
	Revision uint64
	// Digest is the digest of the configuration.
	Digest string
	// PublishID is the random identifier of the publication.
	PublishID string
	// Chunks lists the keys whose concatenated values are the encoded
	// configuration.
	Chunks []string
	// PublishedAt is the time of publication by the publisher's clock.
	PublishedAt time.Time
	// Earlier lists the publish IDs of the preceding revisions, newest first,
	// at most retainedPublishIDs.
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
	return data, errors.Wrap(err, "encode head")
}

// decodeHead parses the JSON form of a head. Errors wrap ErrMalformed.
func decodeHead(data []byte) (Head, error) {
	var wire wireHead
	if err := json.Unmarshal(data, &wire); err != nil {
		return Head{}, errors.Wrapf(ErrMalformed, "decode head: %v", err)
	}
	return Head(wire), nil
}

// ReadHead returns the head and its ModRevision in the store, which is 0 if
// nothing was published.
func ReadHead(ctx context.Context, store storer.Store) (Head, int64, error) {
	entry, err := store.Get(ctx, HeadKey)
	if errors.Is(err, storer.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.WithMessage(err, "read head")
	}
	head, err := decodeHead(entry.Value)
	return head, entry.ModRevision, err
}

// ReadConfig returns the configuration that a head names, or an empty one if
// nothing was published. Errors wrap those of the store, including
// storer.ErrNotFound for a configuration that was deleted in the meantime,
// ErrMalformed and ErrDigestMismatch.
func ReadConfig(ctx context.Context, store storer.Store, head Head) (Config, error) {
	if head.Revision == 0 {
		return Config{}, nil
	}
	var data []byte
	for _, key := range head.Chunks {
		entry, err := store.Get(ctx, key)
		if err != nil {
			return Config{}, errors.WithMessagef(err, "read configuration of revision %d", head.Revision)
		}
		data = append(data, entry.Value...)
	}
	config, digest, err := decodeConfig(data)
	if err != nil {
		return Config{}, errors.WithMessagef(err, "decode configuration of revision %d", head.Revision)
	}
	if config.Revision != head.Revision || digest != head.Digest {
		return Config{}, errors.Wrapf(ErrDigestMismatch, "configuration of revision %d does not match the head", head.Revision)
	}
	return config, nil
}

// readCurrent returns the current configuration, its head and the ModRevision of
// the head. A configuration that is deleted while it is read has been superseded
// by several later ones, so readCurrent reads the head again.
func readCurrent(ctx context.Context, store storer.Store) (Config, Head, int64, error) {
	for attempt := 1; ; attempt++ {
		head, modRevision, err := ReadHead(ctx, store)
		if err != nil {
			return Config{}, Head{}, 0, err
		}
		config, err := ReadConfig(ctx, store, head)
		if errors.Is(err, storer.ErrNotFound) && attempt < maxReadAttempts {
			continue
		}
		return config, head, modRevision, err
	}
}

// configKey returns the key of a configuration: the prefix, the revision and the
// publish ID.
func configKey(revision uint64, publishID string) string {
	return configKeyPrefix + strconv.FormatUint(revision, 10) + "-" + publishID
}

// configKeyRevision returns the revision in the key of a configuration, and
// whether the key has one.
func configKeyRevision(key string) (uint64, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, configKeyPrefix), "-")
	if !ok {
		return 0, false
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	return revision, err == nil
}

// splitChunks splits an encoded configuration into chunks that fit into a value
// of the store, and returns them with their keys.
func splitChunks(key string, data []byte) (keys []string, chunks [][]byte) {
	if len(data) <= maxChunkBytes {
		return []string{key}, [][]byte{data}
	}
	for i := 0; len(data) > 0; i++ {
		n := min(len(data), maxChunkBytes)
		keys = append(keys, key+"/"+strconv.Itoa(i))
		chunks = append(chunks, data[:n])
		data = data[n:]
	}
	return keys, chunks
}
