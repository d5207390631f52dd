//go:build uncontrolled

package flooder

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/platform/standin"
)

// maxMessage is the size in bytes up to which the platform's protocol allows
// messages.
const maxMessage = 1 << 20

// startSession is the startup message of a member of the crowd.
var startSession = standin.Startup()

// platformMessage returns a message of the given size without its line ending.
func platformMessage(start string, size int) []byte {
	return append([]byte(start), bytes.Repeat([]byte("x"), size-len(start))...)
}

// TestUncontrolledClientsHostLargeMessages guards against a host that runs out of memory
// because many clients send messages of legal size at once: in one piece, in small
// pieces, and without the end.
func TestUncontrolledClientsHostLargeMessages(t *testing.T) {
	h := startPlatformHost(t)
	message := platformMessage("QUERY 1 WRITE k ", maxMessage-2)
	h.flood(t, crowd{address: h.client, size: 300, act: func(conn net.Conn, member int) error {
		if err := writeAll(conn, []byte(startSession), 100); err != nil {
			return err
		}
		pieces := []int{len(message), 1000}
		if err := writeAll(conn, message, pieces[member%2]); err != nil {
			return err
		}
		if member%3 != 0 {
			return nil
		}
		return writeAll(conn, []byte("\r\n"), 2)
	}})
}

// TestUncontrolledClientsHostEndlessMessages guards against a host that keeps what
// clients send of messages far over the limit, in startups and statements.
func TestUncontrolledClientsHostEndlessMessages(t *testing.T) {
	h := startPlatformHost(t)
	h.flood(t, crowd{address: h.client, size: 200, act: func(conn net.Conn, member int) error {
		start := "STARTUP pay "
		if member%2 == 0 {
			start = startSession + "QUERY 1 READ "
		}
		return writeAll(conn, platformMessage(start, 8*maxMessage), 64<<10)
	}})
}

// TestUncontrolledClientsHostUnreadResults guards against a host that keeps large results
// for clients that pipeline statements and read nothing.
func TestUncontrolledClientsHostUnreadResults(t *testing.T) {
	h := startPlatformHost(t)
	statements := bytes.Repeat([]byte("QUERY 1 READ large 1000\r\n"), 1000)
	h.flood(t, crowd{address: h.client, size: 200, slowReaders: true, act: func(conn net.Conn, _ int) error {
		return writeAll(conn, append([]byte(startSession), statements...), 4096)
	}})
}

// TestUncontrolledClientsHostHugeResults guards against a host that takes in whole
// results without a bound on their size.
func TestUncontrolledClientsHostHugeResults(t *testing.T) {
	h := startPlatformHost(t)
	h.flood(t, crowd{address: h.client, size: 10, act: func(conn net.Conn, _ int) error {
		return writeAll(conn, []byte(startSession+"QUERY 1 READ large 100000\r\n"), 4096)
	}})
}

// TestUncontrolledClientsHostPreparedStatements guards against a host that keeps prepared
// statements and session variables of a session without a bound on their bytes.
func TestUncontrolledClientsHostPreparedStatements(t *testing.T) {
	h := startPlatformHost(t)
	h.flood(t, crowd{address: h.client, size: 4, act: func(conn net.Conn, _ int) error {
		if err := writeAll(conn, []byte(startSession), 100); err != nil {
			return err
		}
		for i := range 100 {
			start := fmt.Sprintf("QUERY 1 PREPARE p%d READ ", i)
			if i%2 == 0 {
				start = fmt.Sprintf("QUERY 1 SET v%d ", i)
			}
			if err := writeAll(conn, append(platformMessage(start, maxMessage-2), "\r\n"...), maxMessage); err != nil {
				return err
			}
		}
		return nil
	}})
}

// TestUncontrolledClientsHostLargeNames guards against a host that keeps large names of
// databases, keys and requests, also in log lines that wait to be written.
func TestUncontrolledClientsHostLargeNames(t *testing.T) {
	h := startPlatformHost(t)
	h.flood(t, crowd{address: h.client, size: 200, act: func(conn net.Conn, member int) error {
		var message []byte
		switch member % 3 {
		case 0:
			message = append(platformMessage("STARTUP ", maxMessage-10), " key-2\r\n"...)
		case 1:
			message = append(platformMessage("STARTUP pay ", maxMessage-2), "\r\n"...)
		default:
			message = append(platformMessage(startSession+"QUERY ", maxMessage-20), " READ one\r\n"...)
		}
		return writeAll(conn, message, maxMessage)
	}})
}

