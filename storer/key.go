package storer

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// pageSize is the maximum number of entries per Range request. A page of values
// of 1 MB each is well within the memory of a host.
const pageSize = 16

// Get returns the entry of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	response, err := c.sendRange(ctx, &RangeRequest{Key: []byte(key)})
	if err != nil {
		return Entry{}, err
	}
	if len(response.Kvs) == 0 {
		return Entry{}, errors.Wrapf(ErrNotFound, "key %s", key)
	}
	return newEntry(response.Kvs[0]), nil
}

// Range returns the entries whose keys start with prefix, sorted by key. All
// entries are read at the same revision of the store.
func (c *Client) Range(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	start, end := prefixRange(prefix)
	request := &RangeRequest{Key: start, RangeEnd: end, Limit: pageSize}
	for {
		response, err := c.sendRange(ctx, request)
		if err != nil {
			return nil, err
		}
		for _, kv := range response.Kvs {
			entries = append(entries, newEntry(kv))
		}
		if !response.More || len(response.Kvs) == 0 {
			return entries, nil
		}
		last := response.Kvs[len(response.Kvs)-1].Key
		request = &RangeRequest{
			Key:      append(slices.Clone(last), 0),
			RangeEnd: end,
			Limit:    pageSize,
			Revision: firstNonZero(request.Revision, response.GetHeader().GetRevision()),
		}
	}
}

func (c *Client) sendRange(ctx context.Context, request *RangeRequest) (*RangeResponse, error) {
	var response *RangeResponse
	err := c.call(ctx, OperationRange, retryIdempotent, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		response, err = NewKVClient(conn).Range(ctx, request)
		return err
	})
	return response, err
}

// CompareAndSwap writes value if the key's ModRevision equals expectedRevision.
// It sends the request at most once; after ErrUnavailable the write may have taken
// effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expectedRevision int64, value []byte, lease LeaseID) (bool, Entry, error) {
	putRequest := &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	response, err := c.txn(ctx, &TxnRequest{
		Compare: []*Compare{modRevisionEquals(key, expectedRevision)},
		Success: []*RequestOp{{Request: &RequestOp_RequestPut{RequestPut: putRequest}}},
		Failure: []*RequestOp{{Request: &RequestOp_RequestRange{RequestRange: &RangeRequest{Key: []byte(key)}}}},
	})
	if err != nil {
		return false, Entry{}, err
	}
	if response.Succeeded {
		return true, Entry{Key: key, Value: value, ModRevision: response.GetHeader().GetRevision()}, nil
	}
	for _, op := range response.Responses {
		for _, kv := range op.GetResponseRange().GetKvs() {
			return false, newEntry(kv), nil
		}
	}
	return false, Entry{Key: key}, nil
}

// Delete removes the key if its ModRevision equals expectedRevision. It sends the
// request at most once; after ErrUnavailable the deletion may have taken effect.
func (c *Client) Delete(ctx context.Context, key string, expectedRevision int64) (bool, error) {
	deleteRequest := &DeleteRangeRequest{Key: []byte(key)}
	response, err := c.txn(ctx, &TxnRequest{
		Compare: []*Compare{modRevisionEquals(key, expectedRevision)},
		Success: []*RequestOp{{Request: &RequestOp_RequestDeleteRange{RequestDeleteRange: deleteRequest}}},
	})
	if err != nil {
		return false, err
	}
	deleted := int64(0)
	for _, op := range response.Responses {
		deleted += op.GetResponseDeleteRange().GetDeleted()
	}
	return response.Succeeded && deleted > 0, nil
}

func (c *Client) txn(ctx context.Context, request *TxnRequest) (*TxnResponse, error) {
	var response *TxnResponse
	err := c.call(ctx, OperationTxn, noRetry, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		response, err = NewKVClient(conn).Txn(ctx, request)
		return err
	})
	return response, err
}

// modRevisionEquals returns the condition that the key's ModRevision equals
// revision. The store takes it as 0 for a key that does not exist.
func modRevisionEquals(key string, revision int64) *Compare {
	return &Compare{
		Result:      Compare_EQUAL,
		Target:      Compare_MOD,
		Key:         []byte(key),
		TargetUnion: &Compare_ModRevision{ModRevision: revision},
	}
}

// prefixRange returns the range of the keys that start with prefix. The end is
// the prefix with its last byte incremented, dropping trailing 0xff bytes. An end
// of a single zero byte means all keys from start on.
func prefixRange(prefix string) (start, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}

func newEntry(kv *KeyValue) Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

func firstNonZero(values ...int64) int64 {
	for _, v := range values {
		if v != 0 {
			return v
		}
	}
	return 0
}
