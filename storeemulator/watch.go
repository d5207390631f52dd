package storeemulator

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/endiveturn/endiveturn/storer"
)

type watchService struct {
	storer.UnimplementedWatchServer
	emulator *Emulator
}

// A watchStream serves the watches of one client stream.
type watchStream struct {
	emulator *Emulator
	stream   grpc.BidiStreamingServer[storer.WatchRequest, storer.WatchResponse]
	// mu serializes calls of Send.
	mu sync.Mutex
	// cancels holds the cancel functions by watch ID; it is only used by the
	// goroutine of Watch.
	cancels map[int64]context.CancelFunc
	// cancelStream ends the stream with an error.
	cancelStream context.CancelCauseFunc
}

// Watch serves the watches of one stream.
func (w *watchService) Watch(stream grpc.BidiStreamingServer[storer.WatchRequest, storer.WatchResponse]) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	s := &watchStream{emulator: w.emulator, stream: stream, cancels: make(map[int64]context.CancelFunc), cancelStream: cancel}
	var watches sync.WaitGroup
	defer watches.Wait()
	defer cancel(nil)
	received := make(chan *storer.WatchRequest)
	go s.receive(ctx, received)
	for {
		select {
		case request := <-received:
			if err := s.handle(ctx, request, &watches); err != nil {
				return err
			}
		case <-ctx.Done():
			return streamError(context.Cause(ctx))
		}
	}
}

// receive forwards requests to the channel until the stream ends.
func (s *watchStream) receive(ctx context.Context, received chan<- *storer.WatchRequest) {
	for {
		request, err := s.stream.Recv()
		if err != nil {
			s.cancelStream(err)
			return
		}
		select {
		case received <- request:
		case <-ctx.Done():
			return
		}
	}
}

// streamError returns nil if the client closed the stream, and err otherwise.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (s *watchStream) handle(ctx context.Context, request *storer.WatchRequest, watches *sync.WaitGroup) error {
	if create := request.GetCreateRequest(); create != nil {
		s.emulator.calls.add(storer.OperationWatch, s.emulator.Now())
	}
	if err := s.emulator.faults.waitUntilUp(ctx); err != nil {
		return err
	}
	if err := s.emulator.faults.sleepHalfDelay(ctx); err != nil {
		return err
	}
	switch r := request.RequestUnion.(type) {
	case *storer.WatchRequest_CreateRequest:
		return s.create(ctx, r.CreateRequest, watches)
	case *storer.WatchRequest_CancelRequest:
		return s.cancel(r.CancelRequest.WatchId)
	case *storer.WatchRequest_ProgressRequest:
		// A progress response has no watch ID: it applies to all watches of the
		// stream.
		return s.send(&storer.WatchResponse{WatchId: -1, Header: s.header()})
	}
	return nil
}

func (s *watchStream) create(ctx context.Context, request *storer.WatchCreateRequest, watches *sync.WaitGroup) error {
	ctx, cancel := context.WithCancel(ctx)
	id := request.WatchId
	for id == 0 || s.cancels[id] != nil {
		id++
	}
	s.cancels[id] = cancel
	from := request.StartRevision
	if from <= 0 {
		from = s.emulator.keyspace.currentRevision(s.emulator.Now()) + 1
	}
	if err := s.send(&storer.WatchResponse{WatchId: id, Created: true, Header: s.header()}); err != nil {
		return err
	}
	s.emulator.calls.addOpenWatches(1)
	watches.Go(func() {
		defer s.emulator.calls.addOpenWatches(-1)
		if err := s.sendEvents(ctx, id, from, request); err != nil {
			s.cancelStream(err)
		}
	})
	return nil
}

// sendEvents sends the events of one watch until it is canceled. It reads them
// from the history, so after the store has hung, events held back are sent as
// well.
func (s *watchStream) sendEvents(ctx context.Context, id, next int64, request *storer.WatchCreateRequest) error {
	for {
		if err := s.emulator.faults.waitUntilUp(ctx); err != nil {
			return err
		}
		events, nextRevision, changed, err := s.emulator.keyspace.eventsSince(next, request.Key, request.RangeEnd)
		if err != nil {
			return s.send(&storer.WatchResponse{
				WatchId: id, Header: s.header(), Canceled: true, CompactRevision: nextRevision, CancelReason: err.Error(),
			})
		}
		next = nextRevision
		if len(events) > 0 {
			if err := s.emulator.faults.sleepHalfDelay(ctx); err != nil {
				return err
			}
			if err := s.send(&storer.WatchResponse{WatchId: id, Header: s.header(), Events: events}); err != nil {
				return err
			}
		}
		_, modeChanged := s.emulator.faults.currentMode()
		select {
		case <-changed:
		case <-modeChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *watchStream) cancel(id int64) error {
	cancel := s.cancels[id]
	if cancel == nil {
		return nil
	}
	cancel()
	delete(s.cancels, id)
	return s.send(&storer.WatchResponse{WatchId: id, Header: s.header(), Canceled: true})
}

func (s *watchStream) send(response *storer.WatchResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(response)
}

func (s *watchStream) header() *storer.ResponseHeader {
	s.emulator.keyspace.mu.Lock()
	defer s.emulator.keyspace.mu.Unlock()
	return s.emulator.keyspace.header()
}
