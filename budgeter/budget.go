// Package budgeter bounds the memory and the connections that clients can cause a
// process to use. Budget decides without a network who may take how much, and who is
// refused or closed when nothing is left: the largest offender first. Listener applies
// it to the connections of a listener.
package budgeter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Reasons for which a connection or a buffer is refused, and for which a connection is
// closed. Their texts are the reasons in log lines and metrics.
var (
	// ErrConnections means that a class has as many connections as it may have.
	ErrConnections = errors.New("too many connections")
	// ErrAddress means the same for the connections from an address.
	ErrAddress = errors.New("too many connections from the address")
	// ErrCustomer means the same for the connections of a customer.
	ErrCustomer = errors.New("too many connections of the customer")
	// ErrMemory means that the memory of all connections is used up and that this
	// connection uses most of it, or no less than the others.
	ErrMemory = errors.New("memory used up")
	// ErrConnectionMemory means that a connection needs more memory than one may have.
	ErrConnectionMemory = errors.New("too much memory for one connection")
	// ErrFirstRequest means that the first request on a connection is larger than those
	// of other hosts and of HTTP clients are.
	ErrFirstRequest = errors.New("first request is too large")
	// ErrReplaced means that a connection that was idle, or has not completed a
	// request, was closed for the sake of a new one.
	ErrReplaced = errors.New("idle while connections are scarce")
	// ErrClosed means that the connection was closed before.
	ErrClosed = errors.New("connection is closed")
)

// A Class is a kind of connections with a limit of its own, so that many at one
// address of a process leaves room at the others.
type Class uint8

// The classes of connections.
const (
	// Clients are connections of the proxy's clients.
	Clients Class = iota
	// Peers are connections of other hosts.
	Peers
	// HTTP are connections for readiness checks, metrics and status.
	HTTP
	classes
)

// String returns the name of the class in log lines and metrics.
func (c Class) String() string { return [classes]string{"clients", "peers", "http"}[c] }

// A Use is a purpose for which a connection takes memory.
type Use uint8

// The purposes. A connection has one amount for each.
const (
	// Message is a message that is being received or processed.
	Message Use = iota
	// Response is a response that has not been sent.
	Response
	// Session is what stays between requests: prepared statements, variables, names.
	Session
	uses
)

const (
	// minUnprovenAge is the age from which a connection that has not completed a
	// request may be closed for a new one. A client needs far less to send its first
	// message.
	minUnprovenAge = time.Second
	// searchPause is the time for which no connection to replace is searched for after a
	// search found none: a search looks at all accounts, and many clients may connect at once.
	searchPause = 100 * time.Millisecond
	// closingShare is the part of the memory, as a divisor, up to which connections
	// that have been closed but have not ended yet may exceed it together.
	closingShare = 4
)

// Limits bound what the connections of a process may use. Zero values set no limit.
type Limits struct {
	// Memory is the number of bytes for all connections.
	Memory int64
	// ConnectionMemory is the number of bytes for one connection of a client.
	ConnectionMemory int64
	// ConnectionCost is what each connection takes without any buffer, in bytes.
	ConnectionCost int64
	// Connections are the numbers of connections by class.
	Connections [classes]int
	// PerAddress and PerCustomer are numbers of connections of clients.
	PerAddress, PerCustomer int
	// IdleWhenShort is the time for which a connection that has completed a request
	// may be idle while connections are scarce.
	IdleWhenShort time.Duration
	// FirstRequestTimeout and MaxFirstRequest bound the first request on a connection of
	// another host or of HTTP; zero values mean the defaults.
	FirstRequestTimeout time.Duration
	MaxFirstRequest     int64
}

// An Event reports that a connection was refused or closed.
type Event struct {
	Class             Class
	Address, Customer string
	// Bytes is the memory that the connection used.
	Bytes int64
	// Reason is one of the errors of this package.
	Reason error
	// Refused is set if the connection was refused at once.
	Refused bool
}

// A Budget holds the accounts of all connections of a process. Its exported fields are
// set before first use.
type Budget struct {
	Limits Limits
	// Now returns the time; only differences count.
	Now func() time.Time
	// OnEvent is called, without locks, for each connection that is refused or closed.
	// It may be nil.
	OnEvent func(Event)

	mu       sync.Mutex
	accounts map[*Account]struct{}
	// used is the memory of the accounts, without those being closed; closing is that
	// of the accounts that were asked to close and have not ended.
	used, closing int64
	connections   [classes]int
	addresses     map[string]int
	customers     map[string]int
	// nextSearch is the time before which no connection to replace is searched for.
	nextSearch [classes]time.Time
}

// An Account is the share of one connection. A nil account has no limits.
type Account struct {
	budget   *Budget
	class    Class
	address  string
	close    func()
	openedAt time.Time
	// idleSince is when the last request was completed, as a duration since openedAt; 0
	// while a request is in progress. proven is set once a request was completed. Both
	// change with each request and are therefore not guarded by a mutex.
	idleSince atomic.Int64
	proven    atomic.Bool

	// The fields below are guarded by the mutex of the budget.
	customer string
	amounts  [uses]int64
	total    int64
	// state moves from open over closing to ended.
	state state
}

type state uint8

// The states of an account.
const (
	open state = iota
	closing
	ended
)

