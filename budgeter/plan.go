package budgeter

import (
	"time"
)

const (
	// clientMemoryShare is the part of a machine's memory that connections may take.
	// The heap gets 0.6 of it; the rest of the heap is for the fleet's state and for
	// garbage, and the rest of the machine for stacks, sockets and the program.
	clientMemoryShare = 0.3
	// connectionMemoryDivisor divides the memory of all connections into that of one.
	connectionMemoryDivisor = 4
	// minConnectionMemory is what one connection may take in any case, in bytes:
	// enough for a message of 1 MiB, its text and its copy for the database.
	minConnectionMemory = 4 << 20
	// connectionCost is what a connection takes without buffers, in bytes: its
	// goroutine, its descriptor's state and its smallest buffer.
	connectionCost = 12 << 10
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// databaseShare and peerShare are the parts, as divisors, of the other descriptors
	// for connections to databases, the store and hosts, and from other hosts.
	databaseShare, peerShare = 4, 4
	// httpShare is the same for HTTP connections, which are at most maxHTTP.
	httpShare, maxHTTP = 16, 64
	// minDescriptors is the least limit of descriptors that Plan divides up.
	minDescriptors = fileDescriptors + 64
	// defaultIdleWhenShort is how long a session may be idle while connections are
	// scarce.
	defaultIdleWhenShort = time.Minute
)

// Plan derives limits from the memory of a machine in bytes and the limit of
// descriptors of the process. 0 means unknown: then the part is not limited.
func Plan(memory int64, descriptors int) Limits {
	limits := Limits{ConnectionCost: connectionCost, IdleWhenShort: defaultIdleWhenShort}
	if memory > 0 {
		limits.Memory = int64(clientMemoryShare * float64(memory))
		limits.ConnectionMemory = max(limits.Memory/connectionMemoryDivisor, minConnectionMemory)
	}
	if descriptors > 0 {
		usable := max(descriptors, minDescriptors) - fileDescriptors
		peers, http := usable/peerShare, min(usable/httpShare, maxHTTP)
		limits.Connections = [classes]int{Clients: usable - usable/databaseShare - peers - http, Peers: peers, HTTP: http}
	}
	return limits
}
