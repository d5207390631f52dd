package exchanger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minCompressedSize is the size in bytes from which a value is compressed.
	minCompressedSize = 4 << 10
	// maxValueSize bounds the size in bytes of a decompressed value. It is above the
	// size of the values that the store takes.
	maxValueSize = 8 << 20
)

// A compressor compresses the values of records. It keeps the result for the latest
// revision of each key, because the hub of a large fleet sends a new configuration to
// every other host. The zero value is ready for use.
type compressor struct {
	mu sync.Mutex
	// values are by key.
	values map[string]compressedValue
}

type compressedValue struct {
	revision int64
	// data is nil if compression does not make the value smaller.
	data []byte
}

// compress returns the compressed value of a record, or nil if the value is to be
// sent as it is.
func (c *compressor) compress(record Record) []byte {
	if len(record.Value) < minCompressedSize {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.values[record.Key]; ok && known.revision == record.Revision {
		return known.data
	}
	data := deflate(record.Value)
	if len(data) >= len(record.Value) {
		data = nil
	}
	if c.values == nil {
		c.values = make(map[string]compressedValue)
	}
	c.values[record.Key] = compressedValue{revision: record.Revision, data: data}
	return data
}

func deflate(value []byte) []byte {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = writer.Write(value)
	_ = writer.Close()
	return buffer.Bytes()
}

// inflate returns the value that deflate was given.
func inflate(data []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxValueSize+1))
	if err != nil {
		return nil, errors.Wrap(errMalformedMessage, err.Error())
	}
	if len(value) > maxValueSize {
		return nil, errors.Wrap(errMalformedMessage, "value too large")
	}
	return value, nil
}
