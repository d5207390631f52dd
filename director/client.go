package director

import (
	"time"

	"github.com/endiveturn/endiveturn/executor"
)

// A Startup is how a client introduces itself.
type Startup struct {
	// Database is the name that the client asks for.
	Database string
	// Key is what it shows; empty if it shows none.
	Key string
	// Address is where it connects from, for the log.
	Address string
}

// A Client is the connection of a client, decoded.
type Client interface {
	// Startup reads the first message.
	Startup(deadline time.Time) (Startup, error)
	// Receive reads the next statement. After an error that wraps
	// os.ErrDeadlineExceeded or ErrInterrupted it can be called again.
	Receive(deadline time.Time) (executor.Request, error)
	// Pending reports whether a part of a further statement has arrived.
	Pending() bool
	// Send writes a reply.
	Send(reply executor.Reply) error
	// Ready greets the client after its startup.
	Ready() error
	// Refuse answers the startup with an error.
	Refuse(code executor.Code, text string) error
	// Interrupt makes a Receive that waits return ErrInterrupted.
	Interrupt()
	Close() error
}
