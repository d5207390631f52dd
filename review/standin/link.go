package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// A link is a TCP proxy that can be cut, as by a partition. While it is cut, the bytes of
// open connections are kept, as TCP keeps them, and are delivered when the cut ends, also
// those of a connection that its sender has closed meanwhile. They are lost if the sender
// has reset it. Connections that are opened during a cut lead nowhere.
type link struct {
	address string
	target  string

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target}
	l.cond = sync.NewCond(&l.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn.(*net.TCPConn))
		}
	}()
	return l, nil
}

// setCut begins or ends a cut.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.cond.Broadcast()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

func (l *link) forward(conn *net.TCPConn) {
	l.mu.Lock()
	lost := l.cut
	for l.cut {
		l.cond.Wait()
	}
	l.mu.Unlock()
	if lost {
		reset(conn)
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(conn)
		return
	}
	go l.pump(server.(*net.TCPConn), conn)
	l.pump(conn, server.(*net.TCPConn))
}

// pump forwards bytes in one direction until the sender closes or resets the connection.
func (l *link) pump(to, from *net.TCPConn) {
	var queue []byte
	var ended error
	go func() {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			l.mu.Lock()
			queue = append(queue, buffer[:n]...)
			ended = err
			l.cond.Broadcast()
			l.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	for {
		l.mu.Lock()
		for l.cut || len(queue) == 0 && ended == nil {
			l.cond.Wait()
		}
		piece, err := queue, ended
		queue = nil
		l.mu.Unlock()
		if err != nil && !errors.Is(err, io.EOF) {
			reset(to)
			return
		}
		if _, werr := to.Write(piece); werr != nil {
			reset(from)
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
