package budgeter

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"syscall"
)

// ProcessDescriptors returns the limit of descriptors of the process, 0 if it is unknown.
func ProcessDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

// MachineMemory returns the memory of the machine in bytes, 0 if it is unknown.
func MachineMemory() int64 {
	content, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return totalMemory(content)
}

// totalMemory returns the total memory in bytes that the content of /proc/meminfo states,
// 0 if it states none.
func totalMemory(content []byte) int64 {
	for line := range bytes.Lines(content) {
		fields := bytes.Fields(line)
		if len(fields) == 3 && string(fields[0]) == "MemTotal:" && string(fields[2]) == "kB" {
			kilobytes, err := strconv.ParseInt(string(fields[1]), 10, 44)
			if err != nil || kilobytes < 0 {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// receiveBufferSize is the size in bytes of the kernel's buffer for what a connection has
// received and the host has not read, of which the kernel takes twice as much. The
// platform counts it as memory of the process, and without a limit it grows to
// megabytes. A client 3 ms away can still send about 10 MB/s.
const receiveBufferSize = 16 << 10

// ListenTCP listens on an address with a small receive buffer for each connection.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(ctx, "tcp", address)
}
