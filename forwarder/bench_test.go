package forwarder

import (
	"context"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/endiveturn/endiveturn/executor"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	*c.bytes += int64(n)
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	*c.bytes += int64(n)
	return n, err
}

// BenchmarkForward measures a forwarded statement over loopback, without a database: the
// latency that forwarding adds, its allocations on both hosts, and its bytes without the
// headers of TCP and IP.
func BenchmarkForward(b *testing.B) {
	server := &Server{
		Begin: func(*Operation) Execution {
			return Execution{Run: func(context.Context, *Request) Reply {
				return Reply{
					Response: executor.Response{Rows: []byte("DATAROW basket:cust031:4711=12345678\r\n"), Signature: "0123456789abcdef", State: 'I', Position: executor.Position{Term: 3, Offset: 123456}},
					Database: "i-7f3a91c2ab", Reason: answeredReason, Attempts: 1, MayHaveRun: true, AssignmentRevision: 123456,
				}
			}, Close: func() {}}
		},
		IdleTransactionTimeout: func() time.Duration { return time.Second }, MaxOperations: 100, MaxBytes: 1 << 20,
	}
	mux := drpcmux.New()
	if err := server.Register(mux); err != nil {
		b.Fatal(err)
	}
	var config net.ListenConfig
	listener, err := config.Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	var bytes int64
	client := &Client{Detector: &FailureDetector{Now: time.Now}, Now: time.Now, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return countingConn{Conn: conn, bytes: &bytes}, err
	}}
	target := Target{Name: "pool", Address: listener.Addr().String()}
	b.ReportAllocs()
	for b.Loop() {
		request := fullRequest()
		request.Operation.Tried, request.Operation.Begin, request.Prepared = nil, executor.VerbUnknown, nil
		request.Statement = executor.Request{ID: "q-1837465", Verb: executor.VerbRead, Arguments: "basket:cust031:4711"}
		stream, err := client.Open(ctx, target)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Run(request, time.Now().Add(time.Second), true); err != nil {
			b.Fatal(err)
		}
		stream.Close()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/statement")
}
