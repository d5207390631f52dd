package messenger

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// errNotProto means that a message is not a proto.Message.
var errNotProto = errors.New("not a protobuf message")

// protoEncoding is the drpc.Encoding of protobuf messages. The generated code has
// the same encoding but does not export it.
type protoEncoding struct{}

// Marshal returns the encoded message.
func (e protoEncoding) Marshal(message drpc.Message) ([]byte, error) {
	return e.MarshalAppend(nil, message)
}

// MarshalAppend appends the encoded message to buf.
func (protoEncoding) MarshalAppend(buf []byte, message drpc.Message) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return buf, errors.Wrapf(errNotProto, "%T", message)
	}
	return proto.MarshalOptions{}.MarshalAppend(buf, m)
}

// Unmarshal decodes a message.
func (protoEncoding) Unmarshal(data []byte, message drpc.Message) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errors.Wrapf(errNotProto, "%T", message)
	}
	return proto.Unmarshal(data, m)
}