// TestUncontrolledClientsHostStalled guards against a host that keeps a connection, and
// its descriptor, for each client that stops halfway: before the startup, in it, in a
// message, and inside a transaction.
func TestUncontrolledClientsHostStalled(t *testing.T) {
	h := startPlatformHost(t)
	texts := []string{
		"", "START", "STARTUP pay key", startSession, startSession + "QUE", startSession + "QUERY 1 READ o",
		startSession + "QUERY 1 BEGIN\r\n", startSession + "QUERY 1 BEGIN\r\nQUERY 1 WRITE o 1\r\nQUERY 1 COM",
	}
	h.flood(t, crowd{address: h.client, size: 900, act: func(conn net.Conn, member int) error {
		return writeAll(conn, []byte(texts[member%len(texts)]), 3)
	}})
}

// TestUncontrolledClientsHostIdleSessions guards against a host that has no descriptors
// left for databases, since sessions that only stay open hold all of them.
func TestUncontrolledClientsHostIdleSessions(t *testing.T) {
	h := startPlatformHost(t)
	h.flood(t, crowd{address: h.client, size: 900, act: func(conn net.Conn, _ int) error {
		return writeAll(conn, []byte(startSession), 100)
	}})
}

// TestUncontrolledClientsHostPeerAddress guards against clients that reach the address
// for other hosts: frames that never end, and connections that only stay open.
func TestUncontrolledClientsHostPeerAddress(t *testing.T) {
	h := startPlatformHost(t)
	h.flood(t, crowd{address: h.peer, size: 900, act: actPeer})
}

// peerFrame is a frame of drpc without its end: an invocation that goes on, with the
// ids 1 and 1 and a length of 4 MB.
var peerFrame = append([]byte("\x02\x01\x01\x80\x80\x80\x02"), bytes.Repeat([]byte("x"), 4<<20-1)...)

// actPeer acts as a member of a crowd at the address for other hosts.
func actPeer(conn net.Conn, member int) error {
	if member >= 100 {
		return writeAll(conn, peerFrame[:member%16], 3)
	}
	return writeAll(conn, peerFrame, 64<<10)
}

// TestUncontrolledClientsHostHTTPAddresses guards against clients of the readiness and
// metrics addresses that send large headers, read no responses or only stay connected.
func TestUncontrolledClientsHostHTTPAddresses(t *testing.T) {
	for _, name := range []string{"readiness", "metrics"} {
		t.Run(name, func(t *testing.T) {
			h := startPlatformHost(t)
			address, path := h.readiness, standin.ReadinessPath
			if name == "metrics" {
				address, path = h.metrics, standin.MetricsPath
			}
			request := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
			h.flood(t, crowd{address: address, size: 900, act: func(conn net.Conn, member int) error {
				return actHTTP(conn, member, request)
			}})
		})
	}
}

// TestUncontrolledClientsHostCalm guards against limits that refuse what a client may do
// under calm conditions: a message of the greatest size, sent in small pieces, and a
// startup message of that size, which is answered although no such key exists.
func TestUncontrolledClientsHostCalm(t *testing.T) {
	h := startPlatformHost(t)
	client, err := dialOrdinary(h.client)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := writeAll(client.Conn, platformMessage("QUERY 1 WRITE k ", maxMessage-2), 1000); err != nil {
		t.Fatal(err)
	}
	if err := client.Exchange(""); err != nil {
		t.Errorf("message of %d bytes: %v", maxMessage, err)
	}
	conn, err := net.Dial("tcp", h.client) //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(maxWait))
	if err := writeAll(conn, append(platformMessage("STARTUP pay ", maxMessage-2), "\r\n"...), maxMessage); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "ERROR NOAUTH") {
		t.Errorf("startup message of %d bytes: got %q, %v, want ERROR NOAUTH", maxMessage, line, err)
	}
	h.check(t)
}

// actHTTP acts as a member of a crowd of HTTP clients.
func actHTTP(conn net.Conn, member int, request string) error {
	switch {
	case member < 200:
		return writeAll(conn, append([]byte(request+"X: "), bytes.Repeat([]byte("x"), 900<<10)...), 64<<10)
	case member < 300:
		return writeAll(conn, bytes.Repeat([]byte(request+"\r\n"), 1000), 4096)
	case member < 400:
		return writeAll(conn, []byte(request), 3)
	default:
		return writeAll(conn, []byte(request+"\r\n"), 100)
	}
}