// Open returns the account of a new connection, or the reason to refuse it. The
// function ends the connection; it is called at most once, without locks, and does not
// wait.
func (b *Budget) Open(class Class, address string, end func()) (*Account, error) {
	a := &Account{budget: b, class: class, address: address, close: end, openedAt: b.Now()}
	b.mu.Lock()
	victims, err := b.admit(a)
	b.mu.Unlock()
	b.end(victims)
	if err != nil {
		b.report(Event{Class: class, Address: address, Bytes: b.Limits.ConnectionCost, Reason: err, Refused: true})
		return nil, err
	}
	return a, nil
}

// admit adds an account if the limits allow it, after it has made room. The caller
// holds mu.
func (b *Budget) admit(a *Account) ([]victim, error) {
	if limit := b.Limits.PerAddress; a.class == Clients && limit > 0 && b.addresses[a.address] >= limit {
		return nil, ErrAddress
	}
	var victims []victim
	if limit := b.Limits.Connections[a.class]; limit > 0 && b.connections[a.class] >= limit {
		// The new connection is admitted beside the one that is being closed.
		replaced := b.replaceable(a.class)
		if replaced == nil {
			return nil, ErrConnections
		}
		victims = append(victims, b.startClosing(replaced, ErrReplaced))
	}
	more, err := b.makeRoom(a, b.Limits.ConnectionCost)
	victims = append(victims, more...)
	if err != nil {
		return victims, err
	}
	if b.accounts == nil {
		b.accounts, b.addresses, b.customers = make(map[*Account]struct{}), make(map[string]int), make(map[string]int)
	}
	b.accounts[a] = struct{}{}
	b.connections[a.class]++
	b.addresses[a.address]++
	a.total = b.Limits.ConnectionCost
	b.used += a.total
	return victims, nil
}

// replaceable returns the connection of a class that is closed first for a new one:
// the oldest that has not completed a request, else the one that is idle for longest.
// It returns nil if all are younger or have been idle for a shorter time than allowed.
// The caller holds mu.
func (b *Budget) replaceable(class Class) *Account {
	now := b.Now()
	if now.Before(b.nextSearch[class]) {
		return nil
	}
	var unproven, idle *Account
	for a := range b.accounts {
		switch {
		case a.class != class || a.state != open:
		case !a.proven.Load():
			if now.Sub(a.openedAt) >= minUnprovenAge && (unproven == nil || a.openedAt.Before(unproven.openedAt)) {
				unproven = a
			}
		case a.idleFor(now) >= max(b.Limits.IdleWhenShort, 1):
			if idle == nil || a.idleFor(now) > idle.idleFor(now) {
				idle = a
			}
		}
	}
	switch {
	case unproven != nil:
		return unproven
	case idle == nil:
		b.nextSearch[class] = now.Add(searchPause)
	}
	return idle
}

// makeRoom closes the largest connections until the account may take more bytes. It
// returns an error if the account itself would be the largest, or if too many closed
// connections have not ended yet. The caller holds mu.
func (b *Budget) makeRoom(a *Account, more int64) ([]victim, error) {
	if b.Limits.Memory <= 0 {
		return nil, nil
	}
	var victims []victim
	for b.used+more > b.Limits.Memory {
		largest := b.largest(a)
		if largest == nil || largest.total <= a.total+more {
			return victims, ErrMemory
		}
		victims = append(victims, b.startClosing(largest, ErrMemory))
	}
	if b.used+b.closing+more > b.Limits.Memory+b.Limits.Memory/closingShare {
		return victims, ErrMemory
	}
	return victims, nil
}

// largest returns the open account with the most memory other than a. The caller
// holds mu.
func (b *Budget) largest(a *Account) *Account {
	var largest *Account
	for other := range b.accounts {
		if other != a && other.state == open && (largest == nil || other.total > largest.total) {
			largest = other
		}
	}
	return largest
}

// A victim is a connection that has to be closed once mu is free.
type victim struct {
	account *Account
	event   Event
}

// startClosing marks an account as being closed. Its connection no longer counts, but
// its memory does until it ends. The caller holds mu.
func (b *Budget) startClosing(a *Account, reason error) victim {
	b.used -= a.total
	b.closing += a.total
	b.uncount(a)
	a.state = closing
	return victim{account: a, event: Event{Class: a.class, Address: a.address, Customer: a.customer, Bytes: a.total, Reason: reason}}
}

// uncount removes an account from the counts of connections. The caller holds mu.
func (b *Budget) uncount(a *Account) {
	b.connections[a.class]--
	decrement(b.addresses, a.address)
	if a.customer != "" {
		decrement(b.customers, a.customer)
	}
}

func decrement(counts map[string]int, name string) {
	if counts[name]--; counts[name] <= 0 {
		delete(counts, name)
	}
}

// end closes the connections of victims.
func (b *Budget) end(victims []victim) {
	for _, v := range victims {
		v.account.close()
		b.report(v.event)
	}
}

func (b *Budget) report(event Event) {
	if b.OnEvent != nil {
		b.OnEvent(event)
	}
}

// A Load is what the connections of a process use.
type Load struct {
	// Memory and Closing are bytes of open connections and of those being closed.
	Memory, Closing int64
	// Connections are the numbers of open connections by class.
	Connections map[Class]int
}

// Load returns what is used now.
func (b *Budget) Load() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := Load{Memory: b.used, Closing: b.closing, Connections: make(map[Class]int)}
	for class, count := range b.connections {
		load.Connections[Class(class)] = count
	}
	return load
}
