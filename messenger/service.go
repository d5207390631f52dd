package messenger

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// A service maps the requests of the protocol to the handlers of a Server.
type service struct{ server *Server }

// check refuses versions that this build does not speak.
func check(version uint32) error {
	if version == ProtocolVersion {
		return nil
	}
	return drpcerr.WithCode(
		errors.Errorf("protocol version %d is not supported, this host speaks %d", version, ProtocolVersion), codeVersion)
}

// handle checks the version of a request and that there is a handler for it, and
// gives errors of the handler their code.
func handle[Reply any](version uint32, handled bool, handler func() (*Reply, error)) (*Reply, error) {
	if err := check(version); err != nil {
		return nil, err
	}
	if !handled {
		return nil, drpcerr.WithCode(errors.New("request not handled"), drpcerr.Unimplemented)
	}
	reply, err := handler()
	if err != nil {
		return nil, drpcerr.WithCode(err, codeRefused)
	}
	return reply, nil
}

// Heartbeat implements the generated interface, as do the methods below.
func (s *service) Heartbeat(ctx context.Context, r *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	h := s.server.Heartbeat
	return handle(r.GetVersion(), h != nil, func() (*peerpb.HeartbeatMessage, error) {
		reply, err := h(ctx, heartbeatFromWire(r))
		return heartbeatToWire(reply), err
	})
}

// Probe passes a probe to its handler.
func (s *service) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	h := s.server.Probe
	return handle(r.GetVersion(), h != nil, func() (*peerpb.ProbeReply, error) {
		answered, err := h(ctx, hostFromWire(r.GetTarget()))
		return &peerpb.ProbeReply{Answered: answered}, err
	})
}

// FetchSet passes a fetch to its handler.
func (s *service) FetchSet(ctx context.Context, r *peerpb.FetchSetRequest) (*peerpb.FetchSetReply, error) {
	h := s.server.FetchSet
	return handle(r.GetVersion(), h != nil, func() (*peerpb.FetchSetReply, error) {
		set, err := h(ctx, r.GetKnown())
		return &peerpb.FetchSetReply{Revision: set.Revision, Base: set.Base, Content: set.Content}, err
	})
}

// PullTokens passes a request for tokens to its handler.
func (s *service) PullTokens(ctx context.Context, r *peerpb.PullTokensRequest) (*peerpb.PullTokensReply, error) {
	h := s.server.PullTokens
	return handle(r.GetVersion(), h != nil, func() (*peerpb.PullTokensReply, error) {
		reply, err := h(ctx, limiter.PullRequest{
			From: limiter.Name{Customer: r.GetCustomer(), Service: r.GetService()}, Amount: r.GetAmount(),
		})
		return &peerpb.PullTokensReply{Amount: reply.Amount}, err
	})
}

// TakeOver passes the request to claim a service to its handler.
func (s *service) TakeOver(ctx context.Context, r *peerpb.TakeOverRequest) (*peerpb.TakeOverReply, error) {
	h := s.server.TakeOver
	return handle(r.GetVersion(), h != nil, func() (*peerpb.TakeOverReply, error) {
		return &peerpb.TakeOverReply{}, h(ctx, r.GetService(), r.GetTerm())
	})
}

// Cancel passes a caller's cancel to its handler.
func (s *service) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	h := s.server.Cancel
	return handle(r.GetVersion(), h != nil, func() (*peerpb.CancelReply, error) {
		return &peerpb.CancelReply{}, h(ctx, r.GetProcessId(), r.GetSecret())
	})
}

// Status returns the host's description of itself.
func (s *service) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	h := s.server.Status
	return handle(r.GetVersion(), h != nil, func() (*peerpb.StatusReply, error) {
		json, err := h(ctx)
		return &peerpb.StatusReply{Json: json}, err
	})
}

// Execute serves the exchanges of one stream.
func (s *service) Execute(stream peerpb.DRPCPeer_ExecuteStream) error {
	return newExecution(s.server, stream).run()
}
