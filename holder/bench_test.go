package holder

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/endiveturn/endiveturn/executor"
)

// BenchmarkRead compares a read through the holder with one on a connection of
// its own.
func BenchmarkRead(b *testing.B) {
	batch := query("SELECT id FROM bookings WHERE id = 'none'", executor.ClassRead)
	b.Run("holder", func(b *testing.B) {
		h, _ := startEmulated(b)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			exchange, err := h.Open(context.Background(), executor.Attributes{Customer: "acme", Session: "s"})
			if err != nil {
				b.Error(err)
				return
			}
			for pb.Next() {
				if _, err := exchange.Run(context.Background(), batch, io.Discard); err != nil {
					b.Error(err)
				}
			}
		})
	})
	b.Run("direct", func(b *testing.B) {
		h, group := startEmulated(b)
		exchange, err := h.Open(context.Background(), executor.Attributes{Customer: "acme", Session: "s"})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := exchange.Run(context.Background(), batch, io.Discard); err != nil {
			b.Fatal(err)
		}
		term := h.Stats().Term
		address := group.Address(group.Primary())
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			network, err := dialFake(context.Background(), address)
			if err != nil {
				b.Error(err)
				return
			}
			defer network.Close()
			direct(b, network, term, batch, pb)
		})
	})
}

func direct(b *testing.B, network net.Conn, term uint64, batch executor.Batch, pb *testing.PB) {
	frontend := pgproto3.NewFrontend(network, network)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "endpoint", "database": "orders", "group_term": strconv.FormatUint(term, 10),
	}})
	for {
		if err := frontend.Flush(); err != nil {
			b.Error(err)
			return
		}
		message, err := frontend.Receive()
		if err != nil {
			b.Error(err)
			return
		}
		switch message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			frontend.Send(&pgproto3.PasswordMessage{Password: "secret"})
			continue
		case *pgproto3.ReadyForQuery:
			if !pb.Next() {
				return
			}
			if _, err := network.Write(batch.Messages); err != nil {
				b.Error(err)
				return
			}
		}
	}
}
