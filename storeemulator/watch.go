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

// A watchStream carries the watches of one caller.
type watchStream struct {
	emulator *Emulator
	stream   grpc.BidiStreamingServer[storer.WatchRequest, storer.WatchResponse]
	// mu serializes Send.
	mu sync.Mutex
	// cancels ends watches by their numbers; only the goroutine of Watch uses
	// it.
	cancels map[int64]context.CancelFunc
	// end ends the stream with an error.
	end context.CancelCauseFunc
}

// Watch serves the watches of one stream.
func (w *watchService) Watch(stream grpc.BidiStreamingServer[storer.WatchRequest, storer.WatchResponse]) error {
	ctx, end := context.WithCancelCause(stream.Context())
	s := &watchStream{emulator: w.emulator, stream: stream, cancels: make(map[int64]context.CancelFunc), end: end}
	var watches sync.WaitGroup
	defer watches.Wait()
	defer end(nil)
	received := make(chan *storer.WatchRequest)
	go s.receive(ctx, received)
	for {
		select {
		case request := <-received:
			if err := s.handle(ctx, request, &watches); err != nil {
				return err
			}
		case <-ctx.Done():
			return streamEnd(context.Cause(ctx))
		}
	}
}

// receive passes requests on until the stream ends.
func (s *watchStream) receive(ctx context.Context, received chan<- *storer.WatchRequest) {
	for {
		request, err := s.stream.Recv()
		if err != nil {
			s.end(err)
			return
		}
		select {
		case received <- request:
		case <-ctx.Done():
			return
		}
	}
}

// streamEnd returns nil for a caller that closed its side.
func streamEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (s *watchStream) handle(ctx context.Context, request *storer.WatchRequest, watches *sync.WaitGroup) error {
	if create := request.GetCreateRequest(); create != nil {
		s.emulator.calls.add(storer.OperationWatch, s.emulator.Now())
	}
	if err := s.emulator.faults.awaitUp(ctx); err != nil {
		return err
	}
	if err := s.emulator.faults.pause(ctx); err != nil {
		return err
	}
	switch r := request.RequestUnion.(type) {
	case *storer.WatchRequest_CreateRequest:
		return s.create(ctx, r.CreateRequest, watches)
	case *storer.WatchRequest_CancelRequest:
		return s.cancel(r.CancelRequest.WatchId)
	case *storer.WatchRequest_ProgressRequest:
		// A progress answer names no watch: it holds for all of the stream.
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
		from = s.emulator.space.present(s.emulator.Now()) + 1
	}
	if err := s.send(&storer.WatchResponse{WatchId: id, Created: true, Header: s.header()}); err != nil {
		return err
	}
	s.emulator.calls.watch(1)
	watches.Go(func() {
		defer s.emulator.calls.watch(-1)
		if err := s.follow(ctx, id, from, request); err != nil {
			s.end(err)
		}
	})
	return nil
}

// follow sends the changes of one watch until it ends. It reads them from the
// history, so a store that hung sends what it held back.
func (s *watchStream) follow(ctx context.Context, id, next int64, request *storer.WatchCreateRequest) error {
	for {
		if err := s.emulator.faults.awaitUp(ctx); err != nil {
			return err
		}
		events, following, changed, err := s.emulator.space.since(next, request.Key, request.RangeEnd)
		if err != nil {
			return s.send(&storer.WatchResponse{
				WatchId: id, Header: s.header(), Canceled: true, CompactRevision: following, CancelReason: err.Error(),
			})
		}
		next = following
		if len(events) > 0 {
			if err := s.emulator.faults.pause(ctx); err != nil {
				return err
			}
			if err := s.send(&storer.WatchResponse{WatchId: id, Header: s.header(), Events: events}); err != nil {
				return err
			}
		}
		_, down := s.emulator.faults.state()
		select {
		case <-changed:
		case <-down:
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

func (s *watchStream) send(answer *storer.WatchResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(answer)
}

func (s *watchStream) header() *storer.ResponseHeader {
	s.emulator.space.mu.Lock()
	defer s.emulator.space.mu.Unlock()
	return s.emulator.space.header()
}
