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

// historyBytes bounds the changes that are kept for watches that resume.
const historyBytes = 64 << 20

// Errors with the texts of the published API.
var (
	errTooLarge      = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errLeaseNotFound = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errCompacted     = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	errFuture        = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
	errEmptyKey      = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
)

// A space holds the keys, leases and past changes.
type space struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]*storer.KeyValue
	leases   map[int64]*lease
	// history holds changes in the order of their revisions.
	history      []change
	historyBytes int
	// compacted is the revision of the last change dropped from history.
	compacted int64
	// changed is closed and replaced with each new revision.
	changed chan struct{}
}

// A change is one event with its size.
type change struct {
	event *storer.Event
	size  int
}

func newSpace() *space {
	return &space{
		revision: 1,
		keys:     make(map[string]*storer.KeyValue),
		leases:   make(map[int64]*lease),
		changed:  make(chan struct{}),
	}
}

// header returns the header of an answer. The caller holds mu.
func (s *space) header() *storer.ResponseHeader {
	return &storer.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: s.revision, RaftTerm: 1}
}

// inRange reports whether key lies in [start, end) with the special ends of
// the API: an empty one for a single key, a zero byte for no upper bound.
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

// get answers a range request. The caller holds mu.
func (s *space) get(request *storer.RangeRequest) (*storer.RangeResponse, error) {
	if len(request.Key) == 0 {
		return nil, errEmptyKey
	}
	keys, err := s.at(request.Revision)
	if err != nil {
		return nil, err
	}
	answer := &storer.RangeResponse{Header: s.header()}
	for name, kv := range keys {
		if inRange(name, request.Key, request.RangeEnd) {
			answer.Kvs = append(answer.Kvs, kv)
		}
	}
	slices.SortFunc(answer.Kvs, func(a, b *storer.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	answer.Count = int64(len(answer.Kvs))
	if request.Limit > 0 && answer.Count > request.Limit {
		answer.Kvs = answer.Kvs[:request.Limit]
		answer.More = true
	}
	return answer, nil
}

// at returns the keys as of a revision; 0 means the present one. The caller
// holds mu.
func (s *space) at(revision int64) (map[string]*storer.KeyValue, error) {
	switch {
	case revision == 0 || revision == s.revision:
		return s.keys, nil
	case revision > s.revision:
		return nil, errFuture
	case revision < s.compacted:
		return nil, errCompacted
	}
	keys := make(map[string]*storer.KeyValue, len(s.keys))
	for name, kv := range s.keys {
		keys[name] = kv
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

// put writes a key at the revision of the transaction under way, the one after
// s.revision. The caller holds mu and has checked the request.
func (s *space) put(request *storer.PutRequest) {
	name := string(request.Key)
	previous := s.keys[name]
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
		s.detach(previous)
	}
	s.keys[name] = kv
	if l := s.leases[request.Lease]; l != nil {
		l.keys[name] = true
	}
	s.record(&storer.Event{Type: storer.Event_PUT, Kv: kv, PrevKv: previous})
}

// remove deletes the keys in a range and returns their number. The caller
// holds mu.
func (s *space) remove(start, end []byte) int64 {
	var names []string
	for name := range s.keys {
		if inRange(name, start, end) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	for _, name := range names {
		previous := s.keys[name]
		delete(s.keys, name)
		s.detach(previous)
		gone := &storer.KeyValue{Key: previous.Key, ModRevision: s.revision + 1}
		s.record(&storer.Event{Type: storer.Event_DELETE, Kv: gone, PrevKv: previous})
	}
	return int64(len(names))
}

// detach removes a key that ends from its lease. The caller holds mu.
func (s *space) detach(kv *storer.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

func (s *space) record(event *storer.Event) {
	c := change{event: event, size: len(event.Kv.Key) + len(event.Kv.Value) + len(event.PrevKv.GetValue())}
	s.history = append(s.history, c)
	s.historyBytes += c.size
}

// commit makes the changes since recorded, the length of history before them,
// visible to watches as one revision. The caller holds mu.
func (s *space) commit(recorded int) {
	if len(s.history) == recorded {
		return
	}
	s.revision++
	drop := 0
	for s.historyBytes > historyBytes && drop < recorded {
		s.historyBytes -= s.history[drop].size
		s.compacted = s.history[drop].event.Kv.ModRevision
		drop++
	}
	s.history = slices.Delete(s.history, 0, drop)
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the events in a range from a revision on, the revision after
// the last one looked at, and a channel that is closed with the next revision.
func (s *space) since(from int64, start, end []byte) (events []*storer.Event, next int64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, s.compacted + 1, nil, errCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, from, func(c change, revision int64) int {
		return int(c.event.Kv.ModRevision - revision)
	})
	for _, c := range s.history[first:] {
		if inRange(string(c.event.Kv.Key), start, end) {
			events = append(events, &storer.Event{Type: c.event.Type, Kv: c.event.Kv})
		}
	}
	return events, max(from, s.revision+1), s.changed, nil
}

// present returns the revision in force after ending leases.
func (s *space) present(now time.Time) int64 {
	s.expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
