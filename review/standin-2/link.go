package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
)

// A link stands in front of a database. While it is held, what the database sends on the
// connections of a customer waits, as on a path that is cut and heals again.
type link struct {
	listener net.Listener
	target   string
	customer string

	mu   sync.Mutex
	cond *sync.Cond
	held bool
}

func newLink(target, customer string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, customer: customer}
	l.cond = sync.NewCond(&l.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

func (l *link) setHeld(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.cond.Broadcast()
}

func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held {
		l.cond.Wait()
	}
}

func (l *link) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	reader := bufio.NewReaderSize(from, 1<<16)
	startup, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(startup)
	holds := len(fields) > 2 && fields[2] == l.customer
	if _, err := to.Write([]byte(startup)); err != nil {
		return
	}
	go func() {
		defer from.Close()
		defer to.Close()
		buffer := make([]byte, 1<<16)
		for {
			n, err := to.Read(buffer)
			if n > 0 {
				if holds {
					l.await()
				}
				if _, err := from.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 1<<16)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
