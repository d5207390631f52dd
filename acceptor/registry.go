package acceptor

import (
	"crypto/subtle"
	"encoding/binary"
	"hash/fnv"
	"io"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// maxConnections is the number of connections that process ids can tell apart
// on one host.
const maxConnections = 1 << 16

// HostHash returns the upper half of the process ids that a host gives out.
func HostHash(hostName string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(hostName))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// register gives an authenticated connection its process id and counts it
// against the limit of its customer.
func (a *Acceptor) register(c *connection, maxPerCustomer int) error {
	var secret [4]byte
	if _, err := io.ReadFull(a.Secrets, secret[:]); err != nil {
		return errors.Wrap(err, "cancel secret")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining.Load():
		return executor.RefuseNotRun(executor.CodeStopping, "host is stopping")
	case maxPerCustomer > 0 && a.perCustomer[c.customer] >= maxPerCustomer:
		return executor.RefuseNotRun(executor.CodeTooManyQueued, "too many connections of the customer")
	case len(a.byID) >= maxConnections:
		return executor.RefuseNotRun(executor.CodeTooManyQueued, "too many connections on the host")
	}
	for {
		a.lastID++
		if _, taken := a.byID[a.lastID]; !taken {
			break
		}
	}
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.processID = uint32(HostHash(a.HostName))<<16 | uint32(a.lastID)
	a.byID[a.lastID] = c
	a.perCustomer[c.customer]++
	c.registered = true
	return nil
}

// remove forgets a connection that is closed.
func (a *Acceptor) remove(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	if c.registered {
		delete(a.byID, uint16(c.processID))
		a.perCustomer[c.customer]--
		if a.perCustomer[c.customer] == 0 {
			delete(a.perCustomer, c.customer)
		}
	}
	if a.draining.Load() && len(a.conns) == 0 {
		close(a.gone)
	}
}

// Cancel cancels the statement that runs now on the connection of the process
// id, if the secret is right and the id is of this host.
func (a *Acceptor) Cancel(processID, secret uint32) {
	a.init()
	a.mu.Lock()
	c := a.byID[uint16(processID)]
	a.mu.Unlock()
	if c == nil || c.processID != processID || subtle.ConstantTimeEq(int32(c.secret), int32(secret)) == 0 {
		return
	}
	c.cancel()
}

// cancelAnywhere cancels on this host or passes the request on.
func (a *Acceptor) cancelAnywhere(processID uint32, secret []byte) {
	if len(secret) != 4 {
		return
	}
	number := binary.BigEndian.Uint32(secret)
	if uint16(processID>>16) == HostHash(a.HostName) {
		a.Cancel(processID, number)
		return
	}
	if a.CancelRemote != nil {
		a.CancelRemote(processID, number)
	}
}
