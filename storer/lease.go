package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// GrantLease creates a lease that ends ttl after its last renewal. The store
// counts in seconds, so ttl is rounded up. After ErrUnavailable a lease that
// nobody knows may exist until it expires.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer *LeaseGrantResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, OperationLeaseGrant, once, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = NewLeaseClient(conn).LeaseGrant(ctx, &LeaseGrantRequest{TTL: seconds})
		return err
	})
	if err != nil {
		return 0, err
	}
	if answer.Error != "" {
		return 0, errors.Errorf("lease refused: %s", answer.Error)
	}
	return LeaseID(answer.ID), nil
}

// RenewLease renews a lease, or returns ErrLeaseExpired.
func (c *Client) RenewLease(ctx context.Context, lease LeaseID) error {
	var answer *LeaseKeepAliveResponse
	err := c.call(ctx, OperationLeaseKeepAlive, repeatable, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = keepAliveOnce(ctx, conn, lease)
		return err
	})
	if err != nil {
		return err
	}
	if answer.TTL <= 0 {
		return errors.Wrapf(ErrLeaseExpired, "lease %d", lease)
	}
	return nil
}

// keepAliveOnce renews a lease over a stream of its own, which ends with the
// call, so that a renewal never waits on a stream that died unnoticed.
func keepAliveOnce(ctx context.Context, conn grpc.ClientConnInterface, lease LeaseID) (*LeaseKeepAliveResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := NewLeaseClient(conn).LeaseKeepAlive(ctx)
	if err != nil {
		return nil, err
	}
	// A failure to send shows as the error of Recv.
	_ = stream.Send(&LeaseKeepAliveRequest{ID: int64(lease)})
	return stream.Recv()
}

// RevokeLease ends a lease and deletes its keys. A lease that has ended before
// is ErrLeaseExpired.
func (c *Client) RevokeLease(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, OperationLeaseRevoke, once, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := NewLeaseClient(conn).LeaseRevoke(ctx, &LeaseRevokeRequest{ID: int64(lease)})
		return err
	})
}
