package soaker

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// identifyAttempts is the number of times that the table of sockets is read.
const identifyAttempts = 3

// identifyHost returns the name of the host whose process has opened a connection
// from a local address, or an empty string. Linux lists the sockets of all programs
// with their inodes, and the inodes of each process.
func (f *fleet) identifyHost(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	// The table may lack a socket while others are opened and closed.
	for range identifyAttempts {
		if inode := socketInode(tcp.Port); inode != "" {
			return f.socketOwner(inode)
		}
	}
	return ""
}

// socketOwner returns the name of the host whose process has the socket open.
func (f *fleet) socketOwner(inode string) string {
	want := "socket:[" + inode + "]"
	for _, h := range f.hosts {
		pid := h.process.PID()
		if pid == 0 {
			continue
		}
		descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			if link, err := os.Readlink(descriptor); err == nil && link == want {
				return h.name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket whose local port is given.
func socketInode(port int) string {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	const localField, inodeField = 1, 9
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], suffix) && fields[inodeField] != "0" {
			return fields[inodeField]
		}
	}
	return ""
}
