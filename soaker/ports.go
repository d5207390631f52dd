package soaker

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are taken from below the ephemeral range, so that no other connection
// occupies them by chance, and from above those of the scripts of the root module.
const (
	firstPort = 26000
	lastPort  = 32000
	// blockPorts is the number of ports that a run reserves.
	blockPorts = 1000
)

// A portBlock is a range of ports of one run. The listener at its first port keeps
// other runs from using the range.
type portBlock struct {
	guard net.Listener

	mu   sync.Mutex
	next int
	end  int
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, "listen")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// reservePorts reserves a range of ports that no other run uses.
func reservePorts() (*portBlock, error) {
	for base := firstPort; base+blockPorts <= lastPort; base += blockPorts {
		if guard, err := listen(loopback(base)); err == nil {
			return &portBlock{guard: guard, next: base + 1, end: base + blockPorts}, nil
		}
	}
	return nil, errors.Errorf("no free range of %d ports from %d to %d", blockPorts, firstPort, lastPort)
}

// listener returns a listener at the next free port of the block.
func (b *portBlock) listener() (net.Listener, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.next < b.end {
		b.next++
		if listener, err := listen(loopback(b.next - 1)); err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no free port is left in the block")
}

// address returns the next free address of the block.
func (b *portBlock) address() (string, error) {
	listener, err := b.listener()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (b *portBlock) release() { b.guard.Close() }
