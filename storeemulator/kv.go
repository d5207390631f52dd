package storeemulator

import (
	"bytes"
	"cmp"
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endiveturn/endiveturn/storer"
)

type kvService struct {
	storer.UnimplementedKVServer
	emulator *Emulator
}

// Range answers which keys of a range exist.
func (k *kvService) Range(_ context.Context, request *storer.RangeRequest) (*storer.RangeResponse, error) {
	s := k.emulator.space
	s.expire(k.emulator.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(request)
}

// Txn applies one of two lists of operations as a whole.
func (k *kvService) Txn(_ context.Context, request *storer.TxnRequest) (*storer.TxnResponse, error) {
	s := k.emulator.space
	s.expire(k.emulator.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range request.Compare {
		holds, err := s.holds(c)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && holds
	}
	ops := request.Failure
	if succeeded {
		ops = request.Success
	}
	for _, op := range ops {
		if err := s.check(op); err != nil {
			return nil, err
		}
	}
	return s.apply(ops, succeeded)
}

// check refuses an operation before any of its transaction takes effect.
func (s *space) check(op *storer.RequestOp) error {
	switch r := op.Request.(type) {
	case *storer.RequestOp_RequestPut:
		return s.checkPut(r.RequestPut)
	case *storer.RequestOp_RequestDeleteRange:
		if len(r.RequestDeleteRange.Key) == 0 {
			return errEmptyKey
		}
	case *storer.RequestOp_RequestRange:
		if len(r.RequestRange.Key) == 0 {
			return errEmptyKey
		}
		_, err := s.at(r.RequestRange.Revision)
		return err
	default:
		return status.Error(codes.InvalidArgument, "operation without a request")
	}
	return nil
}

func (s *space) checkPut(request *storer.PutRequest) error {
	switch {
	case len(request.Key) == 0:
		return errEmptyKey
	case len(request.Value) > MaxValueBytes:
		return errTooLarge
	case request.Lease != 0 && s.leases[request.Lease] == nil:
		return errLeaseNotFound
	}
	return nil
}

func (s *space) apply(ops []*storer.RequestOp, succeeded bool) (*storer.TxnResponse, error) {
	answer := &storer.TxnResponse{Succeeded: succeeded}
	recorded := len(s.history)
	for _, op := range ops {
		response := &storer.ResponseOp{}
		switch r := op.Request.(type) {
		case *storer.RequestOp_RequestPut:
			s.put(r.RequestPut)
			response.Response = &storer.ResponseOp_ResponsePut{ResponsePut: &storer.PutResponse{}}
		case *storer.RequestOp_RequestDeleteRange:
			deleted := s.remove(r.RequestDeleteRange.Key, r.RequestDeleteRange.RangeEnd)
			response.Response = &storer.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &storer.DeleteRangeResponse{Deleted: deleted},
			}
		case *storer.RequestOp_RequestRange:
			found, err := s.get(r.RequestRange)
			if err != nil {
				return nil, err
			}
			response.Response = &storer.ResponseOp_ResponseRange{ResponseRange: found}
		}
		answer.Responses = append(answer.Responses, response)
	}
	s.commit(recorded)
	answer.Header = s.header()
	return answer, nil
}

// holds evaluates a comparison. A key that does not exist has zero for every
// number and fails each comparison of its value.
func (s *space) holds(c *storer.Compare) (bool, error) {
	kv := s.keys[string(c.Key)]
	var order int
	switch target := c.TargetUnion.(type) {
	case *storer.Compare_Version:
		order = cmp.Compare(kv.GetVersion(), target.Version)
	case *storer.Compare_CreateRevision:
		order = cmp.Compare(kv.GetCreateRevision(), target.CreateRevision)
	case *storer.Compare_ModRevision:
		order = cmp.Compare(kv.GetModRevision(), target.ModRevision)
	case *storer.Compare_Lease:
		order = cmp.Compare(kv.GetLease(), target.Lease)
	case *storer.Compare_Value:
		if kv == nil {
			return false, nil
		}
		order = bytes.Compare(kv.Value, target.Value)
	default:
		// A number of 0 is left out by some encoders of proto3.
		return s.holds(withZeroTarget(c))
	}
	switch c.Result {
	case storer.Compare_EQUAL:
		return order == 0, nil
	case storer.Compare_NOT_EQUAL:
		return order != 0, nil
	case storer.Compare_GREATER:
		return order > 0, nil
	case storer.Compare_LESS:
		return order < 0, nil
	default:
		return false, status.Errorf(codes.InvalidArgument, "unknown comparison %d", c.Result)
	}
}

func withZeroTarget(c *storer.Compare) *storer.Compare {
	zero := &storer.Compare{Result: c.Result, Target: c.Target, Key: c.Key}
	switch c.Target {
	case storer.Compare_VERSION:
		zero.TargetUnion = &storer.Compare_Version{}
	case storer.Compare_CREATE:
		zero.TargetUnion = &storer.Compare_CreateRevision{}
	case storer.Compare_LEASE:
		zero.TargetUnion = &storer.Compare_Lease{}
	case storer.Compare_VALUE:
		zero.TargetUnion = &storer.Compare_Value{}
	default:
		zero.TargetUnion = &storer.Compare_ModRevision{}
	}
	return zero
}
