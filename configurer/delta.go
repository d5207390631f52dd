package configurer

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// A Delta turns one set into another. It is much smaller than the second set
// where few objects differ. It is immutable.
type Delta struct {
	// From and FromDigest are those of the set that the delta applies to.
	From       uint64
	FromDigest string
	// To and ToDigest are those of the set that results.
	To       uint64
	ToDigest string
	// changed holds the added and changed objects in their JSON form.
	changed []json.RawMessage
	removed []objectName
}

type objectName struct {
	kind string
	name string
}

// NewDelta returns the delta between two sets. An error says that a set has no
// canonical form.
func NewDelta(from, to Set) (Delta, error) {
	d := Delta{From: from.Revision, FromDigest: from.Digest(), To: to.Revision, ToDigest: to.Digest()}
	if d.FromDigest == "" || d.ToDigest == "" {
		return Delta{}, errors.New("set without a canonical form")
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

// Apply returns the set that results from the delta. Errors wrap ErrDigest if s
// is not the set that the delta starts from, or the result is not the right
// one, and ErrMalformed.
func (d Delta) Apply(s Set) (Set, error) {
	if s.Revision != d.From || s.Digest() != d.FromDigest {
		return Set{}, errors.Wrapf(ErrDigest, "delta from revision %d applied to revision %d", d.From, s.Revision)
	}
	result := s.WithRevision(d.To)
	for _, k := range kinds {
		k.unshare(&result)
	}
	for _, object := range d.removed {
		k, ok := findKind(object.kind)
		if !ok {
			return Set{}, errors.Wrapf(ErrMalformed, "unknown kind %q", object.kind)
		}
		k.remove(&result, object.name)
	}
	for _, raw := range d.changed {
		if object := decodeObject(&result, raw); len(object.faults) > 0 {
			return Set{}, errors.Wrap(ErrMalformed, object.faults[0].String())
		}
	}
	if result.Digest() != d.ToDigest {
		return Set{}, errors.Wrapf(ErrDigest, "delta to revision %d", d.To)
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
	// Removed holds pairs of kind and name.
	Removed [][2]string `json:"removed,omitempty"`
}

// Encode returns the JSON form of the delta.
func (d Delta) Encode() ([]byte, error) {
	wire := wireDelta{From: d.From, FromDigest: d.FromDigest, To: d.To, ToDigest: d.ToDigest, Changed: d.changed}
	for _, object := range d.removed {
		wire.Removed = append(wire.Removed, [2]string{object.kind, object.name})
	}
	data, err := json.Marshal(wire)
	return data, errors.Wrap(err, "delta")
}

// DecodeDelta reads what Delta.Encode wrote. Errors wrap ErrMalformed.
func DecodeDelta(data []byte) (Delta, error) {
	var wire wireDelta
	if err := json.Unmarshal(data, &wire); err != nil {
		return Delta{}, errors.Wrap(ErrMalformed, err.Error())
	}
	d := Delta{From: wire.From, FromDigest: wire.FromDigest, To: wire.To, ToDigest: wire.ToDigest, changed: wire.Changed}
	for _, pair := range wire.Removed {
		d.removed = append(d.removed, objectName{pair[0], pair[1]})
	}
	return d, nil
}

// String returns the revisions that the delta joins.
func (d Delta) String() string {
	return strconv.FormatUint(d.From, 10) + " to " + strconv.FormatUint(d.To, 10)
}
