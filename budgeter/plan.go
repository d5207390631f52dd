package budgeter

import "time"

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
	// ConnectionCost is what a connection takes without buffers, in bytes: its
	// goroutine, its descriptor's state and its smallest buffer.
	ConnectionCost = 12 << 10
	// maxMemoryShare is the greatest part of a machine's memory that connections may
	// take, that of the heap.
	maxMemoryShare = 0.6
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// databaseShare and peerShare are the parts, as divisors, of the other descriptors
	// for connections to databases, the store and hosts, and from other hosts.
	databaseShare, peerShare = 4, 4
	// httpShare is the same for HTTP connections, which are at most maxHTTP.
	httpShare, maxHTTP = 16, 64
	// minClients is the least number of connections of clients that the descriptors for
	// other purposes leave.
	minClients = 16
	// minConnections is the least number of descriptors without those for files that Plan
	// divides up.
	minConnections = 64
	// defaultIdleWhenShort is how long a session may be idle while connections are
	// scarce.
	defaultIdleWhenShort = time.Minute
	// MinIdleWhenShort is the least valid setting of that time.
	MinIdleWhenShort = time.Second
	// MaxIdleWhenShort is the greatest one.
	MaxIdleWhenShort = 24 * time.Hour
	// MinTimeout is the least valid setting of the time for a step that waits for a client
	// or another host.
	MinTimeout = time.Second
	// MaxTimeout is the greatest one.
	MaxTimeout = time.Hour
	// minFirstRequest and maxFirstRequestSetting bound the valid settings of the size of a
	// first request in bytes. The usage of 2,000 customers takes about 40 KB.
	minFirstRequest, maxFirstRequestSetting = 64 << 10, 4 << 20
	// MinHTTPHeader is the least valid setting of the size of the header of an HTTP request
	// in bytes.
	MinHTTPHeader = 1 << 10
	// MaxHTTPHeader is the greatest one.
	MaxHTTPHeader = 1 << 20
)

// Options are the limits that operators may set. Zero values mean the defaults.
type Options struct {
	// MemoryShare is the part of the machine's memory that connections may take.
	MemoryShare float64
	// ConnectionMegabytes is the memory that one connection of a client may take.
	ConnectionMegabytes int64
	// FileDescriptors is the number of descriptors that are not for connections.
	FileDescriptors int
	// DatabaseDescriptors is the number of descriptors that are kept for connections to
	// databases, the store and other hosts; MaxPeers and MaxHTTP are the numbers of
	// connections of other hosts and of HTTP. By default each follows from the descriptors.
	DatabaseDescriptors, MaxPeers, MaxHTTP int
	// FirstRequestTimeout and MaxFirstRequest bound the time for the first request of
	// another host, and its size in bytes.
	FirstRequestTimeout time.Duration
	MaxFirstRequest     int64
	// MaxClients is the number of connections of clients; by default it follows from the
	// descriptors.
	MaxClients int
	// PerAddress and PerCustomer are numbers of connections of clients; by default they
	// are not limited.
	PerAddress, PerCustomer int
	// IdleWhenShort is the time for which a connection may be idle while connections are
	// scarce.
	IdleWhenShort time.Duration
}

