package messenger

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// ProtocolVersion is the version of the protocol that this build supports.
const ProtocolVersion = 1

const (
	// maxFrame bounds every message except the reply of FetchSet, in bytes.
	maxFrame = 64 << 10
	// maxConfigFrame bounds the reply of FetchSet, in bytes: values in the store are
	// at most 1 MB, and an encoded configuration has some overhead.
	maxConfigFrame = 1_200_000
	// chunkSize is the maximum number of bytes of a response or of a split batch in
	// a frame.
	chunkSize = 32 << 10
	// maxInlineBatch is the size in bytes up to which a batch is sent in a single
	// frame.
	maxInlineBatch = 48 << 10
	// maxReadBuffer is the limit of drpc's read buffer of a connection. The buffer
	// also holds frames that are not parsed yet, so the limit has to be well above
	// maxFrame.
	maxReadBuffer = 256 << 10
	// maxConfigReadBuffer is the same limit for connections for FetchSet.
	maxConfigReadBuffer = maxConfigFrame + maxReadBuffer
	// defaultMaxBatch is the default maximum size of a split batch in bytes.
	defaultMaxBatch = 16 << 20
)

// ErrTooLarge means that a message exceeds a size limit of the protocol.
var ErrTooLarge = errors.New("message too large")

// limitedEncoding rejects messages that exceed the limit of their direction.
type limitedEncoding struct {
	drpc.Encoding
	sendLimit    int
	receiveLimit int
}

func (e limitedEncoding) Marshal(message drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(message)
	if err == nil && len(data) > e.sendLimit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes to send", len(data))
	}
	return data, err
}

// MarshalAppend enables drpc to encode messages without an allocation for each.
func (e limitedEncoding) MarshalAppend(buf []byte, message drpc.Message) ([]byte, error) {
	appender, ok := e.Encoding.(interface {
		MarshalAppend([]byte, drpc.Message) ([]byte, error)
	})
	if !ok {
		data, err := e.Marshal(message)
		return append(buf, data...), err
	}
	start := len(buf)
	data, err := appender.MarshalAppend(buf, message)
	if err == nil && len(data)-start > e.sendLimit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes to send", len(data)-start)
	}
	return data, err
}

func (e limitedEncoding) Unmarshal(data []byte, message drpc.Message) error {
	if len(data) > e.receiveLimit {
		return errors.Wrapf(ErrTooLarge, "%d bytes received", len(data))
	}
	return e.Encoding.Unmarshal(data, message)
}
