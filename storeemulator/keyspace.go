package storeemulator

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endiveturn/endiveturn/storer"
)

// maxHistoryBytes limits the size of the events retained for watches that
// resume.
const maxHistoryBytes = 64 << 20

// Errors with the messages of the etcd API.
var (
	errTooLarge       = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errLeaseNotFound  = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errCompacted      = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
	errEmptyKey       = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
)

// A keyspace holds the keys, the leases and the history of events.
type keyspace struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]*storer.KeyValue
	leases   map[int64]*lease
	// history holds the retained events in revision order.
	history      []historyEntry
	historyBytes int
	// compacted is the revision of the last event removed from history.
	compacted int64
	// changed is closed and replaced with each new revision.
	changed chan struct{}
	// cluster is the cluster ID in responses. It rises by one with each restore.
	cluster uint64
	// revisions holds which revision the store had, in the order of time.
	revisions []datedRevision
}

// A historyEntry is an event with its size in bytes.
type historyEntry struct {
	event *storer.Event
	size  int
}

func newKeyspace() *keyspace {
	return &keyspace{
		revision: 1,
		cluster:  1,
		keys:     make(map[string]*storer.KeyValue),
		leases:   make(map[int64]*lease),
		changed:  make(chan struct{}),
	}
}

// header returns a response header. The caller holds mu.
func (s *keyspace) header() *storer.ResponseHeader {
	return &storer.ResponseHeader{ClusterId: s.cluster, MemberId: 1, Revision: s.revision, RaftTerm: 1}
}

// inRange reports whether key lies in [start, end). As in the etcd API, an empty
// end selects the single key start, and a zero byte means no upper bound.
func inRange(key string, start, end []byte) bool {
	switch {
	case len(end) == 0:
		return key == string(start)
	case bytes.Equal(end, []byte{0}):
		return key >= string(start)
	default:
		return key >= string(start) && key < string(end)
	}
}

// rangeKeys serves a range request. The caller holds mu.
func (s *keyspace) rangeKeys(request *storer.RangeRequest) (*storer.RangeResponse, error) {
	if len(request.Key) == 0 {
		return nil, errEmptyKey
	}
	keys, err := s.keysAt(request.Revision)
	if err != nil {
		return nil, err
	}
	response := &storer.RangeResponse{Header: s.header()}
	for key, kv := range keys {
		if inRange(key, request.Key, request.RangeEnd) {
			response.Kvs = append(response.Kvs, kv)
		}
	}
	slices.SortFunc(response.Kvs, func(a, b *storer.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	response.Count = int64(len(response.Kvs))
	if request.Limit > 0 && response.Count > request.Limit {
		response.Kvs = response.Kvs[:request.Limit]
		response.More = true
	}
	return response, nil
}

// keysAt returns the keys as of a revision; 0 means the current revision. The
// caller holds mu.
func (s *keyspace) keysAt(revision int64) (map[string]*storer.KeyValue, error) {
	switch {
	case revision == 0 || revision == s.revision:
		return s.keys, nil
	case revision > s.revision:
		return nil, errFutureRevision
	case revision < s.compacted:
		return nil, errCompacted
	}
	keys := make(map[string]*storer.KeyValue, len(s.keys))
	for key, kv := range s.keys {
		keys[key] = kv
	}
	for _, c := range slices.Backward(s.history) {
		if c.event.Kv.ModRevision <= revision {
			break
		}
		delete(keys, string(c.event.Kv.Key))
		if c.event.PrevKv != nil {
			keys[string(c.event.Kv.Key)] = c.event.PrevKv
		}
	}
	return keys, nil
}

// put writes a key at the revision of the uncommitted transaction, which is
// s.revision+1. The caller holds mu and has validated the request.
func (s *keyspace) put(request *storer.PutRequest) {
	key := string(request.Key)
	previous := s.keys[key]
	kv := &storer.KeyValue{
		Key:            request.Key,
		Value:          request.Value,
		CreateRevision: s.revision + 1,
		ModRevision:    s.revision + 1,
		Version:        1,
		Lease:          request.Lease,
	}
	if previous != nil {
		kv.CreateRevision, kv.Version = previous.CreateRevision, previous.Version+1
		s.detachFromLease(previous)
	}
	s.keys[key] = kv
	if l := s.leases[request.Lease]; l != nil {
		l.keys[key] = true
	}
	s.recordEvent(&storer.Event{Type: storer.Event_PUT, Kv: kv, PrevKv: previous})
}

// deleteRange deletes the keys in a range and returns their number. The caller
// holds mu.
func (s *keyspace) deleteRange(start, end []byte) int64 {
	var keys []string
	for key := range s.keys {
		if inRange(key, start, end) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	for _, key := range keys {
		previous := s.keys[key]
		delete(s.keys, key)
		s.detachFromLease(previous)
		deleted := &storer.KeyValue{Key: previous.Key, ModRevision: s.revision + 1}
		s.recordEvent(&storer.Event{Type: storer.Event_DELETE, Kv: deleted, PrevKv: previous})
	}
	return int64(len(keys))
}

// detachFromLease removes a replaced or deleted key from its lease. The caller
// holds mu.
func (s *keyspace) detachFromLease(kv *storer.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

func (s *keyspace) recordEvent(event *storer.Event) {
	c := historyEntry{event: event, size: len(event.Kv.Key) + len(event.Kv.Value) + len(event.PrevKv.GetValue())}
	s.history = append(s.history, c)
	s.historyBytes += c.size
}

// commitRevision makes the events added since history had length historyLen
// visible to watches as one revision. The caller holds mu.
func (s *keyspace) commitRevision(historyLen int) {
	if len(s.history) == historyLen {
		return
	}
	s.revision++
	dropped := 0
	for s.historyBytes > maxHistoryBytes && dropped < historyLen {
		s.historyBytes -= s.history[dropped].size
		s.compacted = s.history[dropped].event.Kv.ModRevision
		dropped++
	}
	s.history = slices.Delete(s.history, 0, dropped)
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsSince returns the events in a range from revision from on, the revision
// to continue from in the following call, and a channel that is closed with the
// next revision.
func (s *keyspace) eventsSince(from int64, start, end []byte) (events []*storer.Event, next int64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, s.compacted + 1, nil, errCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, from, func(c historyEntry, revision int64) int {
		return int(c.event.Kv.ModRevision - revision)
	})
	for _, c := range s.history[first:] {
		if inRange(string(c.event.Kv.Key), start, end) {
			events = append(events, &storer.Event{Type: c.event.Type, Kv: c.event.Kv})
		}
	}
	return events, max(from, s.revision+1), s.changed, nil
}

// currentRevision deletes expired leases and returns the current revision.
func (s *keyspace) currentRevision(now time.Time) int64 {
	s.expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