// Validate calls reject for each invalid option, with the name of its setting.
func (o Options) Validate(memory int64, descriptors int, reject func(setting, format string, arguments ...any)) {
	if o.MemoryShare < 0 || o.MemoryShare > maxMemoryShare {
		reject("client_memory_share", "%v is not between 0 and %v", o.MemoryShare, maxMemoryShare)
	}
	if least := int64(minConnectionMemory >> 20); o.ConnectionMegabytes != 0 && o.ConnectionMegabytes < least {
		reject("connection_memory_mb", "%d is less than %d", o.ConnectionMegabytes, least)
	}
	if o.ConnectionMegabytes > max(memory, minConnectionMemory)>>20 && memory > 0 {
		reject("connection_memory_mb", "%d is more than the machine has", o.ConnectionMegabytes)
	}
	if o.FileDescriptors < 0 || o.FileDescriptors > 0 && descriptors > 0 && o.FileDescriptors > descriptors-minConnections {
		reject("file_descriptors", "%d of %d leave less than %d for connections", o.FileDescriptors, descriptors, minConnections)
	}
	o.validateSplit(descriptors, reject)
	if size := o.MaxFirstRequest; size != 0 && (size < minFirstRequest || size > maxFirstRequestSetting) {
		reject("max_first_request_bytes", "%d is not between %d and %d", size, minFirstRequest, maxFirstRequestSetting)
	}
	if derived := o.clients(descriptors); o.MaxClients < 0 || derived > 0 && o.MaxClients > derived {
		reject("max_clients", "%d is not between 0 and %d, what the descriptors allow", o.MaxClients, derived)
	}
	if o.PerAddress < 0 {
		reject("max_connections_per_address", "%d is negative", o.PerAddress)
	}
	if o.PerCustomer < 0 {
		reject("max_connections_per_customer", "%d is negative", o.PerCustomer)
	}
}

// validateSplit rejects descriptors for databases, other hosts and HTTP that leave too few
// for clients.
func (o Options) validateSplit(descriptors int, reject func(setting, format string, arguments ...any)) {
	for _, part := range []struct {
		setting string
		number  int
	}{{"database_descriptors", o.DatabaseDescriptors}, {"max_peers", o.MaxPeers}, {"max_http_connections", o.MaxHTTP}} {
		if part.number < 0 {
			reject(part.setting, "%d is negative", part.number)
			return
		}
	}
	if left := o.clients(descriptors); descriptors > 0 && left < minClients {
		reject("database_descriptors", "with max_peers and max_http_connections, %d of %d descriptors are left for clients, less than %d",
			left, descriptors, minClients)
	}
}

// clients returns the number of connections of clients that follows from the descriptors.
func (o Options) clients(descriptors int) int {
	o.MaxClients = 0
	return o.Plan(0, descriptors).Connections[Clients]
}

// Plan derives limits from the memory of a machine in bytes and the limit of
// descriptors of the process. 0 means unknown: then the part is not limited.
func Plan(memory int64, descriptors int) Limits { return Options{}.Plan(memory, descriptors) }

// Plan derives limits like the function of this name, with the options.
func (o Options) Plan(memory int64, descriptors int) Limits {
	limits := Limits{
		ConnectionCost: ConnectionCost, IdleWhenShort: orDefault(o.IdleWhenShort, defaultIdleWhenShort),
		PerAddress: o.PerAddress, PerCustomer: o.PerCustomer, ConnectionMemory: o.ConnectionMegabytes << 20,
		FirstRequestTimeout: o.FirstRequestTimeout, MaxFirstRequest: o.MaxFirstRequest,
	}
	if memory > 0 {
		limits.Memory = int64(orDefault(o.MemoryShare, clientMemoryShare) * float64(memory))
		limits.ConnectionMemory = orDefault(limits.ConnectionMemory, max(limits.Memory/connectionMemoryDivisor, minConnectionMemory))
	}
	if descriptors > 0 {
		files := orDefault(o.FileDescriptors, fileDescriptors)
		usable := max(descriptors, files+minConnections) - files
		databases := orDefault(o.DatabaseDescriptors, usable/databaseShare)
		peers, http := orDefault(o.MaxPeers, usable/peerShare), orDefault(o.MaxHTTP, min(usable/httpShare, maxHTTP))
		limits.Connections = [classes]int{Clients: usable - databases - peers - http, Peers: peers, HTTP: http}
	}
	if o.MaxClients > 0 {
		limits.Connections[Clients] = o.MaxClients
	}
	return limits
}

// orDefault returns the value, or the default for 0.
func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}
