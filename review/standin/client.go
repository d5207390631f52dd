package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// A client is a consumer's session with a host.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// A reply is the response to one statement.
type reply struct {
	rows      []string
	signature string
	// code is "" after a success.
	code, text string
	state      string
	position   string
	sent, done time.Time
}

func (r reply) String() string {
	if r.code != "" {
		return "ERROR " + r.code + " " + r.text + " / READY " + r.state
	}
	return fmt.Sprintf("%q COMPLETE %s / READY %s %s", r.rows, r.signature, r.state, r.position)
}

// newID returns an id for a statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connect opens a session.
func connect(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, ok := readLine(c.reader)
	if !ok || !strings.HasPrefix(line, "READY ") {
		conn.Close()
		return nil, fmt.Errorf("startup: %q", line)
	}
	return c, nil
}

var errNoReply = errors.New("no complete reply")

// query sends a statement and reads its reply.
func (c *client) query(id, text string, timeout time.Duration) (reply, error) {
	r := reply{sent: time.Now()}
	c.conn.SetDeadline(r.sent.Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return r, err
	}
	return c.receive(r)
}

// receive reads one reply.
func (c *client) receive(r reply) (reply, error) {
	for {
		line, ok := readLine(c.reader)
		if !ok {
			return r, errNoReply
		}
		kind, rest, _ := strings.Cut(line, " ")
		switch kind {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, r.position, _ = strings.Cut(rest, " ")
			r.done = time.Now()
			return r, nil
		default:
			return r, fmt.Errorf("unexpected message %q", line)
		}
	}
}

func (c *client) close() { c.conn.Close() }
