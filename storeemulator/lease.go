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

// A lease deletes its keys when it is not renewed in time.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// expire ends the leases whose time has passed. All keys of a lease go in one
// revision.
func (s *space) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease with its keys. The caller holds mu.
func (s *space) endLease(id int64) {
	l := s.leases[id]
	delete(s.leases, id)
	recorded := len(s.history)
	for _, name := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove([]byte(name), nil)
	}
	s.commit(recorded)
}

type leaseService struct {
	storer.UnimplementedLeaseServer
	emulator *Emulator
}

// LeaseGrant creates a lease.
func (l *leaseService) LeaseGrant(_ context.Context, request *storer.LeaseGrantRequest) (*storer.LeaseGrantResponse, error) {
	if request.TTL <= 0 {
		return nil, status.Error(codes.OutOfRange, "etcdserver: lease TTL out of range")
	}
	s := l.emulator.space
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
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: make(map[string]bool)}
	return &storer.LeaseGrantResponse{Header: s.header(), ID: id, TTL: request.TTL}, nil
}

// LeaseRevoke ends a lease and deletes its keys.
func (l *leaseService) LeaseRevoke(_ context.Context, request *storer.LeaseRevokeRequest) (*storer.LeaseRevokeResponse, error) {
	s := l.emulator.space
	s.expire(l.emulator.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[request.ID] == nil {
		return nil, errLeaseNotFound
	}
	s.endLease(request.ID)
	return &storer.LeaseRevokeResponse{Header: s.header()}, nil
}

// LeaseKeepAlive renews leases. Each request counts as a call.
func (l *leaseService) LeaseKeepAlive(stream grpc.BidiStreamingServer[storer.LeaseKeepAliveRequest, storer.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return streamEnd(err)
		}
		l.emulator.calls.add(storer.OperationLeaseKeepAlive, l.emulator.Now())
		if err := l.emulator.faults.before(stream.Context()); err != nil {
			return err
		}
		answer := l.renew(request.ID)
		if err := l.emulator.faults.after(stream.Context(), true); err != nil {
			return err
		}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

// renew renews a lease; a time to live of 0 answers that it does not exist.
func (l *leaseService) renew(id int64) *storer.LeaseKeepAliveResponse {
	s := l.emulator.space
	now := l.emulator.Now()
	s.expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &storer.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if found := s.leases[id]; found != nil {
		found.expires = now.Add(found.ttl)
		answer.TTL = int64(found.ttl / time.Second)
	}
	return answer
}
