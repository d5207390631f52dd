package messenger

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// ProtocolVersion is the version of the protocol that this build speaks.
const ProtocolVersion = 1

const (
	// maxFrame bounds every message but the reply of FetchSet.
	maxFrame = 64 << 10
	// maxSetFrame bounds the reply of FetchSet: values of the store are up to
	// 1 MB, and a set has some overhead.
	maxSetFrame = 1_200_000
	// chunkSize is the largest part of an answer or of a batch in one frame.
	chunkSize = 32 << 10
	// maxInline is the size up to which a batch is sent in a single frame.
	maxInline = 48 << 10
	// readBuffer is drpc's limit for a connection. Its reader counts buffered
	// but unparsed frames as well, so it has to be well above maxFrame.
	readBuffer = 256 << 10
	// readSetBuffer is the same for connections that fetch sets.
	readSetBuffer = maxSetFrame + readBuffer
	// defaultMaxBatch bounds a batch that was split into parts.
	defaultMaxBatch = 16 << 20
)

// ErrTooLarge says that a message is over the limit of the protocol.
var ErrTooLarge = errors.New("message too large")

// limitedEncoding refuses messages over the limit in both directions.
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

// MarshalAppend keeps drpc's path without an allocation per message.
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
