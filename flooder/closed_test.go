//go:build uncontrolled

package flooder

import (
	"net"
	"syscall"
)

// isClosed reports whether the other side has closed or reset the connection, as
// far as that shows without reading what it sent before.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		if err != nil || info != 0 {
			closed = true
			return
		}
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
	})
	return err != nil || closed
}
