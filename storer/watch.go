package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errNotConfirmed ends a watch that the store did not confirm in time.
var errNotConfirmed = errors.New("watch not confirmed in time")

// Watch sends every later change of keys with the prefix to changes; a deleted
// key has ModRevision 0. It does not resume a watch that broke: it returns
// ErrUnavailable, and the next call goes to the next address. The caller reads
// the keys again after established.
func (c *Client) Watch(ctx context.Context, prefix string, established func(), changes chan<- Entry) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, index, err := c.ready(ctx)
	if err != nil {
		return unavailable(OperationWatch, err)
	}
	c.counts.add(OperationWatch)
	timer := time.AfterFunc(c.timeout(), func() { cancel(errNotConfirmed) })
	defer timer.Stop()
	err = c.watch(ctx, NewWatchClient(conn), prefix, func() {
		timer.Stop()
		c.prefer(index)
		established()
	}, changes)
	if cause := context.Cause(ctx); cause != nil {
		err = unavailable(OperationWatch, cause)
		if !errors.Is(cause, errNotConfirmed) {
			return err
		}
	}
	c.avoid(index, err)
	return err
}

func (c *Client) watch(ctx context.Context, client WatchClient, prefix string, established func(), changes chan<- Entry) error {
	stream, err := client.Watch(ctx)
	if err != nil {
		return unavailable(OperationWatch, err)
	}
	start, end := prefixRange(prefix)
	create := &WatchCreateRequest{Key: start, RangeEnd: end}
	// A failure to send shows as the error of Recv.
	_ = stream.Send(&WatchRequest{RequestUnion: &WatchRequest_CreateRequest{CreateRequest: create}})
	for {
		answer, err := stream.Recv()
		if err != nil {
			return unavailable(OperationWatch, err)
		}
		if answer.Canceled {
			return unavailable(OperationWatch, errors.Errorf("watch cancelled by the store: %s", answer.CancelReason))
		}
		if answer.Created {
			established()
		}
		if err := forward(ctx, answer.Events, changes); err != nil {
			return unavailable(OperationWatch, err)
		}
	}
}

func forward(ctx context.Context, events []*Event, changes chan<- Entry) error {
	for _, event := range events {
		entry := entryOf(event.GetKv())
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
