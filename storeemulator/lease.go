package storeemulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endiveturn/endiveturn/storer"
)

// A lease deletes its keys if it is not renewed in time.
type lease struct {
	ttl       time.Duration
	grantedAt time.Time
	expires   time.Time
	keys      map[string]bool
}

// expire deletes the expired leases. All keys of a lease are deleted in one
// revision.
func (s *keyspace) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and its keys. The caller holds mu.
func (s *keyspace) deleteLease(id int64) {
	l := s.leases[id]
	delete(s.leases, id)
	historyLen := len(s.history)
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.deleteRange([]byte(key), nil)
	}
	s.commitRevision(historyLen)
}

type leaseService struct {
	storer.UnimplementedLeaseServer
	emulator *Emulator
}

// LeaseGrant grants a lease.
func (l *leaseService) LeaseGrant(_ context.Context, request *storer.LeaseGrantRequest) (*storer.LeaseGrantResponse, error) {
	if request.TTL <= 0 {
		return nil, status.Error(codes.OutOfRange, "etcdserver: lease TTL out of range")
	}
	s := l.emulator.keyspace
	now := l.emulator.Now()
	s.expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := request.ID
	if id != 0 && s.leases[id] != nil {
		return nil, status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	}
	for next := s.revision<<16 + 1; id == 0; next++ {
		if s.leases[next] == nil {
			id = next
		}
	}
	ttl := time.Duration(request.TTL) * time.Second
	s.leases[id] = &lease{ttl: ttl, grantedAt: now, expires: now.Add(ttl), keys: make(map[string]bool)}
	return &storer.LeaseGrantResponse{Header: s.header(), ID: id, TTL: request.TTL}, nil
}

// LeaseRevoke revokes a lease and deletes its keys.
func (l *leaseService) LeaseRevoke(_ context.Context, request *storer.LeaseRevokeRequest) (*storer.LeaseRevokeResponse, error) {
	s := l.emulator.keyspace
	s.expire(l.emulator.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[request.ID] == nil {
		return nil, errLeaseNotFound
	}
	s.deleteLease(request.ID)
	return &storer.LeaseRevokeResponse{Header: s.header()}, nil
}

// LeaseKeepAlive renews leases. Each request of the stream counts as a call.
func (l *leaseService) LeaseKeepAlive(stream grpc.BidiStreamingServer[storer.LeaseKeepAliveRequest, storer.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return streamError(err)
		}
		l.emulator.calls.add(storer.OperationLeaseKeepAlive, l.emulator.Now())
		if err := l.emulator.faults.beforeRequest(stream.Context()); err != nil {
			return err
		}
		response := l.renew(request.ID)
		if err := l.emulator.faults.afterRequest(stream.Context(), true); err != nil {
			return err
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// renew renews a lease. A TTL of 0 in the response means that the lease does not
// exist.
func (l *leaseService) renew(id int64) *storer.LeaseKeepAliveResponse {
	s := l.emulator.keyspace
	now := l.emulator.Now()
	s.expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &storer.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if found := s.leases[id]; found != nil {
		found.expires = now.Add(found.ttl)
		response.TTL = int64(found.ttl / time.Second)
	}
	return response
}
