package acceptor

import (
	"crypto/subtle"
	"encoding/binary"
	"hash/fnv"
	"io"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/executor"
)

// maxHostConnections is the number of connections of one host that process IDs
// can distinguish.
const maxHostConnections = 1 << 16

// HostHash returns the upper half of the process IDs that a host assigns.
func HostHash(hostName string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(hostName))
	hash := h.Sum32()
	return uint16(hash>>16) ^ uint16(hash)
}

// register assigns a process ID to an authenticated connection and counts it
// against the limit of its customer.
func (a *Acceptor) register(c *connection, maxPerCustomer int) error {
	var secret [4]byte
	if _, err := io.ReadFull(a.Rand, secret[:]); err != nil {
		return errors.Wrap(err, "generate cancel secret")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining.Load():
		return executor.RefuseNotRun(executor.CodeStopping, "host is stopping")
	case maxPerCustomer > 0 && a.perCustomer[c.customer] >= maxPerCustomer:
		return executor.RefuseNotRun(executor.CodeTooManyQueued, "too many connections of the customer")
	case len(a.byConnID) >= maxHostConnections:
		return executor.RefuseNotRun(executor.CodeTooManyQueued, "too many connections on the host")
	}
	for {
		a.lastConnID++
		if _, taken := a.byConnID[a.lastConnID]; !taken {
			break
		}
	}
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.processID = uint32(HostHash(a.HostName))<<16 | uint32(a.lastConnID)
	a.byConnID[a.lastConnID] = c
	a.perCustomer[c.customer]++
	c.registered = true
	return nil
}

// unregister removes a connection that is being closed.
func (a *Acceptor) unregister(c *connection) {
	c.account.End()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	if c.registered {
		delete(a.byConnID, uint16(c.processID))
		a.perCustomer[c.customer]--
		if a.perCustomer[c.customer] == 0 {
			delete(a.perCustomer, c.customer)
		}
	}
	if a.draining.Load() && len(a.conns) == 0 {
		close(a.drained)
	}
}

// Cancel cancels the batch in progress on the connection with the process ID,
// if the secret is correct and the process ID belongs to this host.
func (a *Acceptor) Cancel(processID, secret uint32) {
	a.init()
	a.mu.Lock()
	c := a.byConnID[uint16(processID)]
	a.mu.Unlock()
	if c == nil || c.processID != processID || subtle.ConstantTimeEq(int32(c.secret), int32(secret)) == 0 {
		return
	}
	c.cancelBatch()
}

// routeCancel handles a cancel request on this host or forwards it to the host
// that assigned the process ID.
func (a *Acceptor) routeCancel(processID uint32, secret []byte) {
	if len(secret) != 4 {
		return
	}
	secretNumber := binary.BigEndian.Uint32(secret)
	if uint16(processID>>16) == HostHash(a.HostName) {
		a.Cancel(processID, secretNumber)
		return
	}
	if a.CancelRemote != nil {
		a.CancelRemote(processID, secretNumber)
	}
}
