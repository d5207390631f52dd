package storer

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// pageEntries is the number of entries asked for at once: a page of values of
// 1 MB each stays well within a host's memory.
const pageEntries = 16

// Get returns the entry of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	answer, err := c.rangeOnce(ctx, &RangeRequest{Key: []byte(key)})
	if err != nil {
		return Entry{}, err
	}
	if len(answer.Kvs) == 0 {
		return Entry{}, errors.Wrapf(ErrNotFound, "key %s", key)
	}
	return entryOf(answer.Kvs[0]), nil
}

// Range returns the entries whose keys start with prefix, sorted by key, all
// as of one revision of the store.
func (c *Client) Range(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	start, end := prefixRange(prefix)
	request := &RangeRequest{Key: start, RangeEnd: end, Limit: pageEntries}
	for {
		answer, err := c.rangeOnce(ctx, request)
		if err != nil {
			return nil, err
		}
		for _, kv := range answer.Kvs {
			entries = append(entries, entryOf(kv))
		}
		if !answer.More || len(answer.Kvs) == 0 {
			return entries, nil
		}
		last := answer.Kvs[len(answer.Kvs)-1].Key
		request = &RangeRequest{
			Key:      append(slices.Clone(last), 0),
			RangeEnd: end,
			Limit:    pageEntries,
			Revision: firstNonZero(request.Revision, answer.GetHeader().GetRevision()),
		}
	}
}

func (c *Client) rangeOnce(ctx context.Context, request *RangeRequest) (*RangeResponse, error) {
	var answer *RangeResponse
	err := c.call(ctx, OperationRange, repeatable, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = NewKVClient(conn).Range(ctx, request)
		return err
	})
	return answer, err
}

// CompareAndSwap writes value if the key's ModRevision is still expected. It
// sends the request at most once; after ErrUnavailable it may have taken
// effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (bool, Entry, error) {
	put := &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	answer, err := c.txn(ctx, &TxnRequest{
		Compare: []*Compare{modRevisionIs(key, expected)},
		Success: []*RequestOp{{Request: &RequestOp_RequestPut{RequestPut: put}}},
		Failure: []*RequestOp{{Request: &RequestOp_RequestRange{RequestRange: &RangeRequest{Key: []byte(key)}}}},
	})
	if err != nil {
		return false, Entry{}, err
	}
	if answer.Succeeded {
		return true, Entry{Key: key, Value: value, ModRevision: answer.GetHeader().GetRevision()}, nil
	}
	for _, op := range answer.Responses {
		for _, kv := range op.GetResponseRange().GetKvs() {
			return false, entryOf(kv), nil
		}
	}
	return false, Entry{Key: key}, nil
}

// Delete removes the key if its ModRevision is still expected. It sends the
// request at most once; after ErrUnavailable it may have taken effect.
func (c *Client) Delete(ctx context.Context, key string, expected int64) (bool, error) {
	remove := &DeleteRangeRequest{Key: []byte(key)}
	answer, err := c.txn(ctx, &TxnRequest{
		Compare: []*Compare{modRevisionIs(key, expected)},
		Success: []*RequestOp{{Request: &RequestOp_RequestDeleteRange{RequestDeleteRange: remove}}},
	})
	if err != nil {
		return false, err
	}
	deleted := int64(0)
	for _, op := range answer.Responses {
		deleted += op.GetResponseDeleteRange().GetDeleted()
	}
	return answer.Succeeded && deleted > 0, nil
}

func (c *Client) txn(ctx context.Context, request *TxnRequest) (*TxnResponse, error) {
	var answer *TxnResponse
	err := c.call(ctx, OperationTxn, once, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = NewKVClient(conn).Txn(ctx, request)
		return err
	})
	return answer, err
}

// modRevisionIs compares the revision of a key's last change, which the store
// takes as 0 for a key that does not exist.
func modRevisionIs(key string, revision int64) *Compare {
	return &Compare{
		Result:      Compare_EQUAL,
		Target:      Compare_MOD,
		Key:         []byte(key),
		TargetUnion: &Compare_ModRevision{ModRevision: revision},
	}
}

// prefixRange returns the range of the keys that start with prefix. The end is
// the prefix with its last byte raised; a zero byte asks for all further keys.
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

func entryOf(kv *KeyValue) Entry {
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
