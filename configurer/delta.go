package configurer

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// A Delta transforms one configuration into another. It is much smaller than
// the second configuration if few objects differ. It is immutable.
type Delta struct {
	// FromRevision and FromDigest identify the configuration that the delta
	// applies to.
	FromRevision uint64
	FromDigest   string
	// ToRevision and ToDigest identify the resulting configuration.
	ToRevision uint64
	ToDigest   string
	// changed contains the added and changed objects in their JSON form.
	changed []json.RawMessage
	removed []objectName
}

type objectName struct {
	kind string
	name string
}

// NewDelta returns the delta between two configurations. It fails if one of
// them has no canonical form.
func NewDelta(from, to Config) (Delta, error) {
	d := Delta{FromRevision: from.Revision, FromDigest: from.Digest(), ToRevision: to.Revision, ToDigest: to.Digest()}
	if d.FromDigest == "" || d.ToDigest == "" {
		return Delta{}, errors.New("configuration has no canonical form")
	}
	for _, change := range Diff(from, to) {
		if change.Type == Removed {
			d.removed = append(d.removed, objectName{change.Kind, change.Name})
			continue
		}
		k, _ := findKind(change.Kind)
		fields, _ := k.get(&to, change.Name)
		var b bytes.Buffer
		if err := encodeObject(&b, k.name, fields); err != nil {
			return Delta{}, err
		}
		d.changed = append(d.changed, b.Bytes())
	}
	return d, nil
}

// Apply returns the configuration that results from applying the delta to s.
// Errors wrap ErrDigestMismatch if s is not the configuration that the delta
// applies to or if the result has another digest than ToDigest, and ErrMalformed
// if the delta cannot be decoded.
func (d Delta) Apply(s Config) (Config, error) {
	if s.Revision != d.FromRevision || s.Digest() != d.FromDigest {
		return Config{}, errors.Wrapf(ErrDigestMismatch, "delta from revision %d applied to revision %d", d.FromRevision, s.Revision)
	}
	result := s.WithRevision(d.ToRevision)
	for _, k := range kinds {
		k.cloneTable(&result)
	}
	for _, object := range d.removed {
		k, ok := findKind(object.kind)
		if !ok {
			return Config{}, errors.Wrapf(ErrMalformed, "unknown kind %q", object.kind)
		}
		k.remove(&result, object.name)
	}
	for _, raw := range d.changed {
		if object := decodeObject(&result, raw); len(object.violations) > 0 {
			return Config{}, errors.Wrap(ErrMalformed, object.violations[0].String())
		}
	}
	if result.Digest() != d.ToDigest {
		return Config{}, errors.Wrapf(ErrDigestMismatch, "delta to revision %d", d.ToRevision)
	}
	return result, nil
}

// A wireDelta is the JSON form of a Delta.
type wireDelta struct {
	From       uint64            `json:"from"`
	FromDigest string            `json:"from_digest"`
	To         uint64            `json:"to"`
	ToDigest   string            `json:"to_digest"`
	Changed    []json.RawMessage `json:"changed,omitempty"`
	// Removed contains pairs of kind and name.
	Removed [][2]string `json:"removed,omitempty"`
}

// Encode returns the JSON form of the delta.
func (d Delta) Encode() ([]byte, error) {
	wire := wireDelta{From: d.FromRevision, FromDigest: d.FromDigest, To: d.ToRevision, ToDigest: d.ToDigest, Changed: d.changed}
	for _, object := range d.removed {
		wire.Removed = append(wire.Removed, [2]string{object.kind, object.name})
	}
	data, err := json.Marshal(wire)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDelta parses the output of Delta.Encode. Errors wrap ErrMalformed.
func DecodeDelta(data []byte) (Delta, error) {
	var wire wireDelta
	if err := json.Unmarshal(data, &wire); err != nil {
		return Delta{}, errors.Wrap(ErrMalformed, err.Error())
	}
	d := Delta{FromRevision: wire.From, FromDigest: wire.FromDigest, ToRevision: wire.To, ToDigest: wire.ToDigest, changed: wire.Changed}
	for _, pair := range wire.Removed {
		d.removed = append(d.removed, objectName{pair[0], pair[1]})
	}
	return d, nil
}

// String returns the revision that the delta applies to and the resulting one.
func (d Delta) String() string {
	return strconv.FormatUint(d.FromRevision, 10) + " to " + strconv.FormatUint(d.ToRevision, 10)
}
