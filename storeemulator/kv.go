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

// Range returns the keys in a range.
func (k *kvService) Range(_ context.Context, request *storer.RangeRequest) (*storer.RangeResponse, error) {
	s := k.emulator.keyspace
	s.expire(k.emulator.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeKeys(request)
}

// Txn evaluates the comparisons of a transaction and atomically applies the list
// of operations selected by the result.
func (k *kvService) Txn(_ context.Context, request *storer.TxnRequest) (*storer.TxnResponse, error) {
	s := k.emulator.keyspace
	s.expire(k.emulator.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range request.Compare {
		satisfied, err := s.evaluateCompare(c)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && satisfied
	}
	ops := request.Failure
	if succeeded {
		ops = request.Success
	}
	for _, op := range ops {
		if err := s.checkOp(op); err != nil {
			return nil, err
		}
	}
	return s.applyOps(ops, succeeded)
}

// checkOp rejects an invalid operation before any operation of its transaction
// takes effect.
func (s *keyspace) checkOp(op *storer.RequestOp) error {
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
		_, err := s.keysAt(r.RequestRange.Revision)
		return err
	default:
		return status.Error(codes.InvalidArgument, "operation without a request")
	}
	return nil
}

func (s *keyspace) checkPut(request *storer.PutRequest) error {
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

func (s *keyspace) applyOps(ops []*storer.RequestOp, succeeded bool) (*storer.TxnResponse, error) {
	txnResponse := &storer.TxnResponse{Succeeded: succeeded}
	historyLen := len(s.history)
	for _, op := range ops {
		response := &storer.ResponseOp{}
		switch r := op.Request.(type) {
		case *storer.RequestOp_RequestPut:
			s.put(r.RequestPut)
			response.Response = &storer.ResponseOp_ResponsePut{ResponsePut: &storer.PutResponse{}}
		case *storer.RequestOp_RequestDeleteRange:
			deleted := s.deleteRange(r.RequestDeleteRange.Key, r.RequestDeleteRange.RangeEnd)
			response.Response = &storer.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &storer.DeleteRangeResponse{Deleted: deleted},
			}
		case *storer.RequestOp_RequestRange:
			found, err := s.rangeKeys(r.RequestRange)
			if err != nil {
				return nil, err
			}
			response.Response = &storer.ResponseOp_ResponseRange{ResponseRange: found}
		}
		txnResponse.Responses = append(txnResponse.Responses, response)
	}
	s.commitRevision(historyLen)
	txnResponse.Header = s.header()
	return txnResponse, nil
}

// evaluateCompare evaluates a comparison. For a key that does not exist, every
// number is zero and comparisons of the value are false.
func (s *keyspace) evaluateCompare(c *storer.Compare) (bool, error) {
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
		// Some proto3 encoders omit the target if its value is 0.
		return s.evaluateCompare(withZeroTarget(c))
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
	withZero := &storer.Compare{Result: c.Result, Target: c.Target, Key: c.Key}
	switch c.Target {
	case storer.Compare_VERSION:
		withZero.TargetUnion = &storer.Compare_Version{}
	case storer.Compare_CREATE:
		withZero.TargetUnion = &storer.Compare_CreateRevision{}
	case storer.Compare_LEASE:
		withZero.TargetUnion = &storer.Compare_Lease{}
	case storer.Compare_VALUE:
		withZero.TargetUnion = &storer.Compare_Value{}
	default:
		withZero.TargetUnion = &storer.Compare_ModRevision{}
	}
	return withZero
}
