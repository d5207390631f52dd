//go:build uncontrolled

package flooder

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestUncontrolledClientsPostgresLargeMessages guards against a host that runs out of
// memory because many clients send messages of legal size at once: in one piece, in
// small pieces, and without the end, as one message or as a batch.
func TestUncontrolledClientsPostgresLargeMessages(t *testing.T) {
	h := startPostgresHost(t)
	query := postgresQuery("SELECT '" + string(bytes.Repeat([]byte("x"), maxMessage-100)) + "'")
	var batch []byte
	for range 15 {
		batch = append(batch, postgresParse("", 64<<10)...)
	}
	h.flood(t, crowd{address: h.client, size: 300, act: func(conn net.Conn, member int) error {
		if err := writeAll(conn, startPostgres, 100); err != nil {
			return err
		}
		message := query
		switch member % 3 {
		case 0:
			message = query[:len(query)-1]
		case 1:
			message = batch
		}
		pieces := []int{len(message), 1000}
		return writeAll(conn, message, pieces[member/3%2])
	}})
}

// TestUncontrolledClientsPostgresEndlessMessages guards against a host that keeps what
// clients send of messages far over the limit, with the length announced or in batches
// that do not end.
func TestUncontrolledClientsPostgresEndlessMessages(t *testing.T) {
	h := startPostgresHost(t)
	announced := append([]byte("Q\x7f\xff\xff\xff"), bytes.Repeat([]byte("x"), 8*maxMessage)...)
	h.flood(t, crowd{address: h.client, size: 200, act: func(conn net.Conn, member int) error {
		switch member % 3 {
		case 0:
			return writeAll(conn, append([]byte("\x7f\xff\xff\xff\x00\x03\x00\x00"), announced...), 64<<10)
		case 1:
			return writeAll(conn, append(bytes.Clone(startPostgres), announced...), 64<<10)
		}
		if err := writeAll(conn, startPostgres, 100); err != nil {
			return err
		}
		for range 100 {
			if err := writeAll(conn, postgresParse("", 64<<10), 64<<10); err != nil {
				return err
			}
		}
		return nil
	}})
}

// TestUncontrolledClientsPostgresUnreadResults guards against a host that keeps large
// results for clients that pipeline statements and read nothing.
func TestUncontrolledClientsPostgresUnreadResults(t *testing.T) {
	h := startPostgresHost(t)
	statements := bytes.Repeat(postgresQuery("SELECT generate_series(1, 1000000)"), 1000)
	h.flood(t, crowd{address: h.client, size: 200, slowReaders: true, act: func(conn net.Conn, _ int) error {
		return writeAll(conn, append(bytes.Clone(startPostgres), statements...), 4096)
	}})
}

// TestUncontrolledClientsPostgresPreparedStatements guards against a host that keeps
// prepared statements and portals without a bound over all sessions.
func TestUncontrolledClientsPostgresPreparedStatements(t *testing.T) {
	h := startPostgresHost(t)
	h.flood(t, crowd{address: h.client, size: 500, act: func(conn net.Conn, member int) error {
		if err := writeAll(conn, startPostgres, 100); err != nil {
			return err
		}
		for i := range 60 {
			batch := postgresParse(fmt.Sprintf("s%d-%d", member, i), 4<<10)
			batch = append(batch, postgresMessage('B', fmt.Appendf(nil, "portal%d\x00s%d-%d\x00\x00\x00\x00\x00\x00\x00", i, member, i))...)
			batch = append(batch, postgresMessage('S', nil)...)
			if err := writeAll(conn, batch, len(batch)); err != nil {
				return err
			}
		}
		return nil
	}})
}

// TestUncontrolledClientsPostgresStalled guards against a host that keeps a connection,
// and its descriptor, for each client that stops halfway: before the startup, in it, in
// a message, and inside a transaction.
func TestUncontrolledClientsPostgresStalled(t *testing.T) {
	h := startPostgresHost(t)
	started := func(more ...byte) []byte { return append(bytes.Clone(startPostgres), more...) }
	texts := [][]byte{
		nil, startPostgres[:2], startPostgres[:12], started(), started('Q', 0, 0), started('Q', 0, 0, 0, 100, 'S'),
		started(postgresQuery("BEGIN")...), started(append(postgresQuery("BEGIN"), 'Q', 0)...),
	}
	h.flood(t, crowd{address: h.client, size: 900, act: func(conn net.Conn, member int) error {
		return writeAll(conn, texts[member%len(texts)], 3)
	}})
}

// TestUncontrolledClientsPostgresIdleSessions guards against a host that has no
// descriptors left for databases, since sessions that only stay open hold all of them.
func TestUncontrolledClientsPostgresIdleSessions(t *testing.T) {
	h := startPostgresHost(t)
	h.flood(t, crowd{address: h.client, size: 900, act: func(conn net.Conn, _ int) error {
		return writeAll(conn, startPostgres, 100)
	}})
}

// TestUncontrolledClientsPostgresPeerAddress guards against clients that reach the
// address for other hosts: frames that never end, and connections that only stay open.
func TestUncontrolledClientsPostgresPeerAddress(t *testing.T) {
	h := startPostgresHost(t)
	h.flood(t, crowd{address: h.peer, size: 900, act: actPeer})
}

// TestUncontrolledClientsPostgresHTTPAddress guards against clients of the address for
// metrics that send large headers, read no responses or only stay connected.
func TestUncontrolledClientsPostgresHTTPAddress(t *testing.T) {
	h := startPostgresHost(t)
	const request = "GET /metrics HTTP/1.1\r\nHost: h\r\n"
	h.flood(t, crowd{address: h.http, size: 900, act: func(conn net.Conn, member int) error {
		return actHTTP(conn, member, request)
	}})
}

// TestUncontrolledClientsPostgresCalm guards against limits that refuse what a client may
// do under calm conditions: a batch of almost the greatest size.
func TestUncontrolledClientsPostgresCalm(t *testing.T) {
	h := startPostgresHost(t)
	conn, err := pgx.Connect(t.Context(), h.url())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(t.Context())
	var text string
	query := "SELECT '" + strings.Repeat("x", maxMessage-100) + "'"
	if err := conn.QueryRow(t.Context(), query, pgx.QueryExecModeSimpleProtocol).Scan(&text); err != nil {
		t.Errorf("message of %d bytes: %v", len(query), err)
	}
	h.check(t)
}
