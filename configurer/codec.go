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
	// ErrMalformed reports data that are not an encoded configuration or delta.
	ErrMalformed = errors.New("malformed encoding")
	// ErrDigestMismatch reports a configuration whose digest differs from the
	// expected one.
	ErrDigestMismatch = errors.New("digest does not match")
)

// Encode returns the canonical form of a configuration: equal configurations
// encode to equal bytes. The encoding contains the digest. Encode fails if a
// number cannot be represented in JSON, which Check reports too.
func Encode(s Config) ([]byte, error) {
	body, err := encodeBody(s)
	if err != nil {
		return nil, err
	}
	return encodeEnvelope(body), nil
}

// Digest returns the hexadecimal SHA-256 of the canonical form of s without the
// digest itself. It covers the revision. It is empty if s has no canonical form.
func (s Config) Digest() string {
	body, err := encodeBody(s)
	if err != nil {
		return ""
	}
	return bodyDigest(body)
}

// Decode parses the output of Encode and verifies the digest. Errors wrap
// ErrMalformed or ErrDigestMismatch.
func Decode(data []byte) (Config, error) {
	config, _, err := decodeConfig(data)
	return config, err
}

// decodeConfig also returns the verified digest, so that callers need not
// compute it again: that takes as long as the rest of the decoding.
func decodeConfig(data []byte) (config Config, digest string, err error) {
	values, err := decodeEnvelope(data, "digest", "revision", "objects")
	if err != nil {
		return Config{}, "", err
	}
	var objects []json.RawMessage
	targets := []any{&digest, &config.Revision, &objects}
	for i, raw := range values {
		if err := json.Unmarshal(raw, targets[i]); err != nil {
			return Config{}, "", errors.Wrap(ErrMalformed, err.Error())
		}
	}
	for _, raw := range objects {
		if err := config.addObject(raw); err != nil {
			return Config{}, "", err
		}
	}
	if config.Digest() != digest {
		return Config{}, "", errors.Wrapf(ErrDigestMismatch, "revision %d", config.Revision)
	}
	return config, digest, nil
}

// addObject decodes an object and adds it to s, whose tables must not be
// shared. It fails if s already contains the object.
func (s *Config) addObject(raw json.RawMessage) error {
	object := decodeObject(s, raw)
	if object.duplicate {
		object.violations = append(object.violations, Violation{Kind: object.kind, Name: object.name, Message: "given twice"})
	}
	if len(object.violations) > 0 {
		return errors.Wrap(ErrMalformed, object.violations[0].String())
	}
	return nil
}

// encodeBody encodes everything except the digest, with one object per line.
func encodeBody(s Config) ([]byte, error) {
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

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// encodeEnvelope returns the document that consists of a body and its digest.
func encodeEnvelope(body []byte) []byte {
	data := make([]byte, 0, len(body)+2*sha256.Size+16)
	data = append(data, `{"digest":"`+bodyDigest(body)+`",`...)
	data = append(data, body...)
	return append(data, "}\n"...)
}

// decodeEnvelope returns the values of the named fields, in the order of names.
// The document must have exactly these fields.
func decodeEnvelope(data []byte, names ...string) ([]json.RawMessage, error) {
	fields, err := splitFields(data)
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
			return nil, errors.Wrapf(ErrMalformed, "missing field %q", name)
		}
	}
	return values, nil
}
