package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errWatchNotConfirmed terminates a watch that the store did not confirm within
// the timeout.
var errWatchNotConfirmed = errors.New("watch not confirmed within the timeout")

// Watch sends every later change of keys with the prefix to changes; a deleted
// key has ModRevision 0. It does not resume a failed watch but returns
// ErrUnavailable, and the next call tries the next address. The caller must read
// the keys again once established was called, since the watch does not deliver
// earlier changes.
func (c *Client) Watch(ctx context.Context, prefix string, established func(), changes chan<- Entry) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	number := c.beginCall()
	conn, index, err := c.readyConn(ctx)
	if err != nil {
		return unavailable(OperationWatch, err)
	}
	c.counts.add(OperationWatch)
	timer := time.AfterFunc(c.timeout(), func() { cancel(errWatchNotConfirmed) })
	defer timer.Stop()
	err = c.watch(ctx, NewWatchClient(conn), prefix, func() {
		timer.Stop()
		c.setPreferred(index, number)
		established()
	}, changes)
	if cause := context.Cause(ctx); cause != nil {
		err = unavailable(OperationWatch, cause)
		if !errors.Is(cause, errWatchNotConfirmed) {
			return err
		}
	}
	c.failOver(index, err)
	return err
}

func (c *Client) watch(ctx context.Context, client WatchClient, prefix string, established func(), changes chan<- Entry) error {
	stream, err := client.Watch(ctx)
	if err != nil {
		return unavailable(OperationWatch, err)
	}
	start, end := prefixRange(prefix)
	create := &WatchCreateRequest{Key: start, RangeEnd: end}
	// Recv returns the error of a failed Send.
	_ = stream.Send(&WatchRequest{RequestUnion: &WatchRequest_CreateRequest{CreateRequest: create}})
	for {
		response, err := stream.Recv()
		if err != nil {
			return unavailable(OperationWatch, err)
		}
		if response.Canceled {
			return unavailable(OperationWatch, errors.Errorf("watch cancelled by the store: %s", response.CancelReason))
		}
		if response.Created {
			established()
		}
		if err := sendEvents(ctx, response.Events, changes); err != nil {
			return unavailable(OperationWatch, err)
		}
	}
}

func sendEvents(ctx context.Context, events []*Event, changes chan<- Entry) error {
	for _, event := range events {
		entry := newEntry(event.GetKv())
		if event.Type == Event_DELETE {
			entry = Entry{Key: entry.Key}
		}
		select {
		case changes <- entry:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
