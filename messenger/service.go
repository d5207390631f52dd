package messenger

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

// A service dispatches the requests of the protocol to the handlers of a Server.
type service struct{ server *Server }

// checkVersion refuses protocol versions that this build does not support.
func checkVersion(version uint32) error {
	if version == ProtocolVersion {
		return nil
	}
	return drpcerr.WithCode(
		errors.Errorf("protocol version %d is not supported, this host speaks %d", version, ProtocolVersion), codeVersion)
}

// handleUnary checks the version of a unary request, calls its handler and adds a
// code to the handler's errors.
func handleUnary[Reply any](version uint32, hasHandler bool, handler func() (*Reply, error)) (*Reply, error) {
	if err := checkVersion(version); err != nil {
		return nil, err
	}
	if !hasHandler {
		return nil, drpcerr.WithCode(errors.New("request not handled"), drpcerr.Unimplemented)
	}
	reply, err := handler()
	if err != nil {
		return nil, drpcerr.WithCode(err, codeRefused)
	}
	return reply, nil
}

// Heartbeat passes a heartbeat to its handler.
func (s *service) Heartbeat(ctx context.Context, r *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	h := s.server.Heartbeat
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.HeartbeatMessage, error) {
		reply, err := h(ctx, heartbeatFromWire(r))
		return heartbeatToWire(reply), err
	})
}

// Probe passes a probe to its handler.
func (s *service) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	h := s.server.Probe
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.ProbeReply, error) {
		replied, err := h(ctx, hostFromWire(r.GetTarget()))
		return &peerpb.ProbeReply{Answered: replied}, err
	})
}

// FetchSet passes a configuration request to its handler.
func (s *service) FetchSet(ctx context.Context, r *peerpb.FetchSetRequest) (*peerpb.FetchSetReply, error) {
	h := s.server.FetchSet
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.FetchSetReply, error) {
		config, err := h(ctx, r.GetKnown())
		return &peerpb.FetchSetReply{Revision: config.Revision, Base: config.Base, Content: config.Content}, err
	})
}

// PullTokens passes a token request to its handler.
func (s *service) PullTokens(ctx context.Context, r *peerpb.PullTokensRequest) (*peerpb.PullTokensReply, error) {
	h := s.server.PullTokens
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.PullTokensReply, error) {
		reply, err := h(ctx, limiter.PullRequest{
			From: limiter.BucketName{Customer: r.GetCustomer(), Service: r.GetService()}, Amount: r.GetAmount(),
		})
		return &peerpb.PullTokensReply{Amount: reply.Amount}, err
	})
}

// TakeOver passes a request to claim a service to its handler.
func (s *service) TakeOver(ctx context.Context, r *peerpb.TakeOverRequest) (*peerpb.TakeOverReply, error) {
	h := s.server.TakeOver
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.TakeOverReply, error) {
		return &peerpb.TakeOverReply{}, h(ctx, r.GetService(), r.GetTerm())
	})
}

// Cancel passes a client's cancel request to its handler.
func (s *service) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	h := s.server.Cancel
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.CancelReply, error) {
		return &peerpb.CancelReply{}, h(ctx, r.GetProcessId(), r.GetSecret())
	})
}

// Status passes a status request to its handler.
func (s *service) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	h := s.server.Status
	return handleUnary(r.GetVersion(), h != nil, func() (*peerpb.StatusReply, error) {
		json, err := h(ctx)
		return &peerpb.StatusReply{Json: json}, err
	})
}

// Execute serves the exchanges of a stream.
func (s *service) Execute(stream peerpb.DRPCPeer_ExecuteStream) error {
	return newExecuteHandler(s.server, stream).run()
}
