package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var nextID atomic.Int64

// A session is a consumer's connection to a host.
type session struct {
	w      *world
	conn   net.Conn
	reader *bufio.Reader
	state  string
}

// An answer is the answer to a statement.
type answer struct {
	rows []string
	// signature is that of a success, code that of an error. Both are empty if there was none.
	signature, code string
	err             error
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return "ERROR " + a.code
	default:
		return fmt.Sprintf("COMPLETE %s rows %q", a.signature, a.rows)
	}
}

func (w *world) dial(address, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{w: w, conn: conn, reader: bufio.NewReader(conn), state: "I"}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := readLine(s.reader)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("startup: %s", line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// query sends a statement under a new id and waits for its answer.
func (s *session) query(text string) (id string, a answer) {
	id = fmt.Sprintf("%016x", nextID.Add(1))
	s.w.recordSent(id, text)
	s.conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, a.err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text)
	for a.err == nil {
		var line string
		if line, a.err = readLine(s.reader); a.err != nil {
			break
		}
		kind, rest, _ := strings.Cut(line, " ")
		if kind == "READY" {
			s.state, _, _ = strings.Cut(rest, " ")
			break
		}
		switch kind {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		}
	}
	s.w.recordAnswer(id, a.String())
	return id, a
}
