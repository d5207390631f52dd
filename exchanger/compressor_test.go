package exchanger

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
)

// TestCompressedValues guards against values that change on the way to another host,
// and against compressed values that are sent to a former version, which would store
// an empty configuration.
func TestCompressedValues(t *testing.T) {
	large := bytes.Repeat([]byte(`{"name":"customer","rate":20}`), 2000)
	tests := []struct {
		name  string
		value []byte
		// accepts is set if the receiver accepts compressed values.
		accepts bool
		maxSize int
	}{
		{name: "configuration", value: large, accepts: true, maxSize: len(large) / 8},
		{name: "configuration to a former version", value: large, maxSize: len(large) + 200},
		{name: "small value", value: large[:100], accepts: true, maxSize: 300},
		{name: "empty value", accepts: true, maxSize: 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c compressor
			message := Message{Records: []Record{{Key: "k", Value: test.value, Revision: 3}}}
			if test.accepts {
				message.compress = c.compress
			}
			data := appendMessage(nil, &message)
			if len(data) > test.maxSize {
				t.Errorf("got %d bytes, want at most %d", len(data), test.maxSize)
			}
			got, err := parseMessage(data)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Records[0].Value, test.value) {
				t.Errorf("got %d bytes of value, want the %d that were sent", len(got.Records[0].Value), len(test.value))
			}
		})
	}
}

// TestCompressorKeepsLatest guards against a hub that compresses a configuration for
// every host, and against one that sends a former configuration.
func TestCompressorKeepsLatest(t *testing.T) {
	var c compressor
	first := Record{Key: "k", Value: bytes.Repeat([]byte("a"), minCompressedSize), Revision: 1}
	second := Record{Key: "k", Value: bytes.Repeat([]byte("b"), minCompressedSize), Revision: 2}
	if one, other := c.compress(first), c.compress(first); &one[0] != &other[0] {
		t.Error("the same record was compressed twice")
	}
	got, err := inflate(c.compress(second))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, second.Value) {
		t.Error("got the value of a former revision")
	}
}

// TestMalformedCompressedValue guards against a record that replaces a configuration
// although its value can't be decoded.
func TestMalformedCompressedValue(t *testing.T) {
	bomb := deflate(make([]byte, maxValueSize+1))
	for _, data := range [][]byte{{0xff, 0xff}, bomb} {
		nested := appendNested(appendString(nil, fieldName, "k"), fieldFourth, data)
		if _, err := parseMessage(appendNested(nil, fieldRecord, nested)); !errors.Is(err, errMalformedMessage) {
			t.Errorf("got error %v, want %v", err, errMalformedMessage)
		}
	}
}
