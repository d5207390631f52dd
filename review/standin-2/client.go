package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// A client is a consumer with one session.
type client struct {
	name   string
	record *record
	conn   net.Conn
	reader *bufio.Reader
	next   int
}

// An answer is the response to a statement. sent is when its first byte was sent.
type answer struct {
	id, text       string
	sent, received time.Time
	rows           []string
	signature      string
	// code is that of an error.
	code  string
	ready string
}

func (a answer) ok() bool { return a.code == "" }

func dialClient(r *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: r, conn: conn, reader: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, errors.New("startup: " + strings.TrimSpace(line))
	}
	return c, nil
}

// query sends a statement and returns its answer.
func (c *client) query(text string) (answer, error) {
	c.next++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.next), text: text, sent: time.Now()}
	c.record.add("%s sends %s: %s", c.name, a.id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return a, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.record.add("%s gets no answer to %s: %v", c.name, a.id, err)
			return a, err
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch kind {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.received, a.ready = time.Now(), rest
			c.record.add("%s gets %s: rows %q, signature %q, error %q, READY %s", c.name, a.id, a.rows, a.signature, a.code, rest)
			return a, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }
