package messenger

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// Errors of calls to a peer that has refused the request.
var (
	// ErrUnimplemented means that the peer has no handler for the request.
	ErrUnimplemented = errors.New("peer does not handle the request")
	// ErrVersion means that the peer does not support this version of the protocol.
	ErrVersion = errors.New("protocol version not supported")
	// ErrRefused means that the peer's handler returned an error.
	ErrRefused = errors.New("peer refused the request")
)

// The drpcerr codes of ErrRefused and ErrVersion.
const (
	codeRefused = 1
	codeVersion = 2
)

// An EncodedConfig is an encoded configuration, or a delta, that one host sends
// to another.
type EncodedConfig struct {
	// Revision is the revision of the configuration after Content is applied.
	Revision uint64
	// Base is the revision to which the delta in Content applies; 0 means that
	// Content is a complete configuration.
	Base uint64
	// Content is the encoded configuration or delta; it is empty if the peer has
	// nothing newer than the requested base revision.
	Content []byte
}

// isHandlerError reports whether the peer sent err as its reply, so that the
// connection is still usable.
func isHandlerError(err error) bool {
	switch drpcerr.Code(err) {
	case codeRefused, codeVersion, drpcerr.Unimplemented:
		return true
	}
	return false
}

// wrapCallError wraps the error of a call with the sentinel of its code, the
// request and the address.
func wrapCallError(err error, request, address string) error {
	if err == nil {
		return nil
	}
	switch drpcerr.Code(err) {
	case codeRefused:
		return errors.Wrapf(ErrRefused, "%s at %s: %v", request, address, err)
	case codeVersion:
		return errors.Wrapf(ErrVersion, "%s at %s: %v", request, address, err)
	case drpcerr.Unimplemented:
		return errors.Wrapf(ErrUnimplemented, "%s at %s", request, address)
	}
	return errors.Wrapf(err, "%s at %s", request, address)
}

// Heartbeat sends a heartbeat and returns the peer's reply.
func (c *Client) Heartbeat(ctx context.Context, address string, h gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	reply, err := c.peer(address, false).Heartbeat(ctx, heartbeatToWire(h))
	if err != nil {
		return gossiper.Heartbeat{}, wrapCallError(err, "heartbeat", address)
	}
	return heartbeatFromWire(reply), nil
}

// Probe reports whether the host at the address reaches target.
func (c *Client) Probe(ctx context.Context, address string, target gossiper.Host) (bool, error) {
	request := &peerpb.ProbeRequest{Version: ProtocolVersion, Target: hostToWire(target)}
	reply, err := c.peer(address, false).Probe(ctx, request)
	return reply.GetAnswered(), wrapCallError(err, "probe", address)
}

// FetchSet fetches the configuration, as a delta to the known revision if the
// peer has that revision. With 0 it fetches the complete configuration.
func (c *Client) FetchSet(ctx context.Context, address string, known uint64) (EncodedConfig, error) {
	request := &peerpb.FetchSetRequest{Version: ProtocolVersion, Known: known}
	reply, err := c.peer(address, true).FetchSet(ctx, request)
	if err != nil {
		return EncodedConfig{}, wrapCallError(err, "fetch configuration", address)
	}
	return EncodedConfig{Revision: reply.GetRevision(), Base: reply.GetBase(), Content: reply.GetContent()}, nil
}

// PullTokens requests tokens from the holder of another bucket.
func (c *Client) PullTokens(ctx context.Context, address string, r limiter.PullRequest) (limiter.PullReply, error) {
	reply, err := c.peer(address, false).PullTokens(ctx, &peerpb.PullTokensRequest{
		Version: ProtocolVersion, Customer: r.From.Customer, Service: r.From.Service, Amount: r.Amount,
	})
	return limiter.PullReply{Amount: reply.GetAmount()}, wrapCallError(err, "pull tokens", address)
}

// TakeOver requests that the host at the address claim a service that this host has
// held in the term.
func (c *Client) TakeOver(ctx context.Context, address, service string, term uint64) error {
	request := &peerpb.TakeOverRequest{Version: ProtocolVersion, Service: service, Term: term}
	_, err := c.peer(address, false).TakeOver(ctx, request)
	return wrapCallError(err, "take over", address)
}

// Cancel forwards a client's cancel request.
func (c *Client) Cancel(ctx context.Context, address string, processID uint32, secret []byte) error {
	request := &peerpb.CancelRequest{Version: ProtocolVersion, ProcessId: processID, Secret: secret}
	_, err := c.peer(address, false).Cancel(ctx, request)
	return wrapCallError(err, "cancel", address)
}

// Status returns the status of the peer as JSON.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	reply, err := c.peer(address, false).Status(ctx, &peerpb.StatusRequest{Version: ProtocolVersion})
	return reply.GetJson(), wrapCallError(err, "status", address)
}
