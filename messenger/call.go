package messenger

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// Errors that cross the protocol, by their codes.
var (
	// ErrUnimplemented says that the peer has no handler for the request.
	ErrUnimplemented = errors.New("peer does not handle the request")
	// ErrVersion says that the peer does not speak this version of the protocol.
	ErrVersion = errors.New("protocol version not supported")
	// ErrRefused says that the peer's handler returned an error.
	ErrRefused = errors.New("peer refused the request")
)

// The codes of the errors, as drpcerr codes.
const (
	codeRefused = 1
	codeVersion = 2
)

// A Set is a configuration on its way between hosts.
type Set struct {
	// Revision is the revision that Content leads to.
	Revision uint64
	// Base is the revision that Content is a delta against; 0 marks a whole set.
	Base uint64
	// Content is the encoded set or delta; it is empty if the peer has nothing
	// newer than the revision asked with.
	Content []byte
}

// fromHandler reports whether err was sent by the peer as an answer, so that the
// connection is still good.
func fromHandler(err error) bool {
	switch drpcerr.Code(err) {
	case codeRefused, codeVersion, drpcerr.Unimplemented:
		return true
	}
	return false
}

// callError gives an error of a call its sentinel.
func callError(err error, request, address string) error {
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

// Heartbeat sends a heartbeat and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, address string, h gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	reply, err := c.peer(address, false).Heartbeat(ctx, heartbeatToWire(h))
	if err != nil {
		return gossiper.Heartbeat{}, callError(err, "heartbeat", address)
	}
	return heartbeatFromWire(reply), nil
}

// Probe asks the host at the address whether target answers it.
func (c *Client) Probe(ctx context.Context, address string, target gossiper.Host) (bool, error) {
	request := &peerpb.ProbeRequest{Version: ProtocolVersion, Target: hostToWire(target)}
	reply, err := c.peer(address, false).Probe(ctx, request)
	return reply.GetAnswered(), callError(err, "probe", address)
}

// FetchSet asks for the configuration, as a delta against the known revision if
// the peer can; 0 asks for the whole set.
func (c *Client) FetchSet(ctx context.Context, address string, known uint64) (Set, error) {
	request := &peerpb.FetchSetRequest{Version: ProtocolVersion, Known: known}
	reply, err := c.peer(address, true).FetchSet(ctx, request)
	if err != nil {
		return Set{}, callError(err, "fetch set", address)
	}
	return Set{Revision: reply.GetRevision(), Base: reply.GetBase(), Content: reply.GetContent()}, nil
}

// PullTokens asks the holder of another bucket for tokens.
func (c *Client) PullTokens(ctx context.Context, address string, r limiter.PullRequest) (limiter.PullReply, error) {
	reply, err := c.peer(address, false).PullTokens(ctx, &peerpb.PullTokensRequest{
		Version: ProtocolVersion, Customer: r.From.Customer, Service: r.From.Service, Amount: r.Amount,
	})
	return limiter.PullReply{Amount: reply.GetAmount()}, callError(err, "pull tokens", address)
}

// TakeOver asks the host at the address to claim a service that this host held
// in the term.
func (c *Client) TakeOver(ctx context.Context, address, service string, term uint64) error {
	request := &peerpb.TakeOverRequest{Version: ProtocolVersion, Service: service, Term: term}
	_, err := c.peer(address, false).TakeOver(ctx, request)
	return callError(err, "take over", address)
}

// Cancel passes on a caller's cancel request.
func (c *Client) Cancel(ctx context.Context, address string, processID uint32, secret []byte) error {
	request := &peerpb.CancelRequest{Version: ProtocolVersion, ProcessId: processID, Secret: secret}
	_, err := c.peer(address, false).Cancel(ctx, request)
	return callError(err, "cancel", address)
}

// Status returns the peer's description of itself as JSON.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	reply, err := c.peer(address, false).Status(ctx, &peerpb.StatusRequest{Version: ProtocolVersion})
	return reply.GetJson(), callError(err, "status", address)
}
