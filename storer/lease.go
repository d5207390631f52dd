package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// GrantLease creates a lease that expires ttl after its last renewal. The store
// counts in seconds, so ttl is rounded up to whole seconds. After ErrUnavailable
// a lease with unknown ID may exist until it expires.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response *LeaseGrantResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, OperationLeaseGrant, noRetry, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		response, err = NewLeaseClient(conn).LeaseGrant(ctx, &LeaseGrantRequest{TTL: seconds})
		return err
	})
	if err != nil {
		return 0, err
	}
	if response.Error != "" {
		return 0, errors.Errorf("store did not grant the lease: %s", response.Error)
	}
	return LeaseID(response.ID), nil
}

// RenewLease renews a lease, or returns ErrLeaseExpired.
func (c *Client) RenewLease(ctx context.Context, lease LeaseID) error {
	var response *LeaseKeepAliveResponse
	err := c.call(ctx, OperationLeaseKeepAlive, retryIdempotent, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		response, err = sendKeepAlive(ctx, conn, lease)
		return err
	})
	if err != nil {
		return err
	}
	if response.TTL <= 0 {
		return errors.Wrapf(ErrLeaseExpired, "lease %d", lease)
	}
	return nil
}

// sendKeepAlive renews a lease over a new stream, which ends with the call, so
// that a renewal never waits on a stream that failed unnoticed.
func sendKeepAlive(ctx context.Context, conn grpc.ClientConnInterface, lease LeaseID) (*LeaseKeepAliveResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := NewLeaseClient(conn).LeaseKeepAlive(ctx)
	if err != nil {
		return nil, err
	}
	// Recv returns the error of a failed Send.
	_ = stream.Send(&LeaseKeepAliveRequest{ID: int64(lease)})
	return stream.Recv()
}

// RevokeLease ends a lease and deletes its keys. It returns ErrLeaseExpired if the
// lease no longer exists.
func (c *Client) RevokeLease(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, OperationLeaseRevoke, noRetry, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := NewLeaseClient(conn).LeaseRevoke(ctx, &LeaseRevokeRequest{ID: int64(lease)})
		return err
	})
}
