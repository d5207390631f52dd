package acceptor

import (
	"bytes"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/configurer"
)

// BenchmarkIdleConnection measures the memory of a connection that is idle
// after one batch. The figures include the client socket, which is in the same
// process. Run it with -benchtime 5000x for 5,000 connections.
func BenchmarkIdleConnection(b *testing.B) {
	f := newFixture(b, func(f *fixture) {
		f.config = f.config.WithLimit(configurer.Limit{Name: "small", MaxConnections: 1 << 20})
		f.Budget = &budgeter.Budget{Limits: budgeter.Plan(1<<30, 100_000), Now: time.Now}
	})
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: publicStartup}).Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	heap, stacks, resident := memoryUse()
	conns := make([]net.Conn, b.N)
	var response [4096]byte
	for i := range conns {
		conn, err := new(net.Dialer).DialContext(b.Context(), "tcp", f.address)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		conns[i] = conn
		roundTrip(b, conn, startup, response[:])
		roundTrip(b, conn, selectOne, response[:])
	}
	f.opener.mu.Lock()
	f.opener.batches, f.opener.attributes = nil, nil
	f.opener.mu.Unlock()
	heapAfter, stacksAfter, residentAfter := memoryUse()
	b.ReportMetric((heapAfter-heap)/float64(b.N), "heap-B/conn")
	b.ReportMetric((stacksAfter-stacks)/float64(b.N), "stack-B/conn")
	b.ReportMetric((residentAfter-resident)/float64(b.N), "resident-B/conn")
	runtime.KeepAlive(conns)
}

// memoryUse returns the bytes of heap in use, of stacks, and of resident
// memory. It runs several collections first, since each one shrinks a stack by
// no more than half.
func memoryUse() (heap, stacks, resident float64) {
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	text, err := os.ReadFile("/proc/self/statm")
	if err == nil {
		pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
		resident = pages * float64(os.Getpagesize())
	}
	return float64(stats.HeapAlloc), float64(stats.StackInuse), resident
}

// selectOne is a Query message.
var selectOne = []byte("Q\x00\x00\x00\x0dSELECT 1\x00")

// roundTrip sends a message and reads up to ReadyForQuery.
func roundTrip(b *testing.B, conn net.Conn, message, response []byte) {
	if _, err := conn.Write(message); err != nil {
		b.Fatal(err)
	}
	for n := 0; !bytes.HasSuffix(response[:n], []byte("Z\x00\x00\x00\x05I")); {
		m, err := conn.Read(response[n:])
		if err != nil {
			b.Fatal(err)
		}
		n += m
	}
}

// BenchmarkBatch measures a simple query from a client to the opener and back.
func BenchmarkBatch(b *testing.B) {
	f := newFixture(b, func(f *fixture) {
		f.Budget = &budgeter.Budget{Limits: budgeter.Plan(1<<30, 100_000), Now: time.Now}
	})
	c := dialRaw(b, f)
	c.startup(publicStartup)
	response := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b, c.Conn, selectOne, response)
	}
}
