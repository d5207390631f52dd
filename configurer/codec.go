package configurer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// Sentinel errors of Decode and of Delta.
var (
	// ErrMalformed says that data are not an encoded set or delta.
	ErrMalformed = errors.New("malformed encoding")
	// ErrDigest says that a set does not have the digest that it should have.
	ErrDigest = errors.New("digest does not match")
)

// Encode returns the canonical form of a set: equal sets give equal bytes. The
// form contains the digest. An error says that a number has no JSON form,
// which Check finds too.
func Encode(s Set) ([]byte, error) {
	body, err := encodeBody(s)
	if err != nil {
		return nil, err
	}
	return seal(body), nil
}

// Digest returns the SHA-256 of the canonical form of s without the digest, in
// hexadecimal. It covers the revision. It is empty if s has no canonical form.
func (s Set) Digest() string {
	body, err := encodeBody(s)
	if err != nil {
		return ""
	}
	return digestOf(body)
}

// Decode reads what Encode wrote and checks the digest. Errors wrap
// ErrMalformed or ErrDigest.
func Decode(data []byte) (Set, error) {
	set, _, err := decodeSet(data)
	return set, err
}

// decodeSet also returns the digest, which takes as long as the rest to
// compute.
func decodeSet(data []byte) (set Set, digest string, err error) {
	envelope, err := open(data, "digest", "revision", "objects")
	if err != nil {
		return Set{}, "", err
	}
	var objects []json.RawMessage
	targets := []any{&digest, &set.Revision, &objects}
	for i, raw := range envelope {
		if err := json.Unmarshal(raw, targets[i]); err != nil {
			return Set{}, "", errors.Wrap(ErrMalformed, err.Error())
		}
	}
	for _, raw := range objects {
		if err := set.decode(raw); err != nil {
			return Set{}, "", err
		}
	}
	if set.Digest() != digest {
		return Set{}, "", errors.Wrapf(ErrDigest, "revision %d", set.Revision)
	}
	return set, digest, nil
}

// decode adds an object, which must not be there, to tables that are not
// shared.
func (s *Set) decode(raw json.RawMessage) error {
	object := decodeObject(s, raw)
	if object.duplicate {
		object.faults = append(object.faults, Fault{Kind: object.kind, Name: object.name, Message: "given twice"})
	}
	if len(object.faults) > 0 {
		return errors.Wrap(ErrMalformed, object.faults[0].String())
	}
	return nil
}

// encodeBody writes everything but the digest, an object a line.
func encodeBody(s Set) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(`"revision":` + strconv.FormatUint(s.Revision, 10) + `,"objects":[`)
	separator := "\n"
	for _, k := range kinds {
		for _, name := range k.names(&s) {
			b.WriteString(separator)
			separator = ",\n"
			fields, _ := k.get(&s, name)
			if err := encodeObject(&b, k.name, fields); err != nil {
				return nil, errors.Wrapf(err, "%s %s", k.name, name)
			}
		}
	}
	b.WriteString("\n]")
	return b.Bytes(), nil
}

func encodeObject(b *bytes.Buffer, kind string, fields []wireField) error {
	b.WriteString(`{"kind":"` + kind + `"`)
	for _, f := range fields {
		value, err := json.Marshal(f.target)
		if err != nil {
			return errors.Wrap(err, f.name)
		}
		b.WriteString(`,"` + f.name + `":`)
		b.Write(value)
	}
	b.WriteByte('}')
	return nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// seal makes a document of a body and its digest.
func seal(body []byte) []byte {
	data := make([]byte, 0, len(body)+2*sha256.Size+16)
	data = append(data, `{"digest":"`+digestOf(body)+`",`...)
	data = append(data, body...)
	return append(data, "}\n"...)
}

// open returns the values of a document that has exactly the given fields, in
// their order.
func open(data []byte, names ...string) ([]json.RawMessage, error) {
	fields, err := splitObject(data)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(fields) != len(names) {
		return nil, errors.Wrapf(ErrMalformed, "%d fields, want %d", len(fields), len(names))
	}
	values := make([]json.RawMessage, len(names))
	for i, name := range names {
		for _, f := range fields {
			if f.name == name {
				values[i] = f.value
			}
		}
		if values[i] == nil {
			return nil, errors.Wrapf(ErrMalformed, "no field %q", name)
		}
	}
	return values, nil
}
